//! What the shells of one node share.

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Instant;

use fleet::{Depth, Kind, ModelName, RequestId, Target};
use smol_str::SmolStr;
use tokio::sync::{mpsc as async_mpsc, oneshot};

use crate::api::Directory;
use crate::identity::Secret;
use crate::{Arrival, End, Message, Settings};

/// What the decision thread hears.
pub(crate) enum Input {
    /// A caller's request, and the way back to its relay.
    Arrive { arrival: Box<Arrival>, commands: async_mpsc::UnboundedSender<Command> },
    /// A message to a service.
    Message(Message),
    /// A heartbeat that wants a reply.
    Exchange { heartbeat: member::Heartbeat, reply: oneshot::Sender<member::Heartbeat> },
    /// A question for the decisions made on a request.
    Explain { request: String, reply: mpsc::Sender<Vec<String>> },
    /// A log line of a shell, kept with the decisions.
    Log(fleet::Event),
    /// Take nothing new.
    Drain,
    /// End.
    Stop,
}

/// What a request's relay hears.
pub(crate) enum Command {
    /// Send an attempt, if its first byte can go out before `until`.
    Dispatch { dispatch: route::Dispatch, until: Option<Instant> },
    /// Answer the caller and end.
    Finish(End),
}

/// The way to the decision thread.
#[derive(Clone)]
pub(crate) struct Inbox(mpsc::Sender<Input>);

impl Inbox {
    pub(crate) fn new(sender: mpsc::Sender<Input>) -> Self {
        Self(sender)
    }

    /// Sends an input. After the decision thread has ended there is nobody to hear it.
    pub(crate) fn send(&self, input: Input) {
        if self.0.send(input).is_err() {
            log::debug!("an input came after the decision thread had ended");
        }
    }

    /// Sends a message to a service.
    pub(crate) fn post(&self, message: Message) {
        self.send(Input::Message(message));
    }
}

/// What the callers' port needs to know of the fleet.
#[derive(Default)]
pub(crate) struct Catalog {
    /// Layers of each model.
    pub(crate) models: HashMap<ModelName, Depth>,
    /// Whether the calls of each plain service may be repeated.
    pub(crate) services: HashMap<SmolStr, bool>,
    /// All targets.
    pub(crate) targets: Vec<Target>,
}

impl Catalog {
    /// Reads a fleet; what an earlier fleet offered stays known.
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

/// What the shells of one node share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) secret: Secret,
    pub(crate) inbox: Inbox,
    directory: RwLock<Arc<Directory>>,
    catalog: RwLock<Arc<Catalog>>,
    active_preset: RwLock<Option<ActivePreset>>,
    nodes: RwLock<Vec<member::Node>>,
    /// Whether the configuration in force is proved.
    pub(crate) fresh: AtomicBool,
    /// Whether no watch on the preset is to be held.
    pub(crate) watch_disabled: AtomicBool,
    /// Whether a planned stop has begun.
    pub(crate) draining: AtomicBool,
    /// Whether all threads are to end.
    pub(crate) stopping: AtomicBool,
    /// Requests whose answer is not given yet.
    in_flight: Mutex<BTreeSet<RequestId>>,
    /// Claims held here whose outcome the store does not have.
    pub(crate) held_claims: AtomicUsize,
    /// Connections of callers.
    pub(crate) connections: AtomicUsize,
}

fn read<T: Clone>(lock: &RwLock<T>) -> T {
    lock.read().unwrap_or_else(PoisonError::into_inner).clone()
}

fn write<T>(lock: &RwLock<T>, value: T) {
    *lock.write().unwrap_or_else(PoisonError::into_inner) = value;
}

impl Shared {
    pub(crate) fn new(settings: Settings, inbox: Inbox) -> Self {
        Self {
            secret: Secret::new(&settings.secret),
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

    /// Whether the balancer may send requests here.
    pub(crate) fn ready(&self) -> bool {
        self.fresh.load(Ordering::Relaxed)
            && !self.draining.load(Ordering::Relaxed)
            && self.active_preset().is_some()
            && !self.catalog().targets.is_empty()
    }

    fn lock_in_flight(&self) -> MutexGuard<'_, BTreeSet<RequestId>> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests whose answer is not given yet.
    pub(crate) fn in_flight(&self) -> Vec<RequestId> {
        self.lock_in_flight().iter().copied().collect()
    }

    /// Number of requests whose answer is not given yet.
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

/// Counts a request as in flight for as long as it lives.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    request: RequestId,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.lock_in_flight().remove(&self.request);
    }
}

/// Text of a request id in logs and headers.
pub(crate) fn hex(request: RequestId) -> String {
    format!("{request:032x}")
}
