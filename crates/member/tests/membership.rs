//! Failures that membership is there for, each brought about on a fake network.

mod common;

use std::time::Duration;

use common::{Net, address, entry, ms, name, target};
use fleet::Standing;
use member::{Fact, Heartbeat, Message, Settings, State, Update};
use yare::parameterized;

/// An organisation's leaving target may get work for at most this long.
const LEAVING_BOUND: Duration = Duration::from_secs(2);

fn plain(settings: Settings) -> Settings {
    settings
}

fn trusts_itself(net: &Net, index: usize) -> bool {
    net.seats[index].view.confident.last().is_some_and(|(_, confident)| *confident)
}

fn net(count: usize) -> Net {
    let mut net = Net::new(count, 7, plain);
    net.run(ms(5_000));
    net
}

#[parameterized(four = { 4 }, ninety = { 90 })]
fn all_are_alive_and_nobody_is_accused(count: usize) {
    let mut net = net(count);
    net.run(ms(30_000));
    for (index, seat) in net.seats.iter().enumerate() {
        assert!(seat.view.accused.is_empty());
        assert_eq!(seat.view.nodes.len(), count - 1);
        assert!(trusts_itself(&net, index));
    }
}

#[parameterized(four = { 4 }, ninety = { 90 })]
fn a_killed_node_is_dead_everywhere_and_one_that_comes_back_is_alive(count: usize) {
    let mut net = net(count);
    net.seats[1].up = false;
    net.run(ms(20_000));
    for at in (0..count).filter(|at| *at != 1) {
        assert_eq!(net.state(1, at), Some(State::Dead), "as seen by {at}");
    }
    net.start(1, 1_000, &plain);
    net.step(1, Message::Listed((0..count).map(entry).collect()));
    net.run(ms(40_000));
    for at in (0..count).filter(|at| *at != 1) {
        assert_eq!(net.state(1, at), Some(State::Alive), "as seen by {at}");
    }
}

#[parameterized(
    doubts_itself = { true, 0 },
    trusts_itself = { false, 3 },
)]
fn a_paused_node_does_not_accuse_the_others(doubt: bool, accused: usize) {
    let mut net = Net::new(4, 7, |settings| Settings { doubt, silences: 1, ..settings });
    net.run(ms(5_000));
    // Its heartbeats go out, the replies come while it is paused, and the timeouts come first.
    net.run_to_call(1);
    net.pause(1, ms(20_000));
    net.run(ms(25_400));
    let said = net.seats[1].view.accused.len();
    assert!(said <= accused && (doubt || said > 0), "{said} accused");
    assert_eq!(net.seats[1].view.events.contains(&204), doubt);
}

#[test]
fn a_short_pause_is_refuted_and_a_long_one_healed() {
    let mut net = net(4);
    net.pause(1, ms(2_500));
    net.run(ms(12_000));
    net.pause(1, ms(20_000));
    net.run(ms(31_000));
    assert_eq!(net.state(1, 0), Some(State::Dead));
    net.run(ms(40_000));
    for at in [0, 2, 3] {
        assert_eq!(net.state(1, at), Some(State::Alive));
    }
    assert!(net.seats[1].view.events.contains(&202), "it has refuted");
}

#[test]
fn the_smaller_part_of_a_partition_doubts_itself_and_declares_nobody_dead() {
    let mut net = net(4);
    net.seats[3].group = 1;
    net.run(ms(20_000));
    assert!(!trusts_itself(&net, 3));
    assert!(net.seats[3].view.died.is_empty());
    assert_eq!(net.state(3, 0), Some(State::Dead));
    net.seats[3].group = 0;
    net.run(ms(25_000));
    assert_eq!(net.state(3, 0), Some(State::Alive));
    assert!(trusts_itself(&net, 3));
}

#[test]
fn halves_of_a_partition_both_doubt_themselves() {
    let mut net = net(4);
    net.seats[2].group = 1;
    net.seats[3].group = 1;
    net.run(ms(20_000));
    for (index, seat) in net.seats.iter().enumerate() {
        assert!(!trusts_itself(&net, index));
        assert!(seat.view.died.is_empty());
    }
}

