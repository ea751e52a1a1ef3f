//! Tests the entry process when the store comes back from a copy: what was written since the copy
//! is gone, and revisions are given out again.

#[allow(dead_code, reason = "no signals are sent here")]
mod entry;
mod site;

use std::thread::sleep;
use std::time::{Duration, Instant};

use platform_standin::{Call, Document, Route, StoreCopy, send_call};
use site::{EVENTS, STATE_TIMEOUT, Site, start_node};
use yare::parameterized;

/// Time within which an accepted configuration is in force.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);
/// Time for which the store is away.
const ABSENCE: Duration = Duration::from_millis(500);
/// Writes to the store that a copy does not have.
const LOST_WRITES: u64 = 300;
/// Time within which the nodes have written their entries again.
const REWRITE_LIMIT: Duration = Duration::from_secs(4);

impl Site {
    fn status(&self, node: usize, key: &'static str) -> Option<u16> {
        let call = Call { key: Some(key), ..Call::new(Route::Safe, "r") };
        send_call(self.nodes[node].front, &call).status
    }

    /// Returns whether all nodes answer a request with the key with this status soon.
    fn all_answer(&self, key: &'static str, status: u16) -> bool {
        let answers = |node| self.status(node, key) == Some(status);
        (0..self.nodes.len()).all(|node| self.platform.wait(CONFIG_LIMIT, || answers(node)))
    }

    /// Takes the store away for a moment and brings the copy back.
    fn drill(&self, copy: StoreCopy) {
        self.platform.set_unavailable(true);
        sleep(ABSENCE);
        self.platform.restore_store(copy);
        self.platform.set_unavailable(false);
    }
}

fn document(version: u64, keys: &[&'static str]) -> Document {
    Document { version, keys: keys.to_vec(), ..Document::default() }
}

// Guards against a configuration in force being taken back by an older copy, and against later
// ones being ignored because their revisions are lower than known ones.
#[parameterized(once = { 1, 1 }, twice = { 2, 2 })]
fn configuration_is_kept_and_replaced_after_a_copy(number: u8, drills: u64) {
    let site = Site::start(130 + number, 2, &document(1, &["k1", "k2"]));
    for drill in 0..drills {
        let version = 1000 * (drill + 1);
        site.platform.configure(&document(version, &["k1", "k2"]));
        let copy = site.platform.copy_store();
        // Revisions after the copy stay below these for a while.
        for step in 1..LOST_WRITES {
            site.platform.configure(&document(version + step, &["k1"]));
        }
        assert!(site.all_answer("k2", 401), "k2 is withdrawn");
        site.drill(copy);
        for _ in 0..10 {
            for node in 0..2 {
                let status = site.status(node, "k2");
                assert!(status != Some(200), "k2 is accepted again: {status:?}");
            }
            sleep(Duration::from_millis(50));
        }
        site.platform.configure(&document(version + LOST_WRITES, &["k1"]));
        site.platform.configure(&document(version + LOST_WRITES + 1, &["k1", "k3"]));
        assert!(site.all_answer("k3", 200), "the next configuration is in force");
        assert!(site.all_answer("k1", 200));
        assert!(site.all_answer("k2", 401));
        site.platform.configure(&document(version + LOST_WRITES + 2, &["k1", "k2"]));
        assert!(site.all_answer("k2", 200));
    }
}

// Guards against no node sending orders after a copy, because the fencing number of the new leader
// is lower than one that is known.
#[test]
fn engines_are_placed_after_a_copy() {
    let site = Site::start(133, 2, &Document::default());
    let copy = site.platform.copy_store();
    for step in 1..LOST_WRITES {
        site.platform.configure(&document(1 + step, &[]));
    }
    // The leader's lease ends, and the next leader has a higher number.
    site.platform.end_leases();
    sleep(REWRITE_LIMIT);
    site.drill(copy);
    sleep(REWRITE_LIMIT);
    // All engines restart without layers.
    site.engines.iter().for_each(|engine| site.platform.restart(*engine));
    sleep(Duration::from_secs(1));
    for node in 0..2 {
        assert!(site.serves(node, None), "node {node} serves");
    }
}

// Guards against engines being ordered to load the layers that they hold, because their entries in
// the copy are from before they had loaded them.
#[test]
fn no_order_is_repeated_after_a_copy() {
    let site = Site::start(135, 2, &Document::default());
    let placed = site.platform.placements().len();
    site.engines.iter().for_each(|engine| site.platform.restart(*engine));
    // The lease of the leader is in the copy and goes on.
    let mut copy = site.platform.copy_store();
    let until = Instant::now() + STATE_TIMEOUT;
    while site.platform.placements().len() == placed {
        assert!(Instant::now() < until, "the engines are placed");
        sleep(Duration::from_millis(10));
        let next = site.platform.copy_store();
        if site.platform.placements().len() == placed {
            copy = next;
        }
    }
    sleep(Duration::from_millis(300));
    site.platform.set_unavailable(true);
    sleep(Duration::from_millis(100));
    site.platform.restore_content(copy);
    site.platform.set_unavailable(false);
    sleep(Duration::from_millis(1500));
    site.platform.register_targets();
    sleep(REWRITE_LIMIT);
    let repeated = site.platform.placements().into_iter();
    let repeated: Vec<_> = repeated.filter(|order| order.before == Some(order.layers)).collect();
    assert!(repeated.is_empty(), "{repeated:#?}");
}

// Guards against what the nodes keep in the store being lost with a copy.
#[test]
fn entries_of_the_nodes_are_written_again_after_a_copy() {
    let mut site = Site::start(134, 2, &Document { attempts: 4, ..Document::default() });
    let copy = site.platform.copy_store();
    site.platform.set_crashing_part("d0", true);
    let call = |id: &str| Call {
        parts: format!("a0:40,d0:20,{}:60", id.len()),
        body: id.to_owned().leak(),
        ..Call::new(Route::Resumable, id)
    };
    for turn in 0..6 {
        send_call(site.nodes[turn % 2].front, &call(&format!("c{turn}")));
        sleep(Duration::from_millis(700));
    }
    let quarantined = || site.platform.items("magnoliarun/quarantine/").len();
    let before = quarantined();
    assert!(before > 0, "the part is quarantined");
    site.drill(copy);
    assert!(site.platform.wait(REWRITE_LIMIT, || quarantined() >= before));
    assert!(
        site.platform.wait(REWRITE_LIMIT, || site.platform.items("magnoliarun/nodes/").len() == 2)
    );
    site.nodes.clear();
    site.nodes = (2..4).map(|index| start_node(&site.platform, 134, index)).collect();
    let plain = Call::new(Route::Resumable, "plain");
    let served = || send_call(site.nodes[0].front, &plain).is_complete(EVENTS);
    assert!(site.platform.wait(STATE_TIMEOUT, served));
    assert_eq!(send_call(site.nodes[0].front, &call("last")).status, Some(503));
}
