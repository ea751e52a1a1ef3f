//! Stand-ins of model engines and plain targets.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, Reader, respond};
use crate::json::Value;
use crate::record::Record;
use crate::store::Store;

/// Interval at which a target writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Interval at which the port looks for connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// Time for which an engine reads a prompt before the first event.
const PREFILL_TIME: Duration = Duration::from_millis(300);
/// Status line of a spoiled answer.
const SPOILED_STATUS: &str = "202 Accepted";
/// Body of a spoiled answer.
const SPOILED_BODY: &[u8] = b"something else";
/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Events of a stream.
pub const EVENTS: u64 = 20;

/// What a target is.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// Id under which it registers.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Kind of accelerator; empty for a plain target.
    pub kind: String,
    /// Memory of this kind, megabytes.
    pub mb: u64,
    /// Size of a layer of the model of its service, megabytes.
    pub layer_mb: u64,
    /// Number of layers of the model of its service.
    pub depth: u64,
    /// Time by which the events of its streams are further apart than usual.
    pub slowdown: Duration,
}

/// How a faulty target answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It is sound.
    #[default]
    None,
    /// It runs requests, and spoils one in this many of its answers: the status line and the body are
    /// others, and its signature is missing.
    Spoils(usize),
}

#[derive(Default)]
struct State {
    layers: Option<(u64, u64)>,
    orders: u64,
    fence: u64,
    fault: Fault,
    /// Ids of the requests that it has run.
    runs: Vec<String>,
    /// Orders that it has accepted: layers, and the memory that they need.
    accepted: Vec<(u64, u64, u64)>,
    connections: Vec<TcpStream>,
}

/// A running target.
#[derive(Clone)]
pub struct Engine {
    setup: Setup,
    /// Address on which it listens.
    pub address: SocketAddr,
    born: u64,
    store: Store,
    record: Record,
    state: Arc<Mutex<State>>,
    has_ended: Arc<AtomicBool>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Engine {
    /// Starts a target on a free port of `ip`.
    pub fn start(setup: Setup, ip: &str, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        Self::serve_port(setup, listener, store, record)
    }

    /// Starts a target at the address of one that has ended.
    pub fn start_at(setup: Setup, at: SocketAddr, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind(at).expect("the port of a target that has ended");
        Self::serve_port(setup, listener, store, record)
    }

    fn serve_port(setup: Setup, listener: TcpListener, store: &Store, record: &Record) -> Self {
        let engine = Self {
            setup,
            address: listener.local_addr().expect("an address"),
            born: unix_ms(),
            store: store.clone(),
            record: record.clone(),
            state: Arc::default(),
            has_ended: Arc::default(),
        };
        engine.note("starts");
        listener.set_nonblocking(true).expect("a port that can be polled");
        let (accepting, beating) = (engine.clone(), engine.clone());
        thread::spawn(move || accepting.accept(&listener));
        thread::spawn(move || beating.beat());
        engine
    }

    fn note(&self, text: &str) {
        let Setup { id, service, .. } = &self.setup;
        self.record.note(&format!("engine {id} of {service} at {}: {text}", self.address));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while it is held")
    }

    fn is_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }

    /// Sets how the target answers.
    pub fn set_fault(&self, fault: Fault) {
        self.note(&format!("fault {fault:?}"));
        self.lock().fault = fault;
    }

    /// Returns the layers that the target holds.
    pub fn layers(&self) -> Option<(u64, u64)> {
        self.lock().layers
    }

    /// Returns the ids of the requests that the target has run.
    pub fn runs(&self) -> Vec<String> {
        self.lock().runs.clone()
    }

    /// Returns the orders that the target has accepted: layers, and the memory that they need.
    pub fn accepted(&self) -> Vec<(u64, u64, u64)> {
        self.lock().accepted.clone()
    }

    /// Ends the target without notice: its port and its connections are closed.
    pub fn crash(&self) {
        self.note("crashes");
        self.has_ended.store(true, Ordering::Relaxed);
        for connection in self.lock().connections.drain(..) {
            connection.shutdown(Shutdown::Both).ok();
        }
    }

