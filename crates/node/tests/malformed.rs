//! Targets and a store whose responses have heads that are not valid by the rules of HTTP.

mod entry;
mod site;

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use platform_standin::{Call, Connection, Cut, Document, Fault, Head, Route};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use site::{EVENTS, STATE_TIMEOUT, Site, view};
use yare::parameterized;

/// Time between two requests: targets are used again.
const PAUSE: Duration = Duration::from_millis(300);
/// Deadline of requests whose targets may give no answer.
const DEADLINE: Duration = Duration::from_secs(2);
/// Events after which an engine breaks off.
const CUT_AFTER: u64 = 5;
/// Maximum number of requests until one reaches a target.
const MAX_TURNS: usize = 8;
/// Time for which the store and calls to engines are answered with a malformed head.
const FAULT_TIME: Duration = Duration::from_secs(2);
/// Counter of the responses that this node has rejected.
const COUNTER: &str = "magnolia_malformed_responses";

/// What a caller may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// The head is no valid response: the node answers by itself.
    Malformed,
    /// The target sends no final response, and the node notices it by the end of the connection or
    /// of the time.
    Missing,
    /// The response of the target is valid.
    Valid,
    /// The head alone is valid: the response may be passed on without the bytes that follow.
    Bodiless,
}

use Expected::{Bodiless, Malformed, Missing, Valid};

/// A head, and what a caller may get.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    head: Head,
    expected: Expected,
}

const LENGTH: &[u8] = b"Content-Length: 20\r\n";
const CHUNKED: &[u8] = b"Transfer-Encoding: chunked\r\n";
const EVENT: &[u8] = b"id: 1\ndata: token 1\n\n";
const EVENT_LENGTH: &[u8] = b"Content-Type: text/event-stream\r\nContent-Length: 21\r\n";
const TEXT: &[u8] = b"twenty bytes of text";
const CHUNK: &[u8] = b"14\r\ntwenty bytes of text\r\n0\r\n\r\n";
const EVENT_CHUNK: &[u8] = b"15\r\nid: 1\ndata: token 1\n\n\r\n0\r\n\r\n";
const OK: &[u8] = b"HTTP/1.1 200 OK\r\n";

const fn case(name: &'static str, start: &'static [u8], fields: &'static [u8]) -> Case {
    let head = Head { start, fields, body: TEXT, closes: false };
    Case { name, head, expected: Malformed }
}

const fn with_body(case: Case, body: &'static [u8]) -> Case {
    Case { head: Head { body, ..case.head }, ..case }
}

const fn expecting(case: Case, expected: Expected) -> Case {
    Case { expected, ..case }
}

const fn without_final(name: &'static str, start: &'static [u8], closes: bool) -> Case {
    let head = Head { start, fields: b"", body: b"", closes };
    Case { name, head, expected: Missing }
}

/// Status codes that are not three digits from 100 to 999.
const STATUSES: &[Case] = &[
    case("status 000", b"HTTP/1.1 000 Unknown\r\n", LENGTH),
    case("status 0", b"HTTP/1.1 0 Unknown\r\n", LENGTH),
    case("status 099", b"HTTP/1.1 099 Unknown\r\n", LENGTH),
    case("status 1000", b"HTTP/1.1 1000 Unknown\r\n", LENGTH),
    case("status 20", b"HTTP/1.1 20 OK\r\n", LENGTH),
    case("status 2oo", b"HTTP/1.1 2oo OK\r\n", LENGTH),
    case("empty status", b"HTTP/1.1  OK\r\n", LENGTH),
];

/// Status codes of no class of HTTP.
const UNKNOWN_CLASSES: &[Case] = &[
    case("status 600", b"HTTP/1.1 600 Unknown\r\n", LENGTH),
    case(
        "status 700, not run",
        b"HTTP/1.1 700 Unknown\r\n",
        b"Content-Length: 20\r\nNot-Run: 1\r\n",
    ),
    case("status 999", b"HTTP/1.1 999 Unknown\r\n", LENGTH),
    case("status 999, chunked", b"HTTP/1.1 999 Unknown\r\n", CHUNKED),
];

