//! Tests nodes that rely on other nodes for proof that the state of the store has not changed.

mod entry;

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use entry::Entry;
use platform_standin::{Call, Document, PLAIN, Platform, Route, Settings, Setup, send_call};

/// Number of nodes of a site; four of them follow the store.
const NODES: u8 = 12;
/// Maximum time that a withdrawn key may still be accepted.
const REVOKE: Duration = Duration::from_secs(5);
/// Time within which a change takes effect at a node that can reach the store.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for an expected state.
const STATE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time during which calls are counted.
const COUNT_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of calls for changes in `COUNT_PERIOD`: four followers that ask every second send
/// forty. Twelve nodes that ask every two seconds would send sixty.
const MAX_WATCHES: usize = 48;

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
        let all_serve = || site.nodes.iter().all(|node| accepts_key(node.front, "k2"));
        assert!(site.platform.wait(STATE_TIMEOUT, all_serve), "all nodes serve");
        // Waits until the nodes know each other and receive proofs.
        sleep(Duration::from_secs(4));
        site
    }

    /// Sends requests with a key to all nodes until `until`; returns the nodes that refused at least
    /// one.
    fn refusing(&self, key: &'static str, until: Instant) -> Vec<usize> {
        let mut refusing = Vec::new();
        while Instant::now() < until {
            refusing
                .extend((0..self.nodes.len()).filter(|&n| !accepts_key(self.nodes[n].front, key)));
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

fn accepts_key(node: SocketAddr, key: &'static str) -> bool {
    let what = Call { key: Some(key), ..Call::new(Route::Safe, "r") };
    send_call(node, &what).status == Some(200)
}

#[test]
fn few_nodes_ask_the_store_while_nothing_changes() {
    let site = Site::start(1);
    let before = site.platform.watch_count();
    let refusing = site.refusing("k1", Instant::now() + COUNT_PERIOD);
    assert!(refusing.is_empty(), "nodes {refusing:?} refused a key");
    let watches = site.platform.watch_count() - before;
    assert!(watches <= MAX_WATCHES, "{watches} calls");
}

#[test]
fn change_is_in_force_at_all_nodes() {
    let site = Site::start(2);
    site.platform.configure(&document(2, vec!["k2"]));
    sleep(CHANGE_TIMEOUT);
    for (number, node) in site.nodes.iter().enumerate() {
        assert!(!accepts_key(node.front, "k1"), "node {number} accepts a withdrawn key");
        assert!(accepts_key(node.front, "k2"), "node {number} refuses a key");
    }
}

// Guards against nodes relying on proofs of followers that are lost, and against all remaining
// nodes refusing keys when followers are lost.
#[test]
fn nodes_ask_the_store_themselves_when_others_are_lost() {
    let mut site = Site::start(3);
    // Nine of twelve nodes end, so at least one of the four followers is among them.
    site.nodes.truncate(3);
    let refusing = site.refusing("k2", Instant::now() + Duration::from_secs(7));
    assert!(refusing.is_empty(), "nodes {refusing:?} refused a key");
    site.platform.configure(&document(2, vec!["k2"]));
    sleep(CHANGE_TIMEOUT);
    assert!(site.nodes.iter().all(|node| !accepts_key(node.front, "k1")));
}

// Guards against accepting proofs that were in transit while the process was paused.
#[test]
fn paused_node_accepts_no_withdrawn_key() {
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
        assert!(site.nodes.iter().all(|node| !accepts_key(node.front, "k1")));
    }
}

#[test]
fn keys_are_refused_while_the_store_is_unavailable() {
    let site = Site::start(5);
    site.platform.set_unavailable(true);
    sleep(REVOKE);
    assert!(
        site.nodes.iter().all(|node| !accepts_key(node.front, "k2")),
        "a node accepts keys without proof"
    );
    site.platform.set_unavailable(false);
    let all_serve = || site.nodes.iter().all(|node| accepts_key(node.front, "k2"));
    assert!(site.platform.wait(STATE_TIMEOUT, all_serve), "all nodes serve again");
}
