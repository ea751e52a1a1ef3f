//! Failures of nodes, links and lists, caused on a simulated network.

mod common;

use std::time::Duration;

use common::{Network, address, entry, ms, name, target};
use fleet::Standing;
use member::{Fact, Heartbeat, Message, Settings, State, Update};
use yare::parameterized;

/// Maximum time for which a leaving target may receive new work.
const LEAVING_BOUND: Duration = Duration::from_secs(2);

fn unchanged(settings: Settings) -> Settings {
    settings
}

fn is_confident(network: &Network, index: usize) -> bool {
    network.hosts[index].view.confident.last().is_some_and(|(_, confident)| *confident)
}

fn warmed_up(count: usize) -> Network {
    let mut network = Network::new(count, 7, unchanged);
    network.run(ms(5_000));
    network
}

#[parameterized(four = { 4 }, ninety = { 90 })]
fn all_nodes_are_alive_and_none_is_suspected(count: usize) {
    let mut network = warmed_up(count);
    network.run(ms(30_000));
    for (index, host) in network.hosts.iter().enumerate() {
        assert!(host.view.suspected.is_empty());
        assert_eq!(host.view.nodes.len(), count - 1);
        assert!(is_confident(&network, index));
    }
}

#[parameterized(four = { 4 }, ninety = { 90 })]
fn killed_node_is_dead_everywhere_until_it_restarts(count: usize) {
    let mut network = warmed_up(count);
    network.hosts[1].up = false;
    network.run(ms(20_000));
    for at in (0..count).filter(|at| *at != 1) {
        assert_eq!(network.state(1, at), Some(State::Dead), "as seen by {at}");
    }
    network.start(1, 1_000, &unchanged);
    network.step(1, Message::Listed((0..count).map(entry).collect()));
    network.run(ms(40_000));
    for at in (0..count).filter(|at| *at != 1) {
        assert_eq!(network.state(1, at), Some(State::Alive), "as seen by {at}");
    }
}

#[parameterized(
    pause_detection_on = { true, 0 },
    pause_detection_off = { false, 3 },
)]
fn paused_node_does_not_suspect_others(pause_detection: bool, suspected: usize) {
    let mut network =
        Network::new(4, 7, |settings| Settings { pause_detection, suspect_after: 1, ..settings });
    network.run(ms(5_000));
    // The node is paused with heartbeats outstanding. The replies arrive during the pause, and
    // after it the timeouts are handled first.
    network.run_to_call(1);
    network.pause(1, ms(20_000));
    network.run(ms(25_400));
    let suspected_count = network.hosts[1].view.suspected.len();
    assert!(
        suspected_count <= suspected && (pause_detection || suspected_count > 0),
        "{suspected_count} nodes suspected"
    );
    assert_eq!(network.hosts[1].view.events.contains(&204), pause_detection);
}

#[test]
fn node_is_alive_again_after_short_and_long_pauses() {
    let mut network = warmed_up(4);
    network.pause(1, ms(2_500));
    network.run(ms(12_000));
    network.pause(1, ms(20_000));
    network.run(ms(31_000));
    assert_eq!(network.state(1, 0), Some(State::Dead));
    network.run(ms(40_000));
    for at in [0, 2, 3] {
        assert_eq!(network.state(1, at), Some(State::Alive));
    }
    assert!(network.hosts[1].view.events.contains(&202), "the node has refuted the suspicion");
}

#[test]
fn minority_of_a_partition_is_not_confident_and_declares_no_node_dead() {
    let mut network = warmed_up(4);
    network.hosts[3].partition = 1;
    network.run(ms(20_000));
    assert!(!is_confident(&network, 3));
    assert!(network.hosts[3].view.died.is_empty());
    assert_eq!(network.state(3, 0), Some(State::Dead));
    network.hosts[3].partition = 0;
    network.run(ms(25_000));
    assert_eq!(network.state(3, 0), Some(State::Alive));
    assert!(is_confident(&network, 3));
}

#[test]
fn halves_of_a_partition_are_not_confident() {
    let mut network = warmed_up(4);
    network.hosts[2].partition = 1;
    network.hosts[3].partition = 1;
    network.run(ms(20_000));
    for (index, host) in network.hosts.iter().enumerate() {
        assert!(!is_confident(&network, index));
        assert!(host.view.died.is_empty());
    }
}

