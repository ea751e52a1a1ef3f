//! The composition as a library: one node in virtual time, without any shell.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fleet::{OrganisationName, Shape};
use ledger::{Reply, StoreResult};
use node::{Action, Answer, Arrival, Config, End, Message, Node, Reason, Request};
use serde_json::Value;
use yare::parameterized;

const STEP: Duration = Duration::from_millis(10);

/// A node with a store and a platform's list that answer at once.
struct World {
    node: Node,
    now: Duration,
    shards: BTreeMap<u32, (u64, Vec<u8>)>,
    preset: Option<Vec<u8>>,
    store_up: bool,
    dispatched: Vec<route::Dispatch>,
    ends: Vec<(u128, End)>,
}

impl World {
    fn new(vms: Vec<Value>) -> Self {
        let name = "n1";
        let address = ([127, 0, 0, 1], 7001).into();
        let config = Config {
            name: name.into(),
            seed: 7,
            limit: limit::Builder::new(name).build(),
            route: route::Settings::default(),
            ledger: ledger::Settings::builder(name, 1).build(),
            member: member::Settings::builder(name.into(), address, 1).build(),
            order: order::Settings::builder().build(),
            preset: preset::Settings::default(),
        };
        let value = preset::Stored::following(None, &common::preset("ordinary"), &"c".into(), 1);
        let mut world = Self {
            node: Node::new(config),
            now: Duration::ZERO,
            shards: BTreeMap::new(),
            preset: Some(value.encode()),
            store_up: true,
            dispatched: Vec::new(),
            ends: Vec::new(),
        };
        world.send(Message::Preset(preset::Message::Wake));
        let vms = vms.into_iter().map(|vm| serde_json::from_value(vm).expect("vm")).collect();
        world.send(Message::Member(member::Message::Listed(vms)));
        world.pass(Duration::from_secs(3));
        world
    }

    fn send(&mut self, message: Message) {
        let mut messages = VecDeque::from([message]);
        while let Some(message) = messages.pop_front() {
            let actions = self.node.step(self.now, message);
            messages.extend(actions.into_iter().filter_map(|action| self.act(action)));
        }
    }

    /// Lets time pass in steps.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let actions = self.node.tick(self.now);
            for action in actions {
                if let Some(message) = self.act(action) {
                    self.send(message);
                }
            }
        }
    }

    fn act(&mut self, action: Action) -> Option<Message> {
        let down = !self.store_up;
        let reply = |ticket, result| {
            Some(Message::Ledger(ledger::Message::Store(Reply { ticket, result })))
        };
        match action {
            Action::Read { ticket, .. } | Action::Write { ticket, .. } if down => {
                reply(ticket, StoreResult::Down)
            }
            Action::Read { ticket, shard } => {
                let (revision, value) = self.shards.get(&shard).cloned().unwrap_or_default();
                reply(ticket, StoreResult::Value { revision, value })
            }
            Action::Write { ticket, shard, revision, value } => {
                let held = self.shards.get(&shard).map_or(0, |(revision, _)| *revision);
                if held != revision {
                    return reply(ticket, StoreResult::Conflict);
                }
                self.shards.insert(shard, (held + 1, value));
                reply(ticket, StoreResult::Written { revision: held + 1 })
            }
            Action::ReadPreset if down => Some(Message::Preset(preset::Message::StoreDown)),
            Action::ReadPreset => {
                Some(Message::Preset(preset::Message::Stored(self.preset.clone())))
            }
            Action::Dispatch { dispatch, .. } => {
                self.dispatched.push(dispatch);
                None
            }
            Action::Finish { request, end } => {
                self.ends.push((request, end));
                None
            }
            _ => None,
        }
    }

    fn arrive(&mut self, id: u128, service: &str, key: Option<&str>) {
        let organisation = OrganisationName::from("cascade");
        let claim = key.map(|key| {
            let key = ledger::Key {
                organisation: organisation.clone(),
                service: service.into(),
                text: key.into(),
            };
            (key, 9)
        });
        let request = fleet::Request {
            id,
            organisation,
            service: service.into(),
            shape: Shape { prompt_tokens: 4, max_tokens: 8, stream: true },
            fingerprint: 3,
            idempotent: claim.is_none(),
        };
        let arrival = Arrival { request, prefixes: Vec::new(), claim };
        self.send(Message::Request(Request::Arrive(arrival)));
    }

    fn ended(&mut self, request: u128, ending: route::Ending, answer: Option<Answer>) {
        let attempt = self.dispatched.last().map_or(0, |dispatch| dispatch.attempt);
        let ended = Request::Ended { request, attempt, next: 4, ending, answer };
        self.send(Message::Request(ended));
    }

    fn end(&self, request: u128) -> Option<&End> {
        self.ends.iter().find(|(id, _)| *id == request).map(|(_, end)| end)
    }
}

