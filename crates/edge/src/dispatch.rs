//! Offers of a request to paths, one after another until one answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use path::{Fault, Path, Stage, Wish};
use site::{Model, TargetKey};
use tokio::pin;
use tokio::time::{Instant, timeout};

use crate::answer::Answer;
use crate::call::Call;
use crate::event::RETRIED;
use crate::node::Node;
use crate::pool::{Connection, MAX_ANSWER_BYTES, Unanswered, read_body};
use crate::quarantine::QUARANTINED;
use crate::reply::{is_not_run, log_failed_attempt, matches_request, passthrough};
use crate::segment::Segment;
use crate::watchdog::STALLED;

/// Most paths that a request is offered to before it is answered, or goes on.
const MAX_OFFERS: u32 = 5;
/// Share of an engine's memory beyond which new requests are turned away.
const MAX_PRESSURE: f64 = 1.0;
/// Why a request is not offered to any path.
pub(crate) const NO_PATH: &str = "no path";
/// Why a request is not offered to another path though there is one.
pub(crate) const NO_RETRY: &str = "no retry left";
/// Why a stream does not go on though there is a path: it may run at no further engine.
const NO_ATTEMPT: &str = "no attempt left";
/// A refusal that took this long came after the engine had hung.
const SLOW_REFUSAL: Duration = Duration::from_millis(800);

/// A request counted as running on a path.
pub(crate) struct InFlight {
    node: Rc<Node>,
    pub(crate) path: Path,
    /// When the request was sent.
    pub(crate) sent_at: Duration,
    tokens: f64,
    /// Tokens that are read before the first event comes.
    prefill: f64,
}

impl InFlight {
    fn start(node: &Rc<Node>, path: Path, tokens: f64, prefill: f64) -> Self {
        let mut table = node.table.borrow_mut();
        for stage in &path.stages {
            table.begin(&stage.target, tokens);
            table.sent(node.now(), &stage.target);
            table.read(&stage.target, prefill);
        }
        drop(table);
        Self { node: node.clone(), path, sent_at: node.now(), tokens, prefill }
    }

    /// Notes that the engines have taken the request.
    fn record_accepted(&self) {
        let mut table = self.node.table.borrow_mut();
        for stage in &self.path.stages {
            table.taken(self.node.now(), &stage.target);
        }
    }

    /// Notes that the prompt has been read.
    fn record_prefill_done(&mut self) {
        let prefill = std::mem::take(&mut self.prefill);
        let mut table = self.node.table.borrow_mut();
        for stage in &self.path.stages {
            table.read(&stage.target, -prefill);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.record_prefill_done();
        let mut table = self.node.table.borrow_mut();
        for stage in &self.path.stages {
            table.end(&stage.target, self.tokens);
        }
    }
}

/// An answer that has begun.
pub(crate) struct Accepted {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) in_flight: InFlight,
}

/// Why no path answered.
pub(crate) enum Failure {
    /// Nothing has run.
    NotRun(&'static str),
    /// The request may have run.
    Unknown,
    /// The engine answered with a failure.
    Failed(Response<Answer>),
}

impl Failure {
    /// Whether another try soon may find a path. One without a retry left is not helped by
    /// waiting: its caller goes on at another node.
    pub(crate) fn is_transient(&self) -> bool {
        matches!(self, Failure::NotRun(reason) if *reason != NO_RETRY && *reason != QUARANTINED)
    }

    /// What is missing.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Failure::NotRun(reason) => reason,
            Failure::Unknown => "no answer",
            Failure::Failed(_) => "another target failed",
        }
    }

    /// How a stream ends that cannot be resumed for this reason.
    pub(crate) fn stream_outcome(&self) -> &'static str {
        match self {
            Failure::NotRun(NO_RETRY) => "cut, no retry left",
            Failure::NotRun(NO_ATTEMPT) => "cut, no attempt left",
            Failure::NotRun(_) => "cut, no other path",
            Failure::Unknown => "cut, lost on other paths too",
            Failure::Failed(_) => "cut, another target failed",
        }
    }
}

/// What came of one offer.
enum Outcome {
    Accepted(Accepted),
    /// Refused by this engine, or not sent to it.
    NotRun(TargetKey),
    Unknown,
    /// An engine of the path hangs.
    Stalled,
    Failed(Response<Answer>),
    TimedOut,
}

