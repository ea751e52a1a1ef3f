//! Layouts of messages between nodes and of stored entries, compared with bytes that the code of
//! c2cc6f3 and 4dd3d55 has made. Builds of these commits run beside the present one during an
//! upgrade. See `docs/design/upgrades.md`.

use std::net::SocketAddr;
use std::time::Duration;

use edge::message::{Message, Refusals, Unreadable, View, decode, encode};
use edge::stored::{self, Quarantine};
use edge::{
    Evidence, Finding, Freshness, FurtherParts, Loan, Origin, Statement, Suspicion, remove_internal,
};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use limit::permit::{self, Class, Verdict, Word};
use platform::kv::Position;
use serde::Deserialize;
use site::Rate;
use yare::parameterized;

/// Fencing number of the third era.
const FENCE: u64 = (3 << 40) | 4711;
/// A number of a variant that no build has given out.
const UNKNOWN_KIND: u8 = 100;
/// Number of the variant with the evidence.
const EVIDENCE_KIND: u8 = 3;

fn bytes(hex: &str) -> Vec<u8> {
    let digits = |start| u8::from_str_radix(&hex[start..start + 2], 16).expect("hexadecimal");
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn some_view() -> View {
    View {
        loads: vec![("i-1".into(), 70_000), ("i-22".into(), 3)],
        down: vec![("i-3".into(), true), ("i-4".into(), false)],
        refusing: vec!["i-5".into()],
        declining: vec!["i-6".into(), "i-7".into()],
        fence: FENCE,
        checks_keys: true,
        reaches_targets: true,
        issues_permits: false,
    }
}

fn some_loan() -> Loan {
    Loan { service: "model".into(), retries: 7, query: 12345 }
}

fn some_evidence() -> Vec<Evidence> {
    let suspicion = Suspicion { target: "i-1".into(), parts: vec![5, u64::MAX], fresh: true };
    let findings = [
        (0x0123_4567_89ab_cdef, Finding::Suspected(suspicion)),
        (2, Finding::Cleared),
        (3, Finding::Answered),
        (4, Finding::Passed(Duration::from_millis(61_500))),
        (5, Finding::Quarantined("i-1".into())),
        (6, Finding::PartQuarantined("i-2".into())),
    ];
    findings.map(|(fingerprint, finding)| Evidence { fingerprint, finding }).into()
}

fn some_freshness() -> Freshness {
    let position = Position::new(2, 4711);
    Freshness { query: 300, position, age: Duration::from_millis(1250) }
}

/// A message, and its bytes as c2cc6f3 encodes it.
struct Encoded {
    message: Message,
    hex: &'static str,
}

const VIEW: &str = "000203692d31f0a20404692d3232030203692d330103692d34000103692d350203692d36\
                    03692d37e7a4808080600101";
const VIEW_4DD3D55: &str = "000203692d31f0a20404692d3232030203692d330103692d34000103692d35020369\
                            2d3603692d37e7a48080806001";
const EVIDENCE: &str = "0306ef9bafcdf8acd191010003692d310205ffffffffffffffffff010102010302\
                        04033d80cab5ee01050403692d31060503692d32";

fn some_word() -> Word {
    Word { rate: Rate::new(17.3), age_ms: 300, named_ms: 70_000 }
}

fn some_target() -> SocketAddr {
    SocketAddr::from(([10, 1, 64, 26], 8468))
}

fn some_request() -> permit::Request {
    let (target, class, word) = (some_target(), Class::Resumption, some_word());
    permit::Request { target, number: 300, class, patience_ms: 400, word, sent: vec![3, 0, 700] }
}

fn some_answer(verdict: Verdict) -> permit::Answer {
    permit::Answer { target: some_target(), number: 300, verdict, word: some_word() }
}

fn some_further_parts() -> FurtherParts {
    let parts = vec![u64::MAX, 1];
    FurtherParts { request: 300, target: "i-1/17".into(), parts, narrower: 96, fresh: true }
}

// Guards against a change of the layout of a message that later builds than c2cc6f3 send.
#[parameterized(
    config_version = { Encoded { message: Message::ConfigVersion(300), hex: "06ac02" } },
    permit_request = { Encoded { message: Message::PermitRequest(some_request()), hex: "07000a01401a9442ac0200900301a0f49f08ac02f0a204030300bc05" } },
    permit_granted = { Encoded { message: Message::PermitAnswer(some_answer(Verdict::Granted(25))), hex: "08000a01401a9442ac02001901a0f49f08ac02f0a204" } },
    permit_denied = { Encoded { message: Message::PermitAnswer(some_answer(Verdict::Denied(600))), hex: "08000a01401a9442ac0201d80401a0f49f08ac02f0a204" } },
    permit_unlimited = { Encoded { message: Message::PermitAnswer(some_answer(Verdict::Unlimited)), hex: "08000a01401a9442ac020201a0f49f08ac02f0a204" } },
    not_issuer = { Encoded { message: Message::PermitAnswer(some_answer(Verdict::NotIssuer)), hex: "08000a01401a9442ac020301a0f49f08ac02f0a204" } },
    further_parts = { Encoded { message: Message::FurtherParts(some_further_parts()), hex: "0aac0206692d312f313702ffffffffffffffffff01016001" } },
    limit = { Encoded { message: Message::Limit(permit::Limit { target: some_target(), word: some_word() }), hex: "09000a01401a944201a0f49f08ac02f0a204" } },
)]
fn later_messages_keep_their_layout(case: Encoded) {
    let golden = bytes(case.hex);
    assert_eq!(decode(&golden), Ok(case.message.clone()));
    assert_eq!(encode(&case.message).expect("it fits into a datagram"), golden);
}

