//! A site for tests on the users' platform: nodes as processes, engines and plain targets.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::net::SocketAddr;
use std::thread::{JoinHandle, sleep};
use std::time::Duration;

use platform_standin::{
    Call, Document, Fault, MODEL, PLAIN, Platform, Reply, Route, Run, Settings, Setup, send_call,
    spawn_call,
};

use crate::entry::{Entry, sum_of_counters, text};

/// Events of each stream; they take 10 ms each.
pub(crate) const EVENTS: u64 = 40;
/// Longest wait for an expected state.
pub(crate) const STATE_TIMEOUT: Duration = Duration::from_secs(15);
/// Port of the metrics.
const METRICS_PORT: u16 = 9464;
/// Ids of the engines, by failure domain.
const ENGINES: [(&str, &str); 6] =
    [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("b2", "b"), ("b3", "b")];

/// Nodes, engines and plain targets of a test.
pub(crate) struct Site {
    pub(crate) platform: Platform,
    pub(crate) nodes: Vec<Entry>,
    pub(crate) engines: Vec<SocketAddr>,
    pub(crate) plain: Vec<SocketAddr>,
}

impl Site {
    /// Starts `nodes` nodes on the hosts of one test and waits until all serve streams.
    pub(crate) fn start(number: u8, nodes: u8, document: &Document) -> Self {
        Self::start_nodes(number, nodes, document, false)
    }

    /// The same, with a view of the targets of its own for each node, so that it can be cut off.
    pub(crate) fn start_with_views(number: u8, nodes: u8, document: &Document) -> Self {
        Self::start_nodes(number, nodes, document, true)
    }

    fn start_nodes(number: u8, nodes: u8, document: &Document, views: bool) -> Self {
        let host = format!("127.82.{number}.1");
        let platform = Platform::start(&host);
        platform.configure(document);
        let engines = ENGINES.map(|(id, domain)| {
            platform.start_target(
                &host,
                Setup { id: id.into(), service: MODEL, domain, events: EVENTS },
            )
        });
        let plain = ["p1", "p2"].map(|id| {
            platform.start_target(
                &host,
                Setup { id: id.into(), service: PLAIN, domain: "a", events: 0 },
            )
        });
        let start = |index: u8| {
            let host = node_host(number, index);
            let store = if views { platform.add_view(&view_of(&host)) } else { platform.store() };
            start_node_at(store, number, index)
        };
        let nodes: Vec<Entry> = (0..nodes).map(start).collect();
        sleep(Settings::STARTUP_WITHOUT_RETRIES);
        let site = Self { platform, nodes, engines: engines.into(), plain: plain.into() };
        for node in 0..site.nodes.len() {
            assert!(site.serves(node, document.keys.first().copied()), "node {node} serves");
        }
        site
    }

    /// Returns whether a node serves a stream within `STATE_TIMEOUT`.
    pub(crate) fn serves(&self, node: usize, key: Option<&'static str>) -> bool {
        let what = Call { key, ..Call::new(Route::Resumable, "probe") };
        self.platform
            .wait(STATE_TIMEOUT, || send_call(self.nodes[node].front, &what).is_complete(EVENTS))
    }

    pub(crate) fn ask(&self, node: usize, route: Route, id: &str) -> Reply {
        send_call(self.nodes[node].front, &Call::new(route, id))
    }

    /// Starts `count` streams at a node; their ids are `id` followed by a number.
    pub(crate) fn streams(&self, node: usize, id: &str, count: usize) -> Vec<JoinHandle<Reply>> {
        let stream = |number| {
            let what = Call::new(Route::Resumable, &format!("{id}{number}"));
            spawn_call(self.nodes[node].front, what)
        };
        (0..count).map(stream).collect()
    }

    /// Returns the runs of the requests whose id starts with `id`.
    pub(crate) fn runs(&self, id: &str) -> Vec<Run> {
        let runs = self.platform.runs().into_iter();
        runs.filter(|run| run.request.starts_with(id)).collect()
    }

    pub(crate) fn set_fault(&self, targets: &[SocketAddr], fault: Fault) {
        for &target in targets {
            self.platform.set_fault(target, fault);
        }
    }

    /// Returns the engines of the path of the last run whose request id starts with `id`.
    pub(crate) fn path(&self, id: &str) -> Vec<SocketAddr> {
        self.runs(id).pop().map(|run| run.engines).unwrap_or_default()
    }

    pub(crate) fn metrics(&self, node: usize) -> String {
        let address = SocketAddr::new(self.nodes[node].front.ip(), METRICS_PORT);
        text(address, "/metrics").expect("metrics are served")
    }

    /// Returns the sum of the counters of a node whose name starts with `name`.
    pub(crate) fn counter(&self, node: usize, name: &str) -> u64 {
        sum_of_counters(&self.metrics(node), name)
    }
}

/// Starts a node.
pub(crate) fn start_node(platform: &Platform, number: u8, index: u8) -> Entry {
    start_node_at(platform.store(), number, index)
}

/// Starts a node that reaches the store at this address.
pub(crate) fn start_node_at(store: SocketAddr, number: u8, index: u8) -> Entry {
    let name = format!("n{index}");
    let settings = Settings::new(&name, "a", &node_host(number, index), store);
    Entry::start(&format!("{number}-{name}"), &settings)
}

fn node_host(number: u8, index: u8) -> String {
    format!("127.82.{number}.{}", 10 + index)
}

/// Returns the address of the view of a node.
pub(crate) fn view(node: &Entry) -> String {
    view_of(&node.front.ip().to_string())
}

fn view_of(host: &str) -> String {
    host.replacen("127.82.", "127.83.", 1)
}

pub(crate) fn ended(streams: Vec<JoinHandle<Reply>>) -> Vec<Reply> {
    streams.into_iter().map(|stream| stream.join().expect("a caller thread ends")).collect()
}
