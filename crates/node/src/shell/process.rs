//! Runs one node as a process: opens its ports, starts its threads and stops them in order.

use std::collections::HashMap;
use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt as _};
use fleet::Event;
use kernel::Threads;
use socket2::SockRef;
use tokio::runtime::Runtime;
use tokio::sync::watch;

use super::core::Core;
use super::explain::History;
use super::peers::{PeerService, Peers};
use super::shared::{Inbox, Input, Shared, hex};
use super::{attempt, callers, loads, logging, operators, orders, store as platform_calls};
use crate::{Config, Message, Node, Settings, event};

/// Runtime threads for connection and relay tasks.
const WORKER_THREADS: usize = 2;
/// Interval at which waiting loops check their end condition.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time that the runtime waits for its remaining tasks at shutdown.
const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time allowed for the leave message to reach the other nodes.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(200);
/// Timeout of one read from the platform's watch stream.
const WATCH_READ_TIMEOUT: Duration = Duration::from_millis(1500);

/// An error that prevents the node from starting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// A port could not be opened.
    Port {
        /// Name of the port's setting.
        setting: &'static str,
        /// Configured address of the port.
        address: SocketAddr,
    },
    /// The operating system refused a thread, socket or runtime resource.
    System,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Port { setting, address } => {
                let variable = setting.to_uppercase();
                write!(
                    f,
                    "setting --{setting} (MAGNOLIA_{variable}) is `{address}`, which cannot be \
                     opened; allowed: a free port of this VM"
                )
            }
            StartError::System => write!(f, "the operating system refused a resource"),
        }
    }
}

impl std::error::Error for StartError {}

/// Addresses of a node's ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ports {
    /// Port for callers.
    pub callers: SocketAddr,
    /// Port for other nodes.
    pub peers: SocketAddr,
    /// Port for operators.
    pub operators: SocketAddr,
}

/// A running node.
pub struct Process {
    shared: Arc<Shared>,
    ports: Ports,
    runtime: Option<Runtime>,
    stop: watch::Sender<bool>,
    force_stop: Arc<AtomicBool>,
    threads: Option<Threads>,
    decision_threads: Option<Threads>,
}

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 4_096;

