//! What follows from orders to engines.

use std::time::Duration;

use edge::{FollowUp, Outcome, Sent, Tracker};
use fleet::Layers;
use yare::parameterized;

const NOW: Duration = Duration::from_secs(100);
const ID: &str = "i-1";

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

struct Case {
    outcome: Outcome,
    /// Whether the engine was thought to hold nothing.
    is_empty: bool,
    next: FollowUp,
    /// Whether its layers count as on their way.
    pending: bool,
    /// When it is asked what became of the order, milliseconds after it.
    asked_ms: u64,
}

/// Load pattern: a fifth of the engines is cut off, and the order to one of them gets no answer.
/// It went on counting as holding its layers, for requests had ceased to pass it (own day
/// engines-leave-in-all-ways, Floorline --seed 204: worth 0.277, 0.576 when it was probed). A new
/// leader orders an empty engine that is at the order of the one before: it dealt the layers of
/// the whole domain anew (Floorline scale-1, second 25).
#[parameterized(
    accepted = { Case { outcome: Outcome::Accepted, is_empty: true, next: FollowUp::CountAccepted, pending: true, asked_ms: 2500 } },
    no_answer = { Case { outcome: Outcome::Unknown, is_empty: false, next: FollowUp::MarkDown, pending: false, asked_ms: 2500 } },
    other_leader = { Case { outcome: Outcome::Refused, is_empty: true, next: FollowUp::Refresh, pending: true, asked_ms: 1000 } },
    in_use = { Case { outcome: Outcome::Refused, is_empty: false, next: FollowUp::Refresh, pending: false, asked_ms: 500 } },
)]
fn engine_is_asked_before_it_is_ordered_again(case: Case) {
    let mut tracker = Tracker::default();
    let sent = Sent { layers: Layers::new(0, 8), load: ms(1000), is_empty: case.is_empty };
    assert_eq!(tracker.record(&ID.into(), sent, case.outcome, NOW), case.next);
    assert_eq!(tracker.pending(ID).is_some(), case.pending);
    assert_eq!(tracker.is_paused(ID), !case.pending);
    let held = |_: &_| Some(Some(Layers::new(0, 4)));
    assert!(tracker.take_overdue(NOW + ms(case.asked_ms - 1), held).is_empty());
    assert_eq!(tracker.take_overdue(NOW + ms(case.asked_ms), held), [ID]);
    assert!(tracker.pending(ID).is_none() && !tracker.is_paused(ID));
}

#[parameterized(
    done = { Some(Some(Layers::new(0, 8))) },
    gone = { None },
)]
fn order_is_forgotten_once_it_shows(held: Option<Option<Layers>>) {
    let mut tracker = Tracker::default();
    let sent = Sent { layers: Layers::new(0, 8), load: ms(1000), is_empty: true };
    tracker.record(&ID.into(), sent, Outcome::Accepted, NOW);
    assert!(tracker.take_overdue(NOW, |_| held).is_empty());
    assert_eq!(tracker.pending(ID), None);
}
