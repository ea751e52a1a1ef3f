//! The follower with restored stores, late reads, outages, pauses and partitions.

mod common;

use std::time::Duration;

use common::{Node, ms, value};
use preset::{Action, Message, Settings};
use yare::parameterized;

#[test]
fn restored_store_does_not_decrease_the_version() {
    let mut node = Node::new(Settings::default());
    node.meet_peer(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    assert_eq!(node.follower.version(), 7);
    let actions = node.poll(2_000, Some(value(5, "a")));
    assert_eq!(node.follower.version(), 7);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Log(event) if event.kind.number == 603))
    );

    let mut without = Node::new(Settings::builder().monotonic(false).build());
    without.meet_peer(0);
    without.step(1, Message::Stored(Some(value(7, "b"))));
    without.poll(2_000, Some(value(5, "a")));
    assert_eq!(without.follower.version(), 5, "without the check the version decreases");
}

#[test]
fn restored_store_proves_no_freshness_but_a_majority_does() {
    let mut node = Node::new(Settings::default());
    node.meet_peer(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    node.poll(4_000, Some(value(5, "a")));
    assert!(!node.follower.fresh(ms(5_100)));
    node.step(5_100, Message::Agreed { version: 7, at: ms(5_000) });
    assert!(node.follower.fresh(ms(5_100)));
    assert!(!node.follower.fresh(ms(10_001)));
}

#[test]
fn same_version_with_other_content_is_not_applied_and_proves_no_freshness() {
    let mut node = Node::new(Settings::default());
    node.meet_peer(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    let actions = node.poll(4_000, Some(value(7, "other")));
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Log(event) if event.kind.number == 604))
    );
    assert_eq!(node.follower.in_force().unwrap().0.change, "b");
    assert!(!node.follower.fresh(ms(6_000)));
}

#[test]
fn undecodable_value_is_ignored() {
    let mut node = Node::new(Settings::default());
    node.meet_peer(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    node.poll(4_000, Some(b"{}".to_vec()));
    assert_eq!(node.follower.version(), 7);
    assert!(!node.follower.fresh(ms(6_000)));
}

#[parameterized(
    dated_by_the_request = { true, false },
    dated_by_the_answer = { false, true },
)]
fn answer_read_after_a_pause_proves_no_freshness(date_by_request: bool, fresh: bool) {
    let mut node = Node::new(Settings::builder().date_by_request(date_by_request).build());
    node.meet_peer(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    // The poll is requested and answered, and the process is paused before it reads the answer.
    assert!(node.step(2_000, Message::Wake).contains(&Action::Poll));
    let actions = node.step(62_000, Message::Stored(Some(value(7, "b"))));
    let first = actions.iter().find(|action| matches!(action, Action::Fresh(_)));
    assert_eq!(first, Some(&Action::Fresh(false)), "freshness is dropped before anything else");
    assert_eq!(node.follower.fresh(ms(62_000)), fresh);
}

#[test]
fn no_work_is_accepted_between_a_pause_and_the_next_step() {
    let mut node = Node::new(Settings::default());
    node.meet_peer(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    assert!(node.follower.fresh(ms(4_000)));
    assert!(!node.follower.fresh(ms(60_000)));
}

#[test]
fn watched_value_is_applied_but_proves_no_freshness() {
    let mut node = Node::new(Settings::default());
    node.meet_peer(0);
    node.step(1, Message::Watched(Some(value(7, "b"))));
    assert_eq!(node.follower.version(), 7);
    assert!(!node.follower.fresh(ms(2)));
}

#[test]
fn node_started_in_an_outage_applies_the_highest_version_and_needs_a_majority() {
    let mut node = Node::new(Settings::default());
    node.step(0, Message::Wake);
    node.step(10, Message::StoreDown);
    node.step(20, Message::PeerVersion { node: "n2".into(), version: 6 });
    node.step(25, Message::PeerValue { node: "n2".into(), value: value(6, "a") });
    let actions = node.step(30, Message::PeerVersion { node: "n3".into(), version: 7 });
    assert!(actions.contains(&Action::Fetch("n3".into())));
    assert!(!node.follower.fresh(ms(30)));
    node.step(35, Message::Agreed { version: 7, at: ms(20) });
    assert!(!node.follower.fresh(ms(35)), "a majority with a higher version proves nothing");
    node.step(40, Message::PeerValue { node: "n3".into(), value: value(7, "b") });
    assert!(!node.follower.fresh(ms(40)));
    let actions = node.step(45, Message::Agreed { version: 7, at: ms(30) });
    assert!(actions.contains(&Action::Proof(None)));
    assert!(node.follower.fresh(ms(45)));
}

#[test]
fn isolated_node_stops_accepting_work_when_its_proof_expires() {
    let mut node = Node::new(Settings::default());
    node.meet_peer(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    node.step(1_000, Message::Wake);
    node.step(1_500, Message::StoreDown);
    assert!(node.follower.fresh(ms(5_000)));
    let actions = node.step(5_100, Message::Wake);
    assert!(actions.contains(&Action::Fresh(false)));
}

#[test]
fn proofs_from_other_nodes_expire_by_their_date() {
    let mut node = Node::new(Settings::default());
    node.meet_peer(0);
    node.step(1, Message::Stored(Some(value(7, "b"))));
    node.step(4_000, Message::Proved { version: 8, at: ms(3_900) });
    assert!(!node.follower.fresh(ms(5_500)), "proof of a higher version");
    node.step(4_000, Message::Proved { version: 7, at: ms(3_000) });
    assert!(node.follower.fresh(ms(8_000)));
    assert!(!node.follower.fresh(ms(8_001)));
}

#[test]
fn started_node_waits_for_another_before_it_accepts_work() {
    let mut node = Node::new(Settings::default());
    node.step(0, Message::Wake);
    node.step(1, Message::Stored(Some(value(5, "a"))));
    assert!(!node.follower.fresh(ms(100)), "the store may have been restored to a lower version");
    assert!(node.follower.fresh(ms(2_001)), "the wait for another node ends");
    node.step(200, Message::PeerVersion { node: "n2".into(), version: 5 });
    assert!(node.follower.fresh(ms(200)));
}

#[parameterized(
    few_nodes = { 4, 3.0, 5.0 },
    many_nodes = { 620, 30.0, 60.0 },
)]
fn polls_of_all_nodes_stay_within_the_rate(nodes: u32, min: f64, max: f64) {
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
    assert!((min..max).contains(&rate), "{rate} polls per second");
}

#[test]
fn frequent_steps_request_few_wake_ups() {
    let mut node = Node::new(Settings::default());
    let mut wakes = 0;
    for now in 0..1_000 {
        let actions = node.step(now, Message::PeerVersion { node: "n2".into(), version: 0 });
        wakes += actions.iter().filter(|action| matches!(action, Action::Wake(_))).count();
    }
    assert!(wakes <= 3, "{wakes} wake-ups requested in a second");
    assert_eq!(Duration::from_millis(1), ms(1));
}
