//! Settings and handle of an engine.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use error_stack::Report;
use fleet::{Depth, DomainName, Event, Kind, Layers, ModelName, Role, Standing, Target, Vm};
use smol_str::SmolStr;
use tokio::sync::Notify;

use super::command::Command;
use super::compute;
use super::execution::Execution;
use super::server::Shared;
use super::state::{Settings, State};
use crate::StartError;
use crate::event::STARTED;
use crate::http::{Client, Gate, Server, Stop};

/// Maximum number of waiting streams per slot; the engine rejects further requests as full.
const MAX_QUEUED_PER_SLOT: usize = 4;
/// Load samples taken during one load lag.
const SAMPLES_PER_LAG: u32 = 4;
/// Minimum time between two load samples.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Extent of a crash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Crash {
    /// Stops the engine only; its listener and connections are closed at once.
    #[default]
    Stop,
    /// Aborts the whole process.
    Abort,
}

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Builder {
    name: SmolStr,
    listen: SocketAddr,
    domain: DomainName,
    rack: SmolStr,
    model: ModelName,
    depth: Depth,
    layers: Layers,
    tokens_per_second: f64,
    slots: u32,
    accelerator: SmolStr,
    checks_orders: bool,
    cache: usize,
    load_lag: Duration,
    event_lag: Duration,
    load_time: Duration,
    crash: Crash,
}

impl Builder {
    /// Creates the settings of an engine that holds all layers of a small model.
    pub fn new(name: impl Into<SmolStr>) -> Self {
        Self {
            name: name.into(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            domain: SmolStr::new_static("a"),
            rack: SmolStr::default(),
            model: SmolStr::new_static("plank"),
            depth: 48,
            layers: Layers::new(0, 48),
            tokens_per_second: 1_000.0,
            slots: 16,
            accelerator: SmolStr::new_static("a100"),
            checks_orders: true,
            cache: 256,
            load_lag: Duration::from_millis(200),
            event_lag: Duration::from_millis(300),
            load_time: Duration::from_millis(500),
            crash: Crash::Stop,
        }
    }

    /// Sets the address to listen on; port 0 selects a free port.
    pub fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = address;
        self
    }

    /// Sets the failure domain and the rack.
    pub fn place(mut self, domain: impl Into<SmolStr>, rack: impl Into<SmolStr>) -> Self {
        self.domain = domain.into();
        self.rack = rack.into();
        self
    }

    /// Sets the model and its number of layers.
    pub fn model(mut self, model: impl Into<SmolStr>, depth: Depth) -> Self {
        self.model = model.into();
        self.depth = depth;
        self
    }

    /// Sets the range of layers that the engine holds; `end` is exclusive.
    pub fn layers(mut self, start: u16, end: u16) -> Self {
        self.layers = Layers::new(start, end);
        self
    }

    /// Sets the rate, in tokens per second over all streams, through all layers of the engine.
    pub fn tokens_per_second(mut self, rate: f64) -> Self {
        self.tokens_per_second = rate;
        self
    }

    /// Multiplies the token rate by `factor`.
    pub fn scale(mut self, factor: f64) -> Self {
        self.tokens_per_second *= factor;
        self
    }

    /// Sets the number of streams that run concurrently with this engine as the first stage.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the kind of accelerator.
    pub fn accelerator(mut self, accelerator: impl Into<SmolStr>) -> Self {
        self.accelerator = accelerator.into();
        self
    }

    /// Sets whether the engine rejects orders with an old fencing number.
    pub fn checks_orders(mut self, checks: bool) -> Self {
        self.checks_orders = checks;
        self
    }

    /// Sets the capacity of the cache, in prefixes.
    pub fn cache(mut self, prefixes: usize) -> Self {
        self.cache = prefixes;
        self
    }

    /// Sets the delays of the load report and of the cache events.
    pub fn lags(mut self, load: Duration, events: Duration) -> Self {
        self.load_lag = load;
        self.event_lag = events;
        self
    }

    /// Sets the time that loading layers takes.
    pub fn load_time(mut self, time: Duration) -> Self {
        self.load_time = time;
        self
    }

    /// Sets the extent of a crash.
    pub fn crash(mut self, crash: Crash) -> Self {
        self.crash = crash;
        self
    }

    /// Starts the engine.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or no thread or event queue can be created.
    pub fn start(self) -> Result<Engine, Report<StartError>> {
        let stop = Stop::default();
        let shared = Arc::new(self.shared(stop.clone()));
        let server = Server::start(
            &self.name,
            self.listen,
            stop,
            Arc::clone(&shared),
            vec![
                Box::pin(compute::run(Arc::clone(&shared))),
                Box::pin(compute::sample_load(Arc::clone(&shared))),
            ],
        )?;
        let event = Event::new(&STARTED).with("target", &self.name);
        log::info!("{}", event.with("address", server.address()));
        let vm = self.vm(server.address());
        Ok(Engine { shared, server, vm })
    }

    fn shared(&self, stop: Stop) -> Shared {
        let state = State::new(Settings {
            name: self.name.clone(),
            model: self.model.clone(),
            layers: self.layers,
            tokens_per_second: self.tokens_per_second,
            slots: self.slots as usize,
            queue_limit: self.slots as usize * MAX_QUEUED_PER_SLOT,
            checks_orders: self.checks_orders,
            cache: self.cache,
            load_lag: self.load_lag,
        });
        Shared {
            state: Mutex::new(state),
            work: Notify::new(),
            gate: Gate::new(),
            client: Client::default(),
            stop,
            crash: self.crash,
            load_time: self.load_time,
            event_lag: self.event_lag,
            sample_interval: (self.load_lag / SAMPLES_PER_LAG).max(MIN_SAMPLE_INTERVAL),
        }
    }

    fn vm(&self, address: SocketAddr) -> Vm {
        let engine = fleet::Engine {
            model: self.model.clone(),
            depth: self.depth,
            layers: self.layers,
            tokens_per_second: self.tokens_per_second,
            slots: self.slots,
            accelerator: self.accelerator.clone(),
            checks_orders: self.checks_orders,
        };
        let target = Target {
            name: self.name.clone(),
            address,
            domain: self.domain.clone(),
            rack: self.rack.clone(),
            standing: Standing::Live,
            kind: Kind::Engine(engine),
        };
        Vm {
            name: self.name.clone(),
            domain: self.domain.clone(),
            standing: Standing::Live,
            role: Role::Target(target),
        }
    }
}

/// A running engine, which stops when dropped.
pub struct Engine {
    shared: Arc<Shared>,
    server: Server,
    vm: Vm,
}

impl Engine {
    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the engine's entry in the platform's list of VMs.
    pub fn vm(&self) -> &Vm {
        &self.vm
    }

    /// Returns whether the engine is running; `false` after a crash.
    pub fn is_running(&self) -> bool {
        self.server.is_running()
    }

    /// Applies a control command.
    pub fn command(&self, command: Command) {
        self.shared.command(command);
    }

    /// Returns the retained executions, oldest first; also after a crash.
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.executions()
    }

    /// Waits until the engine has stopped.
    pub fn join(mut self) {
        self.server.join();
    }
}
