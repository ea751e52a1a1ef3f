//! State shared by the tasks of the process, which all run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::{Event, Version};
use limit::admission::Room;
use limit::permit::Permits;
use path::{Budget, Entry, Fault, Participants, Share, Table};
use platform::Settings;
use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use site::{Bounds, Config, Limits, Target, TargetKey};
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::cadence::Cadence;
use crate::call::Call;
use crate::callers::{Callers, Capacity};
use crate::claim::Claim;
use crate::clock::Clock;
use crate::contact::Contact;
use crate::diagnose::Diagnoses;
use crate::event::{CONTACT_BACK, CONTACT_LOST, TARGET_DOWN, TARGET_PAUSED, TARGET_UP};
use crate::expiry::announced_time;
use crate::forward::Origin;
use crate::latency::Latency;
use crate::loan::Loans;
use crate::memory::Memory;
use crate::permit::Answers;
use crate::pool::{MAX_ANSWER_BYTES, Pool};
use crate::prompt::{ConfigRanks, Prompts};
use crate::quarantine::Quarantine;
use crate::reachability::Reachability;
use crate::recency::Recency;
use crate::relay::Relay;
use crate::replica::Replica;
use crate::store::MAX_PAGE_BYTES;

/// Margin before the bound on revoked keys at which a node that cannot reach the store refuses
/// keys: an accepted request must reach its target and start within the margin.
const REVOKE_MARGIN: Duration = Duration::from_millis(700);
/// Age of the last confirmed store state at which a node reports that it is not ready.
pub const UNREADY_AFTER: Duration = Duration::from_millis(3000);

/// Mean delay of a retry that another node can serve: short, and spread so that callers do not
/// return together.
const OTHER_NODE_RETRY_AFTER: Duration = Duration::from_millis(60);
/// Mean delay of a retry that no node can serve before the store answers again.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Minimum interval between alarms about refusals: under overload many targets refuse.
const REFUSAL_ALARM_INTERVAL: Duration = Duration::from_millis(100);

/// Part of the process's memory that answers may take.
const ANSWERS_PART: usize = 4;
/// Part of the process's memory that the bodies of requests may take.
const UPLOADS_PART: usize = 8;

/// Returns the number of descriptors that the process may have open, by its settings and by the
/// operating system.
fn max_fds(settings: &Settings) -> usize {
    let system = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let system = system.and_then(|fds| usize::try_from(fds).ok()).unwrap_or(usize::MAX);
    settings.max_fds.map_or(system, |fds| fds.min(system))
}