#[parameterized(four = { 4 }, ninety = { 90 })]
fn facts_published_during_a_partition_are_synchronised(count: usize) {
    let mut network = warmed_up(count);
    for host in network.hosts.iter_mut().take(count / 2) {
        host.partition = 1;
    }
    network.run(ms(10_000));
    for index in 0..200 {
        let confirmed =
            Update::Quarantine { fingerprint: index, target: "e1".into(), confirmed: true };
        network.step(if index % 2 == 0 { 0 } else { count - 1 }, Message::Publish(confirmed));
    }
    // Long enough for all sends of the new facts, so that only synchronisation can spread them.
    network.run(ms(120_000));
    assert_eq!(network.hosts[1].view.quarantined.len(), 100);
    for host in &mut network.hosts {
        host.partition = 0;
    }
    network.run(ms(150_000));
    for (index, host) in network.hosts.iter().enumerate().skip(1).take(count - 2) {
        assert_eq!(host.view.quarantined.len(), 200, "at {index}");
    }
}

#[test]
fn node_at_the_same_address_replaces_the_old_one() {
    let mut network = warmed_up(4);
    network.start(1, 5_000, &|settings| Settings {
        name: "new".into(),
        address: address(1),
        ..settings
    });
    network.step(1, Message::Listed((0..4).map(entry).collect()));
    network.run(ms(9_000));
    for at in [0, 2, 3] {
        assert_eq!(network.state(1, at), Some(State::Dead), "old name at {at}");
        assert_eq!(network.hosts[at].view.nodes["new"].0, State::Alive);
    }
}

#[parameterized(four = { 4, true }, ninety = { 90, true }, not_pushed = { 90, false })]
fn leaving_target_is_known_everywhere_in_time(count: usize, push: bool) {
    let mut network = Network::new(count, 7, |settings| Settings { push, ..settings });
    let list: Vec<_> = vec![target("e1", "r1", Standing::Live)];
    network.run(ms(5_000));
    for index in 0..count {
        let nodes = (0..count).map(entry).chain(list.clone()).collect();
        network.step(index, Message::Listed(nodes));
    }
    network.run(ms(6_000));
    network.step(0, Message::Leaving("e1".into()));
    network.run(ms(20_000));
    let worst = network.hosts.iter().map(|host| host.view.leaving["e1"]).max().unwrap() - ms(6_000);
    assert!(worst <= LEAVING_BOUND, "{worst:?}");
    // A lagging list that shows the target live does not make it live again.
    for index in 0..count {
        let nodes = (0..count).map(entry).chain(list.clone()).collect();
        network.step(index, Message::Listed(nodes));
        assert_eq!(network.hosts[index].view.targets[0].standing, Standing::Leaving);
    }
}

#[derive(Clone, Copy)]
struct MarkCase {
    lists: &'static [Option<Standing>],
    after_ms: u64,
    leaving: bool,
}

#[parameterized(
    older_list = { MarkCase { lists: &[Some(Standing::Live)], after_ms: 1_000, leaving: true } },
    list_confirms = { MarkCase { lists: &[Some(Standing::Leaving)], after_ms: 1_000, leaving: true } },
    confirmed_then_live = {
        MarkCase { lists: &[Some(Standing::Leaving), Some(Standing::Live)], after_ms: 1_000, leaving: false }
    },
    removed_then_listed_again = {
        MarkCase { lists: &[None, Some(Standing::Live)], after_ms: 1_000, leaving: false }
    },
    expired = {
        MarkCase { lists: &[Some(Standing::Live)], after_ms: 601_000, leaving: false }
    },
)]
fn leaving_mark_holds_until_the_list_confirms_it_or_it_expires(case: MarkCase) {
    let mut network = Network::new(1, 7, unchanged);
    network.step(0, Message::Listed(vec![target("e1", "r1", Standing::Live)]));
    network.step(0, Message::Leaving("e1".into()));
    for standing in case.lists {
        let list = standing.map(|standing| target("e1", "r1", standing)).into_iter().collect();
        network.step(0, Message::Listed(list));
    }
    network.run(ms(500 + case.after_ms));
    let leaving = network.hosts[0].view.targets[0].standing == Standing::Leaving;
    assert_eq!(leaving, case.leaving);
}