impl Outcome {
    /// Why there is no answer to use, and whether the request can have run.
    fn failure(&self) -> Option<(&'static str, &'static str)> {
        match self {
            Outcome::Accepted(_) => None,
            Outcome::NotRun(_) => Some(("refused, or not sent", "no")),
            Outcome::Unknown => Some(("connection lost, or a strange answer", "unknown")),
            Outcome::Stalled => Some(("an engine of the path hangs", "unknown")),
            Outcome::Failed(_) => Some(("failure status", "yes")),
            Outcome::TimedOut => Some(("no answer in time", "unknown")),
        }
    }
}

/// The offers of one request.
pub(crate) struct Dispatch {
    pub(crate) node: Rc<Node>,
    pub(crate) call: Rc<Call>,
    model: Arc<Model>,
    avoid: Vec<SocketAddr>,
    pub(crate) offers: u32,
    /// Engines at which it may have run: the first ones of the paths that took it.
    ran: Vec<Stage>,
    /// The part of the stream that goes on if no other path takes it.
    pub(crate) fallback: Option<Segment>,
    /// Share of memory taken on the best path that was found last.
    pub(crate) pressure: f64,
}

impl Dispatch {
    /// A request that has not been offered yet.
    pub(crate) fn new(node: &Rc<Node>, call: Rc<Call>, model: Arc<Model>) -> Self {
        Self {
            node: node.clone(),
            call,
            model,
            avoid: Vec::new(),
            offers: 0,
            ran: Vec::new(),
            fallback: None,
            pressure: 0.0,
        }
    }

    /// Notes that the request may have run at the first engine of a path, and that it is to go
    /// elsewhere.
    pub(crate) fn record_run(&mut self, path: &Path) {
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
    fn attempts_exhausted(&self) -> bool {
        let table = self.node.table.borrow();
        let living = self.ran.iter().filter(|stage| !table.is_lost(&stage.target));
        living.count() >= self.call.attempts as usize
    }

    /// The best path now. A stream that was cut goes on at a target that cut it before rather
    /// than not at all; one that has run at as many engines as it may begins at one of them.
    fn find_path(&self, now: Duration, resumes: bool) -> Result<Path, &'static str> {
        let find = |avoid: &[SocketAddr], first: Option<&[SocketAddr]>| {
            let (service, tokens) = (&self.call.service, self.call.tokens);
            let criteria = Wish { service, avoid, first, tokens };
            self.node.table.borrow().path(now, &self.model, &criteria)
        };
        if resumes && self.attempts_exhausted() {
            let before: Vec<SocketAddr> = self.ran.iter().map(|stage| stage.address).collect();
            return find(&self.avoid, Some(&before)).ok_or(NO_ATTEMPT);
        }
        let path = find(&self.avoid, None);
        path.or_else(|| if resumes { find(&[], None) } else { None }).ok_or(NO_PATH)
    }

    /// How long it takes until there is a path, if pauses of engines are all that is missing.
    pub(crate) fn time_to_path(&self) -> Option<Duration> {
        let (service, tokens) = (&self.call.service, self.call.tokens);
        let criteria = Wish { service, avoid: &[], first: None, tokens };
        self.node.table.borrow().path_returns(self.node.now(), &self.model, &criteria)
    }

