//! State shared by the threads and tasks of one node.

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Instant;

use edge::Memory;
use fleet::{Depth, Kind, ModelName, RequestId, Target};
use smol_str::SmolStr;
use tokio::sync::{mpsc as async_mpsc, oneshot};

use super::unused::Unused;
use crate::api::Directory;
use crate::identity::Secret;
use crate::{Arrival, End, Message, Settings};

/// An input of the decision thread.
pub(crate) enum Input {
    /// A new request and the command channel of its relay.
    Arrive { arrival: Box<Arrival>, commands: async_mpsc::UnboundedSender<Command> },
    /// A message to a service of the node.
    Message(Message),
    /// A heartbeat from another node, and where to send the reply.
    Exchange { heartbeat: member::Heartbeat, reply: oneshot::Sender<member::Heartbeat> },
    /// A query for the decisions made on a request, and where to send them.
    Explain { request: String, reply: mpsc::Sender<Vec<String>> },
    /// An event to log and to record among the decisions.
    Log(fleet::Event),
    /// Stop accepting new requests.
    Drain,
    /// End the decision thread.
    Stop,
}

/// A command to the relay of a request.
pub(crate) enum Command {
    /// Start an attempt. A call to a plain service is not sent after `until`.
    Dispatch { dispatch: route::Dispatch, until: Option<Instant> },
    /// Report the end of the request to the caller and end the relay.
    Finish(End),
}

/// Sender of inputs to the decision thread.
#[derive(Clone)]
pub(crate) struct Inbox(mpsc::Sender<Input>);

impl Inbox {
    pub(crate) fn new(sender: mpsc::Sender<Input>) -> Self {
        Self(sender)
    }

    /// Sends an input. The input is dropped if the decision thread has ended.
    pub(crate) fn send(&self, input: Input) {
        if self.0.send(input).is_err() {
            log::debug!("an input was dropped because the decision thread has ended");
        }
    }

    /// Sends a message to a service of the node.
    pub(crate) fn post(&self, message: Message) {
        self.send(Input::Message(message));
    }
}

/// The models, plain services and targets of the fleet.
#[derive(Default)]
pub(crate) struct Catalog {
    /// Number of layers of each model.
    pub(crate) models: HashMap<ModelName, Depth>,
    /// Plain services, with whether their calls may be repeated.
    pub(crate) services: HashMap<SmolStr, bool>,
    /// Targets of the current fleet.
    pub(crate) targets: Vec<Target>,
}

impl Catalog {
    /// Returns a catalog of new targets. Models and services of earlier targets are kept.
    pub(crate) fn updated(&self, targets: Vec<Target>) -> Self {
        let mut models = self.models.clone();
        let mut services = self.services.clone();
        for target in &targets {
            match &target.kind {
                Kind::Engine(engine) => {
                    models.insert(engine.model.clone(), engine.depth);
                }
                Kind::Service(service) => {
                    services.insert(service.name.clone(), service.idempotent);
                }
            }
        }
        Self { models, services, targets }
    }
}

/// The preset in force and its stored value.
pub(crate) type ActivePreset = (Arc<preset::Preset>, Arc<[u8]>);

/// State shared by the threads and tasks of one node.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) secret: Secret,
    pub(crate) inbox: Inbox,
    directory: RwLock<Arc<Directory>>,
    catalog: RwLock<Arc<Catalog>>,
    active_preset: RwLock<Option<ActivePreset>>,
    nodes: RwLock<Vec<member::Node>>,
    /// Whether the node can prove that its configuration is in force.
    pub(crate) fresh: AtomicBool,
    /// Whether the watch on the stored preset is disabled.
    pub(crate) watch_disabled: AtomicBool,
    /// Whether a planned stop is in progress.
    pub(crate) draining: AtomicBool,
    /// Whether all threads must end.
    pub(crate) stopping: AtomicBool,
    /// Requests that have not been answered yet.
    in_flight: Mutex<BTreeSet<RequestId>>,
    /// Number of claims held by this node whose outcome is not in the store yet.
    pub(crate) held_claims: AtomicUsize,
    /// What the process holds of the answers of targets, until callers have them.
    pub(crate) answers: Memory,
    /// What it holds of the bodies of requests, until they are answered.
    pub(crate) uploads: Memory,
    /// Number of open connections from callers.
    pub(crate) connections: AtomicUsize,
    /// Number of open connections from callers on which no request has come yet.
    pub(crate) unused_connections: AtomicUsize,
    /// Those connections.
    pub(crate) unused: Unused,
}

