//! Helpers: a follower with its random generator, documents and stored values.

use std::time::Duration;

use preset::{Action, Change, Follower, Message, Organisation, Preset, Settings, Stored};
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(crate) fn document(name: &str) -> Preset {
    Preset {
        version: 0,
        change: Change::default(),
        name: name.into(),
        queue: 10,
        wait: ms(1_000),
        retry_share: 0.1,
        attempts: 3,
        quarantine: ms(600_000),
        organisations: vec![Organisation { name: "o".into(), weight: 1.0, keys: vec![] }],
        links: vec![],
    }
}

#[allow(dead_code)]
pub(crate) fn value(version: u64, change: &str) -> Vec<u8> {
    Stored::following(None, &document(change), &change.into(), version).encode()
}

#[derive(Clone)]
pub(crate) struct Node {
    pub(crate) follower: Follower,
    rng: SmallRng,
}

#[allow(dead_code)]
impl Node {
    pub(crate) fn new(settings: Settings) -> Self {
        Self::seeded(settings, 1)
    }

    pub(crate) fn seeded(settings: Settings, seed: u64) -> Self {
        Self { follower: Follower::new(settings), rng: SmallRng::seed_from_u64(seed) }
    }

    pub(crate) fn step(&mut self, now: u64, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        self.follower.step(ms(now), message, &mut self.rng, &mut actions);
        actions
    }

    /// Starts the node with a heartbeat from another node that has nothing in force.
    pub(crate) fn meet_peer(&mut self, now: u64) {
        self.step(now, Message::PeerVersion { node: "n2".into(), version: 0 });
    }

    /// Makes the node poll at `now` and answers the poll immediately.
    pub(crate) fn poll(&mut self, now: u64, value: Option<Vec<u8>>) -> Vec<Action> {
        let actions = self.step(now, Message::Wake);
        assert!(actions.contains(&Action::Poll), "{actions:?}");
        self.step(now, Message::Stored(value))
    }
}