    /// Offers the request to paths until one answers.
    pub(crate) async fn open_stream(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<Accepted, Failure> {
        let idempotent = self.call.kind.is_idempotent();
        let mut unknown = false;
        let mut failure = None;
        let mut reason = NO_PATH;
        let most = self.offers + MAX_OFFERS;
        loop {
            let now = self.node.now();
            if now >= self.call.deadline || self.offers >= most {
                break;
            }
            if self.node.admit(&self.call).await.is_err() {
                reason = QUARANTINED;
                break;
            }
            let path = match self.find_path(now, last_event.is_some()) {
                Ok(path) => path,
                Err(lacks) => {
                    reason = lacks;
                    break;
                }
            };
            self.pressure = path.pressure;
            if path.pressure > MAX_PRESSURE && last_event.is_none() {
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
            self.fallback.take_if(|fallback| fallback.path().first().address == first.address);
            let offered = self.try_path(path.clone(), last_event).await;
            if let Some((reason, ran)) = offered.failure() {
                // A later engine of the path can be the one that refused.
                let target = match &offered {
                    Outcome::NotRun(target) => target,
                    _ => &first.target,
                };
                log_failed_attempt(&self.node, &self.call, target, reason, ran, now);
            }
            match offered {
                Outcome::Accepted(open) => return Ok(open),
                Outcome::NotRun(_) => continue,
                Outcome::Stalled => {
                    unknown = true;
                    self.record_run(&path);
                }
                Outcome::Unknown => {
                    unknown = true;
                    self.record_run(&path);
                    self.avoid.push(first.address);
                }
                Outcome::Failed(response) => {
                    self.record_run(&path);
                    self.avoid.push(first.address);
                    failure = Some(response);
                }
                Outcome::TimedOut => {
                    unknown = true;
                    break;
                }
            }
            if !idempotent || last_event.is_none() && self.attempts_exhausted() {
                break;
            }
        }
        match failure {
            Some(response) => Err(Failure::Failed(response)),
            None if unknown => Err(Failure::Unknown),
            None => Err(Failure::NotRun(reason)),
        }
    }

    /// Offers the request to one path.
    async fn try_path(&self, path: Path, last_event: Option<u64>) -> Outcome {
        let node = &self.node;
        let call = &self.call;
        let begun = node.now();
        let first = path.first().clone();
        let request = call.request(begun, &first.target, Some(&path), last_event);
        let mut in_flight = InFlight::start(node, path, call.tokens, call.prompt_tokens);
        let sending = node.send(first.address, request);
        pin!(sending);
        let answer = loop {
            let left = call.deadline.saturating_sub(node.now());
            if left.is_zero() {
                self.record_interruption(&in_flight.path, in_flight.sent_at, true);
                return Outcome::TimedOut;
            }
            match timeout(STALLED.min(left), &mut sending).await {
                Ok(answer) => break answer,
                Err(_) => {
                    if self.check_stalled(&in_flight.path) && call.kind.is_idempotent() {
                        self.record_interruption(&in_flight.path, in_flight.sent_at, true);
                        return Outcome::Stalled;
                    }
                }
            }
        };
        let open = match answer {
            Ok(open) => open,
            Err(Unanswered::NotSent) => {
                node.record_fault(first.address, Fault::Silent, "no connection");
                return Outcome::NotRun(first.target);
            }
            Err(Unanswered::Unknown) => {
                // One lost connection tells little; an engine that is gone gives no report.
                node.record_fault(first.address, Fault::Failed, "connection lost");
                self.check_stalled(&in_flight.path);
                self.record_interruption(&in_flight.path, in_flight.sent_at, true);
                return Outcome::Unknown;
            }
        };
        in_flight.record_prefill_done();
        let (response, connection) = open.split();
        if !matches_request(response.headers(), call) {
            node.record_fault(first.address, Fault::Failed, "answer to another request");
            return Outcome::Unknown;
        }
        let status = response.status();
        if is_not_run(status, response.headers()) {
            let address = platform::at_fault(response.headers()).unwrap_or(first.address);
            let hung = node.now().saturating_sub(begun) > SLOW_REFUSAL;
            match status {
                StatusCode::MISDIRECTED_REQUEST => {
                    node.record_fault(address, Fault::Astray, "refused")
                }
                _ if hung => node.record_fault(address, Fault::Silent, "refused after a long wait"),
                _ => node.record_refusal(address),
            }
            node.pool.drain(response.into_body(), connection).await;
            let at_fault = in_flight.path.stages.iter().find(|stage| stage.address == address);
            return Outcome::NotRun(at_fault.map_or(first.target, |stage| stage.target.clone()));
        }
        if status != StatusCode::OK {
            node.record_fault(first.address, Fault::Failed, "failure status");
            let (parts, body) = response.into_parts();
            let left = call.deadline.saturating_sub(node.now());
            let body = timeout(left, read_body(body, MAX_ANSWER_BYTES)).await;
            let Some(body) = body.ok().flatten() else { return Outcome::Unknown };
            node.pool.release(connection);
            return Outcome::Failed(passthrough(status, &parts.headers, body));
        }
        in_flight.record_accepted();
        Outcome::Accepted(Accepted { response, connection, in_flight })
    }

    /// Notes that an attempt ended without its answer; `fresh` if nothing of one had come.
    pub(crate) fn record_interruption(&self, path: &Path, begun: Duration, fresh: bool) {
        let targets = path.stages.iter().map(|stage| &stage.target);
        self.node.record_interruption(&self.call, targets, begun, fresh);
    }

    /// Whether an engine of a silent path is left out; if none is yet, they are asked.
    pub(crate) fn check_stalled(&self, path: &Path) -> bool {
        if self.node.is_broken(path) {
            return true;
        }
        let node = self.node.clone();
        let path = path.clone();
        tokio::task::spawn_local(async move { node.diagnose(&path).await });
        false
    }

    /// The moment by which the request must be answered, on the runtime's clock.
    pub(crate) fn deadline(&self) -> Instant {
        Instant::now() + self.call.deadline.saturating_sub(self.node.now())
    }
}
