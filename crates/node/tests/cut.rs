//! Nodes that are cut off from all targets while callers, the store and the other nodes still reach
//! them: their callers are served all the same.

mod entry;
mod site;

use std::collections::{BTreeMap, BTreeSet};
use std::thread::sleep;
use std::time::Duration;

use platform_standin::{Call, Cut, Document, Fault, Reply, Route, spawn_call};
use site::{EVENTS, Site, ended, view};
use yare::parameterized;

/// Nodes of the site.
const NODES: u8 = 3;
/// Time from the start of a cut from which callers have to be served.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests of each route sent to each node during the cut.
const REQUESTS: usize = 8;
/// Pause between two requests to a node.
const REQUEST_PAUSE: Duration = Duration::from_millis(80);
/// Longest time after the end of a cut until a node uses the targets itself again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Counter of requests that a node forwarded to other nodes.
const FORWARD_COUNTER: &str = "magnolia_forwarded";
/// Streams in progress at the start of a cut.
const STREAMS: usize = 4;
struct Case {
    cut: Cut,
    /// Number of nodes that are cut off.
    nodes: usize,
}

fn is_served(route: Route, reply: &Reply) -> bool {
    match route {
        Route::Resumable | Route::Stream => reply.is_complete(EVENTS),
        Route::Safe | Route::Unsafe => reply.status == Some(200) && reply.stamp.is_some(),
    }
}

/// Cuts nodes off from all targets, or ends the cut.
fn set_cut(site: &Site, nodes: usize, cut: Option<Cut>) {
    for node in &site.nodes[..nodes] {
        site.platform.set_cut(&view(node), cut);
    }
}

// Guards against a node that reaches no target refusing all its callers, although the nodes beside
// it reach all targets.
#[parameterized(
    silent = { 1, Case { cut: Cut::Silent, nodes: 1 } },
    reset = { 2, Case { cut: Cut::Reset, nodes: 1 } },
    new_connections_refused = { 3, Case { cut: Cut::Refuse, nodes: 1 } },
    two_of_three = { 4, Case { cut: Cut::Silent, nodes: 2 } },
)]
fn callers_of_a_node_without_targets_are_served(number: u8, case: Case) {
    let site = Site::start_with_views(150 + number, NODES, &Document::default());
    set_cut(&site, case.nodes, Some(case.cut));
    sleep(CONTACT_TIME);
    let mut calls = Vec::new();
    for index in 0..REQUESTS {
        for (node, entry) in site.nodes.iter().enumerate() {
            for route in Route::ALL {
                let id = format!("{route:?}-{node}-{index}");
                calls.push((
                    node,
                    route,
                    id.clone(),
                    spawn_call(entry.front, Call::new(route, &id)),
                ));
            }
        }
        sleep(REQUEST_PAUSE);
    }
    let mut unserved: BTreeMap<usize, Vec<String>> = BTreeMap::new();
    for (node, route, id, call) in calls {
        let reply = call.join().expect("a caller thread ends");
        if !is_served(route, &reply) {
            unserved.entry(node).or_default().push(format!("{id}: {reply:?}"));
        }
        let once = matches!(route, Route::Unsafe | Route::Stream);
        let runs = site.runs(&id).iter().filter(|run| run.request == id).count();
        assert!(!once || runs <= 1, "{id} ran {runs} times");
    }
    assert!(unserved.is_empty(), "{unserved:#?}");

    set_cut(&site, case.nodes, None);
    sleep(RECOVERY_TIME);
    let before = site.counter(0, FORWARD_COUNTER);
    for route in Route::ALL {
        let reply = site.ask(0, route, &format!("after-{route:?}"));
        assert!(is_served(route, &reply), "{reply:?}");
    }
    assert_eq!(
        site.counter(0, FORWARD_COUNTER),
        before,
        "the node reaches the targets itself again"
    );
}

// Guards against streams in progress being cut when their node loses the targets.
#[parameterized(
    silent = { 1, Cut::Silent },
    reset = { 2, Cut::Reset },
    new_connections_refused = { 3, Cut::Refuse },
)]
fn streams_in_progress_go_on(number: u8, cut: Cut) {
    let site = Site::start_with_views(160 + number, NODES, &Document::default());
    let streams = site.streams(0, "s", STREAMS);
    sleep(Duration::from_millis(150));
    set_cut(&site, 1, Some(cut));
    for reply in ended(streams) {
        assert!(reply.is_complete(EVENTS), "{reply:?}");
    }
}

