//! Sound engines that fall silent for a second and go on: no caller loses its answer, and no request
//! runs at more engines than its route allows.

mod entry;
mod site;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use platform_standin::{Call, Document, Route, send_call, spawn_call};
use site::{EVENTS, Site, ended};
use yare::parameterized;

/// Streams in progress when the first engine falls silent.
const STREAMS: usize = 6;
/// Longest wait until the streams run.
const START_LIMIT: Duration = Duration::from_secs(2);
/// Time between the start of the last stream and the silence.
const BEFORE_SILENCE: Duration = Duration::from_millis(100);

/// Time for which engines are silent beside a request that has not run before.
const SILENCE: Duration = Duration::from_millis(1800);

/// Time after which the same request is sent again while engines are silent.
const BEFORE_REPEAT: Duration = Duration::from_millis(1300);

/// Retry delays from which a refusal is that of a quarantined request, seconds. Without a path, the
/// caller returns earlier.
const QUARANTINE_RETRY_AFTER: f64 = 30.0;

/// Engines that fall silent, in the order of a stream's path.
#[derive(Clone, Copy)]
enum Which {
    /// All engines.
    All,
    /// The first engine of the streams' path.
    First,
    /// The last engine of the streams' path.
    Last,
    /// The first engine of the path, and after this time the first engine of the path to which the
    /// streams have moved.
    FirstThenNext(Duration),
}

struct Case {
    route: Route,
    which: Which,
    silence: Duration,
    /// Maximum number of targets that one request may be sent to.
    attempts: u32,
    /// What the operator does meanwhile.
    operator: Operator,
}

/// What the operator does while an engine is silent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Operator {
    Reconfigures,
    StopsNode,
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// Guards against streams cut and requests run at one engine too many because a sound engine was
// silent for a second and counted as lost.
#[parameterized(
    cannot_resume = { 1, Case { route: Route::Stream, which: Which::First, silence: ms(1200), attempts: 2, operator: Operator::Reconfigures } },
    cannot_resume_last_stage = { 2, Case { route: Route::Stream, which: Which::Last, silence: ms(1200), attempts: 2, operator: Operator::Reconfigures } },
    one_attempt = { 3, Case { route: Route::Resumable, which: Which::First, silence: ms(1200), attempts: 1, operator: Operator::Reconfigures } },
    no_other_path = { 4, Case { route: Route::Resumable, which: Which::All, silence: ms(1800), attempts: 2, operator: Operator::Reconfigures } },
    planned_stop = { 6, Case { route: Route::Stream, which: Which::First, silence: ms(1200), attempts: 2, operator: Operator::StopsNode } },
    two_in_turn = { 5, Case { route: Route::Resumable, which: Which::FirstThenNext(ms(350)), silence: ms(1600), attempts: 2, operator: Operator::Reconfigures } },
)]
fn silent_engine_is_not_taken_for_lost(number: u8, case: Case) {
    let document = Document { attempts: case.attempts, ..Document::default() };
    let site = Site::start(140 + number, 1, &document);
    let call =
        |index: usize| spawn_call(site.nodes[0].front, Call::new(case.route, &format!("s{index}")));
    let streams = (0..STREAMS).map(call).collect();
    assert!(site.platform.wait(START_LIMIT, || site.runs("s").len() == STREAMS), "streams run");
    sleep(BEFORE_SILENCE);
    let until = Instant::now() + case.silence;
    let silent = fall_silent(&site, case.which);
    match case.operator {
        Operator::Reconfigures => site.platform.configure(&Document { version: 2, ..document }),
        Operator::StopsNode => site.nodes[0].signal("TERM"),
    }
    sleep(until.saturating_duration_since(Instant::now()));
    silent.into_iter().for_each(|engine| site.platform.set_silent(engine, false));

    for (index, reply) in ended(streams).iter().enumerate() {
        assert!(reply.is_complete(EVENTS), "stream {index}: {reply:?}");
    }
    for index in 0..STREAMS {
        let runs = site.runs(&format!("s{index}"));
        let targets: BTreeSet<&str> = runs.iter().map(|run| run.target.as_str()).collect();
        assert!(targets.len() <= case.attempts as usize, "stream {index} ran at {targets:?}");
    }
}

/// Makes engines silent and returns them.
fn fall_silent(site: &Site, which: Which) -> Vec<SocketAddr> {
    let path = site.path("s");
    let mut silent = match which {
        Which::All => site.engines.clone(),
        Which::First | Which::FirstThenNext(_) => path[..1].to_vec(),
        Which::Last => path[path.len() - 1..].to_vec(),
    };
    silent.iter().for_each(|&engine| site.platform.set_silent(engine, true));
    if let Which::FirstThenNext(pause) = which {
        sleep(pause);
        let next = site.path("s")[0];
        site.platform.set_silent(next, true);
        silent.push(next);
    }
    silent
}

