//! Diagnosis of requests that make no progress: finds the engine at fault.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::Event;
use hyper::StatusCode;
use path::{Fault, Path, ProbeFailure, Stage};
use site::Report;
use tokio::pin;
use tokio::time::{sleep, timeout};

use crate::body::{self, Room};
use crate::event::TARGET_LOST;
use crate::node::Node;
use crate::pool::Unanswered;

/// Maximum size of a report.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Maximum wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Part of the wait for a report after which it is requested on a second connection as well: if
/// links lose packets, the first connection retransmits only after 200 ms.
const HEDGE_PART: u32 = 3;
/// A check that exceeds its timeout by this much shows that the VM was suspended: the report may
/// have arrived without having been read.
const TIMER_OVERRUN: Duration = Duration::from_millis(15);
/// Interval in which only one request triggers a diagnosis at an engine; the others use its result.
const DIAGNOSE_INTERVAL: Duration = Duration::from_millis(80);
/// Time within which a process that ends closes its port after its first connection.
const PORT_CLOSE_TIME: Duration = Duration::from_millis(25);
/// Number of engines that a node tries once others have failed.
const DOUBT_SAMPLE: usize = 3;
/// Interval of probes of targets that are down.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Times of the last diagnoses.
#[derive(Default)]
pub(crate) struct Diagnoses {
    /// When each engine was last asked for a report because a request made no progress.
    last_asked: RefCell<HashMap<SocketAddr, Duration>>,
}

impl Node {
    /// Fetches an engine's report.
    async fn fetch_report(&self, address: SocketAddr) -> Result<Report, ProbeFailure> {
        let exchange = async {
            let call = || platform::report_request(address);
            // The target may have closed an idle connection, so the request is retried once on
            // another one.
            let answer = match self.ask(address, call()).await {
                Err(Unanswered::Unknown) => self.ask(address, call()).await,
                other => other,
            };
            let (response, connection) = answer.map_err(probe_failure)?.split();
            if response.status() != StatusCode::OK {
                return Err(ProbeFailure::Timeout);
            }
            let holding = self.answers.begin(address);
            let body =
                body::read(response.into_body(), MAX_REPORT_BYTES, holding, Room::Awaited).await;
            let body = body.map_err(|_| ProbeFailure::Timeout)?;
            self.pool.release(connection);
            platform::decode_report(&body).map_err(|_| ProbeFailure::Timeout)
        };
        metrics::counter!("magnolia_reports").increment(1);
        let asked_at = self.now();
        let report =
            timeout(REPORT_TIMEOUT, exchange).await.unwrap_or(Err(ProbeFailure::Timeout))?;
        self.latency.borrow_mut().record(self.now().saturating_sub(asked_at));
        Ok(report)
    }

    /// Fetches an engine's report and applies it.
    ///
    /// # Errors
    ///
    /// Returns why there is no report.
    pub(crate) async fn refresh(
        &self,
        id: &str,
        address: SocketAddr,
    ) -> Result<Report, ProbeFailure> {
        let report = self.fetch_report(address).await?;
        self.apply_report(id, &report);
        Ok(report)
    }

    /// Finds the engine that blocks requests on `path`, and records the fault.
    pub(crate) async fn diagnose(&self, path: &Path) {
        let first = path.first().address;
        let now = self.now();
        if self.table.borrow().is_backing_off(now, first) {
            return;
        }
        let last_asked = self.diagnoses.last_asked.borrow().get(&first).copied();
        if last_asked.is_some_and(|at| now.saturating_sub(at) < DIAGNOSE_INTERVAL) {
            // The diagnosis in progress serves this request too.
            return;
        }
        self.diagnoses.last_asked.borrow_mut().insert(first, now);
        if !self.may_call(first).await {
            return;
        }
        match self.fetch_report(first).await {
            Err(failure) => self.record_fault(first, probe_fault(failure), "no report"),
            Ok(report) => {
                for stall in &report.stalls {
                    self.record_fault(
                        stall.address,
                        Fault::Unresponsive,
                        "requests stall at this engine",
                    );
                }
            }
        }
    }

