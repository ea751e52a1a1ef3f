//! Requests whose answer is a series of events, from a model spread over engines.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fleet::Event;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use path::{Fault, Path, Wish};
use site::{Kind, Model};
use tokio::pin;
use tokio::sync::mpsc::{Sender, channel};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::answer::{Answer, Broken, later, own};
use crate::call::{Call, at_fault, back};
use crate::event::{ANSWERED, REFUSED, RETRIED};
use crate::events::Splitter;
use crate::link::{Connection, Unanswered};
use crate::node::Node;
use crate::plain::{is_not_run, is_of};

/// Interval at which a silent path is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Silence after which the engines of a path are asked whether they are slow.
const SLOW_PATIENCE: Duration = Duration::from_millis(100);
/// Silence after which the first engine of a path is asked which engine hangs.
const PATIENCE: Duration = Duration::from_millis(200);
/// Silence after which a path with an engine that is left out is given up.
const BROKEN_PATIENCE: Duration = Duration::from_millis(120);
/// Most paths that a request is offered to.
const MOST_OFFERS: u32 = 5;
/// Events that wait for a slow caller.
const EVENTS_WAITING: usize = 32;
/// Share of an engine's memory beyond which new requests are turned away.
const MOST_PRESSURE: f64 = 1.0;
/// Time that it takes for memory to become free again: streams last a few seconds.
const OVERLOAD: Duration = Duration::from_millis(1500);
/// A refusal that took this long came after the engine had hung.
const HUNG: Duration = Duration::from_millis(800);

/// A request counted as running on a path.
struct Running {
    node: Rc<Node>,
    path: Path,
    tokens: f64,
    /// Tokens that are read before the first event comes.
    reading: f64,
}

impl Running {
    fn begin(node: &Rc<Node>, path: Path, tokens: f64, reading: f64) -> Self {
        let mut table = node.table.borrow_mut();
        for stage in &path.stages {
            table.begin(&stage.target, tokens);
            table.read(&stage.target, reading);
        }
        drop(table);
        Self { node: node.clone(), path, tokens, reading }
    }

