//! Targets that drain or back off: no sequence of events lets a request reach them.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::Layers;
use path::{Fault, ProbeFailure, Query, Table};
use proptest::prelude::*;
use site::{Model, Report, State, Target};
use yare::parameterized;

const SERVICE: &str = "s";
const PLAIN: &str = "p";
/// Number of engines, each with all layers. As many service targets follow at the next addresses.
const TARGETS_PER_KIND: u8 = 3;

/// An event at a target.
#[derive(Clone, Debug)]
enum Event {
    /// It announces in an answer that it drains.
    Drains,
    /// It refuses a request and asks for a back-off.
    BacksOff(Duration),
    /// It refuses a request.
    Refuses,
    Report,
    Entry(State),
    /// Its entry lapses and reappears.
    EntryLapses,
    ProbeAnswered,
    ProbeUnanswered,
    Fault,
    Accepted,
    /// Another VM reports that the target is backing off.
    BackoffReported,
    /// It restarts under the same id.
    Restarts,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => Just(Event::Drains),
        2 => (0..5_000_u64).prop_map(|ms| Event::BacksOff(Duration::from_millis(ms))),
        2 => Just(Event::Refuses),
        3 => Just(Event::Report),
        1 => Just(Event::Entry(State::Ready)),
        1 => Just(Event::Entry(State::Draining)),
        1 => Just(Event::EntryLapses),
        2 => Just(Event::ProbeAnswered),
        1 => Just(Event::ProbeUnanswered),
        1 => Just(Event::Fault),
        2 => Just(Event::Accepted),
        1 => Just(Event::BackoffReported),
        1 => Just(Event::Restarts),
    ]
}

fn model() -> Model {
    sample::model()
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn target(number: u8, started_unix_ms: u64, state: State) -> Target {
    let engine = number < TARGETS_PER_KIND;
    Target {
        id: format!("t{number}").into(),
        service: if engine { SERVICE.into() } else { PLAIN.into() },
        address: address(number),
        domain: "a".into(),
        state,
        started_unix_ms,
        slots: 100,
        card: if engine { "h100".into() } else { "".into() },
        layers: engine.then(|| Layers::new(0, 80)),
    }
}

/// What a target has announced, as the test tracks it.
#[derive(Clone, Debug)]
struct Announced {
    start: u64,
    drains: bool,
    until: Duration,
}

fn apply(table: &mut Table, now: Duration, number: u8, event: &Event, announced: &mut Announced) {
    let id = format!("t{number}");
    let at = address(number);
    match event {
        Event::Drains => {
            table.mark_draining(at);
            announced.drains = true;
        }
        Event::BacksOff(pause) => {
            table.record_refusal(now, at, true);
            table.back_off(now, at, *pause);
            announced.until = announced.until.max(now + *pause);
        }
        Event::Refuses => drop(table.record_refusal(now, at, true)),
        Event::Report => {
            let layers = Some(Layers::new(0, 80));
            let report = Report {
                layers,
                order_in_progress: false,
                orders: 1,
                started_unix_ms: 0,
                slowdown: 1.0,
                stalls: Vec::new(),
            };
            table.record_report(now, &id, &report);
        }
        Event::Entry(state) => drop(table.set(now, target(number, announced.start, *state))),
        Event::EntryLapses => {
            table.mark_missing(&id, now);
            table.expire(now);
            table.set(now, target(number, announced.start, State::Ready));
        }
        Event::ProbeAnswered => drop(table.restore(now, &id)),
        Event::ProbeUnanswered => {
            let _lost = table.record_unanswered_probe(&id, now, ProbeFailure::Timeout);
        }
        Event::Fault => drop(table.record_fault(now, at, Fault::Unresponsive)),
        Event::Accepted => table.request_accepted(now, &id),
        Event::BackoffReported => table.deprioritise(&id, now + Duration::from_secs(1)),
        Event::Restarts => {
            announced.start += 1;
            (announced.drains, announced.until) = (false, Duration::ZERO);
            table.set(now, target(number, announced.start, State::Ready));
        }
    }
}

/// Returns the targets to which requests would be sent now.
fn request_targets(table: &mut Table, now: Duration) -> Vec<SocketAddr> {
    let mut reached = Vec::new();
    let query = |service| Query {
        service,
        excluded: &[],
        allowed_first: None,
        closed_first: &[],
        tokens: 10.0,
        prompt: None,
    };
    if let Some(path) = table.path(now, &model(), &query(SERVICE)) {
        reached.extend(path.stages.iter().map(|stage| stage.address));
    }
    reached.extend(table.best_target(now, &query(PLAIN)).map(|(_, address)| address));
    reached
}

proptest! {
    #[test]
    fn no_request_reaches_a_draining_or_backing_off_target(
        events in prop::collection::vec((0..2 * TARGETS_PER_KIND, 0..1_500_u64, event()), 1..60),
    ) {
        let mut table = Table::new("a".into());
        let mut now = Duration::from_secs(100);
        let mut announced = vec![
            Announced { start: 1, drains: false, until: Duration::ZERO };
            2 * TARGETS_PER_KIND as usize
        ];
        for number in 0..2 * TARGETS_PER_KIND {
            table.set(now, target(number, 1, State::Ready));
        }
        for (number, delay_ms, event) in events {
            now += Duration::from_millis(delay_ms);
            apply(&mut table, now, number, &event, &mut announced[number as usize]);
            let requests = request_targets(&mut table, now);
            let probes = table.due_probes(now);
            for (number, announced) in announced.iter().enumerate() {
                let at = address(number as u8);
                let backing_off = now < announced.until;
                prop_assert!(
                    !(requests.contains(&at) && (announced.drains || backing_off)),
                    "{announced:?}"
                );
                let probed = probes.iter().any(|(_, address)| *address == at);
                prop_assert!(!(probed && backing_off), "probed: {announced:?}");
            }
        }
    }
}

/// Checks the time at which the first of all service targets ends its back-off.
#[test]
fn service_return_time_is_known_only_if_all_targets_back_off() {
    let now = Duration::from_secs(100);
    let mut table = Table::new("a".into());
    for number in TARGETS_PER_KIND..2 * TARGETS_PER_KIND {
        table.set(now, target(number, 1, State::Ready));
    }
    table.back_off(now, address(TARGETS_PER_KIND), Duration::from_secs(9));
    table.back_off(now, address(TARGETS_PER_KIND + 1), Duration::from_secs(4));
    assert_eq!(table.service_available_in(now, PLAIN), None, "one target is not backing off");
    table.mark_draining(address(TARGETS_PER_KIND + 2));
    assert_eq!(table.service_available_in(now, PLAIN), Some(Duration::from_secs(4)));
}

const QUERY: Query<'static> = Query {
    service: SERVICE,
    excluded: &[],
    allowed_first: None,
    closed_first: &[],
    tokens: 10.0,
    prompt: None,
};

