//! Presets over membership: followers and nodes together, with a store that may be out.

mod common;

use std::time::Duration;

use common::{Net, entry, ms};
use member::{Message, Settings};
use preset::{Change, Follower, Organisation, Preset, Stored};

const PROMISE: Duration = Duration::from_secs(6);
const MARK: Duration = Duration::from_secs(2);

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

fn plain(settings: Settings) -> Settings {
    settings
}

fn attach(net: &mut Net, index: usize) {
    net.seats[index].follower = Some(Follower::new(preset::Settings::default()));
    net.follow(index, preset::Message::Wake);
}

/// Four nodes with version 1 in force.
fn four() -> Net {
    let mut net = Net::new(4, 7, plain);
    net.stored = Some(value(1));
    for index in 0..4 {
        attach(&mut net, index);
    }
    net.run(ms(10_000));
    assert_eq!(working(&net), [true; 4]);
    net
}

fn working(net: &Net) -> Vec<bool> {
    (0..4).map(|index| net.fresh(index)).collect()
}

fn versions(net: &Net) -> Vec<u64> {
    net.seats.iter().map(|seat| seat.view.preset).collect()
}

#[test]
fn a_change_is_in_force_everywhere_in_time_also_where_the_store_is_out() {
    let mut net = four();
    for index in 1..4 {
        net.seats[index].store = false;
    }
    net.stored = Some(value(2));
    net.run(ms(10_000) + MARK);
    assert_eq!(versions(&net), [2; 4]);
    net.run(ms(60_000));
    assert_eq!(working(&net), [true; 4], "proofs come from the one that has the store");
}

#[test]
fn a_node_cut_off_from_store_and_nodes_stops_before_the_promise_is_broken() {
    let mut net = four();
    net.seats[3].group = 1;
    net.seats[3].store = false;
    net.stored = Some(value(2));
    net.run(ms(10_000) + PROMISE);
    assert_eq!(versions(&net), [2, 2, 2, 1]);
    assert_eq!(working(&net), [true, true, true, false]);
    net.seats[3].group = 0;
    net.run(ms(20_000));
    assert_eq!(versions(&net), [2; 4]);
    assert_eq!(working(&net), [true; 4]);
}

#[test]
fn the_store_is_out_for_all_for_ten_minutes_and_a_majority_goes_on() {
    let mut net = four();
    for seat in &mut net.seats {
        seat.store = false;
    }
    net.run(ms(600_000));
    assert_eq!(working(&net), [true; 4]);
    net.seats[3].group = 1;
    net.run(ms(610_000));
    assert_eq!(working(&net), [true, true, true, false]);
    net.seats[2].group = 1;
    net.run(ms(620_000));
    assert_eq!(working(&net), [false; 4], "neither half is a majority");
}

#[test]
fn a_node_that_starts_in_an_outage_learns_from_the_others() {
    let mut net = four();
    for seat in &mut net.seats {
        seat.store = false;
    }
    net.run(ms(30_000));
    restart(&mut net, 3);
    assert!(!net.fresh(3));
    net.run(ms(40_000));
    assert_eq!(versions(&net), [1; 4]);
    assert_eq!(working(&net), [true; 4]);
}

#[test]
fn nodes_that_forgot_do_not_make_up_a_majority() {
    let mut net = four();
    // The last node to know version 2 goes, and two that knew it restart with nothing.
    net.seats[0].group = 1;
    net.seats[0].store = false;
    net.stored = Some(value(2));
    net.run(ms(20_000));
    assert_eq!(versions(&net), [1, 2, 2, 2]);
    for seat in &mut net.seats {
        seat.store = false;
    }
    net.seats[3].up = false;
    restart(&mut net, 1);
    restart(&mut net, 2);
    net.seats[0].group = 0;
    net.run(ms(60_000));
    assert_eq!(versions(&net)[..3], [1, 1, 1], "all that are left have learned the old one");
    assert_eq!(working(&net)[..3], [false; 3], "and none of them works under it");
}

#[test]
fn a_node_paused_for_a_minute_takes_nothing_old() {
    let mut net = four();
    net.pause(2, ms(60_000));
    net.stored = Some(value(2));
    net.run(ms(69_999));
    assert_eq!(versions(&net), [2, 2, 1, 2]);
    assert!(!net.fresh(2));
    net.run(ms(70_000));
    assert!(!net.fresh(2) || versions(&net)[2] == 2);
    net.run(ms(72_000));
    assert_eq!(versions(&net), [2; 4]);
    assert!(net.fresh(2));
}

fn restart(net: &mut Net, index: usize) {
    net.start(index, 1_000_000, &plain);
    net.seats[index].store = false;
    net.step(index, Message::Listed((0..4).map(entry).collect()));
    attach(net, index);
}
