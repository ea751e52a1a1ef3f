//! Nodes that let others prove to them that the store's state has not changed.

mod entry;

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use entry::Entry;
use platform_standin::{Call, Document, PLAIN, Platform, Route, Settings, Setup, send_call};

/// Nodes of a site; four of them follow the store closely.
const NODES: u8 = 12;
/// How long a withdrawn key may be honoured.
const REVOKE: Duration = Duration::from_secs(5);
/// Within this time a change is in force at a node that the store reaches.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Longest wait for a state that follows soon.
const SOON: Duration = Duration::from_secs(15);
/// Time in which calls are counted.
const COUNTED: Duration = Duration::from_secs(10);
/// Most calls for changes in that time: four followers ask every second. Twelve that ask every two
/// seconds would take sixty.
const MOST_WATCHES: usize = 48;

struct Site {
    platform: Platform,
    nodes: Vec<Entry>,
}

impl Site {
    fn start(number: u8) -> Self {
        let host = format!("127.88.{number}.1");
        let platform = Platform::start(&host);
        platform.configure(&document(1, vec!["k1", "k2"]));
        let setup = Setup { id: "p1".into(), service: PLAIN, domain: "a", events: 0 };
        platform.start_target(&host, setup);
        let node = |index: u8| {
            let host = format!("127.88.{number}.{}", 10 + index);
            let settings = Settings::new(&format!("n{index}"), "a", &host, platform.store());
            Entry::start(&format!("relay-{number}-{index}"), &settings.with_revoke(REVOKE))
        };
        let nodes: Vec<Entry> = (0..NODES).map(node).collect();
        let site = Self { platform, nodes };
        let all_serve = || site.nodes.iter().all(|node| honours(node.front, "k2"));
        assert!(site.platform.wait(SOON, all_serve), "all nodes serve");
        // They know each other, and proofs come.
        sleep(Duration::from_secs(4));
        site
    }

    /// Asks all nodes with a key until a time; returns those that refused it once at least.
    fn refusing(&self, key: &'static str, until: Instant) -> Vec<usize> {
        let mut refusing = Vec::new();
        while Instant::now() < until {
            refusing.extend((0..self.nodes.len()).filter(|&n| !honours(self.nodes[n].front, key)));
            sleep(Duration::from_millis(100));
        }
        refusing.sort_unstable();
        refusing.dedup();
        refusing
    }
}

fn document(version: u64, keys: Vec<&'static str>) -> Document {
    Document { version, keys, ..Document::default() }
}

fn honours(node: SocketAddr, key: &'static str) -> bool {
    let what = Call { key: Some(key), ..Call::new(Route::Safe, "r") };
    send_call(node, &what).status == Some(200)
}

#[test]
fn few_nodes_ask_the_store_while_nothing_changes() {
    let site = Site::start(1);
    let before = site.platform.watch_count();
    let refusing = site.refusing("k1", Instant::now() + COUNTED);
    assert!(refusing.is_empty(), "nodes {refusing:?} refused a key");
    let watches = site.platform.watch_count() - before;
    assert!(watches <= MOST_WATCHES, "{watches} calls");
}

#[test]
fn change_is_in_force_at_all_nodes() {
    let site = Site::start(2);
    site.platform.configure(&document(2, vec!["k2"]));
    sleep(IN_FORCE);
    for (number, node) in site.nodes.iter().enumerate() {
        assert!(!honours(node.front, "k1"), "node {number} honours a withdrawn key");
        assert!(honours(node.front, "k2"), "node {number} refuses a key");
    }
}

// Guards against nodes going on by the word of followers that are gone, and against all of them
// refusing keys together with those.
#[test]
fn nodes_ask_the_store_themselves_when_others_are_lost() {
    let mut site = Site::start(3);
    // Whichever they are, one follower is among them at least.
    site.nodes.truncate(3);
    let refusing = site.refusing("k2", Instant::now() + Duration::from_secs(7));
    assert!(refusing.is_empty(), "nodes {refusing:?} refused a key");
    site.platform.configure(&document(2, vec!["k2"]));
    sleep(IN_FORCE);
    assert!(site.nodes.iter().all(|node| !honours(node.front, "k1")));
}

// Guards against proofs that were on their way while the process stood still.
#[test]
fn node_that_stood_still_honours_no_withdrawn_key() {
    let site = Site::start(4);
    for node in &site.nodes {
        node.signal("STOP");
    }
    sleep(Duration::from_millis(200));
    site.platform.configure(&document(2, vec!["k2"]));
    sleep(REVOKE + Duration::from_millis(300));
    for node in &site.nodes {
        node.signal("CONT");
    }
    let until = Instant::now() + Duration::from_secs(1);
    while Instant::now() < until {
        assert!(site.nodes.iter().all(|node| !honours(node.front, "k1")));
    }
}

#[test]
fn store_that_is_away_ends_all_proofs() {
    let site = Site::start(5);
    site.platform.set_unavailable(true);
    sleep(REVOKE);
    assert!(site.nodes.iter().all(|node| !honours(node.front, "k2")), "nobody knows");
    site.platform.set_unavailable(false);
    let all_serve = || site.nodes.iter().all(|node| honours(node.front, "k2"));
    assert!(site.platform.wait(SOON, all_serve), "all nodes serve again");
}
