//! The process: start, signals and stop.

use std::env;
use std::error::Error;
use std::fmt;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::Event;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use platform::{SETTINGS_VARIABLE, Settings};
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::callers::Shortage;
use crate::event::{RELOADED, STARTED, STOPPED, STOPPING};
use crate::follow::Follower;
use crate::lead::{Leadership, maintain_leadership, maintain_presence, release_leases};
use crate::lines::{BATCH_INTERVAL, Lines};
use crate::node::Node;
use crate::orders::Orders;
use crate::prompt::Prompts;
use crate::store::Store;
use crate::{callers, diagnose, front, loan, mark, peers, permit, persistence, ready};

const METRICS_PORT: u16 = 9464;
/// Upper bounds of the latency buckets, in seconds: latency goals of routes lie between 0.1 and
/// 1, and pauses count from 0.2.
const LATENCY_BUCKETS: [f64; 12] =
    [0.01, 0.03, 0.06, 0.1, 0.15, 0.2, 0.3, 0.6, 1.0, 2.0, 5.0, 20.0];
/// Time after which the platform no longer routes callers to a stopping node: two readiness probes,
/// a second apart, and a margin.
const ROTATION_DELAY: Duration = Duration::from_millis(2600);
/// Margin before the platform's kill at which the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(300);
/// Time within which the requests that are then still in progress are answered.
const ANSWER_TIME: Duration = Duration::from_millis(150);
/// Time within which the port for callers is closed, and the connections that are left at the end.
const CLOSE_TIME: Duration = Duration::from_millis(50);
/// Interval at which expired connections and quarantine state are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Why the process could not run.
#[derive(Debug)]
pub enum Failure {
    /// The environment variable with the path of the settings file is not set.
    NoSettings,
    /// The settings file cannot be read.
    Settings(String, io::Error),
    /// The settings are invalid.
    Invalid(platform::Error),
    /// An address cannot be bound.
    Bind(SocketAddr, io::Error),
    /// The operating system refused a resource.
    System(io::Error),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::NoSettings => write!(f, "{SETTINGS_VARIABLE} is not set"),
            Failure::Settings(path, error) => write!(f, "cannot read {path}: {error}"),
            Failure::Invalid(error) => write!(f, "settings: {error}"),
            Failure::Bind(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Failure::System(error) => write!(f, "the operating system refused: {error}"),
        }
    }
}

impl Error for Failure {}

/// Runs the entry process until it receives SIGTERM.
///
/// # Errors
///
/// Returns a [`Failure`] if the settings are invalid, an address cannot be bound, or the operating
/// system refuses a resource.
pub fn run(prompts: Prompts) -> Result<(), Failure> {
    let settings = read_settings()?;
    let lines = Lines::install().map_err(Failure::System)?;
    let runtime = Builder::new_current_thread().enable_all().build().map_err(Failure::System)?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, prompts, lines))
}

/// Checks the settings.
///
/// # Errors
///
/// Returns a [`Failure`] if the settings cannot be read or are invalid.
pub fn check() -> Result<(), Failure> {
    read_settings().map(drop)
}

fn read_settings() -> Result<Settings, Failure> {
    let path = env::var(SETTINGS_VARIABLE).map_err(|_| Failure::NoSettings)?;
    let text = fs::read_to_string(&path).map_err(|error| Failure::Settings(path, error))?;
    Settings::parse(&text).map_err(Failure::Invalid)
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Failure> {
    TcpListener::bind(address).await.map_err(|error| Failure::Bind(address, error))
}

/// Installs the recorder of the metrics. Latencies are counted in buckets, which bounds their
/// memory.
fn recorder() -> Result<PrometheusHandle, Failure> {
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS);
    let recorder = builder.and_then(PrometheusBuilder::install_recorder);
    recorder.map_err(|error| Failure::System(io::Error::other(error)))
}

