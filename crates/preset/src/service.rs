//! State machine of a node, without clock, threads or sockets.

use std::sync::Arc;
use std::time::Duration;

use fleet::{Event, NodeName, Timer, Version};
use rand::RngExt;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use crate::{Action, Message, Preset, Settings, Stored, event};

/// Decides which preset is in force on this node, and whether the node may accept new work.
#[derive(Clone, Debug)]
pub struct Follower {
    settings: Settings,
    in_force: Option<(Arc<Preset>, Arc<[u8]>)>,
    started: Option<Duration>,
    /// Time at which the poll that is still unanswered was requested.
    poll_requested: Option<Duration>,
    next_poll: Duration,
    store: Store,
    /// Latest time for which the version in the store is known not to be above this node's.
    proof: Option<Duration>,
    /// Latest time for which a majority is known to have no higher version than this node.
    agreed: Option<Duration>,
    /// Whether another node has been heard from since the start. A heartbeat with a higher version
    /// than this node's does not count.
    peer_seen: bool,
    /// Number of known nodes, this one included.
    known: u32,
    /// Random number in [0, 1) that decides whether this node holds a watch.
    watch_draw: Option<f64>,
    watching: bool,
    /// Pending request for the value of another node: the node, its version, and the time of the
    /// request.
    fetch: Option<(NodeName, Version, Duration)>,
    fresh: bool,
    alarm: Timer,
}

/// State of the store according to the last poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Store {
    Unknown,
    Current,
    Down,
    /// The store answers with a value that cannot prove freshness.
    Unusable,
}

