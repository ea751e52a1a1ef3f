//! Simulation of the preset followers of several nodes that share a store.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use datadriven::TestCase;
use fleet::Version;
use preset::{Action, Follower, Message, Organisation, Preset, Settings, Stored};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::{SmolStr, format_smolstr};
use standin::platform::Outage;

use super::store::{CALL_TIME, FakeStore, WriteResult};
use super::timeline::{NodeIndex, Timeline};
use crate::{Error, argument};

/// Key of the preset in the store.
const KEY: &str = node::shell::PRESET_KEY;

/// Simulated preset followers with their store and clock.
pub(super) struct Presets {
    names: Vec<SmolStr>,
    followers: Vec<Follower>,
    /// Whether a node watches the preset key, by node.
    watching: Vec<bool>,
    /// Whether answers of the store are kept from a node, by node.
    cut_off: Vec<bool>,
    pub(super) store: FakeStore,
    timeline: Timeline<Message>,
    rng: SmallRng,
    output: String,
}

impl Presets {
    /// Creates the simulation of a `preset` directive.
    pub(super) fn new(case: &mut TestCase) -> Result<Self, Error> {
        let count: usize = argument::or_default(case, "nodes", 3)?;
        let seed: u64 = argument::or_default(case, "seed", 1)?;
        let monotonic = !case.take_flag("monotonic-off")?;
        let follower = |_| Follower::new(Settings::builder().monotonic(monotonic).build());
        let mut simulation = Self {
            names: (1..=count).map(|number| format_smolstr!("n{number}")).collect(),
            followers: (0..count).map(follower).collect(),
            watching: vec![false; count],
            cut_off: vec![false; count],
            store: FakeStore::default(),
            timeline: Timeline::new(),
            rng: SmallRng::seed_from_u64(seed),
            output: String::new(),
        };
        let known = u32::try_from(count).map_err(Error::script)?;
        for node in 0..count {
            simulation.step(node, Message::Nodes { alive: known, known })?;
            simulation.step(node, Message::Confident(true))?;
        }
        Ok(simulation)
    }

    /// Runs one directive and returns its output.
    pub(super) fn run_directive(&mut self, case: &mut TestCase) -> Result<String, Error> {
        match case.directive.as_str() {
            "put" => self.put(case.take_arg("version")?),
            "restore" => self.restore(case.take_arg("version")?),
            "tell" => self.send_version(case)?,
            "advance" => self.advance(Duration::from_millis(case.take_arg("ms")?))?,
            "pause" => {
                let node = self.node(case, "node")?;
                self.timeline.set_paused(node, true);
            }
            "resume" => {
                let node = self.node(case, "node")?;
                self.timeline.set_paused(node, false);
            }
            "cut-off" => {
                let node = self.node(case, "node")?;
                self.cut_off[node] = true;
            }
            "lost" => {
                let node = self.node(case, "node")?;
                self.timeline.mark_lost(node);
            }
            "versions" => self.list_versions()?,
            other => return Err(Error::unknown("directive", other)),
        }
        Ok(std::mem::take(&mut self.output))
    }

    fn node(&self, case: &mut TestCase, argument: &str) -> Result<NodeIndex, Error> {
        let name: SmolStr = case.take_arg(argument)?;
        let found = self.names.iter().position(|other| *other == name);
        found.ok_or_else(|| Error::unknown("node", &name))
    }

    /// Writes a version as an operator's command does, and notifies the nodes that watch.
    fn put(&mut self, version: Version) {
        let now = self.timeline.now;
        let entry = self.store.read(now, KEY).flatten();
        let revision = entry.map_or(0, |entry| u64::try_from(entry.modified).unwrap_or_default());
        let written = self.store.write(now, KEY, revision, encode_preset(version));
        let text = if matches!(written, WriteResult::At(_)) { "accepted" } else { "not accepted" };
        self.output += &format!("version {version} {text}\n");
        self.notify_watches(version);
    }

    /// Writes an old version to the store, as a restore from a backup does.
    fn restore(&mut self, version: Version) {
        self.put(version);
    }

