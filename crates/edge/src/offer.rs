//! Offers of a request to paths, one after another until one answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use path::{Fault, Path, Query, Stage};
use site::{Model, TargetKey};
use tokio::pin;
use tokio::time::{Instant, timeout};

use crate::answer::Answer;
use crate::call::Call;
use crate::event::RETRIED;
use crate::link::{Connection, MOST_ANSWER_BYTES, Unanswered, read};
use crate::node::Node;
use crate::part::Part;
use crate::quarantine::QUARANTINED;
use crate::reply::{is_not_run, is_of, log_failure, whole};
use crate::silence::STUCK;

/// Most paths that a request is offered to before it is answered, or goes on.
const MOST_OFFERS: u32 = 5;
/// Share of an engine's memory beyond which new requests are turned away.
const MOST_PRESSURE: f64 = 1.0;
/// Why a request is not offered to any path.
pub(crate) const NO_PATH: &str = "no path";
/// Why a request is not offered to another path though there is one.
pub(crate) const NO_RETRY: &str = "no retry left";
/// Why a stream does not go on though there is a path: it may run at no further engine.
const NO_ATTEMPT: &str = "no attempt left";
/// A refusal that took this long came after the engine had hung.
const HUNG: Duration = Duration::from_millis(800);

/// A request counted as running on a path.
pub(crate) struct Running {
    node: Rc<Node>,
    pub(crate) path: Path,
    /// When the request was sent.
    pub(crate) begun: Duration,
    tokens: f64,
    /// Tokens that are read before the first event comes.
    reading: f64,
}

impl Running {
    fn begin(node: &Rc<Node>, path: Path, tokens: f64, reading: f64) -> Self {
        let mut table = node.table.borrow_mut();
        for stage in &path.stages {
            table.add_request(&stage.target, tokens);
            table.request_sent(node.now(), &stage.target);
            table.add_prefill(&stage.target, reading);
        }
        drop(table);
        Self { node: node.clone(), path, begun: node.now(), tokens, reading }
    }

    /// Notes that the engines have taken the request.
    fn was_taken(&self) {
        let mut table = self.node.table.borrow_mut();
        for stage in &self.path.stages {
            table.request_accepted(self.node.now(), &stage.target);
        }
    }

    /// Notes that the prompt has been read.
    fn has_read(&mut self) {
        let reading = std::mem::take(&mut self.reading);
        let mut table = self.node.table.borrow_mut();
        for stage in &self.path.stages {
            table.add_prefill(&stage.target, -reading);
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.has_read();
        let mut table = self.node.table.borrow_mut();
        for stage in &self.path.stages {
            table.remove_request(&stage.target, self.tokens);
        }
    }
}

/// An answer that has begun.
pub(crate) struct Open {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) running: Running,
}

/// Why no path answered.
pub(crate) enum Closed {
    /// Nothing has run.
    NotRun(&'static str),
    /// The request may have run.
    Unknown,
    /// The engine answered with a failure.
    Failed(Response<Answer>),
}

impl Closed {
    /// Whether another try soon may find a path. One without a retry left is not helped by
    /// waiting: its caller goes on at another node.
    pub(crate) fn may_pass(&self) -> bool {
        matches!(self, Closed::NotRun(reason) if *reason != NO_RETRY && *reason != QUARANTINED)
    }

    /// What is missing.
    pub(crate) fn lacks(&self) -> &'static str {
        match self {
            Closed::NotRun(reason) => reason,
            Closed::Unknown => "no answer",
            Closed::Failed(_) => "another target failed",
        }
    }

    /// How a stream ends that cannot be resumed for this reason.
    pub(crate) fn cut(&self) -> &'static str {
        match self {
            Closed::NotRun(NO_RETRY) => "cut, no retry left",
            Closed::NotRun(NO_ATTEMPT) => "cut, no attempt left",
            Closed::NotRun(_) => "cut, no other path",
            Closed::Unknown => "cut, lost on other paths too",
            Closed::Failed(_) => "cut, another target failed",
        }
    }
}

/// What came of one offer.
enum Offered {
    Open(Open),
    /// Refused by this engine, or not sent to it.
    NotRun(TargetKey),
    Unknown,
    /// An engine of the path hangs.
    Hangs,
    Failed(Response<Answer>),
    TimedOut,
}

impl Offered {
    /// Why there is no answer to use, and whether the request can have run.
    fn failure(&self) -> Option<(&'static str, &'static str)> {
        match self {
            Offered::Open(_) => None,
            Offered::NotRun(_) => Some(("refused, or not sent", "no")),
            Offered::Unknown => Some(("connection lost, or a strange answer", "unknown")),
            Offered::Hangs => Some(("an engine of the path hangs", "unknown")),
            Offered::Failed(_) => Some(("failure status", "yes")),
            Offered::TimedOut => Some(("no answer in time", "unknown")),
        }
    }
}

