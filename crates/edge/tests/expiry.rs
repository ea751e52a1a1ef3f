//! When a connection without a request in progress is closed.

use std::time::Duration;

use edge::{Expiry, Reason, announced_time};
use site::Limits;
use yare::parameterized;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limits(idle_timeout: Duration, head_timeout: Duration) -> Limits {
    Limits { idle_timeout, head_timeout, ..Limits::default() }
}

#[parameterized(
    by_the_grace = { ms(15_000), ms(8_000), 4 },
    by_the_idle_timeout = { ms(2_600), ms(8_000), 2 },
    whole_seconds = { ms(15_000), ms(7_900), 3 },
    by_what_a_stop_takes = { ms(15_000), ms(6_500), 2 },
    at_least_a_second = { ms(100), ms(8_000), 1 },
    no_timeout = { ms(0), ms(0), 1 },
)]
fn announced_time_fits_idle_timeout_and_grace(idle: Duration, grace: Duration, seconds: u64) {
    assert_eq!(announced_time(idle, grace), Duration::from_secs(seconds));
}

/// What happened on a connection since 1 s, when it was accepted.
#[derive(Clone, Copy)]
enum Event {
    Bytes(u64),
    Request,
    Answer(u64),
    AnswerBeforeBody(u64),
    Body(u64),
}

struct Case {
    events: &'static [Event],
    /// Idle and head timeout when the connection was accepted, milliseconds.
    before: (u64, u64),
    /// Those in force now.
    now: (u64, u64),
    /// Time at which the node was asked to stop, milliseconds.
    stop: Option<u64>,
    expected: Option<(u64, Reason)>,
}

const SAME: Case = Case {
    events: &[],
    before: (15_000, 3_000),
    now: (15_000, 3_000),
    stop: None,
    expected: Some((16_000, Reason::Idle)),
};

// Guards against a connection that is closed while its caller may use it, and one that is never
// closed.
#[parameterized(
    accepted = { SAME },
    in_progress = { Case { events: &[Event::Bytes(2), Event::Request], expected: None, ..SAME } },
    answered = { Case {
        events: &[Event::Request, Event::Answer(9_000)],
        expected: Some((24_000, Reason::Idle)),
        ..SAME
    } },
    idle_timeout_below_the_announced_time = { Case {
        events: &[Event::Request, Event::Answer(9_000)],
        before: (100, 3_000),
        now: (100, 3_000),
        expected: Some((14_000, Reason::Idle)),
        ..SAME
    } },
    longer_idle_timeout = { Case {
        now: (30_000, 3_000),
        expected: Some((31_000, Reason::Idle)),
        ..SAME
    } },
    shorter_idle_timeout = { Case { now: (5_000, 3_000), ..SAME } },
    head = { Case {
        events: &[Event::Bytes(7_000), Event::Bytes(9_000)],
        expected: Some((10_000, Reason::SlowHead)),
        ..SAME
    } },
    longer_head_timeout = { Case {
        events: &[Event::Bytes(7_000)],
        now: (15_000, 6_000),
        expected: Some((13_000, Reason::SlowHead)),
        ..SAME
    } },
    stopping = { Case {
        events: &[Event::Request, Event::Answer(2_000)],
        stop: Some(3_000),
        expected: Some((7_000, Reason::Idle)),
        ..SAME
    } },
    stopping_before_the_first_request = { Case {
        stop: Some(9_000),
        expected: Some((14_000, Reason::Idle)),
        ..SAME
    } },
    head_while_stopping = { Case {
        events: &[Event::Bytes(7_000)],
        stop: Some(9_000),
        expected: Some((10_000, Reason::SlowHead)),
        ..SAME
    } },
    answered_before_the_body = { Case {
        events: &[Event::Request, Event::AnswerBeforeBody(9_000), Event::Bytes(9_500)],
        expected: Some((24_000, Reason::SlowRest)),
        ..SAME
    } },
    rest_with_a_short_idle_timeout = { Case {
        events: &[Event::Request, Event::AnswerBeforeBody(9_000)],
        before: (100, 3_000),
        now: (100, 3_000),
        expected: Some((14_000, Reason::SlowRest)),
        ..SAME
    } },
    rest_while_stopping = { Case {
        events: &[Event::Request, Event::AnswerBeforeBody(9_000)],
        stop: Some(9_000),
        expected: Some((14_000, Reason::SlowRest)),
        ..SAME
    } },
    body_after_the_answer = { Case {
        events: &[Event::Request, Event::AnswerBeforeBody(9_000), Event::Body(11_000)],
        expected: Some((26_000, Reason::Idle)),
        ..SAME
    } },
    body_before_the_answer = { Case {
        events: &[Event::Request, Event::Body(8_000)],
        expected: None,
        ..SAME
    } },
)]
fn connection_expires(case: Case) {
    let announced = ms(4_000);
    let before = limits(ms(case.before.0), ms(case.before.1));
    let mut expiry = Expiry::new(ms(1_000), announced, before.clone());
    for event in case.events {
        match *event {
            Event::Bytes(at) => expiry.record_bytes(ms(at), before.clone()),
            Event::Request => expiry.begin_request(),
            Event::Answer(at) => expiry.end_request(ms(at), announced, before.clone()),
            Event::AnswerBeforeBody(at) => {
                expiry.end_request(ms(at), announced, before.clone());
                expiry.begin_rest();
            }
            Event::Body(at) => expiry.end_rest(ms(at)),
        }
    }
    let now = limits(ms(case.now.0), ms(case.now.1));
    let expected = case.expected.map(|(at, reason)| (ms(at), reason));
    assert_eq!(expiry.expires_at(&now, case.stop.map(ms)), expected);
}
