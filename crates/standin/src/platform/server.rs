//! HTTP server of the platform.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use error_stack::Report;
use fleet::{Event, Vm};
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;

use super::api::{
    DeleteRequest, ErrorBody, LeaseRequest, Line, Long, PutRequest, RangeRequest, Response,
    TxnRequest, WatchRequest,
};
use super::command::{Command, Outage};
use super::counter::{Counter, Operation};
use super::state::{CountersAnswer, State};
use super::store::{Failure, Op};
use super::vm_list::Listing;
use crate::StartError;
use crate::event::{COMMANDED, STARTED};
use crate::http::{Call, Cut, Handler, Reply, ReplyFuture, Server, Stop};

/// Default limit of reads per second.
const READS_PER_SECOND: f64 = 2_000.0;
/// Default limit of writes per second.
const WRITES_PER_SECOND: f64 = 400.0;
/// Default lag of reads of the list of VMs.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Interval at which a hanging call checks whether the outage has ended.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// gRPC status code `INVALID_ARGUMENT`.
const CODE_INVALID_ARGUMENT: u32 = 3;
/// gRPC status code `NOT_FOUND`.
const CODE_NOT_FOUND: u32 = 5;
/// gRPC status code `RESOURCE_EXHAUSTED`, returned when a rate limit is exceeded.
const CODE_RESOURCE_EXHAUSTED: u32 = 8;
/// gRPC status code `OUT_OF_RANGE`, returned for a compacted revision.
const CODE_OUT_OF_RANGE: u32 = 11;
/// gRPC status code `UNAVAILABLE`, returned in an outage.
const CODE_UNAVAILABLE: u32 = 14;

/// Settings of a platform.
#[derive(Clone, Debug)]
pub struct Builder {
    listen: SocketAddr,
    reads: f64,
    writes: f64,
    lag: Duration,
    vms: Vec<Vm>,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            reads: READS_PER_SECOND,
            writes: WRITES_PER_SECOND,
            lag: LIST_LAG,
            vms: Vec::new(),
        }
    }
}

impl Builder {
    /// Sets the address to listen on; port 0 selects a free port.
    pub fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = address;
        self
    }

    /// Sets the rate limits of reads and writes, in calls per second.
    pub fn rates(mut self, reads: f64, writes: f64) -> Self {
        self.reads = reads;
        self.writes = writes;
        self
    }

    /// Sets the lag of reads of the list of VMs.
    pub fn lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }

    /// Sets the initial list of VMs.
    pub fn vms(mut self, vms: Vec<Vm>) -> Self {
        self.vms = vms;
        self
    }

    /// Starts the platform.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound or the operating system provides no
    /// thread or event queue.
    pub fn start(self) -> Result<Platform, Report<StartError>> {
        let mut state = State::new(self.reads, self.writes, self.lag);
        state.list.reset(self.vms);
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: watch::Sender::new(0) });
        let handler = Arc::clone(&shared);
        let server = Server::start("platform", self.listen, Stop::default(), handler, Vec::new())?;
        log::info!("{}", Event::new(&STARTED).with("address", server.address()));
        Ok(Platform { shared, server })
    }
}

/// A running platform. Dropping it stops the server and closes all connections.
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Platform {
    /// Returns a builder with the default settings.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Executes a control command.
    pub fn command(&self, command: Command) {
        self.shared.command(command);
    }

    /// Returns the call counters since the start.
    pub fn counters(&self) -> Vec<Counter> {
        self.shared.state().counters.list()
    }

    /// Blocks until the server has stopped.
    pub fn join(mut self) {
        self.server.join();
    }
}

/// State shared by all connections.
pub(super) struct Shared {
    state: Mutex<State>,
    /// Incremented to wake up the watches.
    pub(super) changed: watch::Sender<u64>,
}