/// The offers of one request.
pub(crate) struct Run {
    pub(crate) node: Rc<Node>,
    pub(crate) call: Rc<Call>,
    model: Arc<Model>,
    avoid: Vec<SocketAddr>,
    pub(crate) offers: u32,
    /// Engines at which it may have run: the first ones of the paths that took it.
    ran: Vec<Stage>,
    /// The part of the stream that goes on if no other path takes it.
    pub(crate) held: Option<Part>,
    /// Share of memory taken on the best path that was found last.
    pub(crate) pressure: f64,
}

impl Run {
    /// A request that has not been offered yet.
    pub(crate) fn new(node: &Rc<Node>, call: Rc<Call>, model: Arc<Model>) -> Self {
        Self {
            node: node.clone(),
            call,
            model,
            avoid: Vec::new(),
            offers: 0,
            ran: Vec::new(),
            held: None,
            pressure: 0.0,
        }
    }

    /// Notes that the request may have run at the first engine of a path, and that it is to go
    /// elsewhere.
    pub(crate) fn has_run(&mut self, path: &Path) {
        let first = path.first();
        if !self.ran.iter().any(|other| other.target == first.target) {
            self.ran.push(first.clone());
        }
        // With every engine of the path in use, only the one that cut can be at fault.
        if !self.node.is_broken(path) {
            self.avoid.push(first.address);
        }
    }

    /// Whether the request has run at as many engines as it may. Those that have ended without a
    /// word before do not count; those that left as planned do.
    fn is_spent(&self) -> bool {
        let table = self.node.table.borrow();
        let living = self.ran.iter().filter(|stage| !table.is_lost(&stage.target));
        living.count() >= self.call.attempts as usize
    }

