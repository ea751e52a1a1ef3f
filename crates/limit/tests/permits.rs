//! Permits of targets that limit the requests per second: single decisions as tables, and the sum
//! over all VMs in a simulated network that delays and loses messages, while VMs join, end, freeze
//! and are cut off.

mod permits {
    pub(crate) mod network;
}

use std::net::SocketAddr;
use std::time::Duration;

use limit::permit::{Answer, Class, Decision, Outgoing, Permits, Request, Verdict, Word};
use permits::network::{CONTACT, Network, Plan};
use site::Rate;
use yare::parameterized;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn vm(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1000 + index))
}

fn target() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], 80))
}

fn rate(per_second: f64) -> Option<Rate> {
    Rate::new(per_second)
}

/// Returns the state of a single VM whose target has named this limit long before 10 s.
fn single(per_second: f64) -> Permits {
    let mut permits = Permits::new(vm(0), CONTACT);
    permits.set_issuing(true);
    permits.record_statement(ms(1), target(), ms(0), rate(per_second));
    permits
}

fn is_granted(decision: &Decision) -> bool {
    *decision == Decision::Granted(Duration::ZERO)
}

/// Requests of one class, as many as are granted, from 10 s on.
struct Flow {
    per_second: f64,
    class: Class,
    /// Calls in the second before the limit was named.
    before: u64,
    period: Duration,
    /// Least and largest number of calls that may be granted.
    granted: (usize, usize),
}

// Guards against a limit that one VM exceeds or wastes.
#[parameterized(
    whole = { Flow { per_second: 10.0, class: Class::Request, before: 0, period: ms(4000), granted: (38, 42) } },
    fraction = { Flow { per_second: 0.5, class: Class::Request, before: 0, period: ms(8000), granted: (3, 5) } },
    none = { Flow { per_second: 0.0, class: Class::Request, before: 0, period: ms(12_000), granted: (2, 4) } },
    tiny = { Flow { per_second: 0.0001, class: Class::Request, before: 0, period: ms(12_000), granted: (2, 4) } },
    immense = { Flow { per_second: 1e300, class: Class::Request, before: 0, period: ms(100), granted: (79, 100) } },
    half_of_before = { Flow { per_second: 10.0, class: Class::Request, before: 20, period: ms(4000), granted: (36, 42) } },
    far_below_before = { Flow { per_second: 1.0, class: Class::Request, before: 40, period: ms(3000), granted: (0, 0) } },
    calls = { Flow { per_second: 10.0, class: Class::Call, before: 0, period: ms(4000), granted: (38, 45) } },
)]
fn limit_is_used_and_kept(flow: Flow) {
    let mut permits = Permits::new(vm(0), CONTACT);
    permits.set_issuing(true);
    for call in 0..flow.before {
        permits.record_sent(ms(9000 + call * 1000 / flow.before), target());
    }
    permits.record_statement(ms(10_000), target(), ms(9_950), rate(flow.per_second));
    let tries = flow.period.as_millis() as u64;
    let granted = (0..tries).filter(|step| {
        let decision = permits.decide(ms(10_000 + step), target(), flow.class, Duration::ZERO);
        is_granted(&decision)
    });
    let granted = granted.count();
    assert!((flow.granted.0..=flow.granted.1).contains(&granted), "{granted} granted");
}

#[test]
fn target_without_a_limit_needs_no_permit() {
    let mut permits = Permits::new(vm(0), CONTACT);
    assert_eq!(permits.decide(ms(1), target(), Class::Request, ms(0)), Decision::Free);
    permits.record_sent(ms(1), target());
    assert_eq!(permits.decide(ms(2), target(), Class::Request, ms(0)), Decision::Free);
}

/// What an answer says of a limit that was named at 10 s, and whether it is still in force then.
struct Said {
    sent_at: Duration,
    at: Duration,
    rate: Option<f64>,
    expected: Option<f64>,
}