async fn serve(settings: Settings, prompts: Prompts, lines: Lines) -> Result<(), Failure> {
    let recorder = recorder()?;
    let callers = bind(settings.front).await?;
    let probes = bind(settings.ready).await?;
    let metrics = bind(SocketAddr::new(settings.front.ip(), METRICS_PORT)).await?;
    let internal = SocketAddr::new(settings.front.ip(), settings.internal_ports.0);
    let nodes = bind(internal).await?;
    let socket = UdpSocket::bind(internal).await;
    let socket = Rc::new(socket.map_err(|error| Failure::Bind(internal, error))?);
    let mut terminate = signal(SignalKind::terminate()).map_err(Failure::System)?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(Failure::System)?;
    let node = Rc::new(Node::new(settings, prompts));
    let event = Event::new(STARTED)
        .with("node", &node.settings.node)
        .with("domain", &node.settings.domain)
        .with("front", node.settings.front)
        .with("store", node.settings.store)
        .with("prompts", node.prompts);
    log::info!("{event}");

    let store = Rc::new(Store::new(node.clone()));
    let leadership = Rc::new(Leadership::new());
    let follower = Follower::new(node.clone(), store.clone(), leadership.clone());
    tokio::task::spawn_local(follower.run());
    tokio::task::spawn_local(maintain_presence(node.clone(), store.clone(), leadership.clone()));
    tokio::task::spawn_local(maintain_leadership(node.clone(), store.clone(), leadership.clone()));
    tokio::task::spawn_local(mark::maintain_mark(node.clone(), store.clone()));
    tokio::task::spawn_local(persistence::persist_quarantine(node.clone(), store.clone()));
    tokio::task::spawn_local(Orders::new(node.clone(), leadership.clone()).run());
    tokio::task::spawn_local(peers::broadcast(node.clone(), socket.clone()));
    tokio::task::spawn_local(peers::receive(node.clone(), socket.clone()));
    tokio::task::spawn_local(peers::query_followers(node.clone(), socket.clone()));
    tokio::task::spawn_local(permit::send_messages(node.clone(), socket.clone()));
    tokio::task::spawn_local(loan::request_loans(node.clone(), socket));
    tokio::task::spawn_local(diagnose::probe(node.clone()));
    let accepting = tokio::task::spawn_local(front::serve_callers(node.clone(), callers));
    tokio::task::spawn_local(front::serve_nodes(node.clone(), nodes));
    tokio::task::spawn_local(ready::serve_ready(node.clone(), probes));
    tokio::task::spawn_local(ready::serve_metrics(recorder, metrics));
    for (memory, shortage) in
        [(&node.uploads, Shortage::Requests), (&node.answers, Shortage::Answers)]
    {
        tokio::task::spawn_local(callers::relieve(node.clone(), memory.clone(), shortage));
    }
    let lines = Rc::new(lines);
    tokio::task::spawn_local(housekeeping(node.clone(), lines.clone()));

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hang_up.recv() => check_settings_file(),
        }
    }
    stop(&node, &store, &leadership, accepting).await;
    log::info!("{}", Event::new(STOPPED));
    lines.submit_batch();
    Ok(())
}

async fn housekeeping(node: Rc<Node>, lines: Rc<Lines>) {
    let mut last_sweep = node.now();
    loop {
        sleep(BATCH_INTERVAL).await;
        lines.submit_batch();
        node.decide_due();
        if node.now().saturating_sub(last_sweep) >= SWEEP_INTERVAL {
            last_sweep = node.now();
            node.pool.close_expired();
            node.permits.borrow_mut().expire(node.now());
            node.quarantine.expire(node.now());
            node.quarantine.entries.remove_obsolete();
        }
    }
}

/// Checks the settings file and logs the outcome. The settings are applied at the start only;
/// configuration that changes while the process runs comes from the store.
fn check_settings_file() {
    let outcome = match read_settings() {
        Ok(_) => "valid".to_owned(),
        Err(failure) => failure.to_string(),
    };
    log::info!("{}", Event::new(RELOADED).with("outcome", outcome));
}

/// Serves the remaining callers, and new ones until the platform no longer routes callers to the
/// node.
async fn stop(
    node: &Rc<Node>,
    store: &Store,
    leadership: &Leadership,
    mut accepting: JoinHandle<()>,
) {
    let stop_started = Instant::now();
    log::info!("{}", Event::new(STOPPING).with("connections", node.connections.get()));
    node.stopping_since.set(Some(node.now()));
    // The other nodes issue the permits from now on.
    node.issues_permits();
    node.alarm.notify_one();
    node.stop_requested.notify_waiters();
    release_leases(node, store, leadership).await;
    sleep_until(stop_started + ROTATION_DELAY).await;
    // Requests that arrive from now on could not be completed. Callers find another node at once.
    node.closed.set(true);
    node.close_requested.notify_waiters();
    // The callers that wait at the port are accepted, unless no configuration has come.
    if timeout(CLOSE_TIME, &mut accepting).await.is_err() {
        accepting.abort();
    }
    let latest = stop_started + node.settings.bounds.grace.saturating_sub(END_MARGIN);
    await_connections(node, latest).await;
    node.ending.notify_waiters();
    await_connections(node, latest + ANSWER_TIME).await;
    node.ended.notify_waiters();
    await_connections(node, latest + ANSWER_TIME + CLOSE_TIME).await;
}

/// Waits until the last caller has disconnected, `latest` at the most.
async fn await_connections(node: &Node, latest: Instant) {
    while Instant::now() < latest && node.connections.get() > 0 {
        sleep(Duration::from_millis(50)).await;
    }
}