// Guards against requests of callers elsewhere being cut by the planned stop of the node that runs
// them.
#[test]
fn planned_stop_of_the_node_that_helps_cuts_nothing() {
    let site = Site::start_with_views(165, NODES, &Document::default());
    set_cut(&site, 1, Some(Cut::Silent));
    sleep(CONTACT_TIME);
    let mut streams = site.streams(0, "before", STREAMS);
    sleep(Duration::from_millis(100));
    site.nodes[1].signal("TERM");
    streams.extend(site.streams(0, "after", STREAMS));
    for reply in ended(streams) {
        assert!(reply.is_complete(EVENTS), "{reply:?}");
    }
}

/// Streams that other nodes answer when one of these nodes ends.
const FORWARDED: usize = 8;

// Guards against streams being cut because the node that answers them for another one ends, although
// a third node reaches the targets.
#[test]
fn end_of_the_node_that_helps_cuts_nothing() {
    let document = Document { attempts: 2, ..Document::default() };
    let site = Site::start_with_views(166, NODES, &document);
    set_cut(&site, 1, Some(Cut::Silent));
    sleep(CONTACT_TIME);
    let streams = site.streams(0, "s", FORWARDED);
    assert!(site.platform.wait(CONTACT_TIME, || site.runs("s").len() >= FORWARDED), "they run");
    sleep(Duration::from_millis(100));
    site.nodes[1].signal("KILL");
    for (index, reply) in ended(streams).iter().enumerate() {
        assert!(reply.is_complete(EVENTS), "stream {index}: {reply:?}");
        let runs = site.runs(&format!("s{index}"));
        let targets: BTreeSet<&str> = runs.iter().map(|run| run.target.as_str()).collect();
        assert!(targets.len() <= document.attempts as usize, "stream {index} ran at {targets:?}");
    }
}

// Guards against a request that another node answers with a target's failure, although its route
// allows another attempt.
#[test]
fn forwarded_request_uses_all_its_attempts() {
    // Two engines of the nodes' failure domain hold the first layers.
    let document = Document { attempts: 3, ..Document::default() };
    let site = Site::start_with_views(167, NODES, &document);
    set_cut(&site, 1, Some(Cut::Silent));
    sleep(CONTACT_TIME);
    site.set_fault(&site.engines[..3], Fault::Fails);
    for (index, reply) in ended(site.streams(0, "f", FORWARDED)).iter().enumerate() {
        assert!(reply.is_complete(EVENTS), "stream {index}: {reply:?}");
        let runs = site.runs(&format!("f{index}"));
        let targets: BTreeSet<&str> = runs.iter().map(|run| run.target.as_str()).collect();
        assert!(targets.len() <= document.attempts as usize, "stream {index} ran at {targets:?}");
    }
}

/// Limit on the head of a request in the test below.
const HEAD_BYTES: usize = 2_000;

// Guards against a request whose head is as large as a caller's may be, and that another node rejects
// for what the forwarding node has added to it.
#[test]
fn forwarded_request_with_the_largest_head_is_served() {
    let mut document = Document::default();
    document.limits.head_bytes = HEAD_BYTES;
    let site = Site::start_with_views(168, 2, &document);
    let call = |id: String, entries: usize| {
        let parts = vec!["5c1e07a2:800"; entries].join(",");
        Call { parts, ..Call::new(Route::Safe, &id) }
    };
    let status = |node: usize, id: &str, entries: usize| {
        spawn_call(site.nodes[node].front, call(format!("{id}{entries}"), entries))
            .join()
            .expect("a caller thread ends")
            .status
    };
    let largest = (1..HEAD_BYTES / 10).rev().find(|entries| status(1, "r", *entries) == Some(200));
    let largest = largest.expect("a head that is small enough");
    assert_eq!(status(1, "r", largest + 1), Some(431), "the next one is too large");
    set_cut(&site, 1, Some(Cut::Silent));
    sleep(CONTACT_TIME);
    let statuses: Vec<Option<u16>> = (0..=3).map(|less| status(0, "f", largest - less)).collect();
    assert_eq!(statuses, vec![Some(200); 4]);
    assert!(site.counter(0, FORWARD_COUNTER) > 0);
}
