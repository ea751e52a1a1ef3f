//! Prompts with many parts, or with parts of any id: each part that crashes engines is found, and
//! sound ones are not held for it.

mod entry;
mod site;

use std::thread::sleep;
use std::time::{Duration, Instant};

use platform_standin::{Call, Document, Reply, Route, send_call, spawn_call};
use site::{EVENTS, STATE_TIMEOUT, Site, ended};
use yare::parameterized;

/// Crash after which the guarantee to the users applies.
const LAST_UNBOUNDED_CRASH: usize = 5;
/// Time after that crash within which all nodes know the part.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Maximum number of requests with the part that may reach engines after that time.
const MAX_LATE_REQUESTS: usize = 3;
/// Number of requests with the crashing part.
const REPEATS: usize = 18;
/// Pause between them.
const PAUSE: Duration = Duration::from_millis(600);
/// Number of harmless requests that are sent beside each crashing one.
const HARMLESS: usize = 4;
const NODES: u8 = 2;

/// A prompt around the part that crashes engines.
#[derive(Clone, Copy)]
struct Prompt {
    /// Number of shared parts before it.
    before: usize,
    /// Number of shared parts after it.
    after: usize,
    /// Id of the part that crashes engines.
    crashing: &'static str,
    /// Id of the part that sound requests have in its place.
    sound: &'static str,
    /// What the ids of the requests' own parts begin with.
    own: &'static str,
}

/// An id of 128 bits, and another one.
const LONG: &str = "5f2b7c019d3e4a688b10f7c2e6a95d34";
const LONG_OTHER: &str = "5f2b7c019d3e4a688b10f7c2e6a95d35";
const SHORT: Prompt = Prompt { before: 1, after: 0, crashing: "d0", sound: "e0", own: "" };

impl Prompt {
    /// Returns the list of the parts of the request `id`, with this part among them.
    fn list(self, part: &str, id: &str) -> String {
        let own = id.bytes().fold(7_u64, |hash, byte| hash.wrapping_mul(31) + u64::from(byte));
        let before = (0..self.before).map(|number| format!("a{number:x}:4"));
        let after = (0..self.after).map(|number| format!("b{number:x}:4"));
        let own = format!("{}{own:x}:60", self.own);
        let parts = before.chain([format!("{part}:20")]).chain(after).chain([own]);
        parts.collect::<Vec<_>>().join(",")
    }

    fn call(self, part: &str, id: &str) -> Call {
        let body = id.to_owned().leak();
        Call { parts: self.list(part, id), body, ..Call::new(Route::Resumable, id) }
    }
}

/// Sends requests with the crashing part to nodes in turn, each beside sound ones. Returns the answers
/// to the sound ones.
fn press(site: &Site, prompt: Prompt) -> Vec<Reply> {
    let mut sound = Vec::new();
    for turn in 0..REPEATS {
        let front = |offset: usize| site.nodes[(turn + offset) % site.nodes.len()].front;
        let beside = (0..HARMLESS).map(|number| {
            spawn_call(front(number), prompt.call(prompt.sound, &format!("w{turn}-{number}")))
        });
        let beside: Vec<_> = beside.collect();
        send_call(front(0), &prompt.call(prompt.crashing, &format!("c{turn}")));
        sleep(PAUSE);
        sound.extend(ended(beside));
    }
    sound
}

/// Asserts that few requests with the part reach engines after the bound of the guarantee.
fn assert_contained(site: &Site) {
    let runs = site.runs("c");
    let crashes: Vec<Instant> =
        runs.iter().filter(|run| run.crashed.is_some()).map(|run| run.at).collect();
    let Some(last) = crashes.get(LAST_UNBOUNDED_CRASH - 1) else { return };
    let late = runs.iter().filter(|run| run.at > *last + PROPAGATION_LIMIT).count();
    assert!(late <= MAX_LATE_REQUESTS, "{late} late, {} crashes", crashes.len());
}

// Guards against a part that crashes one engine after another, because it stands behind others in its
// prompt, or because its id or that of the request's own part is long.
#[parameterized(
    usual = { 130, SHORT },
    seventeenth = { 131, Prompt { before: 16, ..SHORT } },
    last_of_two_hundred = { 132, Prompt { before: 199, ..SHORT } },
    in_the_middle_of_two_hundred = { 133, Prompt { before: 100, after: 99, ..SHORT } },
    first_of_four_hundred = { 134, Prompt { before: 0, after: 399, ..SHORT } },
    long_id = { 136, Prompt { before: 2, after: 1, crashing: LONG, ..SHORT } },
    long_ids_that_differ_in_the_last_digit = { 137, Prompt { crashing: LONG, sound: LONG_OTHER, ..SHORT } },
    own_part_with_a_long_id = { 139, Prompt { own: LONG, ..SHORT } },
    text_that_is_no_number = { 140, Prompt { crashing: "sha256-x", sound: "sha256-y", ..SHORT } },
    as_many_as_a_head_holds = { 135, Prompt { before: 900, after: 900, ..SHORT } },
)]
fn part_of_any_prompt_crashes_few_engines(number: u8, prompt: Prompt) {
    let document = Document { attempts: 4, ..Document::default() };
    let site = Site::start(number, NODES, &document);
    site.platform.set_crashing_part(prompt.crashing, true);
    let sound = press(&site, prompt);
    assert_contained(&site);
    let served = sound.iter().filter(|reply| reply.is_complete(EVENTS)).count();
    assert!(served * 2 > sound.len(), "{served} of {} sound ones", sound.len());
    // Both nodes refuse the part at once, and serve those without it.
    for node in 0..usize::from(NODES) {
        let front = site.nodes[node].front;
        let refused = send_call(front, &prompt.call(prompt.crashing, &format!("z{node}")));
        assert_eq!(refused.status, Some(503), "{refused:?}");
        let serves = || send_call(front, &prompt.call(prompt.sound, "y")).is_complete(EVENTS);
        assert!(site.platform.wait(STATE_TIMEOUT, serves), "node {node} serves sound requests");
    }
}
