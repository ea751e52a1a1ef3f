//! Tests the quarantine of parts of prompts that crash engines: real processes between callers and
//! stand-ins.

mod entry;
mod site;

use std::thread::sleep;
use std::time::{Duration, Instant};

use platform_standin::{Call, Document, Fault, Reply, Route, send_call, spawn_call};
use site::{EVENTS, STATE_TIMEOUT, Site, ended, start_node};
use yare::parameterized;

/// Crash after which the guarantee to the users applies.
const LAST_UNBOUNDED_CRASH: usize = 5;
/// Time after that crash within which all nodes know the part.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Maximum number of requests with the part that may reach engines after that time.
const MAX_LATE_REQUESTS: usize = 3;
/// Maximum time until a request is refused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of requests with a crashing part that are sent.
const REPEATS: usize = 16;
/// Pause between them.
const PAUSE: Duration = Duration::from_millis(600);
/// First part of all prompts.
const SHARED: &str = "a0:40";
/// Number of harmless requests that are sent beside each crashing one.
const HARMLESS: usize = 4;

impl Site {
    /// Returns a request whose prompt and body no other request has. Its prompt starts with the
    /// shared part and `part`, if any.
    fn call(&self, id: &str, part: Option<&str>) -> Call {
        let own = id.bytes().fold(7_u64, |hash, byte| hash.wrapping_mul(31) + u64::from(byte));
        let part = part.map(|part| format!("{part}:20,")).unwrap_or_default();
        Call {
            parts: format!("{SHARED},{part}{own:x}:60"),
            body: id.to_owned().leak(),
            ..Call::new(Route::Resumable, id)
        }
    }

    /// Sends requests with the given parts in turn to nodes in turn, each beside harmless requests
    /// that share the first part of the prompt with it.
    fn send_crashing(&self, parts: &[&str], id: &str, times: usize) -> Vec<Reply> {
        let send = |turn: usize| {
            let front = |offset: usize| self.nodes[(turn + offset) % self.nodes.len()].front;
            let harmless = (0..HARMLESS).map(|number| {
                let other = (number % 2 == 0).then(|| format!("e{number}"));
                let call = self.call(&format!("{id}-w{turn}-{number}"), other.as_deref());
                spawn_call(front(number), call)
            });
            let harmless: Vec<_> = harmless.collect();
            let call = self.call(&format!("{id}-c{turn}"), Some(parts[turn % parts.len()]));
            let reply = send_call(front(0), &call);
            sleep(PAUSE);
            ended(harmless);
            reply
        };
        (0..times).map(send).collect()
    }

    /// Returns the times at which requests with a part reached engines, and the times at which they
    /// crashed one.
    fn runs_with(&self, part: &str) -> (Vec<Instant>, Vec<Instant>) {
        let runs = self.platform.runs();
        let runs: Vec<_> =
            runs.iter().filter(|run| run.parts.iter().any(|other| other == part)).collect();
        let crashes = runs.iter().filter(|run| run.crashed.is_some());
        (runs.iter().map(|run| run.at).collect(), crashes.map(|run| run.at).collect())
    }

    /// Asserts that few requests with a part reach engines after the bound of the guarantee.
    fn assert_contained(&self, part: &str) {
        let (runs, crashes) = self.runs_with(part);
        let Some(last) = crashes.get(LAST_UNBOUNDED_CRASH - 1) else { return };
        let late = runs.iter().filter(|at| **at > *last + PROPAGATION_LIMIT).count();
        assert!(late <= MAX_LATE_REQUESTS, "{part}: {late} late, {} crashes", crashes.len());
    }

    /// Asserts that both nodes serve harmless requests that share the first part.
    fn assert_harmless_served(&self, id: &str) {
        for node in 0..self.nodes.len() {
            for part in [None, Some("e0"), Some("f0")] {
                let call = self.call(&format!("{id}{node}{part:?}"), part);
                let served = || send_call(self.nodes[node].front, &call).is_complete(EVENTS);
                assert!(self.platform.wait(STATE_TIMEOUT, served), "{part:?} is served");
            }
        }
    }
}