#[parameterized(four = { 4 }, ninety = { 90 })]
fn facts_that_came_up_during_a_partition_are_healed(count: usize) {
    let mut net = net(count);
    for seat in net.seats.iter_mut().take(count / 2) {
        seat.group = 1;
    }
    net.run(ms(10_000));
    for index in 0..200 {
        let confirmed =
            Update::Quarantine { fingerprint: index, target: "e1".into(), confirmed: true };
        net.step(if index % 2 == 0 { 0 } else { count - 1 }, Message::Publish(confirmed));
    }
    // Long enough for the facts to be sent as often as new ones are.
    net.run(ms(120_000));
    assert_eq!(net.seats[1].view.quarantined.len(), 100);
    for seat in &mut net.seats {
        seat.group = 0;
    }
    net.run(ms(150_000));
    for (index, seat) in net.seats.iter().enumerate().skip(1).take(count - 2) {
        assert_eq!(seat.view.quarantined.len(), 200, "at {index}");
    }
}

#[test]
fn a_node_replaced_under_the_same_address_takes_the_old_ones_place() {
    let mut net = net(4);
    net.start(1, 5_000, &|settings| Settings {
        name: "new".into(),
        address: address(1),
        ..settings
    });
    net.step(1, Message::Listed((0..4).map(entry).collect()));
    net.run(ms(9_000));
    for at in [0, 2, 3] {
        assert_eq!(net.state(1, at), Some(State::Dead), "old name at {at}");
        assert_eq!(net.seats[at].view.nodes["new"].0, State::Alive);
    }
}

#[parameterized(four = { 4, true }, ninety = { 90, true }, not_pushed = { 90, false })]
fn word_that_a_target_leaves_is_everywhere_in_time(count: usize, push: bool) {
    let mut net = Net::new(count, 7, |settings| Settings { push, ..settings });
    let list: Vec<_> = vec![target("e1", "r1", Standing::Live)];
    net.run(ms(5_000));
    for index in 0..count {
        let nodes = (0..count).map(entry).chain(list.clone()).collect();
        net.step(index, Message::Listed(nodes));
    }
    net.run(ms(6_000));
    net.step(0, Message::Leaving("e1".into()));
    net.run(ms(20_000));
    let worst = net.seats.iter().map(|seat| seat.view.leaving["e1"]).max().unwrap() - ms(6_000);
    assert!(worst <= LEAVING_BOUND, "{worst:?}");
    // A list that has it live, because it lags, does not bring it back.
    for index in 0..count {
        let nodes = (0..count).map(entry).chain(list.clone()).collect();
        net.step(index, Message::Listed(nodes));
        assert_eq!(net.seats[index].view.targets[0].standing, Standing::Leaving);
    }
}

#[derive(Clone, Copy)]
struct Held {
    lists: &'static [Option<Standing>],
    after_ms: u64,
    leaving: bool,
}

#[parameterized(
    older_list = { Held { lists: &[Some(Standing::Live)], after_ms: 1_000, leaving: true } },
    list_agrees = { Held { lists: &[Some(Standing::Leaving)], after_ms: 1_000, leaving: true } },
    agrees_then_live = {
        Held { lists: &[Some(Standing::Leaving), Some(Standing::Live)], after_ms: 1_000, leaving: false }
    },
    gone_then_back = {
        Held { lists: &[None, Some(Standing::Live)], after_ms: 1_000, leaving: false }
    },
    held_for_the_stated_time = {
        Held { lists: &[Some(Standing::Live)], after_ms: 601_000, leaving: false }
    },
)]
fn word_holds_until_the_list_agrees_or_a_stated_time(case: Held) {
    let mut net = Net::new(1, 7, plain);
    net.step(0, Message::Listed(vec![target("e1", "r1", Standing::Live)]));
    net.step(0, Message::Leaving("e1".into()));
    for standing in case.lists {
        let list = standing.map(|standing| target("e1", "r1", standing)).into_iter().collect();
        net.step(0, Message::Listed(list));
    }
    net.run(ms(500 + case.after_ms));
    let leaving = net.seats[0].view.targets[0].standing == Standing::Leaving;
    assert_eq!(leaving, case.leaving);
}

