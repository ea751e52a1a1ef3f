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

use crate::link::{Unanswered, read};
use crate::node::Node;

/// Most bytes of a report.
const MOST_REPORT_BYTES: usize = 1 << 20;
/// Longest wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest wait for the report of an engine on whose path streams pause: engines answer within
/// a few milliseconds, also under load.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(35);
/// Time after which an engine that has not answered yet is asked on another connection as well:
/// where links lose packets, the first connection waits a fifth of a second for the next try.
const HEDGE_AFTER: Duration = Duration::from_millis(12);
/// A question that took this much longer than its timeout shows that this VM stood still: the
/// report may be there and not read yet.
const OVERSLEPT: Duration = Duration::from_millis(15);
/// A report is shared by all requests that ask within this time.
const REPORT_AGE: Duration = Duration::from_millis(80);
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
    pub(crate) async fn ask(&self, address: SocketAddr) -> Option<Report> {
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
            let body = read(response.into_body(), MOST_REPORT_BYTES).await?;
            self.pool.give_back(connection);
            platform::decode_report(&body).ok()
        };
        metrics::counter!("magnolia_reports").increment(1);
        timeout(REPORT_TIMEOUT, exchange).await.ok().flatten()
    }

    /// Asks an engine for its report, and takes it.
    pub(crate) async fn refresh(&self, id: &str, address: SocketAddr) -> Option<Report> {
        let report = self.ask(address).await?;
        self.report(id, &report);
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
        if asked.is_some_and(|at| now.saturating_sub(at) < REPORT_AGE) {
            // Others that ask meanwhile go by what the call in progress finds.
            return;
        }
        self.reports.asked.borrow_mut().insert(first, now);
        match self.ask(first).await {
            None => self.fault(first, Fault::Unresponsive, "no report"),
            Some(report) => {
                for stall in &report.stalls {
                    self.fault(stall.address, Fault::Unresponsive, "requests hang there");
                }
            }
        }
    }

    /// Asks the engines of a path on which a stream pauses whether they are slow.
    pub(crate) fn question(self: &Rc<Self>, path: &Path) {
        let due = self.table.borrow_mut().due_report_requests(self.now(), path);
        for (id, address) in due {
            let node = self.clone();
            tokio::task::spawn_local(async move {
                if !node.answers_soon(&id, address).await {
                    node.fault(address, Fault::ReportTimeout, "no report while streams pause");
                }
            });
        }
    }

    /// Whether an engine gives its report within [`QUESTION_TIMEOUT`].
    async fn answers_soon(&self, id: &str, address: SocketAddr) -> bool {
        let asked = self.now();
        let answer = self.hedged(id, address);
        pin!(answer);
        let mut report = timeout(QUESTION_TIMEOUT, &mut answer).await;
        if report.is_err() && self.now().saturating_sub(asked) > QUESTION_TIMEOUT + OVERSLEPT {
            report = timeout(QUESTION_TIMEOUT, answer).await;
        }
        report.ok().flatten().is_some()
    }

    /// Asks an engine for its report, and once more if it takes long; takes the first answer.
    async fn hedged(&self, id: &str, address: SocketAddr) -> Option<Report> {
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
    pub(crate) fn check(self: &Rc<Self>, address: SocketAddr) {
        let node = self.clone();
        if node.table.borrow().is_backing_off(node.now(), address) {
            return;
        }
        tokio::task::spawn_local(async move {
            if crate::link::connect(address).await.is_none() {
                node.fault(address, Fault::Unresponsive, "no connection after a lost answer");
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
        let due = node.table.borrow_mut().due_probes(asked);
        for (id, address) in due {
            let node = node.clone();
            tokio::task::spawn_local(async move {
                let answered = if node.is_engine(&id) {
                    node.refresh(&id, address).await.is_some()
                } else {
                    let connected = crate::link::connect(address).await.is_some();
                    if connected {
                        node.revive(&id);
                    }
                    connected
                };
                if !answered {
                    node.table.borrow_mut().record_unanswered_probe(&id, asked);
                }
            });
        }
    }
}
