//! Targets whose bytes have no end: the memory of the process stays bounded, callers are told the
//! truth in time, and others are served.

mod entry;

use std::fs;
use std::net::SocketAddr;
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

use entry::Entry;
use platform_standin::{
    Call, Document, Fault, MODEL, PLAIN, Platform, Reply, Route, Settings, Setup, send_call,
    spawn_call,
};
use yare::parameterized;

/// Events of each stream; they take 10 ms each.
const EVENTS: u64 = 20;
/// Longest wait for a state that follows soon.
const SOON: Duration = Duration::from_secs(15);
/// How long an answer may take.
const DEADLINE: Duration = Duration::from_millis(1500);
/// How much later an answer may end.
const SLACK: Duration = Duration::from_millis(700);
/// Requests at once.
const CALLERS: usize = 6;
/// Most memory of the process, kilobytes.
const MOST_MEMORY_KB: u64 = 80 << 10;

struct Site {
    platform: Platform,
    node: Entry,
    engines: Vec<SocketAddr>,
    plain: Vec<SocketAddr>,
}

impl Site {
    fn start(number: u8) -> Self {
        let host = format!("127.87.{number}.1");
        let platform = Platform::start(&host);
        platform.configure(&Document::default());
        let target = |id: &'static str, service, domain| {
            platform.start_target(&host, Setup { id: id.into(), service, domain, events: EVENTS })
        };
        let engines = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
        let engines = engines.map(|(id, domain)| target(id, MODEL, domain)).into();
        let plain = ["p1", "p2"].map(|id| target(id, PLAIN, "a")).into();
        let settings = Settings::new("n0", "a", &host, platform.store());
        let node = Entry::start(&format!("endless-{number}"), &settings);
        sleep(Settings::STARTUP_WITHOUT_RETRIES);
        let site = Self { platform, node, engines, plain };
        assert!(site.platform.wait(SOON, || site.ask("probe").is_complete(EVENTS)), "it serves");
        site
    }

    fn ask(&self, id: &str) -> Reply {
        send_call(self.node.front, &Call::new(Route::Resumable, id))
    }

    /// Sends some requests at once; returns their answers, and how long all of them took.
    fn press(&self, route: Route) -> (Vec<Reply>, Duration) {
        let begun = Instant::now();
        let call = |number: usize| {
            let what = Call { deadline: DEADLINE, ..Call::new(route, &format!("r{number}")) };
            spawn_call(self.node.front, what)
        };
        let calls: Vec<JoinHandle<Reply>> = (0..CALLERS).map(call).collect();
        let replies = calls.into_iter().map(|call| call.join().expect("a caller ends"));
        (replies.collect(), begun.elapsed())
    }

    /// The most memory that the process has had, kilobytes.
    fn memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.node.child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its memory");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }
}

struct Case {
    route: Route,
    trouble: Fault,
    /// Whether all targets have it, or one.
    all: bool,
    /// The status of answers; `None` where only their ends matter.
    status: Option<u16>,
    /// Whether answers are whole.
    whole: bool,
}

// Guards against bytes without end filling the memory, and against requests that never end.
#[parameterized(
    answers_flood = { 1, Case { route: Route::Safe, trouble: Fault::Floods, all: true, status: Some(502), whole: false } },
    booking_floods = { 2, Case { route: Route::Unsafe, trouble: Fault::Floods, all: true, status: Some(502), whole: false } },
    one_floods = { 3, Case { route: Route::Safe, trouble: Fault::Floods, all: false, status: Some(200), whole: true } },
    answers_drip = { 4, Case { route: Route::Unsafe, trouble: Fault::Drips, all: true, status: Some(504), whole: false } },
    failures_flood = { 5, Case { route: Route::Unsafe, trouble: Fault::FailsEndlessly, all: true, status: Some(502), whole: false } },
    refusals_flood = { 6, Case { route: Route::Unsafe, trouble: Fault::RefusesEndlessly, all: true, status: Some(503), whole: false } },
    heads_flood = { 7, Case { route: Route::Unsafe, trouble: Fault::EndlessHead, all: true, status: None, whole: false } },
    streams_flood = { 8, Case { route: Route::Resumable, trouble: Fault::Floods, all: true, status: None, whole: false } },
    one_stream_floods = { 9, Case { route: Route::Resumable, trouble: Fault::Floods, all: false, status: Some(200), whole: true } },
    streams_drip = { 10, Case { route: Route::Resumable, trouble: Fault::Drips, all: true, status: None, whole: false } },
    streams_fail_endlessly = { 11, Case { route: Route::Resumable, trouble: Fault::FailsEndlessly, all: true, status: Some(502), whole: false } },
    streams_refused_endlessly = { 12, Case { route: Route::Resumable, trouble: Fault::RefusesEndlessly, all: true, status: Some(503), whole: false } },
)]
fn bytes_without_end(number: u8, case: Case) {
    let mut site = Site::start(number);
    let is_plain = matches!(case.route, Route::Safe | Route::Unsafe);
    let targets = if is_plain { &site.plain } else { &site.engines };
    let most = if case.all { targets.len() } else { 1 };
    for target in &targets[..most] {
        site.platform.set_fault(*target, case.trouble);
    }
    let last = if is_plain { 0 } else { EVENTS };
    let (replies, took) = site.press(case.route);
    assert!(took < DEADLINE + SLACK, "{took:?}");
    for reply in &replies {
        assert!(case.status.is_none_or(|status| reply.status == Some(status)), "{reply:?}");
        assert_eq!(reply.is_complete(last), case.whole, "{reply:?}");
    }
    let ran = |number: usize| {
        let id = format!("r{number}");
        site.platform.runs().iter().any(|run| run.request == id)
    };
    // A refusal says that the request has not run.
    let refused = (0..CALLERS).filter(|number| replies[*number].status == Some(503));
    assert!(refused.into_iter().all(|number| !ran(number)), "{replies:?}");
    assert!(site.memory_kb() < MOST_MEMORY_KB, "{} kB", site.memory_kb());
    // What serves beside it goes on.
    for target in targets {
        site.platform.set_fault(*target, Fault::None);
    }
    assert!(site.platform.wait(SOON, || site.ask("later").is_complete(EVENTS)), "streams go on");
    site.node.signal("TERM");
    let ended = site.node.child.wait().expect("it ends");
    assert_eq!(ended.code(), Some(0));
}