// Guards against a limit that ends by an answer from before it, or does not end.
#[parameterized(
    ends = { Said { sent_at: ms(10_010), at: ms(10_060), rate: None, expected: None } },
    older_answer = { Said { sent_at: ms(9_990), at: ms(10_060), rate: None, expected: Some(5.0) } },
    other_figure = { Said { sent_at: ms(10_010), at: ms(10_060), rate: Some(8.0), expected: Some(8.0) } },
)]
fn answers_change_the_limit(said: Said) {
    let mut permits = single(5.0);
    permits.record_statement(ms(10_000), target(), ms(9_950), rate(5.0));
    permits.record_statement(said.at, target(), said.sent_at, said.rate.and_then(Rate::new));
    assert_eq!(permits.limit(target()).map(Rate::per_second), said.expected);
}

// Guards against a limit that a target's successor at its address inherits.
#[test]
fn successor_has_no_limit() {
    let mut permits = single(0.0);
    permits.forget(ms(11_000), target());
    assert_eq!(permits.limit(target()), None);
    assert_eq!(permits.decide(ms(11_000), target(), Class::Request, ms(0)), Decision::Free);
}

// Guards against streams that cannot resume because new requests have used up the limit.
#[test]
fn streams_resume_ahead_of_new_requests() {
    let mut permits = single(4.0);
    while is_granted(&permits.decide(ms(10_000), target(), Class::Request, ms(0))) {}
    assert!(is_granted(&permits.decide(ms(10_000), target(), Class::Resumption, ms(0))));
}

// Guards against a VM's own calls that take the limit from callers' requests.
#[test]
fn own_calls_leave_the_limit_to_requests() {
    let mut permits = single(10.0);
    let (mut requests, mut calls) = (0, 0);
    for step in 0..4000 {
        let now = ms(10_000 + step);
        calls += usize::from(is_granted(&permits.decide(now, target(), Class::Call, ms(0))));
        requests += usize::from(is_granted(&permits.decide(now, target(), Class::Request, ms(0))));
    }
    assert!(requests >= 30 && (2..=9).contains(&calls), "{requests} requests, {calls} calls");
}

// Guards against a target with a low limit that stays left out, because requests use the limit and
// its probes get no permit.
#[test]
fn own_calls_go_on_beside_requests_at_a_low_limit() {
    let mut permits = single(1.0);
    let calls = (0..4500).filter(|step| {
        let now = ms(10_000 + step);
        permits.decide(now, target(), Class::Request, ms(0));
        is_granted(&permits.decide(now, target(), Class::Call, ms(0)))
    });
    assert!(calls.count() >= 2);
}

#[test]
fn orders_are_counted_and_never_denied() {
    let mut permits = single(1.0);
    for _ in 0..9 {
        assert!(is_granted(&permits.decide(ms(10_000), target(), Class::Order, ms(0))));
    }
    assert!(!is_granted(&permits.decide(ms(10_000), target(), Class::Request, ms(0))));
}

// Guards against a permit that is lost with a connection that could not be established.
#[test]
fn permit_that_was_not_used_serves_the_next_request() {
    let mut permits = single(1.0);
    assert!(is_granted(&permits.decide(ms(10_000), target(), Class::Request, ms(0))));
    assert!(!is_granted(&permits.decide(ms(10_100), target(), Class::Request, ms(0))));
    permits.give_back(ms(10_100), target());
    assert!(is_granted(&permits.decide(ms(10_150), target(), Class::Request, ms(0))));
    permits.give_back(ms(10_200), target());
    assert!(!is_granted(&permits.decide(ms(10_500), target(), Class::Request, ms(0))));
}

// Guards against requests that wait although nothing can be granted in their time, and against two
// that wait for the same permit.
#[test]
fn requests_wait_in_turn() {
    let mut permits = single(10.0);
    while is_granted(&permits.decide(ms(10_000), target(), Class::Request, ms(0))) {}
    let mut wait = || permits.decide(ms(10_100), target(), Class::Request, ms(150));
    let waits = [wait(), wait(), wait()];
    let Decision::Granted(first) = waits[0] else { panic!("{waits:?}") };
    assert_eq!(waits[1], Decision::Granted(first + ms(100)), "{waits:?}");
    assert!(matches!(waits[2], Decision::Denied(left) if left > ms(150)), "{waits:?}");
}

