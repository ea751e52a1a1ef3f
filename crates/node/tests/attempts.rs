//! No request runs at more engines than its route allows, as long as those at which it has run are
//! sound.

mod entry;
mod site;

use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::Duration;

use platform_standin::{Call, Document, Route, spawn_call};
use site::{Site, ended};
use yare::parameterized;

/// Streams in progress when the engines fall silent.
const STREAMS: usize = 4;
/// Longest wait until the streams run.
const START_LIMIT: Duration = Duration::from_secs(2);
/// Time between the start of the last stream and the silence.
const BEFORE_SILENCE: Duration = Duration::from_millis(100);

struct Case {
    nodes: u8,
    /// Maximum number of engines at which a request may run.
    attempts: u32,
    silence: Duration,
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the engines at which a request has run first.
fn firsts(site: &Site, id: &str) -> BTreeSet<String> {
    site.runs(id).into_iter().map(|run| run.target).collect()
}

// Guards against a node that takes the silence of sound engines for a cut, no longer counts the
// engines at which a request has run, and lets another node run it at one engine too many.
#[parameterized(
    one_attempt = { 1, Case { nodes: 2, attempts: 1, silence: ms(1200) } },
    one_attempt_shortly = { 2, Case { nodes: 2, attempts: 1, silence: ms(700) } },
    two_attempts = { 3, Case { nodes: 3, attempts: 2, silence: ms(1200) } },
)]
fn silence_of_all_engines_allows_no_further_engine(number: u8, case: Case) {
    let document = Document { attempts: case.attempts, ..Document::default() };
    let site = Site::start(189 + number, case.nodes, &document);
    let stream = |index: usize| {
        spawn_call(site.nodes[0].front, Call::new(Route::Resumable, &format!("s{index}-")))
    };
    let streams: Vec<_> = (0..STREAMS).map(stream).collect();
    assert!(site.platform.wait(START_LIMIT, || site.runs("s").len() == STREAMS), "streams run");
    sleep(BEFORE_SILENCE);
    // The others know that they reach targets.
    for node in 1..site.nodes.len() {
        site.ask(node, Route::Safe, "other");
    }
    site.engines.iter().for_each(|&engine| site.platform.set_silent(engine, true));
    sleep(case.silence);
    site.engines.iter().for_each(|&engine| site.platform.set_silent(engine, false));

    let replies = ended(streams);
    for index in 0..STREAMS {
        let targets = firsts(&site, &format!("s{index}-"));
        assert!(targets.len() <= case.attempts as usize, "stream {index} ran at {targets:?}");
    }
    for (index, reply) in replies.iter().enumerate() {
        assert!(reply.is_complete(site::EVENTS), "stream {index}: {reply:?}");
    }
}