// Guards against a message that one of two builds side by side cannot read.
#[parameterized(
    loan_request = { Encoded { message: Message::LoanRequest(some_loan()), hex: "01056d6f64656c07b960" } },
    loan_grant = { Encoded { message: Message::LoanGrant(some_loan()), hex: "02056d6f64656c07b960" } },
    evidence = { Encoded { message: Message::Evidence(some_evidence()), hex: EVIDENCE } },
    freshness_query = { Encoded { message: Message::FreshnessQuery(300), hex: "04ac02" } },
    freshness = { Encoded { message: Message::Freshness(some_freshness()), hex: "05ac0202e7240180e59a77" } },
)]
fn messages_of_c2cc6f3_are_read_and_sent(case: Encoded) {
    let golden = bytes(case.hex);
    assert_eq!(decode(&golden).as_ref(), Ok(&case.message));
    assert_eq!(encode(&case.message), Some(golden.clone()));
    // What a newer build appends is ignored.
    let extended = [&golden[..], &[1, 2, 3]].concat();
    assert_eq!(decode(&extended), Ok(case.message));
}

// Guards against views that one of two builds side by side cannot read: since 8bd7f1a they state
// whether their sender issues permits, and views of that build and c2cc6f3 end before it.
#[parameterized(
    empty = { View::default(), "0000000000000000" },
    full = { some_view(), VIEW },
)]
fn views_of_8bd7f1a_are_read_and_sent(view: View, hex: &str) {
    let golden = bytes(hex);
    assert_eq!(decode(&golden), Ok(Message::View(view.clone())));
    for issues_permits in [false, true] {
        let view = Message::View(View { issues_permits, ..view.clone() });
        let sent = encode(&view).expect("it fits into a datagram");
        // The older build reads the part that it knows and ignores the rest.
        assert_eq!(sent, [&golden[..], &[u8::from(issues_permits)]].concat());
        // What a newer build appends is ignored.
        assert_eq!(decode(&[&sent[..], &[1, 2, 3]].concat()), Ok(view));
    }
}

/// A view, and its bytes as 4dd3d55 encodes it, which did not state yet whether a node reaches
/// targets.
struct OldView {
    view: View,
    hex: &'static str,
}