    /// The best path now. A stream that was cut goes on at a target that cut it before rather
    /// than not at all; one that has run at as many engines as it may begins at one of them.
    fn path(&self, now: Duration, resumes: bool) -> Result<Path, &'static str> {
        let find = |avoid: &[SocketAddr], first: Option<&[SocketAddr]>| {
            let (service, tokens) = (&self.call.service, self.call.tokens);
            let wish = Query { service, excluded: avoid, allowed_first: first, tokens };
            self.node.table.borrow().path(now, &self.model, &wish)
        };
        if resumes && self.is_spent() {
            let before: Vec<SocketAddr> = self.ran.iter().map(|stage| stage.address).collect();
            return find(&self.avoid, Some(&before)).ok_or(NO_ATTEMPT);
        }
        let path = find(&self.avoid, None);
        path.or_else(|| if resumes { find(&[], None) } else { None }).ok_or(NO_PATH)
    }

    /// How long it takes until there is a path, if pauses of engines are all that is missing.
    pub(crate) fn path_returns(&self) -> Option<Duration> {
        let (service, tokens) = (&self.call.service, self.call.tokens);
        let wish = Query { service, excluded: &[], allowed_first: None, tokens };
        self.node.table.borrow().path_available_in(self.node.now(), &self.model, &wish)
    }

    /// Offers the request to paths until one answers.
    pub(crate) async fn open(&mut self, last_event: Option<u64>) -> Result<Open, Closed> {
        let idempotent = self.call.kind.is_idempotent();
        let mut unknown = false;
        let mut failure = None;
        let mut reason = NO_PATH;
        let most = self.offers + MOST_OFFERS;
        loop {
            let now = self.node.now();
            if now >= self.call.ends || self.offers >= most {
                break;
            }
            if self.node.admit(&self.call).await.is_err() {
                reason = QUARANTINED;
                break;
            }
            let path = match self.path(now, last_event.is_some()) {
                Ok(path) => path,
                Err(lacks) => {
                    reason = lacks;
                    break;
                }
            };
            self.pressure = path.pressure;
            if path.pressure > MOST_PRESSURE && last_event.is_none() {
                reason = "full";
                break;
            }
            if self.offers > 0 {
                if !self.node.take_retry(&self.call.service).await {
                    reason = NO_RETRY;
                    break;
                }
                let event = self
                    .call
                    .event(RETRIED)
                    .with("offer", self.offers)
                    .with("after_event", format_args!("{last_event:?}"))
                    .with("target", &path.first().target);
                log::info!("{event}");
            }
            self.offers += 1;
            let first = path.first().clone();
            // An engine is not to run the same request twice at a time.
            self.held.take_if(|held| held.path().first().address == first.address);
            let offered = self.offer(path.clone(), last_event).await;
            if let Some((reason, ran)) = offered.failure() {
                // A later engine of the path can be the one that refused.
                let target = match &offered {
                    Offered::NotRun(target) => target,
                    _ => &first.target,
                };
                log_failure(&self.node, &self.call, target, reason, ran, now);
            }
            match offered {
                Offered::Open(open) => return Ok(open),
                Offered::NotRun(_) => continue,
                Offered::Hangs => {
                    unknown = true;
                    self.has_run(&path);
                }
                Offered::Unknown => {
                    unknown = true;
                    self.has_run(&path);
                    self.avoid.push(first.address);
                }
                Offered::Failed(response) => {
                    self.has_run(&path);
                    self.avoid.push(first.address);
                    failure = Some(response);
                }
                Offered::TimedOut => {
                    unknown = true;
                    break;
                }
            }
            if !idempotent || last_event.is_none() && self.is_spent() {
                break;
            }
        }
        match failure {
            Some(response) => Err(Closed::Failed(response)),
            None if unknown => Err(Closed::Unknown),
            None => Err(Closed::NotRun(reason)),
        }
    }

    /// Offers the request to one path.
    async fn offer(&self, path: Path, last_event: Option<u64>) -> Offered {
        let node = &self.node;
        let call = &self.call;
        let begun = node.now();
        let first = path.first().clone();
        let request = call.request(begun, &first.target, Some(&path), last_event);
        let mut running = Running::begin(node, path, call.tokens, call.prompt);
        let sending = node.send(first.address, request);
        pin!(sending);
        let answer = loop {
            let left = call.ends.saturating_sub(node.now());
            if left.is_zero() {
                self.interrupted(&running.path, running.begun, true);
                return Offered::TimedOut;
            }
            match timeout(STUCK.min(left), &mut sending).await {
                Ok(answer) => break answer,
                Err(_) => {
                    if self.is_stuck(&running.path) && call.kind.is_idempotent() {
                        self.interrupted(&running.path, running.begun, true);
                        return Offered::Hangs;
                    }
                }
            }
        };
        let open = match answer {
            Ok(open) => open,
            Err(Unanswered::NotSent) => {
                node.fault(first.address, Fault::Unresponsive, "no connection");
                return Offered::NotRun(first.target);
            }
            Err(Unanswered::Unknown) => {
                // One lost connection tells little; an engine that is gone gives no report.
                node.fault(first.address, Fault::Failed, "connection lost");
                self.is_stuck(&running.path);
                self.interrupted(&running.path, running.begun, true);
                return Offered::Unknown;
            }
        };
        running.has_read();
        let (response, connection) = open.split();
        if !is_of(response.headers(), call) {
            node.fault(first.address, Fault::Failed, "answer to another request");
            return Offered::Unknown;
        }
        let status = response.status();
        if is_not_run(status, response.headers()) {
            let address = platform::faulty_engine(response.headers()).unwrap_or(first.address);
            let hung = node.now().saturating_sub(begun) > HUNG;
            match status {
                StatusCode::MISDIRECTED_REQUEST => {
                    node.fault(address, Fault::WrongTarget, "refused")
                }
                _ if hung => node.fault(address, Fault::Unresponsive, "refused after a long wait"),
                _ => node.refused(address),
            }
            node.pool.drain(response.into_body(), connection).await;
            let at_fault = running.path.stages.iter().find(|stage| stage.address == address);
            return Offered::NotRun(at_fault.map_or(first.target, |stage| stage.target.clone()));
        }
        if status != StatusCode::OK {
            node.fault(first.address, Fault::Failed, "failure status");
            let (parts, body) = response.into_parts();
            let left = call.ends.saturating_sub(node.now());
            let body = timeout(left, read(body, MOST_ANSWER_BYTES)).await;
            let Some(body) = body.ok().flatten() else { return Offered::Unknown };
            node.pool.give_back(connection);
            return Offered::Failed(whole(status, &parts.headers, body));
        }
        running.was_taken();
        Offered::Open(Open { response, connection, running })
    }

    /// Notes that an attempt ended without its answer; `fresh` if nothing of one had come.
    pub(crate) fn interrupted(&self, path: &Path, begun: Duration, fresh: bool) {
        let targets = path.stages.iter().map(|stage| &stage.target);
        self.node.interrupted(&self.call, targets, begun, fresh);
    }

    /// Whether an engine of a silent path is left out; if none is yet, they are asked.
    pub(crate) fn is_stuck(&self, path: &Path) -> bool {
        if self.node.is_broken(path) {
            return true;
        }
        let node = self.node.clone();
        let path = path.clone();
        tokio::task::spawn_local(async move { node.diagnose(&path).await });
        false
    }

    /// The moment by which the request must be answered, on the runtime's clock.
    pub(crate) fn ends(&self) -> Instant {
        Instant::now() + self.call.ends.saturating_sub(self.node.now())
    }
}
