//! When a node counts as cut off from its targets, and when it no longer does.

use std::net::SocketAddr;
use std::time::Duration;

use edge::{Contact, Reachability};
use yare::parameterized;

/// Number of known targets.
const KNOWN: usize = 12;

/// Time within which answers arrive at a node that is not late.
const LATENCY: Duration = Duration::from_millis(35);

#[derive(Clone, Copy)]
enum Event {
    /// This target answers.
    Answers,
    /// This target does not answer.
    Silent(u16),
    /// A new connection to a target is established.
    Connects,
    /// This target cannot be connected to.
    Unconnected(u16),
    /// None of the targets of a check can be connected to.
    CheckFails,
    /// This many targets are out of use because the node does not reach them.
    Unreached(usize),
}

use Event::{Answers, CheckFails, Connects, Silent, Unconnected, Unreached};

struct Case {
    /// Events with their times, milliseconds.
    events: &'static [(u64, Event)],
    /// Whether the node is cut off 200 ms after the last event.
    lost: bool,
    /// Whether it may be cut off then.
    doubtful: bool,
}

fn target(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

// Guards against a node that reaches no target and does not know it, and against one that takes the
// loss of some targets for its own.
#[parameterized(
    all_silent = { Case { events: &[(0, Answers), (100, Silent(1)), (100, Silent(2)), (100, Silent(3))], lost: true, doubtful: true } },
    two_silent = { Case { events: &[(0, Answers), (100, Silent(1)), (100, Silent(2))], lost: false, doubtful: true } },
    same_again = { Case { events: &[(0, Answers), (100, Silent(1)), (150, Silent(1)), (190, Silent(1))], lost: false, doubtful: true } },
    others_answer = { Case { events: &[(100, Silent(1)), (100, Silent(2)), (101, Answers), (102, Silent(3))], lost: false, doubtful: true } },
    answers_again = { Case { events: &[(100, Silent(1)), (100, Silent(2)), (100, Silent(3)), (400, Answers)], lost: false, doubtful: false } },
    quiet = { Case { events: &[(0, Answers)], lost: false, doubtful: false } },
    no_connections = { Case { events: &[(0, Unconnected(1)), (0, Unconnected(2)), (0, Unconnected(3)), (10, CheckFails), (11, Answers)], lost: true, doubtful: true } },
    some_refuse = { Case { events: &[(0, Unconnected(1)), (0, Unconnected(2)), (0, Unconnected(3)), (1, Answers)], lost: false, doubtful: true } },
    check_succeeds = { Case { events: &[(0, Unconnected(1)), (0, Unconnected(2)), (0, Unconnected(3)), (10, Connects), (11, CheckFails), (12, Answers)], lost: false, doubtful: false } },
    connects_again = { Case { events: &[(0, Unconnected(1)), (0, Unconnected(2)), (0, Unconnected(3)), (10, CheckFails), (20, Connects), (20, Answers)], lost: false, doubtful: false } },
    most = { Case { events: &[(0, Unreached(7)), (1, Answers), (1, Connects)], lost: true, doubtful: true } },
    half = { Case { events: &[(0, Unreached(6)), (1, Answers)], lost: false, doubtful: false } },
    most_are_back = { Case { events: &[(0, Unreached(7)), (1, Unreached(4)), (1, Answers)], lost: false, doubtful: false } },
    half_are_back = { Case { events: &[(0, Unreached(7)), (1, Unreached(6)), (1, Answers)], lost: true, doubtful: true } },
)]
fn node_is_cut_off_only_if_no_way_is_left(case: Case) {
    let mut contact = Contact::default();
    let mut now = Duration::ZERO;
    let mut lost = 0;
    for (at, event) in case.events {
        now = Duration::from_millis(*at);
        let mut regained = None;
        match event {
            Answers => regained = contact.record_answer(now),
            Silent(number) => contact.record_silence(target(*number)),
            Connects => regained = contact.record_connection(now),
            Unconnected(number) => contact.record_no_connection(target(*number)),
            CheckFails => lost += u32::from(contact.record_failed_check(now)),
            Unreached(count) => {
                regained = contact.record_reached(now, *count, KNOWN);
                lost += u32::from(contact.record_unreached(now, *count, KNOWN));
            }
        }
        lost -= u32::from(regained.is_some());
    }
    now += Duration::from_millis(200);
    lost += u32::from(contact.poll_loss(now, KNOWN, LATENCY));
    assert_eq!(contact.is_lost(), case.lost);
    assert_eq!(lost, u32::from(case.lost), "each change is told once");
    assert_eq!(contact.is_doubtful(now), case.doubtful);
}

/// Messages of one node: time in milliseconds, and whether it reaches targets.
struct Told {
    heard: &'static [(u64, bool)],
    expected: bool,
}

// Guards against requests forwarded to a node that cannot serve them either.
#[parameterized(
    never = { Told { heard: &[], expected: false } },
    reaches = { Told { heard: &[(9_000, true)], expected: true } },
    no_longer = { Told { heard: &[(9_000, true), (9_500, false)], expected: false } },
    again = { Told { heard: &[(9_000, false), (9_500, true)], expected: true } },
    long_ago = { Told { heard: &[(8_000, true)], expected: false } },
)]
fn requests_are_forwarded_to_nodes_that_reach_targets(case: Told) {
    let mut reachability = Reachability::default();
    for (at, reaches) in case.heard {
        reachability.record_contact(Duration::from_millis(*at), target(1), *reaches);
    }
    let reaching = reachability.reaching(Duration::from_millis(10_000));
    assert_eq!(reaching.contains(&target(1)), case.expected);
    assert_eq!(reachability.any_reaching(Duration::from_millis(10_000)), case.expected);
}

// Guards against a node that takes its own delay for the loss of all targets.
#[parameterized(
    prompt = { 35, 120 },
    late = { 100, 300 },
)]
fn late_node_waits_longer_for_any_answer(latency: u64, lost_after: u64) {
    let (latency, lost_after) = (Duration::from_millis(latency), Duration::from_millis(lost_after));
    let mut contact = Contact::default();
    contact.record_answer(Duration::ZERO);
    (1..=3).for_each(|number| contact.record_silence(target(number)));
    assert!(!contact.poll_loss(lost_after - Duration::from_millis(1), KNOWN, latency));
    assert!(contact.poll_loss(lost_after, KNOWN, latency));
    assert!(contact.reaches_none());
}

// Guards against attempts at engines that are given back by a node that other targets answer.
#[test]
fn node_that_some_targets_answer_reaches_some() {
    let mut contact = Contact::default();
    contact.record_unreached(Duration::ZERO, KNOWN / 2 + 1, KNOWN);
    assert!(contact.is_lost());
    assert!(!contact.reaches_none());
}