/// State of the process.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    /// How prompts of different lengths share engines.
    pub(crate) prompts: Prompts,
    /// The ranks in use by the configuration for which they were last needed.
    pub(crate) ranks: RefCell<Option<ConfigRanks>>,
    pub(crate) clock: Clock,
    pub(crate) table: RefCell<Table>,
    pub(crate) config: RefCell<Option<Rc<Config>>>,
    pub(crate) budgets: RefCell<HashMap<SmolStr, Budget>>,
    /// The other nodes that share the retry budget.
    pub(crate) sharers: RefCell<Participants>,
    pub(crate) loans: Loans,
    /// Requests that crash their targets.
    pub(crate) quarantine: Quarantine,
    /// The known holder of the leader key, and this node's lease on it.
    pub(crate) claim: RefCell<Claim>,
    /// Limits that targets name, and the permits for requests to them.
    pub(crate) permits: RefCell<Permits>,
    /// Requests for permits that wait for answers of other nodes.
    pub(crate) permit_answers: Answers,
    /// Requests that wait for engines whose memory is full.
    pub(crate) room: RefCell<Room>,
    /// Notified when memory of engines may have become free, or the queue for it has changed.
    pub(crate) room_changed: Notify,
    pub(crate) pool: Pool,
    /// What the process holds of answers of targets and other nodes, until callers have them.
    pub(crate) answers: Memory,
    /// What it holds of answers of the store.
    pub(crate) store_answers: Memory,
    /// What it holds of the heads and bodies of requests, until they are answered.
    pub(crate) uploads: Memory,
    pub(crate) diagnoses: Diagnoses,
    /// Time up to which the store's state is known to be in force on this node.
    pub(crate) synced: Cell<Option<Duration>>,
    /// Up to what time the configuration is known to be the operators' newest.
    pub(crate) recency: RefCell<Recency>,
    /// The store's era, and the positions that are in force on this node.
    pub(crate) replica: RefCell<Replica>,
    /// Notified when the store states a later era.
    pub(crate) era_changed: Notify,
    /// Exchange of proofs of the store state's age with other nodes.
    pub(crate) relay: RefCell<Relay>,
    /// Time up to which another node proved the state, until the follower applies it.
    pub(crate) peer_proof: Cell<Option<Duration>>,
    /// Notified when `peer_proof` is set.
    pub(crate) proof_received: Notify,
    /// When other nodes were last heard, and whether they can check keys.
    pub(crate) reachability: RefCell<Reachability>,
    /// Whether this node reaches its targets.
    pub(crate) contact: RefCell<Contact>,
    /// The longest usual interval between events of streams.
    pub(crate) cadence: RefCell<Cadence>,
    /// How long reports of engines take to arrive here.
    pub(crate) latency: RefCell<Latency>,
    /// Time at which the process was asked to stop.
    pub(crate) stopping_since: Cell<Option<Duration>>,
    /// Whether new requests are refused because the process is about to end.
    pub(crate) closed: Cell<bool>,
    /// Notified when the process is about to end: requests in progress are answered.
    pub(crate) ending: Notify,
    /// Notified when the process ends: the connections that are left are closed.
    pub(crate) ended: Notify,
    /// Notified when `stopping_since` is set.
    pub(crate) stop_requested: Notify,
    /// Notified when `closed` is set.
    pub(crate) close_requested: Notify,
    /// Notified when the state of targets or the configuration changes.
    pub(crate) routing_changed: Notify,
    /// Notified when this node itself has observed a target fail or refuse.
    pub(crate) alarm: Notify,
    /// Time of the last alarm about a refusal.
    last_refusal_alarm: Cell<Duration>,
    /// Addresses at which the other nodes receive messages.
    pub(crate) peers: RefCell<Vec<SocketAddr>>,
    /// Open connections of callers.
    pub(crate) callers: Callers,
    /// Open connections of other nodes.
    pub(crate) nodes: Callers,
    /// Number of open connections of both.
    pub(crate) connections: Cell<usize>,
    /// Number of caller connections accepted so far.
    accepted: Cell<u64>,
    /// Distinguishes this start of the process from others at the same address.
    pub(crate) instance: u64,
    rng: RefCell<SmallRng>,
}

impl Node {
    /// Returns a node without configuration or targets.
    pub(crate) fn new(settings: Settings, prompts: Prompts) -> Self {
        let clock = Clock::start();
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let internal = SocketAddr::new(settings.front.ip(), settings.internal_ports.0);
        let permits = Permits::new(internal, settings.bounds.contact);
        let memory = settings.memory;
        let capacity = Capacity::new(max_fds(&settings), memory);
        Self {
            table: RefCell::new(Table::new(settings.domain.clone())),
            settings,
            prompts,
            ranks: RefCell::default(),
            clock,
            config: RefCell::default(),
            budgets: RefCell::default(),
            sharers: RefCell::default(),
            loans: Loans::default(),
            quarantine: Quarantine::default(),
            claim: RefCell::default(),
            permits: RefCell::new(permits),
            permit_answers: Answers::default(),
            room: RefCell::default(),
            room_changed: Notify::new(),
            pool: Pool::new(clock),
            answers: Memory::new((memory / ANSWERS_PART).max(2 * MAX_ANSWER_BYTES)),
            store_answers: Memory::new(2 * MAX_PAGE_BYTES),
            uploads: Memory::exact((memory / UPLOADS_PART).max(2 * MAX_ANSWER_BYTES)),
            diagnoses: Diagnoses::default(),
            synced: Cell::new(None),
            recency: RefCell::default(),
            replica: RefCell::default(),
            era_changed: Notify::new(),
            relay: RefCell::default(),
            peer_proof: Cell::new(None),
            proof_received: Notify::new(),
            reachability: RefCell::default(),
            contact: RefCell::default(),
            cadence: RefCell::default(),
            latency: RefCell::default(),
            stopping_since: Cell::new(None),
            closed: Cell::new(false),
            ending: Notify::new(),
            ended: Notify::new(),
            stop_requested: Notify::new(),
            close_requested: Notify::new(),
            routing_changed: Notify::new(),
            alarm: Notify::new(),
            last_refusal_alarm: Cell::default(),
            peers: RefCell::default(),
            callers: Callers::new(capacity.callers),
            nodes: Callers::new(capacity.nodes),
            connections: Cell::new(0),
            accepted: Cell::new(0),
            instance: rng.random(),
            rng: RefCell::new(rng),
        }
    }

