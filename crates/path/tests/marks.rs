//! Targets that say they leave or want a pause: nothing that is learned in any order lets a
//! request reach them.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::Layers;
use path::{Fault, Query, Table};
use proptest::prelude::*;
use site::{Model, Report, State, Target};

const SERVICE: &str = "s";
const PLAIN: &str = "p";
/// Engines, each with all layers; as many plain targets stand at the next addresses.
const EACH: u8 = 3;

/// What happens to a target, and how much later than the event before.
#[derive(Clone, Debug)]
enum Event {
    /// It says in an answer that it leaves.
    Leaves,
    /// It refuses and wants a pause.
    BacksOff(Duration),
    /// It refuses.
    Refuses,
    Report,
    Entry(State),
    /// Its entry lapses, and comes back.
    Lapses,
    ProbeAnswered,
    ProbeUnanswered,
    Fault,
    Taken,
    /// Another VM tells that it wants nothing.
    Told,
    /// It starts again, under the same id.
    StartsAgain,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => Just(Event::Leaves),
        2 => (0..5_000_u64).prop_map(|ms| Event::BacksOff(Duration::from_millis(ms))),
        2 => Just(Event::Refuses),
        3 => Just(Event::Report),
        1 => Just(Event::Entry(State::Ready)),
        1 => Just(Event::Entry(State::Draining)),
        1 => Just(Event::Lapses),
        2 => Just(Event::ProbeAnswered),
        1 => Just(Event::ProbeUnanswered),
        1 => Just(Event::Fault),
        2 => Just(Event::Taken),
        1 => Just(Event::Told),
        1 => Just(Event::StartsAgain),
    ]
}

fn model() -> Model {
    sample::model()
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn target(number: u8, born: u64, state: State) -> Target {
    let engine = number < EACH;
    Target {
        id: format!("t{number}").into(),
        service: if engine { SERVICE.into() } else { PLAIN.into() },
        address: address(number),
        domain: "a".into(),
        state,
        started_unix_ms: born,
        slots: 100,
        card: if engine { "h100".into() } else { "".into() },
        layers: engine.then(|| Layers::new(0, 80)),
    }
}

/// What a target has said, as the test keeps it.
#[derive(Clone, Debug)]
struct Said {
    born: u64,
    leaves: bool,
    until: Duration,
}

fn carry_out(table: &mut Table, now: Duration, number: u8, event: &Event, said: &mut Said) {
    let id = format!("t{number}");
    let at = address(number);
    match event {
        Event::Leaves => {
            table.mark_draining(at);
            said.leaves = true;
        }
        Event::BacksOff(pause) => {
            table.record_refusal(now, at, true);
            table.back_off(now, at, *pause);
            said.until = said.until.max(now + *pause);
        }
        Event::Refuses => drop(table.record_refusal(now, at, true)),
        Event::Report => {
            let layers = Some(Layers::new(0, 80));
            let report = Report {
                layers,
                busy: false,
                orders: 1,
                started_unix_ms: 0,
                slowdown: 1.0,
                stalls: Vec::new(),
            };
            table.record_report(now, &id, &report);
        }
        Event::Entry(state) => drop(table.set(now, target(number, said.born, *state))),
        Event::Lapses => {
            table.mark_missing(&id, now);
            table.expire(now);
            table.set(now, target(number, said.born, State::Ready));
        }
        Event::ProbeAnswered => drop(table.restore(now, &id)),
        Event::ProbeUnanswered => table.record_unanswered_probe(&id, now),
        Event::Fault => drop(table.record_fault(now, at, Fault::Unresponsive)),
        Event::Taken => table.request_accepted(now, &id),
        Event::Told => table.deprioritise(&id, now + Duration::from_secs(1)),
        Event::StartsAgain => {
            said.born += 1;
            (said.leaves, said.until) = (false, Duration::ZERO);
            table.set(now, target(number, said.born, State::Ready));
        }
    }
}

/// Targets that would be sent something now: requests, probes and questions.
fn reached(table: &mut Table, now: Duration) -> Vec<SocketAddr> {
    let mut reached = Vec::new();
    let wish = |service| Query { service, excluded: &[], allowed_first: None, tokens: 10.0 };
    if let Some(path) = table.path(now, &model(), &wish(SERVICE)) {
        reached.extend(path.stages.iter().map(|stage| stage.address));
    }
    reached.extend(table.best_target(now, &wish(PLAIN)).map(|(_, address)| address));
    reached
}

proptest! {
    #[test]
    fn nothing_reaches_a_target_that_wants_nothing(
        events in prop::collection::vec((0..2 * EACH, 0..1_500_u64, event()), 1..60),
    ) {
        let mut table = Table::new("a".into());
        let mut now = Duration::from_secs(100);
        let mut said = vec![Said { born: 1, leaves: false, until: Duration::ZERO }; 2 * EACH as usize];
        for number in 0..2 * EACH {
            table.set(now, target(number, 1, State::Ready));
        }
        for (number, later, event) in events {
            now += Duration::from_millis(later);
            carry_out(&mut table, now, number, &event, &mut said[number as usize]);
            let requests = reached(&mut table, now);
            let questions = table.due_probes(now);
            for (number, said) in said.iter().enumerate() {
                let at = address(number as u8);
                let pauses = now < said.until;
                prop_assert!(!(requests.contains(&at) && (said.leaves || pauses)), "{said:?}");
                let asked = questions.iter().any(|(_, address)| *address == at);
                prop_assert!(!(asked && pauses), "asked: {said:?}");
            }
        }
    }
}

/// Pauses of all plain targets, milliseconds, and when the first is over.
#[test]
fn first_return_is_told_only_where_all_pause() {
    let now = Duration::from_secs(100);
    let mut table = Table::new("a".into());
    for number in EACH..2 * EACH {
        table.set(now, target(number, 1, State::Ready));
    }
    table.back_off(now, address(EACH), Duration::from_secs(9));
    table.back_off(now, address(EACH + 1), Duration::from_secs(4));
    assert_eq!(table.service_available_in(now, PLAIN), None, "one wants no pause");
    table.mark_draining(address(EACH + 2));
    assert_eq!(table.service_available_in(now, PLAIN), Some(Duration::from_secs(4)));
}

#[test]
fn path_returns_when_the_last_engine_that_it_needs_does() {
    let now = Duration::from_secs(100);
    let mut table = Table::new("a".into());
    let half = |number, layers| {
        let layers = Some(Layers::from(layers));
        Target { layers, ..target(number, 1, State::Ready) }
    };
    table.set(now, half(0, (0, 40)));
    table.set(now, half(1, (40, 80)));
    table.set(now, half(2, (40, 80)));
    table.back_off(now, address(0), Duration::from_secs(2));
    table.back_off(now, address(1), Duration::from_secs(5));
    table.back_off(now, address(2), Duration::from_secs(9));
    let wish = Query { service: SERVICE, excluded: &[], allowed_first: None, tokens: 10.0 };
    assert!(table.path(now, &model(), &wish).is_none());
    assert_eq!(table.path_available_in(now, &model(), &wish), Some(Duration::from_secs(5)));
}
