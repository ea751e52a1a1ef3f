//! A site for tests of targets whose bytes have no end: one node, four engines and two plain targets.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::fs;
use std::net::SocketAddr;
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

use platform_standin::{
    Call, Document, Fault, MODEL, PLAIN, Platform, Reply, Route, Settings, Setup, send_call,
    spawn_call,
};

use crate::entry::Entry;

/// Events of each stream; they take 10 ms each.
pub(crate) const EVENTS: u64 = 20;
/// Longest wait for a state that follows soon.
pub(crate) const SOON: Duration = Duration::from_secs(15);
/// How long an answer may take.
pub(crate) const DEADLINE: Duration = Duration::from_millis(1500);

/// A node and its targets.
pub(crate) struct Site {
    pub(crate) platform: Platform,
    pub(crate) node: Entry,
    pub(crate) engines: Vec<SocketAddr>,
    pub(crate) plain: Vec<SocketAddr>,
}

impl Site {
    /// Starts a site on the hosts that begin like this, with further settings of the node, and waits
    /// until it serves streams.
    pub(crate) fn start(name: &str, hosts: &str, more_settings: &str) -> Self {
        Self::start_with(hosts, &Document::default(), more_settings, |settings| {
            Entry::start(name, settings)
        })
    }

    /// Starts a site with this configuration, whose node is started like this.
    pub(crate) fn start_with(
        hosts: &str,
        document: &Document,
        more_settings: &str,
        start: impl FnOnce(&Settings) -> Entry,
    ) -> Self {
        let host = format!("{hosts}.1");
        let platform = Platform::start(&host);
        platform.configure(document);
        let target = |id: &'static str, service, domain| {
            platform.start_target(&host, Setup { id: id.into(), service, domain, events: EVENTS })
        };
        let engines = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
        let engines = engines.map(|(id, domain)| target(id, MODEL, domain)).into();
        let plain = ["p1", "p2"].map(|id| target(id, PLAIN, "a")).into();
        let mut settings = Settings::new("n0", "a", &host, platform.store());
        settings.text.push_str(more_settings);
        let node = start(&settings);
        sleep(Settings::STARTUP_WITHOUT_RETRIES);
        let site = Self { platform, node, engines, plain };
        let serves = || site.ask(Route::Resumable, "probe").is_complete(EVENTS);
        assert!(site.platform.wait(SOON, serves), "it serves");
        site
    }

    pub(crate) fn ask(&self, route: Route, id: &str) -> Reply {
        send_call(self.node.front, &Call::new(route, id))
    }

    /// Sends some requests at once; returns their answers, and how long all of them took.
    pub(crate) fn press(&self, calls: impl Iterator<Item = Call>) -> (Vec<Reply>, Duration) {
        let begun = Instant::now();
        let calls: Vec<JoinHandle<Reply>> =
            calls.map(|call| spawn_call(self.node.front, call)).collect();
        let replies = calls.into_iter().map(|call| call.join().expect("a caller ends"));
        (replies.collect(), begun.elapsed())
    }

    /// Returns the targets that run the requests of a route.
    pub(crate) fn targets(&self, route: Route) -> &[SocketAddr] {
        match route {
            Route::Resumable | Route::Stream => &self.engines,
            Route::Safe | Route::Unsafe => &self.plain,
        }
    }

    /// Returns the number of the last event of a whole answer; 0 if it is no stream.
    pub(crate) fn last_event(route: Route) -> u64 {
        match route {
            Route::Resumable | Route::Stream => EVENTS,
            Route::Safe | Route::Unsafe => 0,
        }
    }

    /// Returns whether a target has run a request.
    pub(crate) fn has_run(&self, id: &str) -> bool {
        self.platform.runs().iter().any(|run| run.request == id)
    }

    /// Returns the most memory that the process has had, kilobytes.
    pub(crate) fn memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.node.child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its memory");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Ends the faults of all targets. Asserts that streams are served then, and that the process
    /// ends as planned.
    pub(crate) fn assert_goes_on(&mut self) {
        for target in self.engines.iter().chain(&self.plain) {
            self.platform.set_fault(*target, Fault::None);
        }
        let serves = || self.ask(Route::Resumable, "later").is_complete(EVENTS);
        assert!(self.platform.wait(SOON, serves), "streams go on");
        self.node.signal("TERM");
        let ended = self.node.child.wait().expect("it ends");
        assert_eq!(ended.code(), Some(0));
    }
}