    /// Returns the time since the process started.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the address at which this node receives messages from other nodes.
    pub(crate) fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.settings.front.ip(), self.settings.internal_ports.0)
    }

    /// Returns the number of a connection that has just been accepted.
    pub(crate) fn next_connection(&self) -> u64 {
        self.accepted.set(self.accepted.get() + 1);
        self.accepted.get()
    }

    /// Returns a random number from 0 to 1.
    pub(crate) fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Returns the version of the configuration in force; 0 without one.
    pub(crate) fn config_version(&self) -> Version {
        self.config.borrow().as_ref().map_or(0, |config| config.version)
    }

    /// Returns whether the process was asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Returns the limits in force on what callers send.
    pub(crate) fn limits(&self) -> Limits {
        self.config.borrow().as_ref().map(|config| config.limits.clone()).unwrap_or_default()
    }

    /// Returns the open connections of a port.
    pub(crate) fn port(&self, origin: Origin) -> &Callers {
        match origin {
            Origin::Caller => &self.callers,
            Origin::Node => &self.nodes,
        }
    }

    /// Bounds the heads and bodies of requests by the limits in force: two of the largest allowed size
    /// have room.
    pub(crate) fn bound_uploads(&self, limits: &Limits) {
        let part = self.settings.memory / UPLOADS_PART;
        self.uploads.set_max_bytes(part.max(2 * (limits.head_bytes + limits.body_bytes)));
    }

    /// Returns the time for which callers may use a connection again.
    pub(crate) fn announced_time(&self, limits: &Limits) -> Duration {
        announced_time(limits.idle_timeout, self.settings.bounds.grace)
    }

    /// Returns whether the configuration is recent enough to accept keys.
    pub(crate) fn may_honour_keys(&self) -> bool {
        if self.synced.get().is_none() {
            return false;
        }
        let Some(limit) = self.key_check_age() else { return true };
        let age = self.recency.borrow().age(self.now(), self.config_version());
        age.is_some_and(|age| age < limit)
    }

    /// Returns the version of the configuration in force if the store's is older, so that other
    /// nodes may not know it.
    pub(crate) fn version_unknown_to_store(&self) -> Option<Version> {
        let version = self.config_version();
        self.recency.borrow().is_stored_older(version).then_some(version)
    }

    /// Returns the age of the configuration at which this node refuses keys; `None` if it accepts
    /// them at any age.
    fn key_check_age(&self) -> Option<Duration> {
        let bounds = &self.settings.bounds;
        bounds.strict_revoke.then(|| bounds.revoke.saturating_sub(REVOKE_MARGIN))
    }

    /// Returns the age of the store's state at which this node refuses keys or reports that it is
    /// not ready.
    pub(crate) fn max_store_age(&self) -> Duration {
        self.key_check_age().map_or(UNREADY_AFTER, |limit| limit.min(UNREADY_AFTER))
    }

    /// Returns the retry delay for a caller whose key cannot be checked here.
    pub(crate) fn key_check_retry_after(&self) -> Duration {
        let peers = self.peers.borrow().len();
        if self.reachability.borrow().can_check_keys(self.now(), peers) {
            return self.other_node_retry_after();
        }
        STORE_RETRY_AFTER.mul_f64(0.5 + self.random_fraction())
    }

    /// Returns the retry delay for a caller that other nodes can serve.
    pub(crate) fn other_node_retry_after(&self) -> Duration {
        OTHER_NODE_RETRY_AFTER.mul_f64(0.5 + self.random_fraction())
    }

    /// Returns the retry delay for a refused caller: `min_delay` or longer, randomised so that
    /// callers do not return together, and at most a quarter of the time left to the deadline, so
    /// that the request can still be served.
    pub(crate) fn retry_after(&self, call: &Call, min_delay: Duration) -> Duration {
        let left = call.deadline.saturating_sub(self.now());
        min_delay.mul_f64(1.0 + 1.5 * self.random_fraction()).min(left / 4)
    }

    /// Returns whether the platform should route new callers to this node.
    pub(crate) fn is_ready(&self) -> bool {
        let Some(synced) = self.synced.get() else { return false };
        let is_fresh = self.now().saturating_sub(synced) < UNREADY_AFTER;
        is_fresh && !self.is_stopping() && !self.is_outdated() && self.has_usable_config()
    }

    /// Returns whether the operators' newest configuration cannot be read here.
    pub(crate) fn is_outdated(&self) -> bool {
        self.recency.borrow().is_outdated()
    }

    /// Returns whether there is a configuration that lets callers in: after a start, one with keys
    /// may have to be proved to be the newest.
    fn has_usable_config(&self) -> bool {
        let is_proven = self.key_check_age().is_none() || self.recency.borrow().is_proven();
        let config = self.config.borrow();
        config.as_ref().is_some_and(|config| is_proven || !config.requires_keys())
    }

    /// Records a fault of a target. If the target is down as a result, logs it and notifies the
    /// waiting tasks.
    pub(crate) fn record_fault(&self, address: SocketAddr, fault: Fault, reason: &str) {
        let now = self.now();
        if matches!(fault, Fault::Unresponsive | Fault::Refused | Fault::ReportTimeout) {
            self.contact.borrow_mut().record_silence(address);
            self.update_contact();
        }
        let down = self.table.borrow_mut().record_fault(now, address, fault);
        if let Some(target) = down {
            let event = Event::new(TARGET_DOWN)
                .with("target", &target)
                .with("address", address)
                .with("fault", fault)
                .with("reason", reason);
            log::warn!("{event}");
            metrics::counter!("magnolia_targets_down").increment(1);
            if !matches!(fault, Fault::Reported | Fault::ReportedTimeout) {
                self.alarm.notify_one();
            }
            if fault != Fault::WrongTarget && self.reaches_targets() {
                self.record_down(&target);
            }
            self.routing_changed.notify_waiters();
        }
    }

    /// Records the loss of a target that is newly down.
    fn record_down(&self, id: &str) {
        let target = self.table.borrow().entry(id).map(|entry| entry.target.clone());
        if let Some(target) = target {
            self.record_target_loss(&target);
        }
    }

    /// Records that an engine refused a request of this node, and triggers an alarm to the other
    /// nodes.
    pub(crate) fn record_refusal(&self, address: SocketAddr) {
        self.pause_target(address, true);
        let now = self.now();
        if now.saturating_sub(self.last_refusal_alarm.get()) >= REFUSAL_ALARM_INTERVAL {
            self.last_refusal_alarm.set(now);
            self.alarm.notify_one();
        }
    }

    /// Records that a target refused a request of this node (`own`) or of another node.
    pub(crate) fn pause_target(&self, address: SocketAddr, own: bool) {
        let now = self.now();
        let paused = self.table.borrow_mut().record_refusal(now, address, own);
        if let Some((target, pause)) = paused {
            let event = Event::new(TARGET_PAUSED)
                .with("target", target)
                .with("address", address)
                .with("own", own)
                .with("pause_ms", pause.as_millis());
            log::info!("{event}");
        }
    }

    /// Applies a target's report.
    pub(crate) fn apply_report(&self, id: &str, report: &site::Report) {
        let known = self.table.borrow().entry(id).map(|entry| {
            let is_stated = entry.health.is_locally_observed();
            (entry.target.clone(), is_stated)
        });
        let Some((target, is_stated)) = known else { return };
        let restarted = report.started_unix_ms != 0
            && target.started_unix_ms != 0
            && report.started_unix_ms != target.started_unix_ms;
        if restarted {
            self.record_target_loss(&target);
        } else {
            self.record_target_survival(&target);
        }
        if self.table.borrow_mut().record_report(self.now(), id, report) {
            self.log_target_up(id);
            if is_stated {
                // The other nodes may count on what this one has stated of the target.
                self.alarm.notify_one();
            }
        }
    }

    /// Records that a plain target, which runs no layers of a model, accepts connections again.
    pub(crate) fn mark_reachable(&self, id: &str) {
        if self.table.borrow_mut().restore(self.now(), id) {
            self.log_target_up(id);
        }
    }

    fn log_target_up(&self, id: &str) {
        if !self.reaches_targets() {
            // The others can probably be reached again too.
            self.table.borrow_mut().probe_all(self.now());
        }
        log::info!("{}", Event::new(TARGET_UP).with("target", id));
        self.routing_changed.notify_waiters();
    }

    /// Returns whether a target runs layers of a model.
    pub(crate) fn is_engine(&self, id: &str) -> bool {
        let table = self.table.borrow();
        table.entry(id).is_some_and(Entry::is_engine)
    }

    /// Counts a request in the retry budget of its service, once.
    pub(crate) fn count_call(&self, call: &Call) {
        if !call.counted.replace(true) {
            self.count_request(&call.service);
        }
    }

    /// Returns up to `max` other nodes that reach the targets, in random order.
    pub(crate) fn reaching_peers(&self, max: usize) -> Vec<SocketAddr> {
        let mut peers = self.reachability.borrow().reaching(self.now());
        peers.shuffle(&mut *self.rng.borrow_mut());
        peers.truncate(max);
        peers
    }

    /// Returns whether a request may be forwarded: it is a caller's, and another node reaches the
    /// targets.
    pub(crate) fn may_forward(&self, call: &Call) -> bool {
        call.origin == Origin::Caller && self.reachability.borrow().any_reaching(self.now())
    }

    /// Returns whether another node is to handle a request, because this one has lost its targets.
    pub(crate) fn leaves_to_others(&self, call: &Call) -> bool {
        !self.reaches_targets() && self.may_forward(call)
    }

    /// Returns up to `max` engines that may be asked for reports, at random, those in use first.
    pub(crate) fn sample_engines(&self, max: usize) -> Vec<(TargetKey, SocketAddr)> {
        let now = self.now();
        let table = self.table.borrow();
        let asked = table
            .entries()
            .filter(|entry| entry.is_engine() && !entry.availability.is_backing_off(now));
        let (down, used): (Vec<&Entry>, Vec<&Entry>) =
            asked.partition(|entry| entry.health.is_down());
        let rng = &mut *self.rng.borrow_mut();
        let mut sample = used.into_iter().sample(rng, max);
        sample.extend(down.into_iter().sample(rng, max - sample.len()));
        sample.iter().map(|entry| (entry.target.id.clone(), entry.target.address)).collect()
    }

    /// Returns whether this node reaches targets.
    pub(crate) fn reaches_targets(&self) -> bool {
        !self.contact.borrow().is_lost()
    }

    /// Returns whether this node may be cut off from its targets.
    pub(crate) fn doubts_targets(&self) -> bool {
        self.contact.borrow().is_doubtful(self.now())
    }

    /// Records that a target answered this node.
    pub(crate) fn record_contact(&self, now: Duration) {
        if self.contact.borrow().has_silent_targets() {
            // What this node held back while it doubted its own connections.
            self.alarm.notify_one();
        }
        let regained = self.contact.borrow_mut().record_answer(now);
        self.regain_contact(now, regained);
    }

    /// Returns the silence of a stream that may show a stall.
    pub(crate) fn max_pause(&self) -> Duration {
        self.cadence.borrow().limit()
    }

    /// Records the interval between two events of a stream, if there were two.
    pub(crate) fn record_interval(&self, interval: Option<Duration>) {
        if let Some(interval) = interval {
            self.cadence.borrow_mut().record(interval);
        }
    }

    /// Records that this node connected to a target.
    pub(crate) fn record_connection(&self) {
        let now = self.now();
        let regained = self.contact.borrow_mut().record_connection(now);
        self.regain_contact(now, regained);
    }

    fn regain_contact(&self, now: Duration, lost_for: Option<Duration>) {
        let Some(lost_for) = lost_for else { return };
        log::info!("{}", Event::new(CONTACT_BACK).with("after_ms", lost_for.as_millis()));
        // The others can probably be used as well.
        self.table.borrow_mut().probe_all(now);
        self.alarm.notify_one();
    }

    /// Checks whether this node has lost its targets: none answers, or most are out of reach.
    pub(crate) fn update_contact(&self) {
        let now = self.now();
        let (known, unreached) = {
            let table = self.table.borrow();
            let staying = table.entries().filter(|entry| !entry.is_draining());
            staying.fold((0, 0), |(known, unreached), entry| {
                (known + 1, unreached + usize::from(entry.health.is_locally_observed()))
            })
        };
        let regained = self.contact.borrow_mut().record_reached(now, unreached, known);
        self.regain_contact(now, regained);
        let latency = self.latency.borrow().limit();
        let is_silent = self.contact.borrow_mut().poll_loss(now, known, latency);
        let misses_most = self.contact.borrow_mut().record_unreached(now, unreached, known);
        if is_silent || misses_most {
            self.lose_contact();
        }
    }

    /// Logs that this node has lost its targets, and withdraws what it concluded from it.
    pub(crate) fn lose_contact(&self) {
        let now = self.now();
        let (silent, unconnected) = self.contact.borrow().failed();
        let event = Event::new(CONTACT_LOST)
            .with("silent", silent)
            .with("silent_ms", self.contact.borrow().silence(now).as_millis())
            .with("unconnected", unconnected)
            .with("nodes", self.reachability.borrow().reaching(now).len());
        log::warn!("{event}");
        metrics::counter!("magnolia_contact_lost").increment(1);
        self.withdraw_losses();
        self.alarm.notify_one();
        self.routing_changed.notify_waiters();
    }

    /// Withdraws what losses of targets count against requests: not the targets were lost, but this
    /// node's way to them.
    fn withdraw_losses(&self) {
        let down: Vec<Target> = {
            let table = self.table.borrow();
            let down = table.entries().filter(|entry| entry.health.is_down());
            down.map(|entry| entry.target.clone()).collect()
        };
        down.iter().for_each(|target| self.record_target_survival(target));
    }

    /// Counts a caller's request in the retry budget of its service.
    pub(crate) fn count_request(&self, service: &SmolStr) {
        self.with_budget(service, |budget, now, bounds, _| budget.count_request(now, bounds));
    }

    /// Takes one retry from this node's share of the budget, or one that it has borrowed.
    pub(crate) fn take_local_retry(&self, service: &SmolStr) -> bool {
        self.with_budget(service, Budget::take_retry)
    }

    /// Lends up to `max` retries from this node's share. Returns how many.
    pub(crate) fn lend_retries(&self, service: &SmolStr, max: u32) -> u32 {
        self.with_budget(service, |budget, now, bounds, share| budget.lend(now, bounds, share, max))
    }

    /// Adds retries lent by another node in answer to a query sent at `asked_at`.
    pub(crate) fn borrow_retries(&self, service: &SmolStr, asked_at: Duration, retries: u32) {
        self.with_budget(service, |budget, _, _, _| budget.add_loan(asked_at, retries));
    }

    fn with_budget<T>(
        &self,
        service: &SmolStr,
        with: impl FnOnce(&mut Budget, Duration, &Bounds, Share) -> T,
    ) -> T {
        let (now, bounds) = (self.now(), &self.settings.bounds);
        let share = self.sharers.borrow_mut().share(now, bounds.retry_window);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        with(budget, now, bounds, share)
    }
}