const INFORMATIONAL: &[Case] = &[
    case(
        "unsolicited 101",
        b"HTTP/1.1 101 Switching Protocols\r\n",
        b"Connection: upgrade\r\nUpgrade: h2c\r\n",
    ),
    case(
        "unsolicited 101, not run",
        b"HTTP/1.1 101 Switching Protocols\r\n",
        b"Connection: upgrade\r\nUpgrade: h2c\r\nNot-Run: 1\r\n",
    ),
    case("101 without upgrade", b"HTTP/1.1 101 Switching Protocols\r\n", LENGTH),
    without_final("100 alone, closed", b"HTTP/1.1 100 Continue\r\n", true),
    without_final("103 alone, closed", b"HTTP/1.1 103 Early Hints\r\n", true),
    without_final("100 alone, open", b"HTTP/1.1 100 Continue\r\n", false),
];

const FINAL_AFTER_INFORMATIONAL: &[Case] = &[
    expecting(
        with_body(
            case(
                "100 before 200",
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
                EVENT_LENGTH,
            ),
            EVENT,
        ),
        Valid,
    ),
    expecting(
        with_body(
            case(
                "103 before 200",
                b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n",
                EVENT_LENGTH,
            ),
            EVENT,
        ),
        Valid,
    ),
    case("103 before 600", b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 Unknown\r\n", LENGTH),
];

const BODILESS: &[Case] = &[
    expecting(case("204 with a length", b"HTTP/1.1 204 No Content\r\n", LENGTH), Bodiless),
    expecting(
        with_body(case("204 in chunks", b"HTTP/1.1 204 No Content\r\n", CHUNKED), CHUNK),
        Bodiless,
    ),
    expecting(case("204 with bytes after it", b"HTTP/1.1 204 No Content\r\n", b""), Bodiless),
    expecting(case("304 with a length", b"HTTP/1.1 304 Not Modified\r\n", LENGTH), Bodiless),
    expecting(
        with_body(
            case("204 with a response after it", b"HTTP/1.1 204 No Content\r\n", b""),
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        ),
        Bodiless,
    ),
];

const VERSIONS: &[Case] = &[
    case("HTTP/0.9", b"HTTP/0.9 200 OK\r\n", LENGTH),
    case("HTTP/2.0", b"HTTP/2.0 200 OK\r\n", LENGTH),
    case("no head", b"<html>\r\n", b""),
    case("two status lines", b"HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n", LENGTH),
    case("1.0 in chunks", b"HTTP/1.0 200 OK\r\n", CHUNKED),
];

const FRAMING: &[Case] = &[
    case("two lengths", OK, b"Content-Length: 20\r\nContent-Length: 4\r\n"),
    case("list of lengths", OK, b"Content-Length: 20, 4\r\n"),
    case("negative length", OK, b"Content-Length: -1\r\n"),
    with_body(
        case("length and chunked", OK, b"Content-Length: 20\r\nTransfer-Encoding: chunked\r\n"),
        CHUNK,
    ),
    with_body(
        case("chunked and length", OK, b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"),
        CHUNK,
    ),
    with_body(case("unknown coding", OK, b"Transfer-Encoding: gzip, chunked\r\n"), CHUNK),
];

const FIELDS: &[Case] = &[
    case("space in a name", OK, b"Bad Name: x\r\nContent-Length: 20\r\n"),
    case("space after a name", OK, b"Content-Length : 20\r\n"),
    case("NUL in a name", OK, b"Na\0me: x\r\nContent-Length: 20\r\n"),
    case("NUL in a value", OK, b"Name: x\0y\r\nContent-Length: 20\r\n"),
    case("bare CR in a name", OK, b"Na\rme: x\r\nContent-Length: 20\r\n"),
    case("bare CR in a value", OK, b"Name: x\ry\r\nContent-Length: 20\r\n"),
    case("no colon", OK, b"Name\r\nContent-Length: 20\r\n"),
];

/// A whole, valid response that a caller received.
#[derive(Debug)]
struct Received {
    status: u16,
    /// Whether a target has signed it.
    is_signed: bool,
    body: Vec<u8>,
}

/// Returns the only response among all bytes of a connection; `None` if they are anything else.
fn parse(bytes: &[u8]) -> Option<Received> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let mut lines = head.split("\r\n");
    let status = lines.next()?.strip_prefix("HTTP/1.1 ")?.split(' ').next()?;
    let status =
        status.parse().ok().filter(|code| status.len() == 3 && (200..600).contains(code))?;
    let fields: Vec<(String, &str)> = lines
        .map(|line| line.split_once(':').map(|(name, value)| (name.to_lowercase(), value.trim())))
        .collect::<Option<_>>()?;
    let field = |name: &str| fields.iter().find(|field| field.0 == name).map(|field| field.1);
    let rest = &bytes[end + 4..];
    let body = match (field("content-length"), field("transfer-encoding")) {
        _ if matches!(status, 204 | 304) => rest.is_empty().then(Vec::new),
        (Some(length), None) => (length.parse() == Ok(rest.len())).then(|| rest.to_vec()),
        (None, Some("chunked")) => rest.ends_with(b"0\r\n\r\n").then(|| rest.to_vec()),
        _ => None,
    }?;
    Some(Received { status, is_signed: field("response-stamp").is_some(), body })
}

/// Sends a request on a connection of its own and returns all bytes that come back.
fn exchange(node: SocketAddr, route: Route, id: &str) -> Vec<u8> {
    let call = Call { deadline: DEADLINE, ..Call::new(route, id) };
    let mut connection = Connection::open(node).expect("a connection");
    let fields = format!("Connection: close\r\nContent-Length: {}\r\n", call.body.len());
    let request = Connection::head(&call, &fields) + call.body;
    connection.send(request.as_bytes()).expect("it is sent");
    connection.read_to_end().unwrap_or_default()
}

fn is_idempotent(route: Route) -> bool {
    matches!(route, Route::Safe | Route::Resumable)
}

/// Returns whether a caller may get this after `runs` runs of its request.
fn is_allowed(expected: Expected, route: Route, received: Option<&Received>, runs: usize) -> bool {
    let Some(received) = received else { return false };
    let is_own = match received.status {
        502 | 504 => !received.is_signed,
        503 => runs == 0 && !received.is_signed,
        _ => false,
    };
    let is_valid = match expected {
        Malformed | Missing => false,
        Valid => received.status == 200 && received.is_signed,
        Bodiless => matches!(received.status, 204 | 304) && received.body.is_empty(),
    };
    (is_own && expected != Valid || is_valid) && (is_idempotent(route) || runs <= 1)
}

/// Sends requests on a route until one has reached a target, and returns what was received for the
/// last one and for all that was not allowed.
fn ask(site: &Site, node: usize, case: &Case, route: Route, id: &str, bad: &mut Vec<String>) {
    for turn in 0..MAX_TURNS {
        let id = format!("{id}-{turn}-");
        let bytes = exchange(site.nodes[node].front, route, &id);
        let received = parse(&bytes);
        let runs = site.runs(&id).len();
        let first_line = String::from_utf8_lossy(&bytes);
        let first_line = first_line.lines().next().unwrap_or("nothing");
        let signed = received.as_ref().is_some_and(|received| received.is_signed);
        let row = format!("{} | {id} | {first_line} | signed {signed} | runs {runs}", case.name);
        let verdict =
            if is_allowed(case.expected, route, received.as_ref(), runs) { "ok" } else { "BAD" };
        println!("{verdict} | {row}");
        if verdict == "BAD" {
            bad.push(row);
        }
        if runs > 0 {
            return;
        }
        sleep(PAUSE);
    }
    bad.push(format!("{} | {id} | no request reached a target", case.name));
}

fn targets(site: &Site, route: Route) -> &[SocketAddr] {
    match route {
        Route::Safe | Route::Unsafe => &site.plain,
        Route::Resumable | Route::Stream => &site.engines,
    }
}

/// Waits until a request is served, which leaves a connection to its target open.
fn assert_serves(site: &Site, node: usize, route: Route) {
    let mut turn = 0;
    let is_served = site.platform.wait(STATE_TIMEOUT, || {
        turn += 1;
        let bytes = exchange(site.nodes[node].front, route, &format!("sound-{turn}"));
        parse(&bytes).is_some_and(|received| received.status == 200)
    });
    assert!(is_served, "{route:?} is served again");
}

/// Checks that no connection was used after a malformed head, and that each such head was recorded
/// once.
fn check_records(site: &Site, cases: &[Case], bad: &mut Vec<String>) {
    let reused = site.platform.reused_after();
    println!("reused {}", reused.len());
    for case in cases.iter().filter(|case| case.expected != Valid) {
        if reused.contains(&case.head) {
            bad.push(format!("{}: its connection is used again", case.name));
        }
    }
    if cases.iter().all(|case| matches!(case.expected, Malformed | Bodiless)) {
        let recorded: u64 = (0..site.nodes.len()).map(|node| site.counter(node, COUNTER)).sum();
        let sent = site.platform.rewritten_count() as u64;
        println!("sent {sent}, recorded {recorded}");
        if recorded != sent {
            bad.push(format!("{recorded} of {sent} malformed heads are recorded"));
        }
    }
}

// Guards against a response that is passed to a caller although its head is not valid, against one
// that counts as a refusal, and against a connection that is used again after it.
#[parameterized(
    statuses = { 70, STATUSES },
    unknown_classes = { 71, UNKNOWN_CLASSES },
    informational = { 72, INFORMATIONAL },
    final_after_informational = { 73, FINAL_AFTER_INFORMATIONAL },
    bodiless = { 74, BODILESS },
    versions = { 75, VERSIONS },
    framing = { 76, FRAMING },
    fields = { 77, FIELDS },
)]
fn malformed_head_of_a_target_reaches_no_caller(number: u8, cases: &[Case]) {
    let site = Site::start(number, 1, &Document::default());
    let mut bad = Vec::new();
    for case in cases {
        for route in Route::ALL {
            // A connection to the target is open from the request before.
            assert_serves(&site, 0, route);
            site.set_fault(targets(&site, route), Fault::Responds(case.head));
            let slug =
                format!("{}{}", route.prefix().trim_matches('/'), case.name.replace(' ', "_"));
            ask(&site, 0, case, route, &format!("kept-{slug}"), &mut bad);
            // The connections were closed.
            sleep(PAUSE);
            ask(&site, 0, case, route, &format!("first-{slug}"), &mut bad);
            site.set_fault(targets(&site, route), Fault::None);
            sleep(PAUSE);
        }
    }
    check_records(&site, cases, &mut bad);
    assert!(bad.is_empty(), "{bad:#?}");
}