#[parameterized(
    same_rack = { &["r1", "r1", "r2", "r3"], &[0, 1], &[2] },
    one = { &["r1", "r1", "r2", "r3"], &[0], &[] },
    different_racks = { &["r1", "r2", "r3", "r4", "r5"], &[0, 1], &[] },
    half_a_domain = { &["r1", "r2", "r3", "r4"], &[0, 1, 2], &[3] },
)]
fn targets_lost_together_are_reported(racks: &[&str], removed: &[usize], lost: &[usize]) {
    let mut network = Network::new(1, 7, unchanged);
    let all: Vec<_> = racks
        .iter()
        .enumerate()
        .map(|(index, rack)| target(&format!("e{index}"), rack, Standing::Live))
        .collect();
    network.step(0, Message::Listed(all.clone()));
    network.run(ms(2_000));
    let remaining = all.into_iter().enumerate().filter(|(index, _)| !removed.contains(index));
    network.step(0, Message::Listed(remaining.map(|(_, vm)| vm).collect()));
    let lost_sizes: Vec<usize> = network.hosts[0].view.lost.iter().map(Vec::len).collect();
    assert_eq!(lost_sizes, lost);
}

#[test]
fn unavailable_list_changes_nothing_and_is_logged() {
    let mut network = warmed_up(4);
    for index in 0..4 {
        network.step(index, Message::ListUnavailable);
    }
    network.hosts[1].up = false;
    network.run(ms(20_000));
    assert_eq!(network.state(1, 0), Some(State::Dead));
    assert_eq!(network.state(2, 0), Some(State::Alive));
    assert!(network.hosts[0].view.events.contains(&208));
}

#[test]
fn unlisted_node_joins_by_its_heartbeats() {
    let mut network = warmed_up(4);
    network.start(4, 9, &unchanged);
    network.step(4, Message::Listed((0..5).map(entry).collect()));
    network.run(ms(8_000));
    for at in 0..4 {
        assert_eq!(network.state(4, at), Some(State::Alive), "as seen by {at}");
    }
}

#[test]
fn agreement_counts_only_nodes_with_a_proof() {
    let mut network = warmed_up(4);
    for index in 0..4 {
        network.step(index, Message::Preset(7));
    }
    network.run(ms(8_000));
    assert!(network.hosts[0].view.agreed.is_none(), "no node has had a proof");
    for index in 1..4 {
        network.step(index, Message::Proof(Some(ms(7_000))));
    }
    network.run(ms(10_000));
    let (version, at) = network.hosts[0].view.agreed.unwrap();
    assert_eq!(version, 7);
    assert!(at > ms(8_000));
    assert!(network.hosts[0].view.proved.is_some_and(|at| at <= ms(7_000) && at > ms(6_500)));
}

#[test]
fn demand_is_exact_where_all_organisations_fit_a_heartbeat() {
    let mut network = warmed_up(4);
    for index in 0..4 {
        let own = (0..10).map(|org| (format!("o{org}").into(), f64::from(org + 1))).collect();
        network.step(index, Message::Demand(own));
    }
    network.run(ms(30_000));
    for host in &network.hosts {
        for (org, expected) in [("o0", 4.0), ("o9", 40.0)] {
            let found = host.view.demand[org];
            assert!((found - expected).abs() < 1e-6, "{org}: {found}");
        }
    }
}

#[test]
fn suspicion_without_a_known_incarnation_is_applied() {
    // Guards against ignoring a suspicion from a node that has never received a heartbeat from
    // the suspect, and so reports it with incarnation 0.
    let mut network = Network::new(1, 7, unchanged);
    network.step(0, Message::Listed((0..3).map(entry).collect()));
    let heartbeat = Heartbeat { from: name(1).into(), incarnation: 5, ..Heartbeat::default() };
    network.step(0, Message::Received(heartbeat));
    network.run(ms(10_000));
    let update = Update::Standing {
        node: name(1).into(),
        incarnation: 0,
        address: address(1),
        state: State::Suspect,
    };
    let facts = vec![Fact { version: 1, ttl: Some(ms(60_000)), update }];
    network.step(
        0,
        Message::Received(Heartbeat { from: name(2).into(), facts, ..Heartbeat::default() }),
    );
    assert_eq!(network.state(1, 0), Some(State::Suspect));
}

#[test]
fn leaving_node_is_left_and_not_dead() {
    let mut network = warmed_up(4);
    network.step(1, Message::Leave);
    network.run(ms(5_500));
    network.hosts[1].up = false;
    network.run(ms(20_000));
    for at in [0, 2, 3] {
        assert_eq!(network.state(1, at), Some(State::Left));
        assert!(!network.hosts[at].view.suspected.contains_key(&name(1)));
    }
}