    /// Checks whether the engines of a path on which a stream is silent still respond in time.
    pub(crate) fn check_slow_engines(self: &Rc<Self>, path: &Path) {
        let (now, start) = (self.now(), self.random_fraction());
        let due = self.table.borrow_mut().due_report_requests(now, path, start);
        for (id, address) in due {
            let node = self.clone();
            tokio::task::spawn_local(async move {
                if !node.may_call(address).await {
                    return;
                }
                node.check_engine(&id, address).await;
            });
        }
    }

    /// Asks engines for their reports, because no target has answered this node for a while: it may
    /// be cut off without a request that shows it.
    fn check_answers(self: &Rc<Self>) {
        let is_doubtful = self.doubts_targets();
        if !is_doubtful && self.table.borrow().has_backing_off(self.now()) {
            // A service that asks for pauses is not asked for more than its callers need.
            return;
        }
        let count = if is_doubtful { DOUBT_SAMPLE } else { 1 };
        for (id, address) in self.sample_engines(count) {
            let node = self.clone();
            tokio::task::spawn_local(async move {
                if !node.may_call(address).await {
                    return;
                }
                if node.refresh(&id, address).await.is_err() {
                    node.record_fault(address, Fault::ReportTimeout, "no report on a quiet node");
                }
            });
        }
    }

    /// Asks an engine for its report, and records a fault if it gives none in time.
    async fn check_engine(&self, id: &str, address: SocketAddr) {
        let (asked_at, limit) = (self.now(), self.latency.borrow().limit());
        let answer = self.refresh_hedged(id, address, limit / HEDGE_PART);
        pin!(answer);
        let mut report = timeout(limit, &mut answer).await;
        if report.is_err() && self.now().saturating_sub(asked_at) > limit + TIMER_OVERRUN {
            report = timeout(limit, &mut answer).await;
        }
        let fault = match report {
            Ok(Ok(_)) => return,
            Ok(Err(ProbeFailure::Refused)) => Fault::Refused,
            Ok(Err(ProbeFailure::Timeout)) | Err(_) => Fault::ReportTimeout,
        };
        self.record_fault(address, fault, "no report while streams pause");
        if report.is_err() {
            // A late report puts the engine back in use, and shows how late this node is.
            answer.await.ok();
        }
    }

    /// Fetches an engine's report, with a second attempt after `hedge_after`. Returns the first
    /// report.
    async fn refresh_hedged(
        &self,
        id: &str,
        address: SocketAddr,
        hedge_after: Duration,
    ) -> Result<Report, ProbeFailure> {
        let first = self.refresh(id, address);
        pin!(first);
        if self.permits.borrow().limit(address).is_some() {
            // The permit is for one call.
            return first.await;
        }
        if let Ok(report) = timeout(hedge_after, &mut first).await {
            return report;
        }
        let second = self.refresh(id, address);
        pin!(second);
        tokio::select! {
            Ok(report) = &mut first => Ok(report),
            Ok(report) = &mut second => Ok(report),
            else => Err(ProbeFailure::Timeout),
        }
    }

    /// Checks whether a plain target is gone after it lost a call.
    pub(crate) fn check_connection(self: &Rc<Self>, address: SocketAddr) {
        let node = self.clone();
        if node.table.borrow().is_backing_off(node.now(), address) {
            return;
        }
        tokio::task::spawn_local(async move {
            if let Err(failure) = stays_connected(address).await {
                let fault = probe_fault(failure);
                node.record_fault(address, fault, "no connection after a lost answer");
            }
        });
    }

    /// Records that the probe sent to a target at `sent_at` was not answered, and logs it if this
    /// shows that the target is lost.
    fn record_unanswered_probe(&self, id: &str, sent_at: Duration, failure: ProbeFailure) {
        if !self.table.borrow_mut().record_unanswered_probe(id, sent_at, failure) {
            return;
        }
        let table = self.table.borrow();
        let Some(health) = table.entry(id).map(|entry| &entry.health) else { return };
        let down = health.time_down(self.now()).unwrap_or_default();
        let event = Event::new(TARGET_LOST)
            .with("target", id)
            .with("down_ms", down.as_millis())
            .with("probes", health.unanswered_probes())
            .with("last_probe", format_args!("{failure:?}"));
        log::warn!("{event}");
    }