/// One head of each way in which a head is rejected.
const SAMPLE: &[Case] = &[STATUSES[0], UNKNOWN_CLASSES[1], INFORMATIONAL[0], FRAMING[3], FIELDS[2]];

// Guards against a malformed response to a request that may be repeated ending it although another
// target would serve it.
#[test]
fn idempotent_request_is_served_by_another_target() {
    let site = Site::start(78, 1, &Document::default());
    for case in SAMPLE {
        let before = site.platform.rewritten_count();
        for turn in 0..MAX_TURNS * 2 {
            let (faulty, sound) = (site.plain[turn % 2], site.plain[(turn + 1) % 2]);
            site.platform.set_fault(faulty, Fault::Responds(case.head));
            site.platform.set_fault(sound, Fault::None);
            let id = format!("{}-{turn}-", case.name.replace(' ', "_"));
            let received = parse(&exchange(site.nodes[0].front, Route::Safe, &id));
            let runs = site.runs(&id).len();
            let is_served = received.as_ref().is_some_and(|received| received.status == 200);
            assert!(is_served && runs <= 2, "{id}: {received:?} after {runs} runs");
            sleep(PAUSE);
        }
        assert!(site.platform.rewritten_count() > before, "{}: no target sent it", case.name);
    }
    assert!(site.platform.reused_after().is_empty());
}