#[parameterized(
    a_rack = { &["r1", "r1", "r2", "r3"], &[0, 1], &[2] },
    one = { &["r1", "r1", "r2", "r3"], &[0], &[] },
    apart = { &["r1", "r2", "r3", "r4", "r5"], &[0, 1], &[] },
    half_a_domain = { &["r1", "r2", "r3", "r4"], &[0, 1, 2], &[3] },
)]
fn targets_that_go_together_are_told(racks: &[&str], gone: &[usize], lost: &[usize]) {
    let mut net = Net::new(1, 7, plain);
    let all: Vec<_> = racks
        .iter()
        .enumerate()
        .map(|(index, rack)| target(&format!("e{index}"), rack, Standing::Live))
        .collect();
    net.step(0, Message::Listed(all.clone()));
    net.run(ms(2_000));
    let left = all.into_iter().enumerate().filter(|(index, _)| !gone.contains(index));
    net.step(0, Message::Listed(left.map(|(_, vm)| vm).collect()));
    let told: Vec<usize> = net.seats[0].view.lost.iter().map(Vec::len).collect();
    assert_eq!(told, lost);
}

#[test]
fn the_loss_of_the_list_changes_nothing_and_is_logged() {
    let mut net = net(4);
    for index in 0..4 {
        net.step(index, Message::ListUnavailable);
    }
    net.seats[1].up = false;
    net.run(ms(20_000));
    assert_eq!(net.state(1, 0), Some(State::Dead));
    assert_eq!(net.state(2, 0), Some(State::Alive));
    assert!(net.seats[0].view.events.contains(&208));
}

#[test]
fn a_node_that_no_list_has_yet_joins_by_its_heartbeats() {
    let mut net = net(4);
    net.start(4, 9, &plain);
    net.step(4, Message::Listed((0..5).map(entry).collect()));
    net.run(ms(8_000));
    for at in 0..4 {
        assert_eq!(net.state(4, at), Some(State::Alive), "as seen by {at}");
    }
}

#[test]
fn agreement_counts_only_nodes_that_have_been_fresh() {
    let mut net = net(4);
    for index in 0..4 {
        net.step(index, Message::Preset(7));
    }
    net.run(ms(8_000));
    assert!(net.seats[0].view.agreed.is_none(), "nobody may vouch");
    for index in 1..4 {
        net.step(index, Message::Proof(Some(ms(7_000))));
    }
    net.run(ms(10_000));
    let (version, at) = net.seats[0].view.agreed.unwrap();
    assert_eq!(version, 7);
    assert!(at > ms(8_000));
    assert!(net.seats[0].view.proved.is_some_and(|at| at <= ms(7_000) && at > ms(6_500)));
}

#[test]
fn demand_is_exact_where_all_organisations_fit_a_heartbeat() {
    let mut net = net(4);
    for index in 0..4 {
        let own = (0..10).map(|org| (format!("o{org}").into(), f64::from(org + 1))).collect();
        net.step(index, Message::Demand(own));
    }
    net.run(ms(30_000));
    for seat in &net.seats {
        for (org, expected) in [("o0", 4.0), ("o9", 40.0)] {
            let found = seat.view.demand[org];
            assert!((found - expected).abs() < 1e-6, "{org}: {found}");
        }
    }
}

#[test]
fn word_of_a_node_that_the_other_never_heard_counts() {
    // The teller knows no incarnation of the node, and so none that it could name.
    let mut net = Net::new(1, 7, plain);
    net.step(0, Message::Listed((0..3).map(entry).collect()));
    let heard = Heartbeat { from: name(1).into(), incarnation: 5, ..Heartbeat::default() };
    net.step(0, Message::Received(heard));
    net.run(ms(10_000));
    let update = Update::Standing {
        node: name(1).into(),
        incarnation: 0,
        address: address(1),
        state: State::Suspect,
    };
    let facts = vec![Fact { version: 1, ttl: Some(ms(60_000)), update }];
    net.step(
        0,
        Message::Received(Heartbeat { from: name(2).into(), facts, ..Heartbeat::default() }),
    );
    assert_eq!(net.state(1, 0), Some(State::Suspect));
}

#[test]
fn a_node_that_leaves_is_left_and_not_dead() {
    let mut net = net(4);
    net.step(1, Message::Leave);
    net.run(ms(5_500));
    net.seats[1].up = false;
    net.run(ms(20_000));
    for at in [0, 2, 3] {
        assert_eq!(net.state(1, at), Some(State::Left));
        assert!(!net.seats[at].view.accused.contains_key(&name(1)));
    }
}