fn address(port: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn world() -> World {
    World::new(vec![
        common::engine("e1", address(9001), [0, 4], 8),
        common::engine("e2", address(9002), [4, 8], 8),
        common::service("b1", address(9003), "booking", false),
        common::service("b2", address(9004), "booking", false),
    ])
}

fn booked() -> Answer {
    Answer { status: 200, content_type: "text/plain".into(), body: b"booked".to_vec() }
}

#[test]
fn a_model_request_passes_from_arrival_to_its_end() {
    let mut world = world();
    world.arrive(1, "plank", None);
    assert_eq!(world.dispatched.len(), 1);
    assert_eq!(world.dispatched[0].plan.verify(8), Ok(()));
    world.ended(1, route::Ending::Complete, None);
    assert_eq!(world.end(1), Some(&End::Complete));
}

#[test]
fn a_booking_is_claimed_before_it_is_sent_and_kept_before_it_is_told() {
    let mut world = world();
    world.arrive(1, "booking", Some("k"));
    assert!(!world.shards.is_empty(), "the claim is in the store");
    assert_eq!(world.dispatched.len(), 1);
    let claimed = world.shards.clone();
    world.ended(1, route::Ending::Complete, Some(booked()));
    assert_ne!(world.shards, claimed, "the outcome is in the store");
    assert_eq!(world.end(1), Some(&End::Complete));
    world.arrive(2, "booking", Some("k"));
    assert_eq!(world.end(2), Some(&End::Stored(booked())));
    assert_eq!(world.dispatched.len(), 1);
}

/// A node that takes nothing new still answers a repeat of a call that ran, and says of a new
/// call that it did not run only after its claim is undone.
#[test]
fn a_closing_node_asks_the_ledger_before_it_refuses() {
    let mut world = world();
    world.arrive(1, "booking", Some("k"));
    world.ended(1, route::Ending::Complete, Some(booked()));
    world.node.drain(world.now);
    world.arrive(2, "booking", Some("k"));
    assert_eq!(world.end(2), Some(&End::Stored(booked())));
    world.arrive(3, "booking", Some("other"));
    let refused = world.end(3).expect("an end");
    assert!(matches!(refused, End::NotRun { reason: Reason::Closing, .. }), "{refused:?}");
    assert_eq!(world.dispatched.len(), 1);
}

#[parameterized(
    in_time = { false },
    after_a_pause = { true },
)]
fn a_claim_whose_time_is_over_is_not_sent(paused: bool) {
    let mut world = world();
    world.arrive(1, "booking", Some("k"));
    let target = world.dispatched[0].plan.stages[0].target.clone();
    if paused {
        // Between the claim and the attempt that follows a refusal.
        world.now += Duration::from_secs(60);
    }
    let refused = route::Ending::Refused { target, leaving: false, retry_after: None };
    world.ended(1, refused, None);
    world.pass(Duration::from_secs(5));
    assert_eq!(world.dispatched.len(), if paused { 1 } else { 2 });
    let expired = End::NotRun { reason: Reason::ClaimExpired, retry_after: Duration::from_secs(1) };
    assert_eq!(world.end(1), paused.then_some(&expired));
}

#[test]
fn a_node_without_proof_of_its_configuration_refuses_at_once() {
    let mut world = world();
    world.store_up = false;
    world.pass(Duration::from_secs(10));
    world.arrive(1, "plank", None);
    let refused = world.end(1).expect("an end at once");
    assert!(matches!(refused, End::NotRun { reason: Reason::Stale, .. }), "{refused:?}");
    // After a pause the proof has expired before the first request is taken.
    world.store_up = true;
    world.pass(Duration::from_secs(3));
    world.now += Duration::from_secs(60);
    world.arrive(2, "plank", None);
    assert!(matches!(world.end(2), Some(End::NotRun { .. })), "{:?}", world.end(2));
}

#[test]
fn a_caller_that_leaves_before_its_claim_is_decided_leaves_nothing_behind() {
    let mut world = world();
    world.store_up = false;
    world.arrive(1, "booking", Some("k"));
    world.send(Message::Request(Request::CallerDisconnected(1)));
    world.store_up = true;
    world.pass(Duration::from_secs(5));
    assert!(world.end(1).is_some());
    assert!(world.dispatched.is_empty());
    world.arrive(2, "booking", Some("k"));
    assert_eq!(world.dispatched.len(), 1, "the key is free");
}
