//! Writes of nodes that get no answer from the store, and are done late or not at all.

mod entry;
mod site;

use std::thread::sleep;
use std::time::Duration;

use platform_standin::{Document, LostWrite, Platform, Route};
use site::{STATE_TIMEOUT, Site, start_node};
use yare::parameterized;

const LEADER: &str = "magnoliarun/leader";
const REGISTRATIONS: &str = "magnoliarun/nodes/";
/// Time to live of a registration, and a margin.
const PRESENCE_TTL: Duration = Duration::from_secs(6);
/// Nodes of the site.
const NODES: u8 = 2;
/// After how long a late write is done.
const LATE: Duration = Duration::from_secs(3);

/// Replaces all nodes by new ones.
fn restart(site: &mut Site, number: u8) {
    site.nodes.clear();
    site.platform.end_leases();
    let nodes = (0..NODES).map(|index| start_node(&site.platform, number, NODES + index));
    site.nodes = nodes.collect();
}

fn is_led(platform: &Platform) -> bool {
    platform.items(LEADER).len() == 1
}

fn registered(platform: &Platform) -> usize {
    platform.items(REGISTRATIONS).len()
}

/// What becomes of the first writes of each node.
struct Case {
    /// Number of writes for each node.
    writes: usize,
    loss: LostWrite,
}

// Guards against a system in which no node leads any more, because a claim without an answer that was
// not done counts as one that may have been.
#[parameterized(
    undone = { 200, Case { writes: 1, loss: LostWrite::Undone } },
    undone_three_times = { 201, Case { writes: 3, loss: LostWrite::Undone } },
    late = { 202, Case { writes: 1, loss: LostWrite::Late(Duration::from_millis(1200)) } },
    after_its_lease = { 203, Case { writes: 1, loss: LostWrite::Late(LATE) } },
)]
fn a_node_leads_after_claims_without_an_answer(number: u8, case: Case) {
    let mut site = Site::start(number, NODES, &Document::default());
    site.platform.lose_writes(LEADER, case.writes * usize::from(NODES), case.loss);
    restart(&mut site, number);
    assert!(site.platform.wait(STATE_TIMEOUT, || is_led(&site.platform)), "a node leads");
    // An engine that starts empty gets layers again.
    let engine = site.engines[0];
    site.platform.restart(engine);
    let before = site.platform.placements().len();
    let is_ordered = || site.platform.placements().len() > before;
    assert!(site.platform.wait(STATE_TIMEOUT, is_ordered), "the node that leads sends orders");
    assert!(site.serves(0, None) && site.serves(1, None));
}

// Guards against a node that runs and is not registered, because a registration without an answer was
// done late, under a lease that nobody renews.
#[parameterized(
    undone = { 204, LostWrite::Undone },
    late = { 205, LostWrite::Late(Duration::from_millis(1200)) },
    after_a_renewal = { 206, LostWrite::Late(LATE) },
)]
fn all_nodes_are_registered_after_writes_without_an_answer(number: u8, loss: LostWrite) {
    let mut site = Site::start(number, NODES, &Document::default());
    site.platform.lose_writes(REGISTRATIONS, NODES.into(), loss);
    restart(&mut site, number);
    let are_all = || registered(&site.platform) == usize::from(NODES);
    assert!(site.platform.wait(STATE_TIMEOUT, are_all), "all nodes are registered");
    for _ in 0..4 {
        sleep(PRESENCE_TTL / 2);
        let are_back = site.platform.wait(PRESENCE_TTL / 2, are_all);
        assert!(are_back, "{} are registered", registered(&site.platform));
    }
    sleep(PRESENCE_TTL);
    assert!(are_all(), "{} are registered", registered(&site.platform));
    for node in 0..usize::from(NODES) {
        assert_eq!(site.ask(node, Route::Safe, &format!("r{node}")).status, Some(200));
    }
}