impl Shared {
    /// Locks the state. Panics when the mutex is poisoned.
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn command(&self, command: Command) {
        log::info!("{}", Event::new(&COMMANDED).with("command", format_args!("{command:?}")));
        self.state().command(command);
        self.notify();
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Applies the configured delay, the outage mode and the rate limit to a call, and counts it.
    async fn admit_call(&self, operation: Operation, key: &[u8]) -> Result<(), Denied> {
        let delay = self.state().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        match self.outage(operation) {
            Outage::Refuse => {
                self.state().counters.count(operation, key, true);
                return Err(Denied::Refused(unavailable()));
            }
            Outage::Hang => {
                self.state().counters.count(operation, key, true);
                while self.outage(operation) == Outage::Hang {
                    tokio::time::sleep(HANG_POLL_INTERVAL).await;
                }
                return Err(Denied::Cut);
            }
            Outage::Off => {}
        }
        let mut state = self.state();
        let admitted = state.admit(operation);
        state.counters.count(operation, key, !admitted);
        if admitted { Ok(()) } else { Err(Denied::Refused(rate_exceeded())) }
    }

    fn outage(&self, operation: Operation) -> Outage {
        let state = self.state();
        if operation == Operation::Vms { state.list_outage } else { state.outage }
    }

    async fn route(self: Arc<Self>, call: Call) -> Result<Reply, Denied> {
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/v3/kv/range") => self.range(&call).await,
            (&Method::POST, "/v3/kv/put") => self.put(&call).await,
            (&Method::POST, "/v3/kv/txn") => self.txn(&call).await,
            (&Method::POST, "/v3/kv/deleterange") => self.delete(&call).await,
            (&Method::POST, "/v3/lease/grant") => self.grant(&call).await,
            (&Method::POST, "/v3/lease/keepalive") => self.keepalive(&call).await,
            (&Method::POST, "/v3/lease/revoke" | "/v3/kv/lease/revoke") => self.revoke(&call).await,
            (&Method::POST, "/v3/watch") => self.watch(&call).await,
            (&Method::GET, "/vms") => self.vms().await,
            (&Method::POST, "/control") => self.control(&call),
            (&Method::GET, "/control/counters") => Ok(self.counters_reply()),
            _ => Ok(error_reply(StatusCode::NOT_FOUND, CODE_NOT_FOUND, "Not Found")),
        }
    }

    async fn range(&self, call: &Call) -> Result<Reply, Denied> {
        let request: RangeRequest = parse(call)?;
        self.admit_call(Operation::Range, &request.key.0).await?;
        Ok(self.run(&request.into_op()))
    }

    async fn put(&self, call: &Call) -> Result<Reply, Denied> {
        let request: PutRequest = parse(call)?;
        self.admit_call(Operation::Put, &request.key.0).await?;
        let key = request.key.0.clone();
        let op = request.into_op();
        self.perform_write(&key, || self.run(&op))
    }

    async fn delete(&self, call: &Call) -> Result<Reply, Denied> {
        let request: DeleteRequest = parse(call)?;
        self.admit_call(Operation::Delete, &request.key.0).await?;
        let key = request.key.0.clone();
        let op = request.into_op();
        self.perform_write(&key, || self.run(&op))
    }

    async fn txn(&self, call: &Call) -> Result<Reply, Denied> {
        let request: TxnRequest = parse(call)?;
        let txn = request.into_txn();
        let written = txn.then.iter().chain(&txn.otherwise).find_map(written_key);
        let Some(key) = written.map(<[u8]>::to_vec) else {
            let key = txn.conditions.first().map(|condition| condition.key.clone());
            self.admit_call(Operation::Range, &key.unwrap_or_default()).await?;
            return Ok(self.transact(&txn));
        };
        self.admit_call(Operation::Txn, &key).await?;
        self.perform_write(&key, || self.transact(&txn))
    }

    async fn grant(&self, call: &Call) -> Result<Reply, Denied> {
        let request: LeaseRequest = parse(call)?;
        self.admit_call(Operation::Lease, &[]).await?;
        let Ok(seconds @ 1..) = u64::try_from(request.ttl.0) else {
            return Ok(invalid("TTL must be positive"));
        };
        let mut state = self.state();
        let now = state.now();
        let id = state.store.grant(now, request.id.0, Duration::from_secs(seconds));
        let response = Response { id: Long(id), ttl: request.ttl, ..Response::default() };
        Ok(ok(&response.with_header(state.store.revision())))
    }

    async fn keepalive(&self, call: &Call) -> Result<Reply, Denied> {
        let request: LeaseRequest = parse(call)?;
        self.admit_call(Operation::Lease, &[]).await?;
        let mut state = self.state();
        let now = state.now();
        // An expired lease is reported with a time to live of 0, a default value that the JSON
        // response omits.
        let ttl = state.store.renew(now, request.id.0).unwrap_or_default();
        let ttl = Long(i64::try_from(ttl.as_secs()).unwrap_or(i64::MAX));
        let response = Response { id: request.id, ttl, ..Response::default() };
        let line = Line { result: response.with_header(state.store.revision()) };
        drop(state);
        self.notify();
        Ok(ok(&line))
    }

    async fn revoke(&self, call: &Call) -> Result<Reply, Denied> {
        let request: LeaseRequest = parse(call)?;
        self.admit_call(Operation::Lease, &[]).await?;
        let mut state = self.state();
        let now = state.now();
        let result = state.store.revoke(now, request.id.0);
        let revision = state.store.revision();
        drop(state);
        self.notify();
        match result {
            Ok(()) => Ok(ok(&Response::default().with_header(revision))),
            Err(failure) => Ok(failure_reply(failure)),
        }
    }