/// Layout of a view in 4dd3d55.
#[derive(Debug, PartialEq, Deserialize)]
struct View4dd3d55 {
    loads: Vec<(String, u32)>,
    down: Vec<(String, bool)>,
    refusing: Vec<String>,
    declining: Vec<String>,
    fence: u64,
    checks_keys: bool,
}

impl View4dd3d55 {
    /// Returns a view of the present layout as 4dd3d55 reads it.
    fn new(view: &View) -> Self {
        let names = |names: &[site::TargetKey]| names.iter().map(ToString::to_string).collect();
        Self {
            loads: view.loads.iter().map(|(id, load)| (id.to_string(), *load)).collect(),
            down: view.down.iter().map(|(id, mute)| (id.to_string(), *mute)).collect(),
            refusing: names(&view.refusing),
            declining: names(&view.declining),
            fence: view.fence,
            checks_keys: view.checks_keys,
        }
    }
}

// Guards against a node that ignores the loads and the fencing numbers of nodes of an older build,
// because their views end before the fields that were appended since.
#[parameterized(
    empty = { OldView { view: View::default(), hex: "00000000000000" } },
    full = { OldView { view: some_view(), hex: VIEW_4DD3D55 } },
)]
fn views_of_4dd3d55_are_read_and_sent(case: OldView) {
    let golden = bytes(case.hex);
    let as_read = View { reaches_targets: false, ..case.view.clone() };
    assert_eq!(decode(&golden), Ok(Message::View(as_read)));
    let sent = encode(&Message::View(case.view.clone())).expect("it fits into a datagram");
    let (kind, read): (u32, View4dd3d55) = postcard::from_bytes(&sent).expect("4dd3d55 reads it");
    assert_eq!((kind, read), (0, View4dd3d55::new(&case.view)));
}

/// A message that cannot be read, and how it is counted.
struct Refused {
    bytes: Vec<u8>,
    kind: &'static str,
}

// Guards against a message of another build ending a node, or being taken for another message.
#[parameterized(
    nothing = { Refused { bytes: Vec::new(), kind: "none" } },
    unknown_kind = { Refused { bytes: vec![UNKNOWN_KIND, 1, 2, 3], kind: "unknown" } },
    short_view = { Refused { bytes: vec![0, 0, 0, 0], kind: "view" } },
    short_loan = { Refused { bytes: bytes("01056d6f64656c07"), kind: "loan-request" } },
    unknown_finding = { Refused { bytes: vec![EVIDENCE_KIND, 1, 9, UNKNOWN_KIND], kind: "evidence" } },
)]
fn other_messages_are_refused_by_kind(case: Refused) {
    let unreadable = decode(&case.bytes).expect_err("it cannot be read");
    assert_eq!(unreadable.kind(), case.kind, "{unreadable}");
}

// Guards against a log line for each message of a newer build.
#[test]
fn each_kind_is_logged_once() {
    let mut refusals = Refusals::default();
    let other = Unreadable::UnknownKind(u32::from(UNKNOWN_KIND) + 1);
    let unknown = Unreadable::UnknownKind(u32::from(UNKNOWN_KIND));
    let seen = [&unknown, &unknown, &other, &Unreadable::NoKind, &other, &unknown];
    let logged = seen.map(|unreadable| refusals.record(unreadable));
    assert_eq!(logged, [true, false, true, true, false, false]);
}

/// Value of a quarantine entry, and its bytes as c2cc6f3 and 4dd3d55 encode it.
struct Stored {
    trials: Option<u32>,
    hex: &'static str,
}