// Guards against the same where another node sends the request to the target.
#[test]
fn malformed_head_reaches_no_caller_of_another_node() {
    let site = Site::start_with_views(79, 3, &Document::default());
    site.platform.set_cut(&view(&site.nodes[0]), Some(Cut::Refuse));
    let mut bad = Vec::new();
    for case in SAMPLE {
        for route in Route::ALL {
            assert_serves(&site, 0, route);
            site.set_fault(targets(&site, route), Fault::Responds(case.head));
            let slug =
                format!("{}{}", route.prefix().trim_matches('/'), case.name.replace(' ', "_"));
            ask(&site, 0, case, route, &format!("other-{slug}"), &mut bad);
            site.set_fault(targets(&site, route), Fault::None);
            sleep(PAUSE);
        }
    }
    check_records(&site, SAMPLE, &mut bad);
    assert!(bad.is_empty(), "{bad:#?}");
}

// Guards against a stream that goes on with a malformed response, or ends as if it were whole,
// because the engine that resumes it sends one.
#[test]
fn stream_is_not_resumed_by_a_malformed_head() {
    let document = Document { attempts: 4, ..Document::default() };
    let site = Site::start(89, 1, &document);
    let first = site.path("probe")[0];
    let others = site.engines.iter().copied().filter(|engine| *engine != first);
    let others: Vec<SocketAddr> = others.collect();
    for case in SAMPLE {
        let before = site.platform.rewritten_count();
        site.set_fault(&[first], Fault::Cuts(CUT_AFTER));
        site.set_fault(&others, Fault::Responds(case.head));
        for turn in 0..MAX_TURNS {
            let id = format!("{}-{turn}-", case.name.replace(' ', "_"));
            let reply = site.ask(0, Route::Resumable, &id);
            let is_prefix = reply.events.iter().copied().eq(1..=reply.events.len() as u64);
            assert!(is_prefix && reply.other_lines.is_empty(), "{id}: {reply:?}");
            let is_cut = reply.status == Some(200) && !reply.ended;
            let is_own = reply.stamp.is_none() && reply.status.is_some_and(|status| status >= 500);
            let is_whole = reply.is_complete(EVENTS);
            assert!(is_cut || is_own || is_whole, "{id}: {reply:?}");
            let is_refusal = reply.status == Some(503);
            assert!(!is_refusal || site.runs(&id).is_empty(), "{id}: {reply:?}");
            sleep(PAUSE);
        }
        assert!(site.platform.rewritten_count() > before, "{}: no engine sent it", case.name);
        // The engines are sound again: streams that break off go on elsewhere.
        site.set_fault(&others, Fault::None);
        assert_serves(&site, 0, Route::Resumable);
    }
    assert!(site.platform.reused_after().is_empty());
}

