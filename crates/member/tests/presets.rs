//! Preset followers over membership, with and without store outages.

mod common;

use std::time::Duration;

use common::{Network, entry, ms};
use member::{Message, Settings};
use preset::{Change, Follower, Organisation, Preset, Stored};

/// Time after a change from which no node may work under the old preset.
const STALE_LIMIT: Duration = Duration::from_secs(6);
/// Time in which a change must be in force at all nodes.
const IN_FORCE_BOUND: Duration = Duration::from_secs(2);

fn value(version: u64) -> Vec<u8> {
    let document = Preset {
        version: 0,
        change: Change::default(),
        name: "ordinary".into(),
        queue: 10,
        wait: ms(1_000),
        retry_share: 0.1,
        attempts: 3,
        quarantine: ms(600_000),
        organisations: vec![Organisation { name: "o".into(), weight: 1.0, keys: vec![] }],
        links: vec![],
    };
    Stored::following(None, &document, &format!("c{version}").into(), version).encode()
}

fn unchanged(settings: Settings) -> Settings {
    settings
}

fn attach(network: &mut Network, index: usize) {
    network.hosts[index].follower = Some(Follower::new(preset::Settings::default()));
    network.step_follower(index, preset::Message::Wake);
}

/// Returns four nodes with version 1 in force.
fn four_nodes() -> Network {
    let mut network = Network::new(4, 7, unchanged);
    network.stored = Some(value(1));
    for index in 0..4 {
        attach(&mut network, index);
    }
    network.run(ms(10_000));
    assert_eq!(fresh(&network), [true; 4]);
    network
}

fn fresh(network: &Network) -> Vec<bool> {
    (0..4).map(|index| network.fresh(index)).collect()
}

fn versions(network: &Network) -> Vec<u64> {
    network.hosts.iter().map(|host| host.view.preset).collect()
}

#[test]
fn change_is_in_force_everywhere_in_time_despite_store_outages() {
    let mut network = four_nodes();
    for index in 1..4 {
        network.hosts[index].store = false;
    }
    network.stored = Some(value(2));
    network.run(ms(10_000) + IN_FORCE_BOUND);
    assert_eq!(versions(&network), [2; 4]);
    network.run(ms(60_000));
    assert_eq!(fresh(&network), [true; 4], "proofs come from the node that reaches the store");
}

#[test]
fn isolated_node_stops_before_its_preset_is_too_old() {
    let mut network = four_nodes();
    network.hosts[3].partition = 1;
    network.hosts[3].store = false;
    network.stored = Some(value(2));
    network.run(ms(10_000) + STALE_LIMIT);
    assert_eq!(versions(&network), [2, 2, 2, 1]);
    assert_eq!(fresh(&network), [true, true, true, false]);
    network.hosts[3].partition = 0;
    network.run(ms(20_000));
    assert_eq!(versions(&network), [2; 4]);
    assert_eq!(fresh(&network), [true; 4]);
}

#[test]
fn majority_stays_fresh_in_a_store_outage_of_ten_minutes() {
    let mut network = four_nodes();
    for host in &mut network.hosts {
        host.store = false;
    }
    network.run(ms(600_000));
    assert_eq!(fresh(&network), [true; 4]);
    network.hosts[3].partition = 1;
    network.run(ms(610_000));
    assert_eq!(fresh(&network), [true, true, true, false]);
    network.hosts[2].partition = 1;
    network.run(ms(620_000));
    assert_eq!(fresh(&network), [false; 4], "neither half is a majority");
}

#[test]
fn node_started_in_a_store_outage_learns_from_others() {
    let mut network = four_nodes();
    for host in &mut network.hosts {
        host.store = false;
    }
    network.run(ms(30_000));
    restart(&mut network, 3);
    assert!(!network.fresh(3));
    network.run(ms(40_000));
    assert_eq!(versions(&network), [1; 4]);
    assert_eq!(fresh(&network), [true; 4]);
}

#[test]
fn restarted_nodes_do_not_form_a_majority() {
    let mut network = four_nodes();
    // Of the nodes that know version 2, one stops and two restart without state.
    network.hosts[0].partition = 1;
    network.hosts[0].store = false;
    network.stored = Some(value(2));
    network.run(ms(20_000));
    assert_eq!(versions(&network), [1, 2, 2, 2]);
    for host in &mut network.hosts {
        host.store = false;
    }
    network.hosts[3].up = false;
    restart(&mut network, 1);
    restart(&mut network, 2);
    network.hosts[0].partition = 0;
    network.run(ms(60_000));
    assert_eq!(
        versions(&network)[..3],
        [1, 1, 1],
        "the remaining nodes have learned the old version"
    );
    assert_eq!(fresh(&network)[..3], [false; 3], "no node accepts work under the old version");
}

#[test]
fn node_paused_for_a_minute_is_not_fresh_under_an_old_preset() {
    let mut network = four_nodes();
    network.pause(2, ms(60_000));
    network.stored = Some(value(2));
    network.run(ms(69_999));
    assert_eq!(versions(&network), [2, 2, 1, 2]);
    assert!(!network.fresh(2));
    network.run(ms(70_000));
    assert!(!network.fresh(2) || versions(&network)[2] == 2);
    network.run(ms(72_000));
    assert_eq!(versions(&network), [2; 4]);
    assert!(network.fresh(2));
}

fn restart(network: &mut Network, index: usize) {
    network.start(index, 1_000_000, &unchanged);
    network.hosts[index].store = false;
    network.step(index, Message::Listed((0..4).map(entry).collect()));
    attach(network, index);
}
