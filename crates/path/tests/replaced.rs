//! Targets whose addresses others have taken.

use std::net::SocketAddr;
use std::time::Duration;

use path::Table;
use site::{State, Target};
use yare::parameterized;

const NOW: Duration = Duration::from_secs(100);
/// Time after which a missing entry removes its target.
const LENIENCE: Duration = Duration::from_secs(1);

/// What the store says of a target before another one takes its address.
struct Case {
    state: State,
    is_missing: bool,
    is_replaced: bool,
}

fn target(id: &str, started_unix_ms: u64, state: State) -> Target {
    let address: SocketAddr = "10.0.0.1:80".parse().expect("an address");
    Target {
        id: id.into(),
        service: "s".into(),
        address,
        domain: "a".into(),
        state,
        started_unix_ms,
        slots: 1,
        card: "card".into(),
        layers: None,
    }
}

// Guards against a request at one engine more than its route allows, because one at which it had run
// left as planned and its address was used again, which was taken for an end without notice.
#[parameterized(
    ready = { Case { state: State::Ready, is_missing: false, is_replaced: true } },
    draining = { Case { state: State::Draining, is_missing: false, is_replaced: false } },
    left_without_draining = { Case { state: State::Ready, is_missing: true, is_replaced: false } },
    left = { Case { state: State::Draining, is_missing: true, is_replaced: false } },
)]
fn only_a_target_registered_as_ready_is_replaced(case: Case) {
    let mut table = Table::new("a".into());
    table.set(NOW, target("old", 1, case.state));
    table.add_request("old", 1.0);
    if case.is_missing {
        table.mark_missing("old", NOW + LENIENCE);
    }
    table.set(NOW, target("new", 2, State::Ready));
    assert_eq!(table.is_replaced("old"), case.is_replaced);
    assert!(!table.is_replaced("new"));
}
