//! Finding out which engine keeps a request from going on.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use path::{Fault, Path};
use site::Report;
use tokio::pin;
use tokio::time::timeout;

use crate::node::Node;
use crate::pool::{Unanswered, read_body};

/// Most bytes of a report.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Longest wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest wait for the report of an engine on whose path streams pause: engines answer within
/// a few milliseconds, also under load.
const CHECK_TIMEOUT: Duration = Duration::from_millis(35);
/// Time after which an engine that has not answered yet is asked on another connection as well:
/// where links lose packets, the first connection waits a fifth of a second for the next try.
const HEDGE_AFTER: Duration = Duration::from_millis(12);
/// A question that took this much longer than its timeout shows that this VM stood still: the
/// report may be there and not read yet.
const TIMER_OVERRUN: Duration = Duration::from_millis(15);
/// A report is shared by all requests that ask within this time.
const DIAGNOSE_INTERVAL: Duration = Duration::from_millis(80);
/// Interval of probes of targets that are left out.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Reports asked for lately.
#[derive(Default)]
pub(crate) struct Reports {
    /// When each engine was last asked by a request that hangs.
    asked: RefCell<HashMap<SocketAddr, Duration>>,
}

impl Node {
    /// Asks an engine for its report.
    pub(crate) async fn fetch_report(&self, address: SocketAddr) -> Option<Report> {
        let exchange = async {
            let call = || platform::report_request(address);
            // A kept connection may have been dropped at the other end: asked once more on
            // another one.
            let begun = match self.send(address, call()).await {
                Err(Unanswered::Unknown) => self.send(address, call()).await,
                other => other,
            };
            let (response, connection) = begun.ok()?.split();
            if !response.status().is_success() {
                return None;
            }
            let body = read_body(response.into_body(), MAX_REPORT_BYTES).await?;
            self.pool.release(connection);
            platform::report(&body).ok()
        };
        metrics::counter!("magnolia_reports").increment(1);
        timeout(REPORT_TIMEOUT, exchange).await.ok().flatten()
    }

    /// Asks an engine for its report, and takes it.
    pub(crate) async fn refresh(&self, id: &str, address: SocketAddr) -> Option<Report> {
        let report = self.fetch_report(address).await?;
        self.apply_report(id, &report);
        Some(report)
    }

    /// Looks for the engine that keeps requests on `path` from going on, and notes the fault.
    pub(crate) async fn diagnose(&self, path: &Path) {
        let first = path.first().address;
        let now = self.now();
        if self.table.borrow().is_backing_off(now, first) {
            return;
        }
        let asked = self.reports.asked.borrow().get(&first).copied();
        if asked.is_some_and(|at| now.saturating_sub(at) < DIAGNOSE_INTERVAL) {
            // Others that ask meanwhile go by what the call in progress finds.
            return;
        }
        self.reports.asked.borrow_mut().insert(first, now);
        match self.fetch_report(first).await {
            None => self.record_fault(first, Fault::Silent, "no report"),
            Some(report) => {
                for stall in &report.stalls {
                    self.record_fault(stall.address, Fault::Silent, "requests hang there");
                }
            }
        }
    }

    /// Asks the engines of a path on which a stream pauses whether they are slow.
    pub(crate) fn check_slow_engines(self: &Rc<Self>, path: &Path) {
        let due = self.table.borrow_mut().take_questions(self.now(), path);
        for (id, address) in due {
            let node = self.clone();
            tokio::task::spawn_local(async move {
                if !node.responds_in_time(&id, address).await {
                    node.record_fault(address, Fault::Mute, "no report while streams pause");
                }
            });
        }
    }

    /// Whether an engine gives its report within [`QUESTION_TIMEOUT`].
    async fn responds_in_time(&self, id: &str, address: SocketAddr) -> bool {
        let asked = self.now();
        let answer = self.refresh_hedged(id, address);
        pin!(answer);
        let mut report = timeout(CHECK_TIMEOUT, &mut answer).await;
        if report.is_err() && self.now().saturating_sub(asked) > CHECK_TIMEOUT + TIMER_OVERRUN {
            report = timeout(CHECK_TIMEOUT, answer).await;
        }
        report.ok().flatten().is_some()
    }

    /// Asks an engine for its report, and once more if it takes long; takes the first answer.
    async fn refresh_hedged(&self, id: &str, address: SocketAddr) -> Option<Report> {
        let first = self.refresh(id, address);
        pin!(first);
        if let Ok(report) = timeout(HEDGE_AFTER, &mut first).await {
            return report;
        }
        let second = self.refresh(id, address);
        pin!(second);
        tokio::select! {
            Some(report) = &mut first => Some(report),
            Some(report) = &mut second => Some(report),
            else => None,
        }
    }

    /// Finds out whether a plain target that broke a call off is gone.
    pub(crate) fn check_connection(self: &Rc<Self>, address: SocketAddr) {
        let node = self.clone();
        if node.table.borrow().is_backing_off(node.now(), address) {
            return;
        }
        tokio::task::spawn_local(async move {
            if crate::pool::connect(address).await.is_none() {
                node.record_fault(address, Fault::Silent, "no connection after a lost answer");
            }
        });
    }

    /// Whether a path has an engine that is known to have ended without a word before.
    pub(crate) fn is_lost(&self, path: &Path) -> bool {
        let table = self.table.borrow();
        path.stages.iter().any(|stage| table.is_lost(&stage.target))
    }

    /// Whether a path has an engine that is left out.
    pub(crate) fn is_broken(&self, path: &Path) -> bool {
        let table = self.table.borrow();
        path.stages.iter().any(|stage| table.is_down(&stage.target))
    }
}

/// Probes targets that are left out, for good.
pub(crate) async fn probe(node: Rc<Node>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        crate::follow::expire(&node);
        let asked = node.now();
        let due = node.table.borrow_mut().take_probes(asked);
        for (id, address) in due {
            let node = node.clone();
            tokio::task::spawn_local(async move {
                let answered = if node.is_engine(&id) {
                    node.refresh(&id, address).await.is_some()
                } else {
                    let connected = crate::pool::connect(address).await.is_some();
                    if connected {
                        node.mark_reachable(&id);
                    }
                    connected
                };
                if !answered {
                    node.table.borrow_mut().unanswered(&id, asked);
                }
            });
        }
    }
}