impl Follower {
    /// Creates the service.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            in_force: None,
            started: None,
            poll_requested: None,
            next_poll: Duration::ZERO,
            store: Store::Unknown,
            proof: None,
            agreed: None,
            peer_seen: false,
            known: 1,
            watch_draw: None,
            watching: false,
            fetch: None,
            fresh: false,
            alarm: Timer::default(),
        }
    }

    /// Returns the preset in force and the stored value that holds it.
    pub fn in_force(&self) -> Option<(&Arc<Preset>, &Arc<[u8]>)> {
        self.in_force.as_ref().map(|(preset, value)| (preset, value))
    }

    /// Returns the version in force; 0 for none.
    pub fn version(&self) -> Version {
        self.in_force.as_ref().map_or(0, |(preset, _)| preset.version)
    }

    /// Returns whether new work may be accepted at `now`. The result is correct even between the
    /// end of a pause of the process and the next step, so callers check it for each request.
    pub fn fresh(&self, now: Duration) -> bool {
        let Some(started) = self.started else { return false };
        let settled = self.peer_seen || now >= started + self.settings.startup_wait;
        self.in_force.is_some() && settled && self.expiry().is_some_and(|expiry| now <= expiry)
    }

    /// Handles one message at `now` and appends the resulting actions.
    pub fn step(
        &mut self,
        now: Duration,
        message: Message,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        if self.started.is_none() {
            self.started = Some(now);
            self.next_poll = now;
        }
        // After a pause of the process, a proof that has expired meanwhile must be dropped before
        // anything else.
        self.report_freshness(now, actions);
        self.handle_message(now, message, actions);
        self.update_watch(rng, actions);
        self.poll_if_due(now, rng, actions);
        self.report_freshness(now, actions);
        let due = now + self.wake_delay(now);
        actions.extend(self.alarm.arm(now, due).map(Action::Wake));
    }

    fn handle_message(&mut self, now: Duration, message: Message, actions: &mut Vec<Action>) {
        match message {
            Message::Stored(value) => self.handle_stored(now, value, actions),
            Message::Watched(Some(value)) => {
                self.learn(&value, "watch", actions);
            }
            Message::StoreDown => self.handle_store_down(actions),
            Message::PeerValue { node, value } => {
                self.fetch = None;
                self.peer_seen = true;
                self.learn(&value, &node, actions);
            }
            Message::PeerVersion { node, version } => self.fetch_newer(now, node, version, actions),
            Message::Proved { version, at } => {
                self.peer_seen = true;
                if version <= self.version() {
                    self.record_proof(now, at, actions);
                }
            }
            Message::Agreed { version, at } => self.handle_majority(version, at, actions),
            Message::Nodes { known, .. } => self.known = known.max(1),
            Message::Confident(false) => self.agreed = None,
            Message::Wake => self.alarm.fired(now),
            Message::Confident(true) | Message::Watched(None) => {}
        }
    }

    fn handle_stored(&mut self, now: Duration, value: Option<Vec<u8>>, actions: &mut Vec<Action>) {
        let requested = self.poll_requested.take();
        let date = if self.settings.date_by_request { requested } else { Some(now) };
        let comparison = match &value {
            Some(value) => self.learn(value, "store", actions),
            None if self.in_force.is_none() => Comparison::Current,
            None => Comparison::Behind(0),
        };
        let store = match comparison {
            Comparison::Current => Store::Current,
            Comparison::Behind(_) | Comparison::Unusable => Store::Unusable,
        };
        if let Comparison::Behind(version) = comparison
            && self.store != Store::Unusable
        {
            let event = Event::new(&event::STORE_BEHIND)
                .with("preset", self.version())
                .with("stored", version);
            actions.push(Action::Log(event));
        }
        self.set_store(store, actions);
        if let (Store::Current, Some(date)) = (store, date) {
            self.record_proof(now, date, actions);
        }
    }

    fn handle_store_down(&mut self, actions: &mut Vec<Action>) {
        self.poll_requested = None;
        self.set_store(Store::Down, actions);
    }

    fn set_store(&mut self, store: Store, actions: &mut Vec<Action>) {
        let answers = |store| store != Store::Down;
        if answers(self.store) != answers(store) {
            let event = Event::new(&event::STORE).with("answers", answers(store));
            actions.push(Action::Log(event));
        }
        self.store = store;
    }

    /// Compares a stored value from any source with the preset in force, and applies it when its
    /// version is higher.
    fn learn(&mut self, value: &[u8], from: &str, actions: &mut Vec<Action>) -> Comparison {
        if self.in_force.as_ref().is_some_and(|(_, own)| **own == *value) {
            return Comparison::Current;
        }
        let preset = match Stored::decode(value) {
            Ok(stored) => stored.preset,
            Err(report) => {
                let event = Event::new(&event::REFUSED)
                    .with("from", from)
                    .with("reason", report.current_context());
                actions.push(Action::Log(event));
                return Comparison::Unusable;
            }
        };
        let version = preset.version;
        if self.settings.monotonic && version < self.version() {
            return Comparison::Behind(version);
        }
        if version == self.version() {
            let event = Event::new(&event::DIVERGED).with("preset", version).with("from", from);
            actions.push(Action::Log(event));
            return Comparison::Unusable;
        }
        self.apply(preset, value, from, actions);
        Comparison::Current
    }

    fn apply(&mut self, preset: Preset, value: &[u8], from: &str, actions: &mut Vec<Action>) {
        debug_assert!(!self.settings.monotonic || preset.version > self.version());
        let event = Event::new(&event::IN_FORCE)
            .with("preset", preset.version)
            .with("change", &preset.change)
            .with("from", from);
        actions.push(Action::Log(event));
        let preset = Arc::new(preset);
        let value: Arc<[u8]> = value.into();
        self.in_force = Some((Arc::clone(&preset), Arc::clone(&value)));
        actions.push(Action::InForce { preset, value });
    }

    /// Requests the value of another node when its version is higher than this node's.
    fn fetch_newer(
        &mut self,
        now: Duration,
        node: NodeName,
        version: Version,
        actions: &mut Vec<Action>,
    ) {
        self.peer_seen |= version <= self.version();
        if version <= self.version() {
            return;
        }
        let pending = self.fetch.as_ref().is_some_and(|(_, requested, since)| {
            *requested >= version && now < *since + self.settings.fetch_timeout
        });
        if pending {
            return;
        }
        self.fetch = Some((node.clone(), version, now));
        actions.push(Action::Fetch(node));
    }

    /// Records a proof of freshness. Ignores expired ones, also as evidence for other nodes during
    /// an outage: a restarted node could otherwise confirm the version of a node that is behind.
    fn record_proof(&mut self, now: Duration, at: Duration, actions: &mut Vec<Action>) {
        if now > at + self.settings.freshness {
            return;
        }
        if self.proof.is_none_or(|proof| proof < at) {
            self.proof = Some(at);
            actions.push(Action::Proof(Some(at)));
        }
    }

    /// Records that a majority has no higher version in force. While the store cannot prove
    /// freshness, this does, because no version is accepted before a majority has it in force (see
    /// docs/design/presets.md).
    fn handle_majority(&mut self, version: Version, at: Duration, actions: &mut Vec<Action>) {
        self.peer_seen = true;
        if self.in_force.is_none() || version > self.version() {
            return;
        }
        let first = self.proof.is_none() && self.agreed.is_none();
        self.agreed = self.agreed.max(Some(at));
        if first {
            actions.push(Action::Proof(None));
        }
    }

    /// Returns the time at which the node's freshness expires; `None` without a proof.
    fn expiry(&self) -> Option<Duration> {
        let agreed = match self.store {
            Store::Down | Store::Unusable => self.agreed,
            Store::Unknown | Store::Current => None,
        };
        self.proof.max(agreed).map(|at| at + self.settings.freshness)
    }

    fn update_watch(&mut self, rng: &mut SmallRng, actions: &mut Vec<Action>) {
        let watch_draw = *self.watch_draw.get_or_insert_with(|| rng.random());
        let watching = watch_draw < self.settings.mean_watches / f64::from(self.known);
        if watching != self.watching {
            self.watching = watching;
            actions.push(Action::Watch(watching));
        }
    }

    fn poll_if_due(&mut self, now: Duration, rng: &mut SmallRng, actions: &mut Vec<Action>) {
        if now < self.next_poll || self.poll_requested.is_some() {
            return;
        }
        self.poll_requested = Some(now);
        actions.push(Action::Poll);
        // With more nodes, each polls less often, so that the load of the store does not increase.
        let period = f64::from(self.known) / self.settings.max_poll_rate;
        let period = self.settings.poll_interval.max(Duration::from_secs_f64(period));
        self.next_poll = now + period.mul_f64(rng.random_range(0.5..1.5));
    }

    fn report_freshness(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let fresh = self.fresh(now);
        if fresh == self.fresh {
            return;
        }
        self.fresh = fresh;
        let kind = if fresh { &event::FRESH } else { &event::STALE };
        let event = Event::new(kind).with("preset", self.version()).with("reason", self.reason());
        actions.push(Action::Log(event));
        actions.push(Action::Fresh(fresh));
    }

    fn reason(&self) -> SmolStr {
        let reason = match (self.store, self.proof >= self.agreed) {
            (Store::Down, false) => "majority agrees, store down",
            (Store::Unusable, false) => "majority agrees, store behind",
            (Store::Down, true) => "store down",
            (Store::Unusable, true) => "store behind",
            (Store::Unknown | Store::Current, _) => "store or other nodes",
        };
        reason.into()
    }

    /// Returns the time until the next poll, the expiry of the freshness, or the end of the wait
    /// after the start.
    fn wake_delay(&self, now: Duration) -> Duration {
        let poll = if self.poll_requested.is_some() { None } else { Some(self.next_poll) };
        let expiry = if self.fresh { self.expiry() } else { None };
        let settled = self.started.map(|started| started + self.settings.startup_wait);
        let settled = settled.filter(|at| *at > now);
        let next = [poll, expiry, settled].into_iter().flatten().min();
        let wait = next.map_or(self.settings.poll_interval, |next| next.saturating_sub(now));
        // A proof is still valid at the very time of its expiry, so the wake-up must come later.
        wait.max(Duration::from_millis(1))
    }
}

/// Result of comparing a value with the preset in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Comparison {
    /// The value is the one in force, or has just been put in force.
    Current,
    /// The value has a lower version.
    Behind(Version),
    /// The value is invalid, or has the version in force but other content.
    Unusable,
}
