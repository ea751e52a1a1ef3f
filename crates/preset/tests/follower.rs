//! The follower under restored stores, late reads, outages, pauses and partitions.

mod common;

use std::time::Duration;

use common::{Node, ms, value};
use preset::{Action, Message, Settings};
use yare::parameterized;

#[test]
fn a_restored_store_does_not_take_the_version_back() {
    let mut node = Node::new(Settings::default());
    node.meet(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    assert_eq!(node.follower.version(), 7);
    let said = node.poll(2_000, Some(value(5, "a")));
    assert_eq!(node.follower.version(), 7);
    assert!(
        said.iter().any(|action| matches!(action, Action::Log(event) if event.kind.number == 603))
    );

    let mut without = Node::new(Settings::builder().monotonic(false).build());
    without.meet(0);
    without.step(1, Message::Stored(Some(value(7, "b"))));
    without.poll(2_000, Some(value(5, "a")));
    assert_eq!(without.follower.version(), 5, "the switch shows the fault");
}

#[test]
fn a_restored_store_proves_nothing_but_a_majority_does() {
    let mut node = Node::new(Settings::default());
    node.meet(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    node.poll(4_000, Some(value(5, "a")));
    assert!(!node.follower.fresh(ms(5_100)));
    node.step(5_100, Message::Agreed { version: 7, at: ms(5_000) });
    assert!(node.follower.fresh(ms(5_100)));
    assert!(!node.follower.fresh(ms(10_001)));
}

#[test]
fn same_version_with_other_content_is_not_taken_and_proves_nothing() {
    let mut node = Node::new(Settings::default());
    node.meet(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    let said = node.poll(4_000, Some(value(7, "other")));
    assert!(
        said.iter().any(|action| matches!(action, Action::Log(event) if event.kind.number == 604))
    );
    assert_eq!(node.follower.in_force().unwrap().0.change, "b");
    assert!(!node.follower.fresh(ms(6_000)));
}

#[test]
fn a_value_that_cannot_be_read_changes_nothing() {
    let mut node = Node::new(Settings::default());
    node.meet(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    node.poll(4_000, Some(b"{}".to_vec()));
    assert_eq!(node.follower.version(), 7);
    assert!(!node.follower.fresh(ms(6_000)));
}

#[parameterized(
    dated_by_the_question = { true, false },
    dated_by_the_answer = { false, true },
)]
fn a_read_that_waited_out_a_pause_proves_nothing(dated: bool, fresh: bool) {
    let mut node = Node::new(Settings::builder().date_by_request(dated).build());
    node.meet(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    // The poll is asked for, its answer arrives, and the process stops before it reads it.
    assert!(node.step(2_000, Message::Wake).contains(&Action::Poll));
    let said = node.step(62_000, Message::Stored(Some(value(7, "b"))));
    let first = said.iter().find(|action| matches!(action, Action::Fresh(_)));
    assert_eq!(first, Some(&Action::Fresh(false)), "dropped before anything else");
    assert_eq!(node.follower.fresh(ms(62_000)), fresh);
}

#[test]
fn between_the_end_of_a_pause_and_the_first_step_nothing_is_taken() {
    let mut node = Node::new(Settings::default());
    node.meet(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    assert!(node.follower.fresh(ms(4_000)));
    assert!(!node.follower.fresh(ms(60_000)));
}

#[test]
fn a_watch_brings_versions_but_no_proof() {
    let mut node = Node::new(Settings::default());
    node.meet(0);
    node.step(1, Message::Watched(Some(value(7, "b"))));
    assert_eq!(node.follower.version(), 7);
    assert!(!node.follower.fresh(ms(2)));
}

#[test]
fn a_node_that_starts_in_an_outage_takes_the_highest_version_and_needs_a_majority() {
    let mut node = Node::new(Settings::default());
    node.step(0, Message::Wake);
    node.step(10, Message::StoreDown);
    node.step(20, Message::PeerVersion { node: "n2".into(), version: 6 });
    node.step(25, Message::PeerValue { node: "n2".into(), value: value(6, "a") });
    let said = node.step(30, Message::PeerVersion { node: "n3".into(), version: 7 });
    assert!(said.contains(&Action::Fetch("n3".into())));
    assert!(!node.follower.fresh(ms(30)));
    node.step(35, Message::Agreed { version: 7, at: ms(20) });
    assert!(!node.follower.fresh(ms(35)), "a majority that has more proves nothing for less");
    node.step(40, Message::PeerValue { node: "n3".into(), value: value(7, "b") });
    assert!(!node.follower.fresh(ms(40)));
    let said = node.step(45, Message::Agreed { version: 7, at: ms(30) });
    assert!(said.contains(&Action::Proof(None)));
    assert!(node.follower.fresh(ms(45)));
}

#[test]
fn alone_in_an_outage_a_node_stops_within_the_stated_time() {
    let mut node = Node::new(Settings::default());
    node.meet(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    node.step(1_000, Message::Wake);
    node.step(1_500, Message::StoreDown);
    assert!(node.follower.fresh(ms(5_000)));
    let said = node.step(5_100, Message::Wake);
    assert!(said.contains(&Action::Fresh(false)));
}

#[test]
fn proofs_from_other_nodes_hold_as_long_as_their_date_says() {
    let mut node = Node::new(Settings::default());
    node.meet(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    node.step(4_000, Message::Proved { version: 8, at: ms(3_900) });
    assert!(!node.follower.fresh(ms(5_500)), "proof of a higher version");
    node.step(4_000, Message::Proved { version: 7, at: ms(3_000) });
    assert!(node.follower.fresh(ms(8_000)));
    assert!(!node.follower.fresh(ms(8_001)));
}

#[test]
fn a_node_waits_for_another_before_its_first_work() {
    let mut node = Node::new(Settings::default());
    node.step(0, Message::Wake);
    node.step(1, Message::Stored(Some(value(5, "a"))));
    assert!(!node.follower.fresh(ms(100)), "the store may have been restored below the others");
    assert!(node.follower.fresh(ms(2_001)), "alone it goes on");
    node.step(200, Message::PeerVersion { node: "n2".into(), version: 5 });
    assert!(node.follower.fresh(ms(200)));
}

#[parameterized(
    four = { 4, 3.0, 5.0 },
    most = { 620, 30.0, 60.0 },
)]
fn polls_of_all_nodes_stay_within_the_rate(nodes: u32, low: f64, high: f64) {
    let mut polls = 0;
    for seed in 0..nodes {
        let mut node = Node::seeded(Settings::default(), u64::from(seed));
        node.step(0, Message::Nodes { alive: nodes, known: nodes });
        node.step(0, Message::Stored(None));
        let mut now = 0;
        while now < 60_000 {
            now += 10;
            if node.step(now, Message::Wake).contains(&Action::Poll) {
                polls += 1;
                node.step(now, Message::Stored(None));
            }
        }
    }
    let rate = f64::from(polls) / 60.0;
    assert!((low..high).contains(&rate), "{rate} polls per second");
}

#[test]
fn a_node_steps_without_flooding_its_timer() {
    let mut node = Node::new(Settings::default());
    let mut wakes = 0;
    for now in 0..1_000 {
        let said = node.step(now, Message::PeerVersion { node: "n2".into(), version: 0 });
        wakes += said.iter().filter(|action| matches!(action, Action::Wake(_))).count();
    }
    assert!(wakes <= 3, "{wakes} wakes asked for in a second");
    assert_eq!(Duration::from_millis(1), ms(1));
}