// Guards against a quarantine that nodes of the other build do not know.
#[parameterized(
    request = { Stored { trials: None, hex: "00fba2f3e1ae33" } },
    untried_part = { Stored { trials: Some(0), hex: "0100fba2f3e1ae33" } },
    part = { Stored { trials: Some(300), hex: "01ac02fba2f3e1ae33" } },
)]
fn stored_quarantines_keep_their_layout(case: Stored) {
    let value = Quarantine { trials: case.trials, until_unix_ms: 1_764_900_000_123 };
    let golden = bytes(case.hex);
    assert_eq!(Quarantine::decode(&golden), Ok(value));
    assert_eq!(value.encode(), golden);
    let extended = [&golden[..], &[1, 2, 3]].concat();
    assert_eq!(Quarantine::decode(&extended), Ok(value), "what a newer build appends is ignored");
}

// Guards against entries that nodes of the other build do not find, and against two leaders whose
// orders the engines cannot tell apart.
#[test]
fn stored_keys_and_fencing_numbers_are_the_same() {
    assert_eq!(stored::LEADER_KEY, "magnoliarun/leader");
    assert_eq!(stored::MARK_KEY, "magnoliarun/settled-era");
    let node = "10.1.0.40:7340".parse().expect("an address");
    assert_eq!(stored::node_key(node), "magnoliarun/nodes/10.1.0.40:7340");
    let key = "magnoliarun/quarantine/0000000000000abc";
    assert_eq!(stored::quarantine_key(0xabc), key);
    assert_eq!(stored::quarantined(key), Some(0xabc));
    assert_eq!(stored::fence_number(Position::new(0, 4711)), 4711);
    assert_eq!(stored::fence_number(Position::new(3, 4711)), FENCE);
}

// Guards against a request that counts as another one on nodes of the other build.
#[test]
fn fingerprints_are_the_same() {
    assert_eq!(suspect::fingerprint("o1", "/text/x?y=1", b"body"), 0xa83e_1fdc_9e28_bee0);
    assert_eq!(suspect::fingerprint("", "/", b""), 0xb1ca_70a7_1131_cf9e);
    assert_eq!(suspect::part_fingerprint("model", 0x5c1e_07a2), 0x8868_5f89_cfb3_17f8);
    // Builds up to e9c3740 know no parts with such ids.
    assert_eq!(
        suspect::named_part_fingerprint("model", b"5f2b7c019d3e4a688b10f7c2e6a95d34"),
        0x33f4_5e3a_c1ab_d3b4
    );
}

/// Returns headers with these names and values.
fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let pair = |&(name, value): &(&'static str, &'static str)| {
        (HeaderName::from_static(name), HeaderValue::from_static(value))
    };
    pairs.iter().map(pair).collect()
}

/// What a node states about a request that it forwards, and its headers as c2cc6f3 sends them.
struct Stated {
    statement: Statement,
    headers: HeaderMap,
}

// Guards against a forwarded request that runs at more targets than allowed, or counts twice for
// the retry budget.
#[parameterized(
    counted = { Stated {
        statement: Statement { attempts: Some(2), counted: true },
        headers: headers(&[("magnolia-attempts", "2"), ("magnolia-counted", "1")]),
    } },
    not_counted = { Stated {
        statement: Statement { attempts: Some(1), counted: false },
        headers: headers(&[("magnolia-attempts", "1")]),
    } },
)]
fn statements_of_c2cc6f3_are_read_and_sent(case: Stated) {
    assert_eq!(Statement::read(Origin::Node, &case.headers), case.statement);
    let mut sent = HeaderMap::new();
    case.statement.write(&mut sent);
    assert_eq!(sent, case.headers);
    assert_eq!(Statement::read(Origin::Caller, &case.headers), Statement::default());
}

// Guards against headers of a newer build that reach callers or targets through a node of this one.
#[test]
fn all_headers_between_nodes_are_removed() {
    let mut some = headers(&[
        ("magnolia-attempts", "2"),
        ("magnolia-target", "10.1.64.9:8080"),
        ("magnolia-of-a-newer-build", "1"),
        ("request-id", "r"),
    ]);
    remove_internal(&mut some);
    assert_eq!(some, headers(&[("request-id", "r")]));
}