/// Parts of prompts that crash the engines that run them.
struct Case {
    parts: &'static [&'static str],
}

// Guards against requests that have only a part of their prompt in common crashing one engine after
// another.
#[parameterized(
    one_part = { 1, Case { parts: &["d0"] } },
    two_parts = { 2, Case { parts: &["d0", "d1"] } },
    three_parts = { 3, Case { parts: &["d0", "d1", "d2"] } },
)]
fn part_of_prompts_crashes_few_engines(number: u8, case: Case) {
    let site = Site::start(100 + number, 2, &Document { attempts: 4, ..Document::default() });
    case.parts.iter().for_each(|part| site.platform.set_crashing_part(part, true));
    let replies = site.send_crashing(case.parts, "r", REPEATS * case.parts.len());
    case.parts.iter().for_each(|part| site.assert_contained(part));
    // One request with each part may run as a trial.
    let late = &replies[replies.len() / 2..];
    let is_refused = |reply: &&Reply| reply.status == Some(503) && reply.retry_after.is_some();
    let refused: Vec<&Reply> = late.iter().filter(is_refused).collect();
    assert!(refused.len() + case.parts.len() >= late.len(), "{late:?}");
    assert!(refused.iter().all(|reply| reply.elapsed < REFUSAL_TIMEOUT), "{late:?}");
    site.assert_harmless_served("h");
}

/// Maximum time until a request with a part that is quarantined already is refused.
const QUARANTINED_REFUSAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Requests with two parts that are sent while the decision on one of them is pending.
const PROBES: usize = 40;
/// Pause between them.
const PROBE_PAUSE: Duration = Duration::from_millis(25);

// Guards against a request that is refused for one part waiting for the decision on another first.
#[test]
fn quarantined_part_is_refused_while_another_awaits_a_decision() {
    let site = Site::start(121, 2, &Document { attempts: 1, ..Document::default() });
    site.platform.set_crashing_part("d0", true);
    let replies = site.send_crashing(&["d0"], "r", 8);
    assert_eq!(replies.last().and_then(|last| last.status), Some(503));
    site.platform.set_crashing_part("d1", true);
    let call = |part, id: String| spawn_call(site.nodes[0].front, site.call(&id, Some(part)));
    let crashing = (0..2).map(|number| call("d1", format!("s{number}")));
    let crashing: Vec<_> = crashing.collect();
    let probe = |number| {
        sleep(PROBE_PAUSE);
        call("d1:20,d0", format!("p{number}"))
    };
    let probes = ended((0..PROBES).map(probe).collect());
    ended(crashing);
    let (_, crashes) = site.runs_with("d1");
    assert_eq!(crashes.len(), 2, "the other part crashed engines under two requests");
    for probe in &probes {
        assert_eq!(probe.status, Some(503), "{probe:?}");
        assert!(probe.elapsed < QUARANTINED_REFUSAL_TIMEOUT, "{probe:?}");
    }
}

/// Trouble after a part was quarantined.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// All nodes are replaced by new ones.
    Restart,
    /// The store is away for a moment, and its leases end meanwhile.
    Outage,
    /// The store's outage, then the restart.
    OutageAndRestart,
}