    /// Notes that the prompt has been read.
    fn has_read(&mut self) {
        let reading = std::mem::take(&mut self.reading);
        let mut table = self.node.table.borrow_mut();
        for stage in &self.path.stages {
            table.read(&stage.target, -reading);
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.has_read();
        let mut table = self.node.table.borrow_mut();
        for stage in &self.path.stages {
            table.end(&stage.target, self.tokens);
        }
    }
}

/// An answer that has begun.
struct Open {
    response: Response<Incoming>,
    connection: Connection,
    running: Running,
}

/// Why no path answered.
enum Closed {
    /// Nothing has run.
    NotRun(&'static str),
    /// The request may have run.
    Unknown,
    /// The engine answered with a failure.
    Failed(Response<Answer>),
}

/// What came of one offer.
enum Offered {
    Open(Open),
    NotRun,
    Unknown,
    /// An engine of the path hangs.
    Hangs,
    Failed(Response<Answer>),
    TimedOut,
}

/// The offers of one request.
struct Run {
    node: Rc<Node>,
    call: Rc<Call>,
    model: Rc<Model>,
    avoid: Vec<SocketAddr>,
    offers: u32,
    /// Offers that may have run at an engine that goes on living.
    ran: u32,
    /// Share of memory taken on the best path that was found last.
    pressure: f64,
}

/// Sends a request along a path and passes on the events.
pub(crate) async fn relay(node: &Rc<Node>, call: Call, model: Rc<Model>) -> Response<Answer> {
    let call = Rc::new(call);
    let (avoid, offers, ran) = (Vec::new(), 0, 0);
    let mut run = Run { node: node.clone(), call, model, avoid, offers, ran, pressure: 0.0 };
    match run.open(None).await {
        Ok(open) => {
            let mut response = Response::new(());
            *response.headers_mut() = back(open.response.headers());
            let (sender, receiver) = channel(EVENTS_WAITING);
            tokio::task::spawn_local(pump(run, open, sender));
            response.map(|()| Answer::Events(receiver))
        }
        Err(Closed::Failed(response)) => response,
        Err(Closed::NotRun(reason)) => {
            let after = node.comeback(&run.call, OVERLOAD);
            let event = Event::new(REFUSED)
                .with("request", &run.call.id)
                .with("reason", reason)
                .with("offers", run.offers)
                .with("left_ms", run.call.ends.saturating_sub(node.now()).as_millis())
                .with("pressure", format_args!("{:.2}", run.pressure))
                .with("retry_after_ms", after.as_millis());
            log::info!("{event}");
            later(StatusCode::SERVICE_UNAVAILABLE, reason, after)
        }
        Err(Closed::Unknown) if node.now() >= run.call.ends => {
            own(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
        }
        Err(Closed::Unknown) => own(StatusCode::BAD_GATEWAY, "the answer was lost"),
    }
}

impl Run {
    /// Offers the request to paths until one answers.
    async fn open(&mut self, last_event: Option<u64>) -> Result<Open, Closed> {
        let idempotent = self.call.kind.is_idempotent();
        let mut unknown = false;
        let mut failure = None;
        let mut reason = "no path";
        loop {
            let now = self.node.now();
            if now >= self.call.ends || self.offers >= MOST_OFFERS {
                break;
            }
            let wish = Wish {
                service: &self.call.service,
                avoid: &self.avoid,
                tokens: self.call.tokens,
                luck: self.node.luck(),
            };
            let path = self.node.table.borrow().path(now, &self.model, &wish);
            let Some(path) = path else { break };
            self.pressure = path.pressure;
            if path.pressure > MOST_PRESSURE && last_event.is_none() {
                reason = "full";
                break;
            }
            if self.offers > 0 {
                if !self.node.take_retry(&self.call.service) {
                    reason = "no retry left";
                    break;
                }
                let event = Event::new(RETRIED)
                    .with("request", &self.call.id)
                    .with("offer", self.offers)
                    .with("after_event", format_args!("{last_event:?}"))
                    .with("target", &path.first().target);
                log::info!("{event}");
            }
            self.offers += 1;
            let first = path.first().address;
            match self.offer(path, last_event).await {
                Offered::Open(open) => return Ok(open),
                Offered::NotRun => continue,
                Offered::Hangs => {
                    unknown = true;
                    self.ran += 1;
                }
                Offered::Unknown => {
                    unknown = true;
                    self.ran += 1;
                    self.avoid.push(first);
                }
                Offered::Failed(response) => {
                    self.ran += 1;
                    self.avoid.push(first);
                    failure = Some(response);
                }
                Offered::TimedOut => {
                    unknown = true;
                    break;
                }
            }
            if !idempotent || self.ran >= self.call.attempts {
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
        let sending = node.pool.send(first.address, request);
        pin!(sending);
        let answer = loop {
            let left = call.ends.saturating_sub(node.now());
            if left.is_zero() {
                return Offered::TimedOut;
            }
            match timeout(PATIENCE.min(left), &mut sending).await {
                Ok(answer) => break answer,
                Err(_) => {
                    if self.is_stuck(&running.path) && call.kind.is_idempotent() {
                        return Offered::Hangs;
                    }
                }
            }
        };
        let open = match answer {
            Ok(open) => open,
            Err(Unanswered::NotSent) => {
                node.fault(first.address, Fault::Silent, "no connection");
                return Offered::NotRun;
            }
            Err(Unanswered::Unknown) => {
                // One lost connection tells little; an engine that is gone gives no report.
                node.fault(first.address, Fault::Failed, "connection lost");
                self.is_stuck(&running.path);
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
            let address = at_fault(response.headers()).unwrap_or(first.address);
            let hung = node.now().saturating_sub(begun) > HUNG;
            let fault = match status {
                StatusCode::MISDIRECTED_REQUEST => Fault::Astray,
                _ if hung => Fault::Silent,
                _ => Fault::Full,
            };
            node.fault(address, fault, "refused");
            if response.into_body().collect().await.is_ok() {
                node.pool.give_back(connection);
            }
            return Offered::NotRun;
        }
        if status != StatusCode::OK {
            node.fault(first.address, Fault::Failed, "failure status");
            let (parts, body) = response.into_parts();
            let Ok(body) = body.collect().await else { return Offered::Unknown };
            node.pool.give_back(connection);
            let mut failed = Response::new(Answer::Whole(Some(body.to_bytes())));
            *failed.status_mut() = status;
            *failed.headers_mut() = back(&parts.headers);
            return Offered::Failed(failed);
        }
        Offered::Open(Open { response, connection, running })
    }

    /// Whether an engine of a silent path is left out; if none is yet, they are asked.
    fn is_stuck(&self, path: &Path) -> bool {
        if self.node.is_broken(path) {
            return true;
        }
        let node = self.node.clone();
        let path = path.clone();
        tokio::task::spawn_local(async move { node.diagnose(&path).await });
        false
    }

    /// The moment by which the request must be answered, on the runtime's clock.
    fn ends(&self) -> Instant {
        Instant::now() + self.call.ends.saturating_sub(self.node.now())
    }
}

/// A stream counted at the first engine of its path while its events are passed on.
struct Flow<'a> {
    node: &'a Node,
    first: &'a str,
    silent: bool,
}

impl<'a> Flow<'a> {
    fn begin(node: &'a Node, first: &'a str) -> Self {
        node.table.borrow_mut().stream(first, 1, 0);
        Self { node, first, silent: false }
    }

    /// Notes whether the stream pauses.
    fn set_silent(&mut self, silent: bool) {
        if silent != self.silent {
            self.silent = silent;
            let change = if silent { 1 } else { -1 };
            self.node.table.borrow_mut().stream(self.first, 0, change);
        }
    }
}

impl Drop for Flow<'_> {
    fn drop(&mut self) {
        self.set_silent(false);
        self.node.table.borrow_mut().stream(self.first, -1, 0);
    }
}

/// How a part of a stream ended.
enum Ended {
    Complete,
    /// The engines do not go on.
    Cut,
    /// The caller has gone.
    Left,
    TimedOut,
}

/// What was passed on so far.
#[derive(Default)]
struct Progress {
    last: Option<u64>,
    events: u64,
    first_at: Option<Duration>,
    last_at: Duration,
    /// Longest pause between events.
    pause: Duration,
    /// When the event after the longest pause came.
    pause_at: Duration,
    /// Engines of the path that was taken last.
    path: String,
}

impl Progress {
    /// Notes an event that was passed on.
    fn note(&mut self, id: Option<u64>, now: Duration) {
        if self.first_at.is_some() {
            let pause = now.saturating_sub(self.last_at);
            if pause > self.pause {
                self.pause = pause;
                self.pause_at = now;
            }
        }
        self.first_at.get_or_insert(now);
        self.last_at = now;
        self.last = id.or(self.last);
        self.events += 1;
    }
}

/// Passes events on until the stream is complete, from other paths where one is cut.
async fn pump(mut run: Run, mut open: Open, sender: Sender<Result<Bytes, Broken>>) {
    let mut progress = Progress::default();
    let mut moves = 0;
    let outcome = loop {
        let first = open.running.path.first().target.clone();
        progress.path = open.running.path.to_string();
        let part = pass_on(&run, open, &sender, &mut progress).await;
        let resumable = matches!(run.call.kind, Kind::Stream { resumable: true });
        match part {
            Ended::Complete => break "complete",
            Ended::Left => break "caller left",
            Ended::TimedOut => break "timed out",
            Ended::Cut if !resumable => break "cut",
            Ended::Cut => {}
        }
        moves += 1;
        // A target that has ended does not count among those that ran the request.
        run.ran += u32::from(!run.node.is_down(&first));
        if run.ran >= run.call.attempts {
            break "cut, no attempt left";
        }
        open = tokio::select! {
            opened = run.open(progress.last) => match opened {
                Ok(open) => open,
                Err(_) => break "cut, no other path",
            },
            () = sender.closed() => break "caller left",
        };
    };
    if !matches!(outcome, "complete" | "caller left") {
        // A caller that has gone meanwhile needs no word.
        sender.send(Err(Broken)).await.ok();
    }
    let node = &run.node;
    let since = |at: Duration| at.saturating_sub(run.call.begun).as_millis();
    let event = Event::new(ANSWERED)
        .with("request", &run.call.id)
        .with("route", &run.call.route)
        .with("outcome", outcome)
        .with("offers", run.offers)
        .with("moves", moves)
        .with("events", progress.events)
        .with("first_ms", progress.first_at.map_or(0, since))
        .with("pause_ms", progress.pause.as_millis())
        .with("pause_at_ms", since(progress.pause_at))
        .with("path", &progress.path)
        .with("ms", since(node.now()));
    log::info!("{event}");
    metrics::counter!("magnolia_streams", "outcome" => outcome).increment(1);
}

/// Passes on the events of one path.
async fn pass_on(
    run: &Run,
    open: Open,
    sender: &Sender<Result<Bytes, Broken>>,
    progress: &mut Progress,
) -> Ended {
    let Open { response, connection, running } = open;
    let mut body = response.into_body();
    let mut splitter = Splitter::default();
    let node = &run.node;
    let ends = run.ends();
    let mut heard = node.now();
    let first = running.path.first().target.clone();
    let mut flow = Flow::begin(node, &first);
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sender.closed() => return Ended::Left,
            () = sleep_until(ends) => return Ended::TimedOut,
            () = node.changed.notified() => {
                let silent = node.now().saturating_sub(heard);
                if silent > BROKEN_PATIENCE && node.is_broken(&running.path) {
                    return Ended::Cut;
                }
                continue;
            }
            () = sleep(LOOK_INTERVAL) => {
                let silent = node.now().saturating_sub(heard);
                if silent >= SLOW_PATIENCE {
                    flow.set_silent(true);
                    node.question(&running.path);
                }
                if silent >= PATIENCE && run.is_stuck(&running.path) {
                    return Ended::Cut;
                }
                continue;
            }
        };
        let bytes = match frame {
            None if splitter.is_torn() => return Ended::Cut,
            None => {
                node.pool.give_back(connection);
                return Ended::Complete;
            }
            Some(Err(_)) => {
                run.is_stuck(&running.path);
                return Ended::Cut;
            }
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => bytes,
                Err(_) => continue,
            },
        };
        heard = node.now();
        flow.set_silent(false);
        splitter.push(&bytes);
        while let Some(event) = splitter.pop() {
            if let (Some(id), Some(last)) = (event.id, progress.last) {
                if id <= last {
                    continue;
                }
            }
            progress.note(event.id, heard);
            if sender.send(Ok(event.bytes)).await.is_err() {
                return Ended::Left;
            }
        }
    }
}