fn read<T: Clone>(lock: &RwLock<T>) -> T {
    lock.read().unwrap_or_else(PoisonError::into_inner).clone()
}

fn write<T>(lock: &RwLock<T>, value: T) {
    *lock.write().unwrap_or_else(PoisonError::into_inner) = value;
}

impl Shared {
    pub(crate) fn new(settings: Settings, inbox: Inbox) -> Self {
        let answers = Memory::new(settings.memory_bytes.max(2 * settings.answer_bytes));
        let uploads = Memory::evicting((settings.memory_bytes / 2).max(2 * settings.body_bytes));
        Self {
            secret: Secret::new(&settings.secret),
            answers,
            uploads,
            unused: Unused::default(),
            settings,
            inbox,
            directory: RwLock::default(),
            catalog: RwLock::default(),
            active_preset: RwLock::default(),
            nodes: RwLock::default(),
            fresh: AtomicBool::new(false),
            watch_disabled: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            in_flight: Mutex::default(),
            held_claims: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            unused_connections: AtomicUsize::new(0),
        }
    }

    pub(crate) fn directory(&self) -> Arc<Directory> {
        read(&self.directory)
    }

    pub(crate) fn catalog(&self) -> Arc<Catalog> {
        read(&self.catalog)
    }

    pub(crate) fn active_preset(&self) -> Option<ActivePreset> {
        read(&self.active_preset)
    }

    pub(crate) fn nodes(&self) -> Vec<member::Node> {
        read(&self.nodes)
    }

    pub(crate) fn set_active_preset(&self, preset: Arc<preset::Preset>, value: Arc<[u8]>) {
        write(&self.directory, Arc::new(Directory::new(&preset)));
        write(&self.active_preset, Some((preset, value)));
    }

    pub(crate) fn set_targets(&self, targets: Vec<Target>) {
        let catalog = self.catalog().updated(targets);
        write(&self.catalog, Arc::new(catalog));
    }

    pub(crate) fn set_nodes(&self, nodes: Vec<member::Node>) {
        write(&self.nodes, nodes);
    }

    /// Returns whether the load balancer may send requests to this node.
    pub(crate) fn ready(&self) -> bool {
        self.fresh.load(Ordering::Relaxed)
            && !self.draining.load(Ordering::Relaxed)
            && self.active_preset().is_some()
            && !self.catalog().targets.is_empty()
    }

    fn lock_in_flight(&self) -> MutexGuard<'_, BTreeSet<RequestId>> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the requests that have not been answered yet.
    pub(crate) fn in_flight(&self) -> Vec<RequestId> {
        self.lock_in_flight().iter().copied().collect()
    }

    /// Returns the number of requests that have not been answered yet.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.lock_in_flight().len()
    }

    /// Counts a request as in flight until the returned value is dropped.
    pub(crate) fn track_request(self: &Arc<Self>, request: RequestId) -> InFlight {
        self.lock_in_flight().insert(request);
        InFlight { shared: Arc::clone(self), request }
    }

    pub(crate) fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}

/// Guard that counts a request as in flight until it is dropped.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    request: RequestId,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.lock_in_flight().remove(&self.request);
    }
}

/// Formats a request id as 32 hex digits, as in logs and headers.
pub(crate) fn hex(request: RequestId) -> String {
    format!("{request:032x}")
}