/// Two VMs that hear each other, the issuer of the target first.
fn pair() -> [Permits; 2] {
    let both = [vm(0), vm(1)];
    let state = |index: usize| {
        let mut permits = Permits::new(both[index], CONTACT);
        permits.set_issuing(true);
        permits.set_registered([both[1 - index]].into());
        permits.record_issuing(both[1 - index], true, ms(60_000));
        permits.record_statement(ms(10_000), target(), ms(9_950), rate(4.0));
        permits
    };
    let mut pair = [state(0), state(1)];
    if let Decision::Ask(..) = pair[0].decide(ms(10_000), target(), Class::Call, ms(0)) {
        pair.reverse();
    }
    pair
}

/// What the issuer does while the other VM wants to send a request.
#[derive(Clone, Copy)]
enum Issuer {
    Answers,
    Stops,
    IsSilent,
    KnowsTheEnd,
}

// Guards against requests that are sent without a permit when the issuer does not give one, and
// against a VM that goes on asking.
#[parameterized(
    answers = { Issuer::Answers, Some(true) },
    stops = { Issuer::Stops, Some(false) },
    is_silent = { Issuer::IsSilent, Some(false) },
    knows_the_end = { Issuer::KnowsTheEnd, None },
)]
fn issuer_decides(issuer: Issuer, granted: Option<bool>) {
    let [mut first, mut second] = pair();
    let now = ms(12_000);
    match issuer {
        Issuer::Stops => first.set_issuing(false),
        Issuer::KnowsTheEnd => {
            first.record_statement(ms(11_900), target(), ms(11_850), None);
        }
        Issuer::Answers | Issuer::IsSilent => {}
    }
    let Decision::Ask(_, request) = second.decide(now, target(), Class::Request, ms(0)) else {
        panic!("the issuer is asked")
    };
    let answer = first.answer(now, &request);
    let decision = match issuer {
        Issuer::IsSilent => second.record_silence(now, &request),
        _ => second.accept(now, vm(0), &request, &answer),
    };
    match granted {
        Some(true) => assert!(is_granted(&decision), "{decision:?}"),
        Some(false) => {
            assert!(matches!(decision, Decision::Denied(_)), "{decision:?}");
            let again = second.decide(now + ms(10), target(), Class::Request, ms(0));
            assert!(matches!(again, Decision::Denied(_)), "{again:?}");
        }
        None => {
            assert_eq!(decision, Decision::Free);
            assert_eq!(second.limit(target()), None);
        }
    }
}

// Guards against a limit of which each VM takes its own copy: the issuer counts what the others
// sent before they knew.
#[test]
fn issuer_counts_what_others_have_sent() {
    let [mut first, mut second] = pair();
    for call in 0..40 {
        second.record_sent(ms(9_000 + call * 30), target());
    }
    let Decision::Ask(_, request) = second.decide(ms(10_500), target(), Class::Request, ms(0))
    else {
        panic!("the issuer is asked")
    };
    let answer = first.answer(ms(10_500), &request);
    assert!(matches!(answer, Answer { verdict: Verdict::Denied(_), .. }), "{answer:?}");
}

// Guards against numbers in a message that end the process or keep a request forever.
#[parameterized(
    granted = { Verdict::Granted(u64::MAX) },
    denied = { Verdict::Denied(u64::MAX) },
)]
fn absurd_answers_are_bounded(verdict: Verdict) {
    let [mut first, mut second] = pair();
    let now = ms(12_000);
    let Decision::Ask(_, request) = second.decide(now, target(), Class::Request, ms(100)) else {
        panic!("the issuer is asked")
    };
    let word = Word { rate: Rate::new(1e300), age_ms: u64::MAX, named_ms: u64::MAX };
    let answer = Answer { target: target(), number: request.number, verdict, word };
    match second.accept(now, vm(0), &request, &answer) {
        Decision::Granted(wait) => assert!(wait <= ms(100)),
        decision => assert!(matches!(decision, Decision::Denied(wait) if wait <= ms(4_000))),
    }
    let sent = vec![u16::MAX; 600];
    let absurd = Request { patience_ms: u64::MAX, word, sent, ..request };
    for _ in 0..3 {
        first.answer(now, &absurd);
    }
    assert!(matches!(first.decide(now, target(), Class::Request, ms(0)), Decision::Denied(_)));
}

