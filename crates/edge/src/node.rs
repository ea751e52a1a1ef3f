//! What the tasks of the process share. They run in one thread, in turn.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::Event;
use path::{Budget, Entry, Fault, Share, Sharers, Table};
use platform::Settings;
use platform::kv::Revision;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use site::{Bounds, Config};
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::call::Call;
use crate::claim::Claim;
use crate::clock::Clock;
use crate::diagnose::Reports;
use crate::event::{TARGET_DOWN, TARGET_PAUSED, TARGET_UP};
use crate::loan::Loans;
use crate::pool::Pool;
use crate::quarantine::Quarantine;
use crate::reachability::Reachability;
use crate::relay::Relay;

/// How long before the bound on withdrawn keys a node that cannot reach the store refuses
/// keys: the request has to reach its target and begin within it.
const REVOKE_MARGIN: Duration = Duration::from_millis(700);
/// A node that has not heard from the store for this long asks for no new callers.
pub const UNREADY_AFTER: Duration = Duration::from_millis(3000);

/// When a caller may come back that another node can serve: at once, but not all together.
const OTHER_NODE_RETRY_AFTER: Duration = Duration::from_millis(60);
/// When a caller may come back that no node can serve before the store answers again.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Shortest time between two alarms about targets that refuse: under overload many do.
const REFUSAL_ALARM_INTERVAL: Duration = Duration::from_millis(100);

/// State of the process.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) table: RefCell<Table>,
    pub(crate) config: RefCell<Option<Rc<Config>>>,
    pub(crate) budgets: RefCell<HashMap<SmolStr, Budget>>,
    /// Who else spends retries.
    pub(crate) sharers: RefCell<Sharers>,
    pub(crate) loans: Loans,
    /// Requests that crash their targets.
    pub(crate) quarantine: Quarantine,
    /// Who gives orders, as far as is known.
    pub(crate) claim: RefCell<Claim>,
    pub(crate) pool: Pool,
    pub(crate) reports: Reports,
    /// Up to when the store's state is known to be in force here.
    pub(crate) synced: Cell<Option<Duration>>,
    /// The revision of the store that is in force here.
    pub(crate) revision: Cell<Revision>,
    /// Who else proves how old that is.
    pub(crate) relay: RefCell<Relay>,
    /// Up to when the state is known by another node's word, until the follower takes it.
    pub(crate) peer_proof: Cell<Option<Duration>>,
    /// Told when there is such a proof.
    pub(crate) proof_received: Notify,
    /// What is heard of the other nodes.
    pub(crate) reachability: RefCell<Reachability>,
    /// Whether a stop was asked for.
    pub(crate) stopping: Cell<bool>,
    /// Whether new requests are turned away because the process ends.
    pub(crate) closed: Cell<bool>,
    /// Told when `stopping` is set.
    pub(crate) stop_requested: Notify,
    /// Told when targets or the configuration change.
    pub(crate) targets_changed: Notify,
    /// Told when this node itself has seen a target fail or refuse.
    pub(crate) alarm: Notify,
    /// When the other nodes were last told at once that a target refuses.
    last_refusal_alarm: Cell<Duration>,
    /// Where the other nodes listen.
    pub(crate) peers: RefCell<Vec<SocketAddr>>,
    /// Connections of callers.
    pub(crate) connections: Cell<usize>,
    /// Tells this start of the process from others at the same address.
    pub(crate) instance: u64,
    rng: RefCell<SmallRng>,
}

impl Node {
    /// A node that knows nothing yet.
    pub(crate) fn new(settings: Settings) -> Self {
        let clock = Clock::start();
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        Self {
            table: RefCell::new(Table::new(settings.domain.clone())),
            settings,
            clock,
            config: RefCell::default(),
            budgets: RefCell::default(),
            sharers: RefCell::default(),
            loans: Loans::default(),
            quarantine: Quarantine::default(),
            claim: RefCell::default(),
            pool: Pool::new(clock),
            reports: Reports::default(),
            synced: Cell::new(None),
            revision: Cell::new(0),
            relay: RefCell::default(),
            peer_proof: Cell::new(None),
            proof_received: Notify::new(),
            reachability: RefCell::default(),
            stopping: Cell::new(false),
            closed: Cell::new(false),
            stop_requested: Notify::new(),
            targets_changed: Notify::new(),
            alarm: Notify::new(),
            last_refusal_alarm: Cell::default(),
            peers: RefCell::default(),
            connections: Cell::new(0),
            instance: rng.random(),
            rng: RefCell::new(rng),
        }
    }

