//! The node's side: a state machine without clock, thread or socket.

use std::sync::Arc;
use std::time::Duration;

use fleet::{Event, NodeName, Timer, Version};
use rand::RngExt;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use crate::{Action, Message, Preset, Settings, Stored, event};

/// Decides which preset is in force in this node, and whether the node may take new work.
#[derive(Clone, Debug)]
pub struct Follower {
    settings: Settings,
    in_force: Option<(Arc<Preset>, Arc<[u8]>)>,
    started: Option<Duration>,
    /// When the poll without an answer was asked for.
    polled: Option<Duration>,
    next_poll: Duration,
    store: Store,
    /// Latest time for which the store's version is known not to be above this node's.
    proof: Option<Duration>,
    /// Latest time for which a majority is known to agree with this node.
    agreed: Option<Duration>,
    /// Whether another node has been heard since the start.
    met: bool,
    known: u32,
    /// This node's draw in [0, 1) that decides whether it is one of those that watch.
    draw: Option<f64>,
    watching: bool,
    asked: Option<(NodeName, Version, Duration)>,
    fresh: bool,
    alarm: Timer,
}

/// What the last poll showed of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Store {
    Unknown,
    Current,
    Down,
    /// It answers with something that cannot prove freshness.
    Odd,
}

impl Follower {
    /// Makes the service.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            in_force: None,
            started: None,
            polled: None,
            next_poll: Duration::ZERO,
            store: Store::Unknown,
            proof: None,
            agreed: None,
            met: false,
            known: 1,
            draw: None,
            watching: false,
            asked: None,
            fresh: false,
            alarm: Timer::default(),
        }
    }

    /// The preset in force and the stored value that holds it.
    pub fn in_force(&self) -> Option<(&Arc<Preset>, &Arc<[u8]>)> {
        self.in_force.as_ref().map(|(preset, value)| (preset, value))
    }

    /// The version in force; 0 for none.
    pub fn version(&self) -> Version {
        self.in_force.as_ref().map_or(0, |(preset, _)| preset.version)
    }

    /// Whether new work may be taken at `now`. Correct also between the end of a pause and
    /// the next step, so callers ask it for each request.
    pub fn fresh(&self, now: Duration) -> bool {
        let Some(started) = self.started else { return false };
        let settled = self.met || now >= started + self.settings.startup_wait;
        self.in_force.is_some() && settled && self.expiry().is_some_and(|expiry| now <= expiry)
    }

    /// Handles one message at `now` and appends the actions that it asks for.
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
        // After a pause nothing may be done on the strength of a proof that has expired.
        self.report(now, actions);
        self.handle(now, message, actions);
        self.watch(rng, actions);
        self.poll(now, rng, actions);
        self.report(now, actions);
        let due = now + self.wait(now);
        actions.extend(self.alarm.arm(now, due).map(Action::Wake));
    }

    fn handle(&mut self, now: Duration, message: Message, actions: &mut Vec<Action>) {
        match message {
            Message::Stored(value) => self.stored(now, value, actions),
            Message::Watched(Some(value)) => {
                self.learn(&value, "watch", actions);
            }
            Message::StoreDown => self.store_down(actions),
            Message::PeerValue { node, value } => {
                self.asked = None;
                self.met = true;
                self.learn(&value, &node, actions);
            }
            Message::PeerVersion { node, version } => self.told(now, node, version, actions),
            Message::Proved { version, at } => {
                self.met = true;
                if version <= self.version() {
                    self.prove(now, at, actions);
                }
            }
            Message::Agreed { version, at } => self.agree(version, at, actions),
            Message::Nodes { known, .. } => self.known = known.max(1),
            Message::Confident(false) => self.agreed = None,
            Message::Wake => self.alarm.fired(now),
            Message::Confident(true) | Message::Watched(None) => {}
        }
    }

    fn stored(&mut self, now: Duration, value: Option<Vec<u8>>, actions: &mut Vec<Action>) {
        let asked = self.polled.take();
        let date = if self.settings.date_by_request { asked } else { Some(now) };
        let found = match &value {
            Some(value) => self.learn(value, "store", actions),
            None if self.in_force.is_none() => Found::Current,
            None => Found::Behind(0),
        };
        let store = match found {
            Found::Current => Store::Current,
            Found::Behind(_) | Found::Odd => Store::Odd,
        };
        if let Found::Behind(version) = found
            && self.store != Store::Odd
        {
            let event = Event::new(&event::STORE_BEHIND)
                .with("preset", self.version())
                .with("stored", version);
            actions.push(Action::Log(event));
        }
        self.store_is(store, actions);
        if let (Store::Current, Some(date)) = (store, date) {
            self.prove(now, date, actions);
        }
    }

    fn store_down(&mut self, actions: &mut Vec<Action>) {
        self.polled = None;
        self.store_is(Store::Down, actions);
    }

    fn store_is(&mut self, store: Store, actions: &mut Vec<Action>) {
        let answers = |store| store != Store::Down;
        if answers(self.store) != answers(store) {
            let event = Event::new(&event::STORE).with("answers", answers(store));
            actions.push(Action::Log(event));
        }
        self.store = store;
    }

    /// Takes a stored value from wherever it comes, and puts it in force when it is higher.
    fn learn(&mut self, value: &[u8], from: &str, actions: &mut Vec<Action>) -> Found {
        if self.in_force.as_ref().is_some_and(|(_, own)| **own == *value) {
            return Found::Current;
        }
        let preset = match Stored::decode(value) {
            Ok(stored) => stored.preset,
            Err(report) => {
                let event = Event::new(&event::REFUSED)
                    .with("from", from)
                    .with("reason", report.current_context());
                actions.push(Action::Log(event));
                return Found::Odd;
            }
        };
        let version = preset.version;
        if self.settings.monotonic && version < self.version() {
            return Found::Behind(version);
        }
        if version == self.version() {
            let event = Event::new(&event::DIVERGED).with("preset", version).with("from", from);
            actions.push(Action::Log(event));
            return Found::Odd;
        }
        self.apply(preset, value, from, actions);
        Found::Current
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

    fn told(&mut self, now: Duration, node: NodeName, version: Version, actions: &mut Vec<Action>) {
        self.met |= version <= self.version();
        if version <= self.version() {
            return;
        }
        let waits = self.asked.as_ref().is_some_and(|(_, wanted, since)| {
            *wanted >= version && now < *since + self.settings.fetch_timeout
        });
        if waits {
            return;
        }
        self.asked = Some((node.clone(), version, now));
        actions.push(Action::Fetch(node));
    }

    /// An expired proof is no proof, also not for vouching in an outage: a node that has
    /// restarted would otherwise vouch for the version of one that is behind.
    fn prove(&mut self, now: Duration, at: Duration, actions: &mut Vec<Action>) {
        if now > at + self.settings.freshness {
            return;
        }
        if self.proof.is_none_or(|proof| proof < at) {
            self.proof = Some(at);
            actions.push(Action::Proof(Some(at)));
        }
    }

    /// While the store cannot prove anything, a majority that agrees can: nothing was
    /// accepted without a majority having it in force (see docs/design/presets.md).
    fn agree(&mut self, version: Version, at: Duration, actions: &mut Vec<Action>) {
        self.met = true;
        if self.in_force.is_none() || version > self.version() {
            return;
        }
        let first = self.proof.is_none() && self.agreed.is_none();
        self.agreed = self.agreed.max(Some(at));
        if first {
            actions.push(Action::Proof(None));
        }
    }

    fn expiry(&self) -> Option<Duration> {
        let agreed = match self.store {
            Store::Down | Store::Odd => self.agreed,
            Store::Unknown | Store::Current => None,
        };
        self.proof.max(agreed).map(|at| at + self.settings.freshness)
    }

    fn watch(&mut self, rng: &mut SmallRng, actions: &mut Vec<Action>) {
        let draw = *self.draw.get_or_insert_with(|| rng.random());
        let watching = draw < self.settings.mean_watches / f64::from(self.known);
        if watching != self.watching {
            self.watching = watching;
            actions.push(Action::Watch(watching));
        }
    }

    fn poll(&mut self, now: Duration, rng: &mut SmallRng, actions: &mut Vec<Action>) {
        if now < self.next_poll || self.polled.is_some() {
            return;
        }
        self.polled = Some(now);
        actions.push(Action::Poll);
        // With more nodes each polls less often, so that the store's load does not grow.
        let period = f64::from(self.known) / self.settings.max_poll_rate;
        let period = self.settings.poll_interval.max(Duration::from_secs_f64(period));
        self.next_poll = now + period.mul_f64(rng.random_range(0.5..1.5));
    }

    fn report(&mut self, now: Duration, actions: &mut Vec<Action>) {
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
            (Store::Odd, false) => "majority agrees, store behind",
            (Store::Down, true) => "store down",
            (Store::Odd, true) => "store behind",
            (Store::Unknown | Store::Current, _) => "store or other nodes",
        };
        reason.into()
    }

    fn wait(&self, now: Duration) -> Duration {
        let poll = if self.polled.is_some() { None } else { Some(self.next_poll) };
        let expiry = if self.fresh { self.expiry() } else { None };
        let settled = self.started.map(|started| started + self.settings.startup_wait);
        let settled = settled.filter(|at| *at > now);
        let next = [poll, expiry, settled].into_iter().flatten().min();
        let wait = next.map_or(self.settings.poll_interval, |next| next.saturating_sub(now));
        // An expiry at exactly `now` has not passed yet.
        wait.max(Duration::from_millis(1))
    }
}

/// What a value was, compared with the preset in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Found {
    /// The same, or put in force just now.
    Current,
    /// A lower version.
    Behind(Version),
    /// Nothing that can be used or compared.
    Odd,
}