/// Returns the calls that a VM tells the issuer of with a request.
fn sent_with_request(permits: &mut Permits) -> Vec<u16> {
    match permits.decide(ms(10_220), target(), Class::Request, ms(0)) {
        Decision::Ask(_, request) => request.sent,
        decision => panic!("{decision:?}"),
    }
}

// Guards against calls that an issuer counts twice, once told of them when the limit was named and
// once with the first request: it denied permits for seconds.
#[test]
fn issuer_is_told_once_what_was_sent() {
    let [mut first, mut second] = pair();
    second.record_sent(ms(10_100), target());
    second.record_statement(ms(10_200), target(), ms(10_100), rate(6.0));
    let outbox = second.take_outbox();
    let Some((issuer, Outgoing::Notice(notice))) = outbox.last() else { panic!("{outbox:?}") };
    assert_eq!(notice.sent, [1]);
    let answer = first.answer(ms(10_210), notice);
    assert_eq!(sent_with_request(&mut second), [1], "without an answer, they are told again");
    second.record_answer(*issuer, &answer);
    assert!(sent_with_request(&mut second).is_empty());
}

/// A simulated fleet under a limit.
struct Fleet {
    plan: Plan,
    seeds: u64,
    /// Least share of the limit that is used.
    used: f64,
}

const CALM: Plan = Plan {
    vms: 4,
    per_second: 10.0,
    demand: 40.0,
    loss: 0.0,
    joins: false,
    ends: false,
    freezes: false,
    cuts: false,
};

// Guards against VMs that together send more than the limit, and against a limit of which most is
// wasted.
#[parameterized(
    calm = { Fleet { plan: CALM, seeds: 6, used: 0.8 } },
    single = { Fleet { plan: Plan { vms: 1, ..CALM }, seeds: 5, used: 0.8 } },
    many_share_few = { Fleet { plan: Plan { vms: 118, per_second: 17.0, demand: 120.0, ..CALM }, seeds: 1, used: 0.7 } },
    one_a_second = { Fleet { plan: Plan { vms: 24, per_second: 1.0, ..CALM }, seeds: 5, used: 0.6 } },
    lossy = { Fleet { plan: Plan { loss: 0.1, ..CALM }, seeds: 6, used: 0.5 } },
    joins = { Fleet { plan: Plan { joins: true, ..CALM }, seeds: 8, used: 0.5 } },
    ends = { Fleet { plan: Plan { ends: true, ..CALM }, seeds: 8, used: 0.3 } },
    freezes = { Fleet { plan: Plan { freezes: true, ..CALM }, seeds: 8, used: 0.3 } },
    cuts = { Fleet { plan: Plan { vms: 6, cuts: true, ..CALM }, seeds: 8, used: 0.3 } },
    all = { Fleet { plan: Plan { vms: 12, loss: 0.05, joins: true, ends: true, freezes: true, cuts: true, ..CALM }, seeds: 8, used: 0.2 } },
    all_few = { Fleet { plan: Plan { vms: 12, per_second: 1.0, loss: 0.05, joins: true, ends: true, freezes: true, cuts: true, ..CALM }, seeds: 8, used: 0.1 } },
)]
fn sum_over_all_vms_keeps_the_limit(fleet: Fleet) {
    for seed in 0..fleet.seeds {
        let mut network = Network::new(fleet.plan.clone(), seed);
        network.run();
        if let Some(excess) = network.excess() {
            panic!("seed {seed}: {excess:?}");
        }
        assert!(network.used() >= fleet.used, "seed {seed}: {} of the limit used", network.used());
    }
}