fn bind(setting: &'static str, address: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    let error = StartError::Port { setting, address };
    let listener = TcpListener::bind(address).change_context(error.clone())?;
    // When the accept queue is full, a caller's system retries the connection only after about
    // a second.
    SockRef::from(&listener).listen(LISTEN_BACKLOG).change_context(error.clone())?;
    listener.set_nonblocking(true).change_context(error)?;
    Ok(listener)
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, Report<StartError>> {
    listener.local_addr().change_context(StartError::System)
}

impl Process {
    /// Opens the ports and starts all threads.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Port`] if a port cannot be opened, and [`StartError::System`] if the
    /// operating system refuses another resource.
    pub fn start(settings: Settings) -> Result<Self, Report<StartError>> {
        logging::install_metrics();
        let callers = bind("callers", settings.callers)?;
        let peers = bind("peers", settings.peers)?;
        let (inputs, received) = mpsc::channel();
        let shared = Arc::new(Shared::new(settings, Inbox::new(inputs)));
        let operators = operators_port(&shared)?;
        let ports = Ports {
            callers: local_address(&callers)?,
            peers: local_address(&peers)?,
            operators: operators.server_addr(),
        };
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .max_blocking_threads(shared.settings.target_threads)
            .thread_stack_size(512 * 1024)
            .enable_all()
            .build()
            .change_context(StartError::System)?;
        let agent = attempt::agent(shared.settings.connect_timeout);
        let (stop, stopped) = watch::channel(false);
        let mut process = Self {
            shared,
            ports,
            runtime: Some(runtime),
            stop,
            force_stop: Arc::default(),
            threads: Some(Threads::default()),
            decision_threads: Some(Threads::default()),
        };
        process.start_tasks(callers, peers, &agent, &stopped)?;
        process.start_threads(received, operators, agent).change_context(StartError::System)?;
        log::info!(
            "{}",
            Event::new(&event::STARTED)
                .with("node", &process.shared.settings.name)
                .with("callers", ports.callers)
                .with("peers", ports.peers)
                .with("operators", ports.operators)
        );
        Ok(process)
    }

    fn start_tasks(
        &self,
        callers: TcpListener,
        peers: TcpListener,
        agent: &ureq::Agent,
        stopped: &watch::Receiver<bool>,
    ) -> Result<(), Report<StartError>> {
        let Some(runtime) = &self.runtime else { return Ok(()) };
        let _entered = runtime.enter();
        let callers =
            tokio::net::TcpListener::from_std(callers).change_context(StartError::System)?;
        let peers = tokio::net::TcpListener::from_std(peers).change_context(StartError::System)?;
        let shared = Arc::clone(&self.shared);
        runtime.spawn(callers::serve(callers, shared, agent.clone(), stopped.clone()));
        let service = wire::Server::new(PeerService::new(Arc::clone(&self.shared)));
        let mut stopped = stopped.clone();
        let ended = async move {
            if stopped.changed().await.is_err() {
                log::debug!("the stop signal was dropped before the peer server shut down");
            }
        };
        let incoming = tonic::transport::server::TcpIncoming::from(peers);
        runtime.spawn(async move {
            let server = tonic::transport::Server::builder();
            let served = server.serve_with_incoming_shutdown(service, incoming, ended).await;
            if let Err(error) = served {
                log::error!("the peer server failed: {error}");
            }
        });
        Ok(())
    }

    fn start_threads(
        &mut self,
        received: mpsc::Receiver<Input>,
        operators: Operators,
        agent: ureq::Agent,
    ) -> std::io::Result<()> {
        let (Some(runtime), Some(threads), Some(decision_threads)) =
            (&self.runtime, &mut self.threads, &mut self.decision_threads)
        else {
            return Ok(());
        };
        let started_at = Instant::now();
        let ports = self.ports;
        let shared = Arc::clone(&self.shared);
        let platform = shared.settings.platform.to_string();
        let client = store::Settings::builder(&platform)
            .timeout(shared.settings.platform_timeout)
            .watch_idle_timeout(WATCH_READ_TIMEOUT)
            .seed(shared.settings.seed)
            .build();
        let client = Arc::new(store::Client::new(client));
        let pool = platform_calls::start_pool(threads, &shared, &client)?;
        let orders = orders::start(threads, &shared, &client, started_at)?;
        let core = Core {
            shared: Arc::clone(&shared),
            node: Node::new(node_config(&shared.settings, ports.peers)),
            inputs: received,
            started_at,
            runtime: runtime.handle().clone(),
            agent,
            pool,
            orders,
            client: Arc::clone(&client),
            peers: Peers::new(Arc::clone(&shared), runtime.handle().clone()),
            history: History::new(shared.settings.explained),
            relays: HashMap::new(),
        };
        decision_threads.spawn("decisions", move || core.run())?;
        shared.inbox.post(Message::Preset(preset::Message::Wake));
        shared.inbox.post(Message::Member(member::Message::Wake));
        shared.inbox.post(Message::Order(order::Message::Wake));
        let watch_shared = Arc::clone(&shared);
        threads
            .spawn("preset-watch", move || platform_calls::watch_preset(&watch_shared, &client))?;
        let list_shared = Arc::clone(&shared);
        threads.spawn("list", move || platform_calls::poll_list(&list_shared))?;
        let errors = Arc::new(AtomicUsize::new(0));
        for index in 0..loads::READER_THREADS {
            let (shared, errors) = (Arc::clone(&shared), Arc::clone(&errors));
            threads
                .spawn(&format!("load-{index}"), move || loads::poll(&shared, index, &errors))?;
        }
        threads.spawn("operators", move || {
            while !shared.stopping() {
                operators.poll_timeout(STOP_POLL_INTERVAL);
            }
        })
    }

    /// Returns the addresses on which the ports listen.
    pub fn ports(&self) -> Ports {
        self.ports
    }

    /// Returns whether the load balancer may send requests to this node.
    pub fn ready(&self) -> bool {
        self.shared.ready()
    }

    /// Returns the number of requests that have not been answered yet.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight_count()
    }

    /// Returns a flag that ends the waits of [`Process::stop`] when it is set.
    pub fn force_stop(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.force_stop)
    }

    /// Performs a planned stop. The node reports itself as not ready, waits `stop_lag` for the
    /// load balancer to react, rejects new requests, finishes the requests in flight and
    /// stores their outcomes within `stop_limit`, notifies the other nodes and ends.
    ///
    /// Returns the number of requests that were cut off or whose outcome was not stored, because
    /// `stop_limit` had passed or the flag of [`Process::force_stop`] was set.
    pub fn stop(mut self) -> usize {
        let settings = self.shared.settings.clone();
        self.shared.draining.store(true, Ordering::SeqCst);
        log::info!("{}", Event::new(&event::DRAINING).with("in_flight", self.in_flight()));
        self.wait_until(settings.stop_lag, || false);
        self.shared.inbox.send(Input::Drain);
        let limit = Instant::now() + settings.stop_limit;
        let shared = Arc::clone(&self.shared);
        self.wait_until(settings.stop_limit, || {
            shared.in_flight_count() == 0 && shared.held_claims.load(Ordering::SeqCst) == 0
        });
        let cut = shared.in_flight();
        for request in &cut {
            let event = Event::new(&event::REQUEST_CUT).with("request", hex(*request));
            log::warn!("{event}");
        }
        // Slow callers may not have received the last bytes of their answers yet.
        self.stop.send_replace(true);
        let left = limit.saturating_duration_since(Instant::now());
        self.wait_until(left, || !cut.is_empty() || shared.connections.load(Ordering::SeqCst) == 0);
        self.shared.inbox.post(Message::Member(member::Message::Leave));
        thread::sleep(LEAVE_NOTICE_TIME);
        // A connection without a request has no answer that could be cut.
        let unused = shared.unused_connections.load(Ordering::SeqCst);
        let unread = shared.connections.load(Ordering::SeqCst).saturating_sub(unused);
        let held = shared.held_claims.load(Ordering::SeqCst);
        let cut = cut.len().max(unread).max(held);
        self.shut_down();
        let stopped = Event::new(&event::STOPPED).with("node", &settings.name).with("cut", cut);
        log::info!("{}", stopped.with("outcomes_not_kept", held));
        cut
    }

    /// Ends at once without finishing the requests in flight, as a loss of the process would.
    pub fn kill(mut self) {
        self.shut_down();
    }

    fn wait_until(&self, limit: Duration, done: impl Fn() -> bool) {
        let end = Instant::now() + limit;
        while Instant::now() < end && !done() && !self.force_stop.load(Ordering::Relaxed) {
            thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    fn shut_down(&mut self) {
        self.shared.watch_disabled.store(true, Ordering::SeqCst);
        self.shared.stopping.store(true, Ordering::SeqCst);
        self.stop.send_replace(true);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
        }
        self.shared.inbox.send(Input::Stop);
        // The pool threads end when the decision thread drops the sender of their queue, so the
        // decision thread is joined first.
        for threads in [self.decision_threads.take(), self.threads.take()].into_iter().flatten() {
            if let Err(panicked) = threads.join() {
                log::error!("{panicked}");
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.shut_down();
    }
}

type Operators = rouille::Server<Box<dyn Fn(&rouille::Request) -> rouille::Response + Send + Sync>>;

fn operators_port(shared: &Arc<Shared>) -> Result<Operators, Report<StartError>> {
    let address = shared.settings.operators;
    let operators = Arc::clone(shared);
    let handler: Box<dyn Fn(&rouille::Request) -> rouille::Response + Send + Sync> =
        Box::new(move |request| operators::respond(request, &operators));
    rouille::Server::new(address, handler).map_err(|error| {
        Report::new(StartError::Port { setting: "operators", address }).attach(error.to_string())
    })
}

fn node_config(settings: &Settings, peers: SocketAddr) -> Config {
    let seed = if settings.seed == 0 { rand::random() } else { settings.seed };
    let name = settings.name.clone();
    // The start time makes the incarnation higher than that of every earlier process of this
    // node name, and needs no persistent storage.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    Config {
        name: name.clone(),
        seed,
        limit: limit::Builder::new(&name).build(),
        route: route::Settings { node: name.clone(), ..route::Settings::default() },
        ledger: ledger::Settings::builder(&name, rand::random()).build(),
        member: member::Settings::builder(name, peers, incarnation).build(),
        order: order::Settings::builder().build(),
        preset: preset::Settings::default(),
    }
}