    fn notify_watches(&mut self, version: Version) {
        if self.store.outage != Outage::Off {
            return;
        }
        for node in 0..self.names.len() {
            if self.watching[node] && !self.cut_off[node] {
                let message = Message::Watched(Some(encode_preset(version)));
                self.timeline.schedule(CALL_TIME, node, message);
            }
        }
    }

    fn send_version(&mut self, case: &mut TestCase) -> Result<(), Error> {
        let from = self.node(case, "from")?;
        let to = self.node(case, "to")?;
        let version = self.followers[from].version();
        let message = Message::PeerVersion { node: self.names[from].clone(), version };
        self.timeline.schedule(CALL_TIME, to, message);
        Ok(())
    }

    fn advance(&mut self, time: Duration) -> Result<(), Error> {
        let end = self.timeline.now + time;
        while let Some((node, message)) = self.timeline.next_due(end) {
            self.step(node, message)?;
        }
        self.timeline.now = end.max(self.timeline.now);
        Ok(())
    }

    fn step(&mut self, node: NodeIndex, message: Message) -> Result<(), Error> {
        let mut actions = Vec::new();
        let now = self.timeline.now;
        self.followers[node].step(now, message, &mut self.rng, &mut actions);
        for action in actions {
            self.perform(node, action)?;
        }
        Ok(())
    }

    fn perform(&mut self, node: NodeIndex, action: Action) -> Result<(), Error> {
        let now = self.timeline.now;
        match action {
            Action::InForce { preset, .. } => {
                let (at, name) = (now.as_millis(), &self.names[node]);
                writeln!(self.output, "{at} ms {name}: version {} in force", preset.version)
                    .map_err(Error::environment)?;
            }
            Action::Watch(watching) => self.watching[node] = watching,
            Action::Poll => {
                let message = match self.store.read(now, KEY) {
                    Some(entry) if !self.cut_off[node] => {
                        Message::Stored(entry.map(|entry| entry.value))
                    }
                    _ => Message::StoreDown,
                };
                self.timeline.schedule(CALL_TIME, node, message);
            }
            Action::Fetch(other) => self.send_value(node, &other),
            Action::Wake(delay) => self.timeline.schedule(delay, node, Message::Wake),
            Action::Fresh(_) | Action::Proof(_) | Action::Log(_) => {}
        }
        Ok(())
    }

    /// Sends `node` the value that node `other` has in force. Sends nothing if `other` is unknown
    /// or lost, or has none.
    fn send_value(&mut self, node: NodeIndex, other: &SmolStr) {
        let Some(index) = self.names.iter().position(|name| name == other) else {
            return;
        };
        if self.timeline.is_lost(index) {
            return;
        }
        let value = self.followers[index].in_force().map(|(_, value)| Arc::clone(value));
        if let Some(value) = value {
            let message = Message::PeerValue { node: other.clone(), value: value.to_vec() };
            self.timeline.schedule(CALL_TIME, node, message);
        }
    }

    fn list_versions(&mut self) -> Result<(), Error> {
        let now = self.timeline.now;
        for (node, name) in self.names.iter().enumerate() {
            let follower = &self.followers[node];
            let work = if self.timeline.is_lost(node) {
                "lost"
            } else if follower.fresh(now) {
                "takes work"
            } else {
                "takes no work"
            };
            writeln!(self.output, "{name}: version {}, {work}", follower.version())
                .map_err(Error::environment)?;
        }
        Ok(())
    }
}

fn encode_preset(version: Version) -> Vec<u8> {
    let document = Preset {
        version: 0,
        change: SmolStr::default(),
        name: format_smolstr!("preset-{version}"),
        queue: 100,
        wait: Duration::from_secs(30),
        retry_share: 0.2,
        attempts: 4,
        quarantine: Duration::from_secs(60),
        organisations: vec![Organisation { name: "cascade".into(), weight: 1.0, keys: Vec::new() }],
        links: Vec::new(),
    };
    Stored::following(None, &document, &format_smolstr!("change-{version}"), version).encode()
}