    /// Time since the process began.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Where this node hears the others.
    pub(crate) fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.settings.front.ip(), self.settings.internal_ports.0)
    }

    /// A draw from 0 to 1.
    pub(crate) fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Whether the configuration is recent enough to honour keys.
    pub(crate) fn may_honour_keys(&self) -> bool {
        let bounds = &self.settings.bounds;
        let Some(synced) = self.synced.get() else { return false };
        let limit = bounds.revoke.saturating_sub(REVOKE_MARGIN);
        !bounds.strict_revoke || self.now().saturating_sub(synced) < limit
    }

    /// When a caller whose key cannot be checked here may come back.
    pub(crate) fn key_check_retry_after(&self) -> Duration {
        let peers = self.peers.borrow().len();
        if self.reachability.borrow().can_check_keys(self.now(), peers) {
            return self.other_node_retry_after();
        }
        STORE_RETRY_AFTER.mul_f64(0.5 + self.random_fraction())
    }

    /// When a caller may come back that other nodes can serve.
    pub(crate) fn other_node_retry_after(&self) -> Duration {
        OTHER_NODE_RETRY_AFTER.mul_f64(0.5 + self.random_fraction())
    }

    /// When a refused caller may come back: `least` or later, spread so that not all come at
    /// once, and early enough that the request can still be served.
    pub(crate) fn retry_after(&self, call: &Call, least: Duration) -> Duration {
        let left = call.deadline.saturating_sub(self.now());
        least.mul_f64(1.0 + 1.5 * self.random_fraction()).min(left / 4)
    }

    /// Whether new callers should come here.
    pub(crate) fn is_ready(&self) -> bool {
        let Some(synced) = self.synced.get() else { return false };
        let heard = self.now().saturating_sub(synced) < UNREADY_AFTER;
        heard && !self.stopping.get() && self.config.borrow().is_some()
    }

    /// Notes a fault of a target.
    pub(crate) fn record_fault(&self, address: SocketAddr, fault: Fault, reason: &str) {
        let now = self.now();
        let left_out = self.table.borrow_mut().fault(now, address, fault);
        if let Some(target) = left_out {
            let event = Event::new(TARGET_DOWN)
                .with("target", &target)
                .with("address", address)
                .with("fault", format_args!("{fault:?}"))
                .with("reason", reason);
            log::warn!("{event}");
            metrics::counter!("magnolia_targets_down").increment(1);
            if !matches!(fault, Fault::Reported | Fault::ReportedMute) {
                self.alarm.notify_one();
            }
            if fault != Fault::Astray {
                self.record_down(&target);
            }
            self.targets_changed.notify_waiters();
        }
    }

    /// Takes a target that is newly left out for lost.
    fn record_down(&self, id: &str) {
        let target = self.table.borrow().entry(id).map(|entry| entry.target.clone());
        if let Some(target) = target {
            self.record_target_loss(&target);
        }
    }

    /// Notes that an engine refused a request, and tells the other nodes soon.
    pub(crate) fn record_refusal(&self, address: SocketAddr) {
        self.pause_target(address, true);
        let now = self.now();
        if now.saturating_sub(self.last_refusal_alarm.get()) >= REFUSAL_ALARM_INTERVAL {
            self.last_refusal_alarm.set(now);
            self.alarm.notify_one();
        }
    }

    /// Notes that a target refused a request, of this node (`own`) or of another one.
    pub(crate) fn pause_target(&self, address: SocketAddr, own: bool) {
        let now = self.now();
        let paused = self.table.borrow_mut().refuse(now, address, own);
        if let Some((target, pause)) = paused {
            let event = Event::new(TARGET_PAUSED)
                .with("target", target)
                .with("address", address)
                .with("own", own)
                .with("pause_ms", pause.as_millis());
            log::info!("{event}");
        }
    }

    /// Takes a target's report.
    pub(crate) fn apply_report(&self, id: &str, report: &site::Report) {
        let target = self.table.borrow().entry(id).map(|entry| entry.target.clone());
        if let Some(target) = target {
            let anew = report.born != 0 && target.born != 0 && report.born != target.born;
            if anew {
                self.record_target_loss(&target);
            } else {
                self.record_target_survival(&target);
            }
        }
        if self.table.borrow_mut().report(self.now(), id, report) {
            self.log_target_up(id);
        }
    }

    /// Notes that a plain target takes connections again.
    pub(crate) fn mark_reachable(&self, id: &str) {
        if self.table.borrow_mut().revive(self.now(), id) {
            self.log_target_up(id);
        }
    }

    fn log_target_up(&self, id: &str) {
        log::info!("{}", Event::new(TARGET_UP).with("target", id));
        self.targets_changed.notify_waiters();
    }

    /// Whether a target runs layers of a model.
    pub(crate) fn is_engine(&self, id: &str) -> bool {
        let table = self.table.borrow();
        table.entry(id).is_some_and(Entry::is_engine)
    }

    /// Counts a request of a caller in the retry budget of its service.
    pub(crate) fn count_request(&self, service: &SmolStr) {
        self.budget(service, |budget, now, bounds, _| budget.request(now, bounds));
    }

    /// Takes one retry out of this node's part of the budget, or one that it has borrowed.
    pub(crate) fn take_local_retry(&self, service: &SmolStr) -> bool {
        self.budget(service, Budget::retry)
    }

    /// Gives away up to `asked` retries of this node's part; returns how many.
    pub(crate) fn lend_retries(&self, service: &SmolStr, asked: u32) -> u32 {
        self.budget(service, |budget, now, bounds, share| budget.lend(now, bounds, share, asked))
    }

    /// Takes retries that another node has lent, for which it was asked at `asked`.
    pub(crate) fn borrow_retries(&self, service: &SmolStr, asked: Duration, retries: u32) {
        self.budget(service, |budget, _, _, _| budget.borrow(asked, retries));
    }

    fn budget<T>(
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