    async fn watch(self: Arc<Self>, call: &Call) -> Result<Reply, Denied> {
        let request: WatchRequest = parse(call)?;
        self.admit_call(Operation::Watch, &request.create_request.key.0).await?;
        let (stream, reply) = Reply::stream("application/json");
        tokio::spawn(async move {
            self.state().open_watches += 1;
            super::watch::serve(Arc::clone(&self), request.create_request, stream).await;
            self.state().open_watches -= 1;
        });
        Ok(reply)
    }

    async fn vms(&self) -> Result<Reply, Denied> {
        self.admit_call(Operation::Vms, &[]).await?;
        let mut state = self.state();
        let now = state.now();
        let vms = state.list.read(now).to_vec();
        Ok(ok(&Listing { vms }))
    }

    fn control(&self, call: &Call) -> Result<Reply, Denied> {
        self.command(parse(call)?);
        Ok(ok(&serde_json::json!({})))
    }

    fn counters_reply(&self) -> Reply {
        let state = self.state();
        let counters = state.counters.list();
        ok(&CountersAnswer { counters, open_watches: state.open_watches })
    }

    /// Runs `write` unless a pending loss drops it. Closes the connection instead of responding
    /// when the loss matches `key`.
    fn perform_write(&self, key: &[u8], write: impl FnOnce() -> Reply) -> Result<Reply, Denied> {
        let lost = self.state().consume_loss(key);
        if lost == Some(false) {
            return Err(Denied::Cut);
        }
        let reply = write();
        self.notify();
        if lost.is_some() { Err(Denied::Cut) } else { Ok(reply) }
    }

    fn run(&self, op: &Op) -> Reply {
        let mut state = self.state();
        let now = state.now();
        match state.store.run(now, op) {
            Ok(outcome) => ok(&Response::new(outcome).with_header(state.store.revision())),
            Err(failure) => failure_reply(failure),
        }
    }

    fn transact(&self, txn: &super::api::Txn) -> Reply {
        let mut state = self.state();
        let now = state.now();
        match state.store.transact(now, &txn.conditions, &txn.then, &txn.otherwise) {
            Ok((succeeded, outcomes)) => {
                let responses = outcomes.into_iter().map(Response::txn_item).collect();
                let response = Response { succeeded, responses, ..Response::default() };
                ok(&response.with_header(state.store.revision()))
            }
            Err(failure) => failure_reply(failure),
        }
    }
}

impl Handler for Shared {
    fn call(self: Arc<Self>, call: Call) -> ReplyFuture {
        Box::pin(async move {
            match self.route(call).await {
                Ok(reply) | Err(Denied::Refused(reply)) => Ok(reply),
                Err(Denied::Cut) => Err(Cut),
            }
        })
    }
}

/// Result of a call without a normal response: an error response or a closed connection.
enum Denied {
    Refused(Reply),
    Cut,
}

fn written_key(op: &Op) -> Option<&[u8]> {
    match op {
        Op::Range { .. } => None,
        Op::Put { key, .. } => Some(key),
        Op::Delete(range) => Some(&range.start),
    }
}

fn parse<T: DeserializeOwned>(call: &Call) -> Result<T, Denied> {
    call.json().map_err(|error| Denied::Refused(invalid(&error.to_string())))
}

fn ok(value: &impl Serialize) -> Reply {
    Reply::json(StatusCode::OK, value)
}

fn invalid(message: &str) -> Reply {
    error_reply(StatusCode::BAD_REQUEST, CODE_INVALID_ARGUMENT, message)
}

fn unavailable() -> Reply {
    error_reply(StatusCode::SERVICE_UNAVAILABLE, CODE_UNAVAILABLE, "etcdserver: no leader")
}

fn rate_exceeded() -> Reply {
    error_reply(
        StatusCode::TOO_MANY_REQUESTS,
        CODE_RESOURCE_EXHAUSTED,
        "etcdserver: too many requests",
    )
}

fn failure_reply(failure: Failure) -> Reply {
    let (status, code) = match failure {
        Failure::TooLarge | Failure::EmptyKey => (StatusCode::BAD_REQUEST, CODE_INVALID_ARGUMENT),
        Failure::LeaseNotFound => (StatusCode::NOT_FOUND, CODE_NOT_FOUND),
        Failure::Compacted(_) => (StatusCode::BAD_REQUEST, CODE_OUT_OF_RANGE),
    };
    error_reply(status, code, &failure.to_string())
}

fn error_reply(status: StatusCode, code: u32, message: &str) -> Reply {
    let body = ErrorBody { error: message.to_owned(), message: message.to_owned(), code };
    Reply::json(status, &body)
}
