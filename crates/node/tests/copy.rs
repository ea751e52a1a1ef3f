//! Tests the entry process when the store comes back from a copy: what was written since the copy
//! is gone, and revisions are given out again.

mod entry;
mod site;

use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::{Duration, Instant};

use platform_standin::{
    Call, Document, Impairment, PLAIN, Placement, Proxy, Route, Setup, StatedEra, StoreCopy,
    send_call, spawn_call,
};
use site::{EVENTS, STATE_TIMEOUT, Site, ended, start_node, start_node_at};
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
    assert_eq!(repeated(&site), []);
}

/// Returns the orders for layers that their engines held already.
fn repeated(site: &Site) -> Vec<Placement> {
    let orders = site.platform.placements().into_iter();
    orders.filter(|order| order.before == Some(order.layers)).collect()
}

// Guards against an engine being ordered to load the layers that it holds by a node that was started
// after the copy: its entry states earlier layers, and its report was read after the plan.
#[test]
fn started_leader_repeats_no_order_after_a_copy() {
    let mut site = Site::start(244, 1, &Document::default());
    let copy = site.platform.copy_store();
    let placed = site.platform.placements().len();
    for engine in &site.engines[..2] {
        site.platform.kill(*engine);
        site.platform.deregister(*engine);
    }
    let is_replaced = || site.platform.placements().len() > placed;
    assert!(site.platform.wait(STATE_TIMEOUT, is_replaced), "other engines take the layers");
    sleep(Duration::from_secs(1));
    site.nodes.clear();
    site.platform.restore_content(copy);
    site.engines[..2].iter().for_each(|engine| site.platform.deregister(*engine));
    site.nodes.push(start_node(&site.platform, 244, 0));
    sleep(REWRITE_LIMIT);
    site.platform.register_targets();
    sleep(REWRITE_LIMIT);
    assert_eq!(repeated(&site), []);
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

/// Time after which no node accepts a withdrawn key.
const REVOKE: Duration = Duration::from_millis(2500);
/// Time from the return until the operators write the configuration again.
const CONFIGURE_DELAY: Duration = Duration::from_millis(1000);
/// Time from the return until the targets write their entries again.
const REGISTER_DELAY: Duration = Duration::from_millis(1500);
/// Time from the return until all targets are in use.
const TARGETS_LIMIT: Duration = Duration::from_secs(2);
/// Time from the return for which keys are checked.
const CHECK_PERIOD: Duration = Duration::from_secs(4);
/// Time for which surprising eras are stated: longer than the pause between two calls of a node.
const SURPRISE_PERIOD: Duration = Duration::from_secs(2);
/// Number of calls at the same time that use all plain targets.
const CALLS: usize = 48;
/// Node that something happens to during a drill.
const DISTURBED: usize = 1;

/// What happens to one node during a drill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    None,
    /// It is down from the absence until one second after the return.
    Down,
    /// It is down before the absence and started at the return.
    Started,
    /// Its process is stopped from the absence until one second after the return.
    Stopped,
    /// It does not reach the store from the absence until one second after the return.
    CutOff,
}

/// What is to happen at a time after the return.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Step {
    Start,
    Undo,
    Configure,
    Register,
    CheckTargets,
}

struct Drill {
    age: Duration,
    disturbance: Disturbance,
    number: usize,
}

impl Drill {
    const fn new(age_ms: u64, disturbance: Disturbance) -> Self {
        Self { age: Duration::from_millis(age_ms), disturbance, number: 1 }
    }
}

/// A site with a proxy between one of its nodes and the store.
struct DrillSite {
    site: Site,
    proxy: Proxy,
    slot: u8,
    version: u64,
    /// Whether each node has refused the withdrawn key.
    has_refused: [bool; 2],
    withdrawn_at: Instant,
}

impl DrillSite {
    fn start(slot: u8) -> Self {
        let mut site = Site::start(slot, 1, &document(1, &["k1", "k2"]));
        let proxy = Proxy::start(&format!("127.82.{slot}.2"), site.platform.store());
        site.nodes.push(start_node_at(proxy.address(), slot, DISTURBED as u8));
        assert!(site.serves(DISTURBED, Some("k1")));
        let (version, has_refused, withdrawn_at) = (1, [false; 2], Instant::now());
        Self { site, proxy, slot, version, has_refused, withdrawn_at }
    }