// Guards against a sound request that is quarantined because the engines that it waited for were
// silent: its attempts were counted as losses of those engines.
#[parameterized(
    first_engines = { 149, 0 },
    last_engines = { 195, 1 },
)]
fn silence_quarantines_no_request(number: u8, stage: usize) {
    let site = Site::start(number, 1, &Document { attempts: 3, ..Document::default() });
    ended(site.streams(0, "w", 4 * STREAMS));
    let silent: BTreeSet<SocketAddr> =
        site.runs("w").iter().map(|run| run.engines[stage]).collect();
    silent.iter().for_each(|&engine| site.platform.set_silent(engine, true));
    let unseen = |id: &str| Call { body: "unseen", ..Call::new(Route::Resumable, id) };
    let waiting = spawn_call(site.nodes[0].front, unseen("q"));
    sleep(BEFORE_REPEAT);
    let repeated = spawn_call(site.nodes[0].front, unseen("r"));
    sleep(SILENCE - BEFORE_REPEAT);
    silent.iter().for_each(|&engine| site.platform.set_silent(engine, false));
    let reply = repeated.join().expect("a caller thread ends");
    let is_refused_shortly = reply.retry_after.is_some_and(|after| after < QUARANTINE_RETRY_AFTER);
    assert!(reply.is_complete(EVENTS) || is_refused_shortly, "{reply:?}");
    let reply = waiting.join().expect("a caller thread ends");
    assert!(reply.is_complete(EVENTS), "{reply:?}");
    let again = send_call(site.nodes[0].front, &unseen("q2"));
    assert!(again.is_complete(EVENTS), "{again:?}");
}

/// Time for which an engine is silent that keeps its layers.
const SHORT_SILENCE: Duration = Duration::from_millis(1000);
/// Time until orders that follow from a silence would have been sent.
const AFTER_SILENCE: Duration = Duration::from_millis(500);

// Guards against layers that are moved off their engines because one of these was silent for a
// second: streams that pass them wait, and the loads delay others.
#[parameterized(first = { 181, 0 }, last = { 182, 1 })]
fn silent_engine_keeps_its_layers(number: u8, stage: usize) {
    let site = Site::start(number, 1, &Document::default());
    let streams = site.streams(0, "k", STREAMS);
    assert!(site.platform.wait(START_LIMIT, || site.runs("k").len() == STREAMS), "streams run");
    let path = site.path("k");
    let engine = path[stage.min(path.len() - 1)];
    let before = site.platform.placements().len();
    site.platform.set_silent(engine, true);
    sleep(SHORT_SILENCE);
    site.platform.set_silent(engine, false);
    sleep(AFTER_SILENCE);
    let orders = site.platform.placements();
    assert_eq!(orders.len(), before, "{:?}", &orders[before..]);
    ended(streams);
}

/// Time for which all engines are silent while new requests come.
const SHARED_SILENCE: Duration = Duration::from_millis(400);
/// Time from the start of that silence to the first new request.
const BEFORE_NEW: Duration = Duration::from_millis(250);
/// Pause between new requests.
const NEW_PAUSE: Duration = Duration::from_millis(10);
/// Number of new requests.
const NEW: usize = 12;

// Guards against new requests that are refused at once because all first engines, or all last ones,
// count as silent for a moment, although none has ended.
#[parameterized(
    first_engines = { 183, 0 },
    last_engines = { 184, 1 },
)]
fn new_requests_are_served_after_a_short_silence(number: u8, stage: usize) {
    let site = Site::start(number, 1, &Document::default());
    let streams = site.streams(0, "w", 4 * STREAMS);
    assert!(site.platform.wait(START_LIMIT, || site.runs("w").len() == 4 * STREAMS), "they run");
    sleep(BEFORE_SILENCE);
    let silent: BTreeSet<SocketAddr> =
        site.runs("w").iter().map(|run| run.engines[stage]).collect();
    let until = Instant::now() + SHARED_SILENCE;
    silent.iter().for_each(|&engine| site.platform.set_silent(engine, true));
    sleep(BEFORE_NEW);
    let new = |number: usize| {
        sleep(NEW_PAUSE);
        let route = if number < NEW / 2 { Route::Resumable } else { Route::Stream };
        spawn_call(site.nodes[0].front, Call::new(route, &format!("n{number}")))
    };
    let new: Vec<_> = (0..NEW).map(new).collect();
    sleep(until.saturating_duration_since(Instant::now()));
    silent.iter().for_each(|&engine| site.platform.set_silent(engine, false));
    for (index, reply) in ended(new).iter().chain(&ended(streams)).enumerate() {
        assert!(reply.is_complete(EVENTS), "{index}: {reply:?}");
    }
}