    fn accept(&self, listener: &TcpListener) {
        while !self.is_ended() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            stream.set_nonblocking(false).expect("a connection that blocks");
            stream.set_nodelay(true).ok();
            self.lock().connections.extend(stream.try_clone());
            let engine = self.clone();
            thread::spawn(move || engine.serve(stream));
        }
    }

    /// Writes the entry at once and then at each heartbeat, as long as the target lives.
    fn beat(&self) {
        let mut has_registered = false;
        let mut next = Instant::now();
        while !self.is_ended() {
            if Instant::now() >= next {
                next += HEARTBEAT;
                let is_written = self.register();
                if is_written && !has_registered {
                    self.note("is registered");
                }
                has_registered |= is_written;
            }
            thread::sleep(ACCEPT_INTERVAL);
        }
    }

    fn register(&self) -> bool {
        let Setup { id, service, kind, .. } = &self.setup;
        let mut entry = format!(
            r#"{{"service":"{service}","address":"{}","zone":"a","version":"1","slots":64,"#,
            self.address
        );
        entry +=
            &format!(r#""state":"ready","cold_remaining_ms":0,"sequence":1,"born":{}"#, self.born);
        if !kind.is_empty() {
            entry += &format!(r#","kind":"{kind}","stage":"both""#);
            entry += &self.layers_field();
        }
        self.store.put(&format!("servers/{id}"), &(entry + "}"))
    }

    fn layers_field(&self) -> String {
        match self.layers() {
            Some((from, to)) => {
                format!(r#","layers":{{"from":{from},"to":{to},"version":1}}"#)
            }
            None => String::new(),
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(input) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(input);
        while let Some(call) = reader.request() {
            let is_written = match (call.method(), call.path()) {
                ("GET", "/report") => self.report(&mut stream),
                ("GET", "/health") => {
                    respond(&mut stream, "200 OK", &[("Instance-Id", &self.setup.id)], b"")
                }
                ("POST", "/order") => self.order(&mut stream, &call),
                _ => self.run(&mut stream, &call),
            };
            if is_written.is_err() || self.is_ended() {
                return;
            }
        }
    }

    fn report(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let Setup { kind, .. } = &self.setup;
        if kind.is_empty() {
            return respond(stream, "404 Not Found", &[], b"");
        }
        let (layers, orders) = (self.layers_field(), self.lock().orders);
        let body = format!(
            r#"{{"stage":"both","busy":false,"sequence":{orders},"waiting":0,"running":0,"pace":1.0,"kv_used":0,"kv_total":100000,"handles":0,"stalled":[],"kind":"{kind}","born":{}{layers}}}"#,
            self.born
        );
        respond(stream, "200 OK", &[("Content-Type", "application/json")], body.as_bytes())
    }

    /// Returns whether a call is meant for another instance, and answers it then.
    fn is_misdirected(&self, stream: &mut TcpStream, call: &Message) -> bool {
        let expected = call.field("expect-instance");
        let is_other = !expected.is_empty() && expected != self.setup.id;
        if is_other {
            let fields = [
                ("Request-Id", call.field("request-id")),
                ("Instance-Id", self.setup.id.as_str()),
                ("Not-Run", "1"),
            ];
            respond(stream, "421 Misdirected Request", &fields, b"").ok();
        }
        is_other
    }

    fn order(&self, stream: &mut TcpStream, call: &Message) -> std::io::Result<()> {
        if self.is_misdirected(stream, call) {
            return Ok(());
        }
        let Some(order) = Value::parse(&call.body) else {
            return respond(stream, "400 Bad Request", &[], b"");
        };
        let number = |name| order.number(name).unwrap_or(0);
        let (from, to, fence) = (number("from"), number("to"), number("fence"));
        let refused = {
            let state = self.lock();
            let is_other_count = order.number("expected").is_some_and(|it| it != state.orders);
            match () {
                () if fence < state.fence => Some("412 Precondition Failed"),
                () if is_other_count => Some("409 Conflict"),
                () => None,
            }
        };
        let shown = String::from_utf8_lossy(&call.body).into_owned();
        if let Some(status) = refused {
            self.note(&format!("order {shown} is refused: {status}"));
            return respond(stream, status, &[], b"");
        }
        let needed = to.saturating_sub(from) * self.setup.layer_mb;
        {
            let mut state = self.lock();
            (state.fence, state.orders) = (fence, state.orders + 1);
            state.layers = Some((from, to));
            state.accepted.push((from, to, needed));
        }
        let mb = self.setup.mb;
        self.note(&format!("order {shown} is accepted: needs {needed} MB of {mb} MB"));
        respond(stream, "202 Accepted", &[], b"")?;
        if needed > mb {
            self.crash();
        } else {
            self.register();
        }
        Ok(())
    }

    /// Runs a request.
    fn run(&self, stream: &mut TcpStream, call: &Message) -> std::io::Result<()> {
        if self.is_misdirected(stream, call) {
            return Ok(());
        }
        let id = call.field("request-id");
        if !self.holds_its_part(call) {
            let at = self.address.to_string();
            let fields = [
                ("Request-Id", id),
                ("Instance-Id", self.setup.id.as_str()),
                ("Not-Run", "1"),
                ("At-Server", at.as_str()),
            ];
            return respond(stream, "421 Misdirected Request", &fields, b"");
        }
        let is_spoiled = {
            let mut state = self.lock();
            state.runs.push(id.to_owned());
            matches!(state.fault, Fault::Spoils(one_in) if state.runs.len() % one_in == 0)
        };
        self.note(&format!("runs {id}: {}", call.start));
        if is_spoiled {
            self.note(&format!("spoils its answer to {id}: {SPOILED_STATUS}, no signature"));
            return respond(stream, SPOILED_STATUS, &[("Request-Id", id)], SPOILED_BODY);
        }
        let stamp = format!("stamp-{}-{id}", self.setup.id);
        let fields = [("Request-Id", id), ("Response-Stamp", stamp.as_str())];
        if self.setup.kind.is_empty() {
            return respond(stream, "200 OK", &fields, b"done");
        }
        self.stream_events(stream, &fields, call.field("last-event-id"))
    }

    /// Returns whether the engine holds the layers that the path of a request asks of it.
    fn holds_its_part(&self, call: &Message) -> bool {
        if self.setup.kind.is_empty() {
            return true;
        }
        let Some((held_from, held_to)) = self.layers() else {
            return false;
        };
        let path = call.field("hop-count");
        let own = format!("{}=", self.address);
        let part = path.split(',').find_map(|part| part.strip_prefix(own.as_str()));
        let part = part.and_then(|part| part.split_once('-'));
        let part = part.and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
        let (from, to): (u64, u64) = part.unwrap_or((0, self.setup.depth));
        held_from <= from && to <= held_to
    }

    fn stream_events(
        &self,
        stream: &mut TcpStream,
        fields: &[(&str, &str)],
        after: &str,
    ) -> std::io::Result<()> {
        let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
        for (name, value) in fields {
            head += &format!("{name}: {value}\r\n");
        }
        stream.write_all((head + "Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
        let after: u64 = after.parse().unwrap_or(0);
        thread::sleep(PREFILL_TIME);
        for number in after + 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL + self.setup.slowdown);
            let event = format!("id: {number}\ndata: token {number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