    fn configure(&mut self, keys: &[&'static str]) {
        self.version += 1;
        self.site.platform.configure(&document(self.version, keys));
    }

    fn start_disturbed(&mut self) {
        let node = start_node_at(self.proxy.address(), self.slot, DISTURBED as u8);
        self.site.nodes.truncate(DISTURBED);
        self.site.nodes.push(node);
    }

    /// Ends the process of the disturbed node without notice.
    fn kill_disturbed(&mut self) {
        let node = &mut self.site.nodes[DISTURBED].child;
        node.kill().expect("the process is killed");
        node.wait().expect("the process has ended");
    }

    fn disturb(&mut self, disturbance: Disturbance) {
        match disturbance {
            Disturbance::None | Disturbance::Started => {}
            Disturbance::Down => self.kill_disturbed(),
            Disturbance::Stopped => self.site.nodes[DISTURBED].signal("STOP"),
            Disturbance::CutOff => self.proxy.set_impairment(Impairment::Silence),
        }
    }

    fn undo(&mut self, disturbance: Disturbance) {
        match disturbance {
            Disturbance::None | Disturbance::Started => {}
            Disturbance::Down => self.start_disturbed(),
            Disturbance::Stopped => self.site.nodes[DISTURBED].signal("CONT"),
            Disturbance::CutOff => self.proxy.set_impairment(Impairment::None),
        }
    }

    /// Plays one drill and returns what was wrong, one line each.
    fn play(&mut self, drill: &Drill) -> Vec<String> {
        self.configure(&["k1", "k2"]);
        assert!(self.site.all_answer("k2", 200));
        if drill.disturbance == Disturbance::Started {
            self.kill_disturbed();
        }
        let copy = self.site.platform.copy_store();
        let added = Setup { id: format!("p3-{}", self.version).into(), ..ADDED };
        self.site.platform.start_target(&format!("127.82.{}.1", self.slot), added);
        self.configure(&["k1"]);
        (self.withdrawn_at, self.has_refused) = (Instant::now(), [false; 2]);
        let mut found = Vec::new();
        let leaves_at = Instant::now() + drill.age;
        while Instant::now() < leaves_at {
            self.check_keys(&[0], &mut found);
            sleep(Duration::from_millis(20));
        }
        self.site.platform.set_unavailable(true);
        self.disturb(drill.disturbance);
        sleep(ABSENCE);
        self.site.platform.restore_content(copy);
        self.site.platform.set_unavailable(false);
        self.follow_return(drill.disturbance, &mut found);
        found
    }

    /// Carries out what happens after the return, and checks keys meanwhile.
    fn follow_return(&mut self, disturbance: Disturbance, found: &mut Vec<String>) {
        let returned_at = Instant::now();
        let mut steps = vec![
            (Duration::from_secs(1), Step::Undo),
            (CONFIGURE_DELAY, Step::Configure),
            (REGISTER_DELAY, Step::Register),
            (TARGETS_LIMIT, Step::CheckTargets),
        ];
        if disturbance == Disturbance::Started {
            steps.insert(0, (Duration::ZERO, Step::Start));
        }
        let mut is_undisturbed = disturbance == Disturbance::None;
        while returned_at.elapsed() < CHECK_PERIOD {
            while let Some((_, step)) = steps.first().filter(|(at, _)| *at <= returned_at.elapsed())
            {
                match step {
                    Step::Start => self.start_disturbed(),
                    Step::Undo => self.undo(disturbance),
                    Step::Configure => {
                        self.site.platform.configure(&document(self.version, &["k1"]));
                    }
                    Step::Register => self.site.platform.register_targets(),
                    Step::CheckTargets => self.check_targets(disturbance, found),
                }
                is_undisturbed |= matches!(step, Step::Start | Step::Undo);
                steps.remove(0);
            }
            let nodes: &[usize] = if is_undisturbed { &[0, DISTURBED] } else { &[0] };
            self.check_keys(nodes, found);
            sleep(Duration::from_millis(30));
        }
    }

    /// Checks that no node accepts the withdrawn key once it has refused it, or once the time of
    /// `REVOKE` has passed and a node has refused it; and that none refuses the other key as unknown.
    fn check_keys(&mut self, nodes: &[usize], found: &mut Vec<String>) {
        for &node in nodes {
            let after = self.withdrawn_at.elapsed();
            let is_known = after > REVOKE && self.has_refused.contains(&true);
            match self.site.status(node, "k2") {
                Some(401) => self.has_refused[node] = true,
                Some(200) if is_known || self.has_refused[node] => {
                    found.push(format!("node {node} accepts the withdrawn key after {after:?}"));
                }
                _ => {}
            }
            if self.site.status(node, "k1") == Some(401) {
                found.push(format!("node {node} does not know the valid key after {after:?}"));
            }
        }
    }

    /// Checks that the node that stays in touch uses all plain targets.
    fn check_targets(&self, disturbance: Disturbance, found: &mut Vec<String>) {
        let nodes = if disturbance == Disturbance::None { 0..2 } else { 0..1 };
        for node in nodes {
            let call = Call { key: Some("k1"), ..Call::new(Route::Safe, "t") };
            // Calls at the same time spread over the targets.
            let front = self.site.nodes[node].front;
            let calls: Vec<_> = (0..CALLS).map(|_| spawn_call(front, call.clone())).collect();
            let used: BTreeSet<String> =
                ended(calls).into_iter().filter_map(|reply| reply.stamp).collect();
            let expected = self.site.plain.len() + self.added_targets();
            if used.len() != expected {
                found.push(format!("node {node} uses {used:?}, not {expected} targets"));
            }
        }
    }

    fn added_targets(&self) -> usize {
        let entries = self.site.platform.items("servers/p3");
        entries.len()
    }
}

const ADDED: Setup =
    Setup { id: std::borrow::Cow::Borrowed(""), service: PLAIN, domain: "a", events: 0 };

// Guards against a withdrawn key that is accepted again, a configuration that is taken back, targets
// that are lost and orders that are repeated, with copies of any age and whatever happens to a node.
#[parameterized(
    age_100ms = { 0, Drill::new(100, Disturbance::None) },
    age_1s = { 1, Drill::new(1000, Disturbance::None) },
    age_8s = { 2, Drill::new(8000, Disturbance::None) },
    age_100ms_down = { 3, Drill::new(100, Disturbance::Down) },
    age_1s_down = { 4, Drill::new(1000, Disturbance::Down) },
    age_8s_down = { 5, Drill::new(8000, Disturbance::Down) },
    age_100ms_started = { 6, Drill::new(100, Disturbance::Started) },
    age_1s_started = { 7, Drill::new(1000, Disturbance::Started) },
    age_8s_started = { 8, Drill::new(8000, Disturbance::Started) },
    age_100ms_stopped = { 9, Drill::new(100, Disturbance::Stopped) },
    age_1s_stopped = { 10, Drill::new(1000, Disturbance::Stopped) },
    age_8s_stopped = { 11, Drill::new(8000, Disturbance::Stopped) },
    age_100ms_cut_off = { 12, Drill::new(100, Disturbance::CutOff) },
    age_1s_cut_off = { 13, Drill::new(1000, Disturbance::CutOff) },
    age_8s_cut_off = { 14, Drill::new(8000, Disturbance::CutOff) },
    two_drills = { 15, Drill { number: 2, ..Drill::new(1000, Disturbance::None) } },
    two_drills_cut_off = { 16, Drill { number: 2, ..Drill::new(1000, Disturbance::CutOff) } },
)]
fn drill_takes_nothing_back(number: u8, drill: Drill) {
    let mut site = DrillSite::start(200 + number);
    let mut found = Vec::new();
    for _ in 0..drill.number {
        found.extend(site.play(&drill));
    }
    site.configure(&["k1", "k3"]);
    assert!(site.site.all_answer("k3", 200), "the next configuration is in force");
    assert!(site.site.all_answer("k2", 401));
    found.extend(repeated(&site.site).iter().map(|order| format!("repeated {order:?}")));
    found.extend(site.exits());
    assert!(found.is_empty(), "{} of {found:#?}", found.len());
}