// Guards against a call to the store or to an engine that takes a malformed head for an answer, and
// against a connection that is used again after it.
#[parameterized(
    store_statuses = { 80, true, STATUSES },
    store_unknown_classes = { 81, true, UNKNOWN_CLASSES },
    store_informational = { 82, true, &[INFORMATIONAL[0], INFORMATIONAL[2]] },
    store_framing = { 83, true, FRAMING },
    calls_statuses = { 84, false, STATUSES },
    calls_unknown_classes = { 85, false, UNKNOWN_CLASSES },
    calls_informational = { 86, false, &[INFORMATIONAL[0], INFORMATIONAL[2]] },
    calls_framing = { 87, false, FRAMING },
)]
fn malformed_head_is_no_answer_to_a_call(number: u8, is_store: bool, cases: &[Case]) {
    let site = Site::start(number, 1, &Document::default());
    let mut bad = Vec::new();
    for case in cases {
        let before = site.platform.rewritten_count();
        match is_store {
            true => site.platform.set_store_head(Some(case.head)),
            false => site.set_fault(&site.engines, Fault::RespondsToCalls(case.head)),
        }
        let until = Instant::now() + FAULT_TIME;
        for turn in 0.. {
            if Instant::now() > until {
                break;
            }
            let id = format!("{}-{turn}-", case.name.replace(' ', "_"));
            let received = parse(&exchange(site.nodes[0].front, Route::Resumable, &id));
            let runs = site.runs(&id).len();
            if !is_store && !is_allowed(Malformed, Route::Resumable, received.as_ref(), runs) {
                bad.push(format!("{id}: {received:?} after {runs} runs"));
            }
            sleep(PAUSE);
        }
        site.platform.set_store_head(None);
        site.set_fault(&site.engines, Fault::None);
        let sent = site.platform.rewritten_count() - before;
        println!("{} | {sent} calls", case.name);
        assert!(sent > 0, "{}: calls are sent", case.name);
        for route in Route::ALL {
            assert_serves(&site, 0, route);
        }
    }
    check_records(&site, cases, &mut bad);
    assert!(bad.is_empty(), "{bad:#?}");
}

