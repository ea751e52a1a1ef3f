//! Withdrawn keys, when the store comes back from a copy in which they are valid.

#[allow(dead_code, reason = "no signals are sent here")]
mod entry;
mod site;

use std::thread::sleep;
use std::time::{Duration, Instant};

use platform_standin::{Call, Document, Route, send_call};
use site::{Site, start_node};
use yare::parameterized;

/// Time after which no node accepts a withdrawn key.
const REVOKE: Duration = Duration::from_millis(2500);
/// Time for which the store is away. The bound on withdrawn keys ends before the operators have
/// written again.
const ABSENCE: Duration = Duration::from_millis(1500);
/// Time from the return until the operators write again, if they are in time.
const REWRITE_DELAY: Duration = Duration::from_millis(1800);
/// The same for operators that are late.
const LATE_REWRITE_DELAY: Duration = Duration::from_secs(6);
/// Time within which an accepted configuration is in force, and the store marks a settled era.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);
/// Time within which a node accepts keys after its start on an ordinary day: less than it waits for
/// the operators after a return.
const START_LIMIT: Duration = Duration::from_millis(2000);
/// Interval between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Prefix of the mark of a settled era.
const MARK_PREFIX: &str = "magnoliarun/settled-era";

fn status(site: &Site, node: usize, key: &'static str) -> Option<u16> {
    let call = Call { key: Some(key), ..Call::new(Route::Safe, "r") };
    send_call(site.nodes[node].front, &call).status
}

/// Returns the answers of a node to requests with a key until a time, one at least.
fn statuses(site: &Site, node: usize, key: &'static str, until: Instant) -> Vec<Option<u16>> {
    let mut found = vec![status(site, node, key)];
    while Instant::now() < until {
        sleep(CALL_INTERVAL);
        found.push(status(site, node, key));
    }
    found
}

fn document(version: u64, keys: &[&'static str]) -> Document {
    Document { version, keys: keys.to_vec(), ..Document::default() }
}

fn accepts(site: &Site, node: usize, key: &'static str) -> bool {
    site.platform.wait(SETTLE_LIMIT, || status(site, node, key) == Some(200))
}

// Guards against a key that is accepted after the bound because no node had received its withdrawal
// before the store left, and the copy does not have it.
#[parameterized(running = { 240, false }, all_started_again = { 241, true })]
fn unknown_withdrawal_counts_after_a_copy(number: u8, restarts: bool) {
    let mut site = Site::start(number, 2, &document(1, &["k1", "k2"]));
    let copy = site.platform.copy_store();
    site.platform.set_unavailable(true);
    // The nodes get no answer from the store any more.
    site.platform.configure(&document(2, &["k1"]));
    let withdrawn_at = Instant::now();
    if restarts {
        site.nodes.clear();
        site.nodes = (0..2).map(|index| start_node(&site.platform, number, index)).collect();
    }
    sleep(ABSENCE);
    site.platform.restore_content(copy);
    site.platform.set_unavailable(false);
    let returned_at = Instant::now();
    sleep((withdrawn_at + REVOKE).saturating_duration_since(Instant::now()));
    while returned_at.elapsed() < REWRITE_DELAY {
        for node in 0..2 {
            assert_ne!(status(&site, node, "k2"), Some(200), "node {node} accepts a withdrawn key");
        }
        sleep(CALL_INTERVAL);
    }
    site.platform.configure(&document(2, &["k1"]));
    for node in 0..2 {
        assert!(accepts(&site, node, "k1"));
        assert_eq!(status(&site, node, "k2"), Some(401));
    }
}

// Guards against a node that starts while the operators have not written again for long, and accepts
// a key that another node knows to be withdrawn.
#[test]
fn started_node_contradicts_no_other_node() {
    let mut site = Site::start(242, 2, &document(1, &["k1", "k2"]));
    let copy = site.platform.copy_store();
    site.platform.configure(&document(2, &["k1"]));
    assert!(site.platform.wait(SETTLE_LIMIT, || status(&site, 0, "k2") == Some(401)));
    site.platform.set_unavailable(true);
    site.nodes.truncate(1);
    sleep(ABSENCE);
    site.platform.restore_content(copy);
    site.platform.set_unavailable(false);
    let returned_at = Instant::now();
    site.nodes.push(start_node(&site.platform, 242, 1));
    let found = statuses(&site, 1, "k2", returned_at + LATE_REWRITE_DELAY);
    assert!(!found.contains(&Some(200)), "the withdrawn key is accepted: {found:?}");
    assert_eq!(status(&site, 0, "k1"), Some(200), "the other node goes on");
    site.platform.configure(&document(2, &["k1"]));
    assert!(accepts(&site, 1, "k1"));
    assert_eq!(status(&site, 1, "k2"), Some(401));
}

// Guards against a node that refuses keys for seconds after its start on an ordinary day, because
// the store has come back from a copy at some time.
#[test]
fn node_accepts_keys_at_its_start_in_a_settled_era() {
    let mut site = Site::start(243, 2, &document(1, &["k1"]));
    assert!(site.platform.items(MARK_PREFIX).is_empty(), "the first era needs no mark");
    site.platform.restore_content_as(site.platform.copy_store(), 7);
    site.platform.register_targets();
    let is_marked = || site.platform.items(MARK_PREFIX).iter().any(|(_, value)| value == b"7");
    assert!(site.platform.wait(SETTLE_LIMIT, is_marked), "the leader marks the era");
    site.nodes.truncate(1);
    let started_at = Instant::now();
    site.nodes.push(start_node(&site.platform, 243, 1));
    assert!(accepts(&site, 1, "k1"));
    let after = started_at.elapsed();
    assert!(after < START_LIMIT, "accepts keys after {after:?}");
}