impl DrillSite {
    /// Returns a line for each process that has ended.
    fn exits(&mut self) -> Vec<String> {
        let nodes = self.site.nodes.iter_mut().enumerate();
        let ended = nodes.filter_map(|(index, node)| {
            let status = node.child.try_wait().expect("the state of the process is known")?;
            Some(format!("node {index} ended: {status}"))
        });
        ended.collect()
    }
}

struct Surprise {
    stated: StatedEra,
    /// Rise of the era at a return before.
    rise: u64,
    /// Whether answers are dropped, and counted, as those of an earlier era.
    drops: bool,
}

// Guards against a store whose answers state surprising eras for a while making nodes end, miss the
// next configuration or take one back.
#[parameterized(
    below = { 0, Surprise { stated: StatedEra::Text("1"), rise: 2, drops: true } },
    missing = { 1, Surprise { stated: StatedEra::Missing, rise: 1, drops: false } },
    no_number = { 2, Surprise { stated: StatedEra::Text("latest"), rise: 1, drops: false } },
    negative = { 3, Surprise { stated: StatedEra::Text("-1"), rise: 1, drops: false } },
    higher_by_three = { 4, Surprise { stated: StatedEra::Own, rise: 3, drops: false } },
    in_turn = { 5, Surprise { stated: StatedEra::NextInTurn, rise: 1, drops: true } },
)]
fn surprising_era_changes_nothing(number: u8, surprise: Surprise) {
    let mut site = DrillSite::start(230 + number);
    let copy = site.site.platform.copy_store();
    site.configure(&["k1"]);
    assert!(site.site.all_answer("k2", 401));
    site.site.platform.restore_content_as(copy, surprise.rise);
    site.site.platform.register_targets();
    sleep(REVOKE);
    site.site.platform.set_stated_era(surprise.stated);
    let until = Instant::now() + SURPRISE_PERIOD;
    while Instant::now() < until {
        for node in 0..2 {
            assert_ne!(site.site.status(node, "k2"), Some(200), "node {node} accepts k2 again");
            assert_ne!(site.site.status(node, "k1"), Some(401), "node {node} refuses k1");
        }
    }
    if surprise.stated == StatedEra::NextInTurn {
        // The higher of the two stands: the store goes on in it.
        let copy = site.site.platform.copy_store();
        site.site.platform.restore_content(copy);
    }
    site.site.platform.set_stated_era(StatedEra::Own);
    // A node may get no answer meanwhile, or only those of the higher era.
    let drops = |node| site.site.metrics(node).contains("magnolia_store_answers_of_earlier_eras");
    assert_eq!((0..2).any(drops), surprise.drops, "answers are dropped and counted");
    site.configure(&["k1", "k3"]);
    assert!(site.site.all_answer("k3", 200), "the next configuration is in force");
    assert!(site.site.all_answer("k2", 401));
    assert_eq!(site.exits(), Vec::<String>::new());
}
