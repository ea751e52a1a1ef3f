//! One node as a process: starts all shells, and stops them in order.

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
use super::explain::Explain;
use super::peers::{Answers, Peers};
use super::shared::{Inbox, Input, Shared, hex};
use super::{attempt, callers, loads, logging, operators, orders, store as platform_calls};
use crate::{Config, Message, Node, Settings, event};

/// Threads that run the tasks of connections and relays.
const WORKER_THREADS: usize = 2;
/// Step in which a planned stop looks for the end of the last requests.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for tasks that do not end by themselves.
const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the other nodes to hear that this one leaves.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(200);
/// Longest time for one read of the platform's watch.
const WATCH_READ_TIMEOUT: Duration = Duration::from_millis(1500);

/// The node could not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// A port is not free.
    Port {
        /// The setting that names it.
        setting: &'static str,
        /// Its address.
        address: SocketAddr,
    },
    /// The operating system gave no thread or runtime.
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
            StartError::System => write!(f, "the operating system gave no thread"),
        }
    }
}

impl std::error::Error for StartError {}

/// Addresses of a node's ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ports {
    /// For callers.
    pub callers: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// A node that runs.
pub struct Process {
    shared: Arc<Shared>,
    ports: Ports,
    runtime: Option<Runtime>,
    stop: watch::Sender<bool>,
    force_stop: Arc<AtomicBool>,
    threads: Option<Threads>,
    decision_threads: Option<Threads>,
}

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 4_096;

fn bind(setting: &'static str, address: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    let error = StartError::Port { setting, address };
    let listener = TcpListener::bind(address).change_context(error.clone())?;
    // A full queue costs a caller a second until its system asks again.
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
    /// Names the port that is not free.
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
        let agent = attempt::agent(shared.settings.connect);
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
        let answers = wire::Server::new(Answers::new(Arc::clone(&self.shared)));
        let mut stopped = stopped.clone();
        let ended = async move {
            if stopped.changed().await.is_err() {
                log::debug!("the node ended before its peers' port");
            }
        };
        let incoming = tonic::transport::server::TcpIncoming::from(peers);
        runtime.spawn(async move {
            let server = tonic::transport::Server::builder();
            let served = server.serve_with_incoming_shutdown(answers, incoming, ended).await;
            if let Err(error) = served {
                log::error!("the peers' port failed: {error}");
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
            .timeout(shared.settings.platform_call)
            .watch_idle_timeout(WATCH_READ_TIMEOUT)
            .seed(shared.settings.seed)
            .build();
        let client = Arc::new(store::Client::new(client));
        let jobs = platform_calls::start_pool(threads, &shared, &client)?;
        let orders = orders::start(threads, &shared, &client, started_at)?;
        let core = Core {
            shared: Arc::clone(&shared),
            node: Node::new(node_config(&shared.settings, ports.peers)),
            inputs: received,
            started_at,
            runtime: runtime.handle().clone(),
            agent,
            jobs,
            orders,
            client: Arc::clone(&client),
            peers: Peers::new(Arc::clone(&shared), runtime.handle().clone()),
            explain: Explain::new(shared.settings.explained),
            relays: HashMap::new(),
        };
        decision_threads.spawn("decisions", move || core.run())?;
        shared.inbox.send_message(Message::Preset(preset::Message::Wake));
        shared.inbox.send_message(Message::Member(member::Message::Wake));
        shared.inbox.send_message(Message::Order(order::Message::Wake));
        let watch_shared = Arc::clone(&shared);
        threads.spawn("preset-watch", move || platform_calls::watch(&watch_shared, &client))?;
        let list_shared = Arc::clone(&shared);
        threads.spawn("list", move || platform_calls::poll_list(&list_shared))?;
        let failed_reads = Arc::new(AtomicUsize::new(0));
        for reader in 0..loads::READERS {
            let (shared, failed_reads) = (Arc::clone(&shared), Arc::clone(&failed_reads));
            threads.spawn(&format!("load-{reader}"), move || {
                loads::poll(&shared, reader, &failed_reads)
            })?;
        }
        threads.spawn("operators", move || {
            while !shared.stopping() {
                operators.poll_timeout(STOP_POLL_INTERVAL);
            }
        })
    }

    /// Addresses of the ports.
    pub fn ports(&self) -> Ports {
        self.ports
    }

    /// Whether the balancer may send requests here.
    pub fn ready(&self) -> bool {
        self.shared.ready()
    }

    /// Requests whose answer is not given yet.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight_count()
    }

    /// A flag that makes a planned stop end at once when it is set.
    pub fn force_stop(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.force_stop)
    }

    /// Planned stop: not ready, waits until the balancer has taken notice, takes nothing new,
    /// finishes all in flight, tells the other nodes, ends. Returns the number of requests
    /// that were unfinished off, or whose outcome is not kept, because the limit had passed or somebody
    /// was in a force_stop.
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
        let unfinished = shared.in_flight();
        for request in &unfinished {
            let event = Event::new(&event::CUT).with("request", hex(*request));
            log::warn!("{event}");
        }
        // The last bytes of answers may still be on their way to slow callers.
        self.stop.send_replace(true);
        let left = limit.saturating_duration_since(Instant::now());
        self.wait_until(left, || {
            !unfinished.is_empty() || shared.connections.load(Ordering::SeqCst) == 0
        });
        self.shared.inbox.send_message(Message::Member(member::Message::Leave));
        thread::sleep(LEAVE_NOTICE_TIME);
        let unread = shared.connections.load(Ordering::SeqCst);
        let held = shared.held_claims.load(Ordering::SeqCst);
        let unfinished = unfinished.len().max(unread).max(held);
        self.shut_down();
        let stopped =
            Event::new(&event::STOPPED).with("node", &settings.name).with("cut", unfinished);
        log::info!("{}", stopped.with("outcomes_not_kept", held));
        unfinished
    }

    /// Ends at once, as the loss of the process would: nothing in flight is finished.
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
        // The decision thread holds the way to the store's pool, so it ends first.
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
        Box::new(move |request| operators::answer(request, &operators));
    rouille::Server::new(address, handler).map_err(|error| {
        Report::new(StartError::Port { setting: "operators", address }).attach(error.to_string())
    })
}

fn node_config(settings: &Settings, peers: SocketAddr) -> Config {
    let seed = if settings.seed == 0 { rand::random() } else { settings.seed };
    let name = settings.name.clone();
    // Higher than in all earlier lives of a node of this name, also without a disk.
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