/// Seed of the random heads.
const FUZZ_SEED: [u8; 32] = [67; 32];
/// Number of random heads, which are sent on one route after the other.
const FUZZ_CASES: usize = 160;
/// Maximum number of random bytes in the place of a head.
const MAX_RANDOM_BYTES: usize = 80;
/// Maximum number of changes to a valid head.
const MAX_MUTATIONS: usize = 3;

/// Valid heads, which are changed at random: start, fields and body.
const VALID_HEADS: [(&[u8], &[u8], &[u8]); 6] = [
    (OK, EVENT_LENGTH, EVENT),
    (OK, CHUNKED, EVENT_CHUNK),
    (OK, b"X-Field: x\r\nContent-Length: 21\r\n", EVENT),
    (b"HTTP/1.1 204 No Content\r\n", b"", b""),
    (b"HTTP/1.1 404 Not Found\r\n", LENGTH, TEXT),
    (b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n", EVENT_LENGTH, EVENT),
];

/// Fields that state where a body ends, or that there is another protocol.
const FRAMING_FIELDS: &[&[u8]] = &[
    LENGTH,
    EVENT_LENGTH,
    CHUNKED,
    b"Content-Length: 0\r\n",
    b"Transfer-Encoding: gzip\r\n",
    b"Transfer-Encoding: identity\r\n",
    b"Connection: upgrade\r\nUpgrade: h2c\r\n",
];

/// A change to a head at a place, which is taken modulo the length of the head.
#[derive(Clone, Copy, Debug)]
enum Mutation {
    Replace(usize, u8),
    Insert(usize, u8),
    Remove(usize),
    /// Repeats the rest of the line.
    Repeat(usize),
    /// Replaces the status line.
    Status(u16),
    /// Adds a field that changes what the head means.
    Field(&'static [u8]),
}

impl Mutation {
    fn apply(self, bytes: &mut Vec<u8>) {
        let length = bytes.len().max(1);
        match self {
            Mutation::Status(status) => *bytes = format!("HTTP/1.1 {status:03} X\r\n").into_bytes(),
            Mutation::Field(field) => bytes.extend(field),
            Mutation::Insert(place, byte) => bytes.insert(place % length, byte),
            _ if bytes.is_empty() => {}
            Mutation::Replace(place, byte) => bytes[place % length] = byte,
            Mutation::Remove(place) => drop(bytes.remove(place % length)),
            Mutation::Repeat(place) => {
                let from = place % length;
                let rest = &bytes[from..];
                let end =
                    rest.iter().position(|byte| *byte == b'\n').map_or(rest.len(), |at| at + 1);
                let line = rest[..end].to_vec();
                bytes.splice(from..from, line);
            }
        }
    }
}

/// Returns the bytes that matter to a parser more often than others.
fn byte() -> impl Strategy<Value = u8> {
    prop_oneof![any::<u8>(), prop::sample::select(&b"\0\r\n\t :;,0123456789"[..])]
}

/// Returns status codes of all classes that have no meaning of their own to a node, and others.
fn status() -> impl Strategy<Value = u16> {
    prop_oneof![
        0..200_u16,
        600..1200_u16,
        prop::sample::select(&[200, 201, 299, 400, 404, 500][..])
    ]
}

/// Returns changes to a status line.
fn of_start() -> impl Strategy<Value = Mutation> {
    prop_oneof![mutation(), status().prop_map(Mutation::Status)]
}

/// Returns changes to fields.
fn of_fields() -> impl Strategy<Value = Mutation> {
    prop_oneof![mutation(), prop::sample::select(FRAMING_FIELDS).prop_map(Mutation::Field)]
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let place = any::<usize>();
    prop_oneof![
        (place, byte()).prop_map(|(place, byte)| Mutation::Replace(place, byte)),
        (place, byte()).prop_map(|(place, byte)| Mutation::Insert(place, byte)),
        place.prop_map(Mutation::Remove),
        place.prop_map(Mutation::Repeat),
    ]
}

fn leaked(bytes: Vec<u8>) -> &'static [u8] {
    Vec::leak(bytes)
}

/// Returns heads of random bytes, which end the connection, and changed valid heads.
fn random_head() -> impl Strategy<Value = Head> {
    let random = prop::collection::vec(byte(), 0..MAX_RANDOM_BYTES).prop_map(|bytes| Head {
        start: leaked(bytes),
        fields: b"",
        body: TEXT,
        closes: true,
    });
    let of_start = prop::collection::vec(of_start(), 0..MAX_MUTATIONS);
    let of_fields = prop::collection::vec(of_fields(), 0..MAX_MUTATIONS);
    let valid = prop::sample::select(&VALID_HEADS[..]);
    let changed = (valid, of_start, of_fields, any::<bool>()).prop_map(
        |((start, fields, body), of_start, of_fields, closes)| {
            let (mut start, mut fields) = (start.to_vec(), fields.to_vec());
            of_start.into_iter().for_each(|mutation| mutation.apply(&mut start));
            of_fields.into_iter().for_each(|mutation| mutation.apply(&mut fields));
            Head { start: leaked(start), fields: leaked(fields), body, closes }
        },
    );
    prop_oneof![1 => random, 3 => changed]
}

fn escaped(head: &Head) -> String {
    [head.start, head.fields].concat().escape_ascii().to_string()
}

// Guards against heads that nobody thought of: a caller gets a whole, valid response, a request that
// has run is not said to be refused, and no connection is used after a head that was rejected.
#[test]
fn random_head_reaches_no_caller() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &FUZZ_SEED);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let site = Site::start(88, 1, &Document::default());
    let (mut bad, mut rejected) = (Vec::new(), Vec::new());
    for turn in 0..FUZZ_CASES {
        let head = random_head().new_tree(&mut runner).expect("a head").current();
        let route = Route::ALL[turn % Route::ALL.len()];
        assert_serves(&site, 0, route);
        site.set_fault(targets(&site, route), Fault::Responds(head));
        let id = format!("{}{turn}-", route.prefix().trim_matches('/'));
        let bytes = exchange(site.nodes[0].front, route, &id);
        let (received, runs) = (parse(&bytes), site.runs(&id).len());
        // A valid head whose body is no whole event: the stream has begun, and is cut.
        let is_stream = matches!(route, Route::Resumable | Route::Stream);
        let is_cut = is_stream && received.is_none() && bytes.starts_with(OK);
        let is_valid = is_cut || received.as_ref().is_some_and(|received| received.is_signed);
        let is_ok = is_valid && (is_idempotent(route) || runs <= 1)
            || is_allowed(Malformed, route, received.as_ref(), runs);
        if !is_ok {
            let head = escaped(&head);
            bad.push(format!("{id} {head}: {received:?} after {runs} runs"));
        }
        if !is_valid && runs > 0 {
            rejected.push((id, head));
        }
        site.set_fault(targets(&site, route), Fault::None);
    }
    let reused = site.platform.reused_after();
    let reused = rejected.iter().filter(|(_, head)| reused.contains(head));
    bad.extend(
        reused.map(|(id, head)| format!("{id} {}: its connection is used again", escaped(head))),
    );
    println!("{} of {FUZZ_CASES} heads are rejected", rejected.len());
    assert!(rejected.len() > FUZZ_CASES / 4, "{} heads are rejected", rejected.len());
    assert!(bad.is_empty(), "{bad:#?}");
}