/// Returns an engine with these layers.
fn half(number: u8, layers: (u16, u16)) -> Target {
    let layers = Some(Layers::from(layers));
    Target { layers, ..target(number, 1, State::Ready) }
}

#[test]
fn path_is_available_once_all_engines_it_needs_are() {
    let now = Duration::from_secs(100);
    let mut table = Table::new("a".into());
    table.set(now, half(0, (0, 40)));
    table.set(now, half(1, (40, 80)));
    table.set(now, half(2, (40, 80)));
    table.back_off(now, address(0), Duration::from_secs(2));
    table.back_off(now, address(1), Duration::from_secs(5));
    table.back_off(now, address(2), Duration::from_secs(9));
    assert!(table.path(now, &model(), &QUERY).is_none());
    assert_eq!(table.path_available_in(now, &model(), &QUERY), Some(Duration::from_secs(5)));
}

/// What is observed of both engines of the first half.
struct Silence {
    faults: [Fault; 2],
    /// Time from the faults to the search.
    after_ms: u64,
    is_draining: bool,
    has_path: bool,
}

// Guards against requests that wait for engines that have ended or leave, or that do not wait for
// sound ones.
#[parameterized(
    silent = { Silence { faults: [Fault::ReportTimeout; 2], after_ms: 10, is_draining: false, has_path: true } },
    one_silent = { Silence { faults: [Fault::Refused, Fault::ReportTimeout], after_ms: 10, is_draining: false, has_path: true } },
    ended = { Silence { faults: [Fault::Refused; 2], after_ms: 10, is_draining: false, has_path: false } },
    silent_for_long = { Silence { faults: [Fault::ReportTimeout; 2], after_ms: 2000, is_draining: false, has_path: false } },
    full = { Silence { faults: [Fault::Full; 2], after_ms: 10, is_draining: false, has_path: false } },
    silent_and_leaving = { Silence { faults: [Fault::ReportTimeout; 2], after_ms: 10, is_draining: true, has_path: false } },
)]
fn path_beyond_silence(case: Silence) {
    let now = Duration::from_secs(1);
    let mut table = Table::new("a".into());
    table.set(now, half(0, (0, 40)));
    table.set(now, half(1, (0, 40)));
    table.set(now, half(2, (40, 80)));
    for (index, fault) in (0..).zip(case.faults) {
        table.record_fault(now, address(index), fault);
        if case.is_draining {
            table.mark_draining(address(index));
        }
    }
    let then = now + Duration::from_millis(case.after_ms);
    assert!(table.path(then, &model(), &QUERY).is_none());
    assert_eq!(table.has_path_beyond_silence(then, &model(), &QUERY), case.has_path);
}