// Guards against the quarantine of a part ending with a restart of the nodes or with the leases of
// the store.
#[parameterized(
    restart = { 10, Trouble::Restart },
    outage = { 11, Trouble::Outage },
    outage_and_restart = { 12, Trouble::OutageAndRestart },
)]
fn quarantine_of_a_part_outlives(number: u8, trouble: Trouble) {
    let document = Document { attempts: 4, ..Document::default() };
    let mut site = Site::start(100 + number, 2, &document);
    site.platform.set_crashing_part("d0", true);
    site.send_crashing(&["d0"], "r", 8);
    let kept = || !site.platform.items("magnoliarun/quarantine/").is_empty();
    assert!(site.platform.wait(STATE_TIMEOUT, kept), "the quarantine is in the store");
    let (before, _) = site.runs_with("d0");
    if trouble != Trouble::Restart {
        site.platform.set_unavailable(true);
        site.platform.end_leases();
        sleep(Duration::from_secs(1));
        site.platform.set_unavailable(false);
        sleep(Duration::from_secs(2));
    }
    if trouble != Trouble::Outage {
        site.nodes.clear();
        site.nodes = (2..4).map(|index| start_node(&site.platform, 100 + number, index)).collect();
    }
    site.assert_harmless_served("h");
    let replies = site.send_crashing(&["d0"], "s", 4);
    let (after, _) = site.runs_with("d0");
    assert_eq!(after.len(), before.len(), "{replies:?}");
    assert!(replies.iter().all(|reply| reply.status == Some(503)), "{replies:?}");
}

/// Rounds, each with parts of prompts that the nodes do not know.
const ROUNDS: usize = 4;
/// Number of requests that begin beside the crashing one in each round.
const BESIDE: usize = 6;
/// Pause between events, at which a request shows that its parts are sound only after a decision on
/// them is due.
const SLOW: Duration = Duration::from_millis(80);

// Guards against a sound part of prompts that no request has run with yet being quarantined,
// because requests with it began beside one request that crashed several engines.
#[test]
fn sound_parts_are_served_beside_a_request_that_crashes_engines() {
    let site = Site::start(122, 2, &Document { attempts: 4, ..Document::default() });
    site.set_fault(&site.engines, Fault::Slows(SLOW));
    for round in 0..ROUNDS {
        let (shared, crashing) = (format!("a{round}:40"), format!("d{round}"));
        site.platform.set_crashing_part(&crashing, true);
        let call = |id: &str, part: &str| {
            let own = site.call(id, Some(part));
            Call { parts: own.parts.replacen(SHARED, &shared, 1), ..own }
        };
        let front = site.nodes[round % site.nodes.len()].front;
        let other = format!("e{round}");
        let crashes = spawn_call(front, call(&format!("c{round}"), &crashing));
        let beside = (0..BESIDE)
            .map(|number| spawn_call(front, call(&format!("w{round}-{number}"), &other)));
        ended(beside.chain([crashes]).collect());
        for node in &site.nodes {
            let sound = call(&format!("h{round}-{}", node.front), &other);
            let served = || send_call(node.front, &sound).is_complete(EVENTS);
            assert!(site.platform.wait(STATE_TIMEOUT, served), "round {round} is served");
        }
    }
    // Only the crashing requests.
    let quarantined = |node| site.counter(node, "magnolia_requests_condemned");
    let quarantined: Vec<u64> = (0..site.nodes.len()).map(quarantined).collect();
    assert!(quarantined.iter().all(|number| *number <= ROUNDS as u64), "{quarantined:?}");
}

/// Time within which a harmless part is served again.
const RELEASE_LIMIT: Duration = Duration::from_secs(40);

// Guards against requests being refused for a part of their prompt that no longer crashes engines.
#[test]
fn part_that_becomes_harmless_is_served_again() {
    let site = Site::start(120, 2, &Document { attempts: 4, ..Document::default() });
    site.platform.set_crashing_part("d0", true);
    let replies = site.send_crashing(&["d0"], "r", 8);
    assert_eq!(replies.last().and_then(|last| last.status), Some(503));
    site.platform.set_crashing_part("d0", false);
    for node in 0..2 {
        let mut turn = 0;
        let served = || {
            turn += 1;
            let call = site.call(&format!("s{node}-{turn}"), Some("d0"));
            send_call(site.nodes[node].front, &call).is_complete(EVENTS)
        };
        assert!(site.platform.wait(RELEASE_LIMIT, served), "node {node} serves the part");
    }
}