    /// Returns whether an engine of a path is known to have been lost without notice. A node that
    /// reaches no target cannot know.
    pub(crate) fn is_lost(&self, path: &Path) -> bool {
        if !self.reaches_targets() {
            return false;
        }
        let table = self.table.borrow();
        path.stages.iter().any(|stage| table.is_lost(&stage.target))
    }

    /// Returns whether an engine at which a request has run must have ended without notice, or is cut
    /// off from this node for longer than a sound engine is silent. A node that some targets answer
    /// finds out by probes which of the others have ended.
    pub(crate) fn has_ended(&self, engine: &Stage) -> bool {
        let table = self.table.borrow();
        let is_gone = match self.contact.borrow().reaches_none() {
            true => table.is_silent(self.now(), &engine.target),
            false => table.is_lost(&engine.target),
        };
        is_gone || table.is_replaced(&engine.target)
    }

    /// Returns whether an engine of a path is down.
    pub(crate) fn is_broken(&self, path: &Path) -> bool {
        let table = self.table.borrow();
        path.stages.iter().any(|stage| table.is_down(&stage.target))
    }
}

/// Tries to connect to some targets, because several others could not be connected to.
async fn check_connections(node: Rc<Node>) {
    let targets = node.sample_engines(DOUBT_SAMPLE);
    let attempts = targets.into_iter().map(|(_, address)| {
        tokio::task::spawn_local(async move { crate::pool::connect(address).await.is_ok() })
    });
    let attempts: Vec<_> = attempts.collect();
    let mut connected = false;
    for attempt in attempts {
        connected |= attempt.await.unwrap_or(false);
    }
    if connected {
        return node.record_connection();
    }
    let now = node.now();
    let is_lost = node.contact.borrow_mut().record_failed_check(now);
    if is_lost {
        node.lose_contact();
    }
}

/// Opens a connection to a target and waits whether it stays open: a process that ends may close its
/// connections before its port.
async fn stays_connected(address: SocketAddr) -> Result<(), ProbeFailure> {
    let connection = crate::pool::connect(address).await.map_err(probe_failure)?;
    sleep(PORT_CLOSE_TIME).await;
    if connection.is_closed() { Err(ProbeFailure::Refused) } else { Ok(()) }
}

/// Returns the fault of a target that gave no answer.
pub(crate) fn probe_fault(failure: ProbeFailure) -> Fault {
    match failure {
        ProbeFailure::Refused => Fault::Refused,
        ProbeFailure::Timeout => Fault::Unresponsive,
    }
}

/// Returns what a probe that got no answer shows.
pub(crate) fn probe_failure(unanswered: Unanswered) -> ProbeFailure {
    match unanswered {
        Unanswered::Refused => ProbeFailure::Refused,
        Unanswered::NotSent | Unanswered::Unknown | Unanswered::Malformed(_) => {
            ProbeFailure::Timeout
        }
    }
}

/// Probes targets that are down until the process ends.
pub(crate) async fn probe(node: Rc<Node>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        crate::follow::expire(&node);
        let asked_at = node.now();
        node.update_contact();
        if node.contact.borrow_mut().poll_answer_check(asked_at) {
            node.check_answers();
        }
        if node.contact.borrow_mut().poll_connect_check(asked_at) {
            tokio::task::spawn_local(check_connections(node.clone()));
        }
        let due = node.table.borrow_mut().due_probes(asked_at);
        for (id, address) in due {
            let node = node.clone();
            tokio::task::spawn_local(async move {
                let is_engine = node.is_engine(&id);
                if is_engine && !node.may_call(address).await {
                    return;
                }
                let answer = if is_engine {
                    node.refresh(&id, address).await.map(drop)
                } else {
                    let connected = crate::pool::connect(address).await;
                    connected.map(|_| node.mark_reachable(&id)).map_err(probe_failure)
                };
                if let Err(failure) = answer {
                    node.record_unanswered_probe(&id, asked_at, failure);
                }
            });
        }
    }
}
