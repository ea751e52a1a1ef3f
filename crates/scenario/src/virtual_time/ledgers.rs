//! Simulation of the ledgers of several nodes that share a store.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use datadriven::TestCase;
use fleet::RequestId;
use ledger::{
    Action, Key, Ledger, Message, Outcome, Reply, Settings, StoreResult, Verdict, Weakness,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::{SmolStr, format_smolstr};

use super::store::{CALL_TIME, FakeStore, WriteResult};
use super::timeline::{NodeIndex, Timeline};
use crate::{Error, argument};

/// Simulated ledgers with their store and clock.
pub(super) struct Ledgers {
    names: Vec<SmolStr>,
    ledgers: Vec<Ledger>,
    pub(super) store: FakeStore,
    timeline: Timeline<Message>,
    rng: SmallRng,
    /// Key of each claim, by request.
    keys: BTreeMap<RequestId, SmolStr>,
    /// Requests with the verdict to run, by key.
    runs: BTreeMap<SmolStr, Vec<RequestId>>,
    output: String,
}

impl Ledgers {
    /// Creates the simulation of a `ledger` directive.
    pub(super) fn new(case: &mut TestCase) -> Result<Self, Error> {
        let count: usize = argument::or_default(case, "nodes", 3)?;
        let seed: u64 = argument::or_default(case, "seed", 1)?;
        let weakness = parse_weakness(&argument::or_default(case, "weakness", "none".to_owned())?)?;
        let names: Vec<SmolStr> = (1..=count).map(|number| format_smolstr!("n{number}")).collect();
        let settings = |(name, life): (&SmolStr, u64)| {
            Settings::builder(name, life).weakness(weakness).build()
        };
        let ledgers = names.iter().zip(1..).map(settings).map(Ledger::new).collect();
        let mut simulation = Self {
            names,
            ledgers,
            store: FakeStore::default(),
            timeline: Timeline::new(),
            rng: SmallRng::seed_from_u64(seed),
            keys: BTreeMap::new(),
            runs: BTreeMap::new(),
            output: String::new(),
        };
        for node in 0..count {
            simulation.step(node, Message::Nodes(simulation.names.clone()))?;
        }
        Ok(simulation)
    }

    /// Runs one directive and returns its output.
    pub(super) fn run_directive(&mut self, case: &mut TestCase) -> Result<String, Error> {
        match case.directive.as_str() {
            "claim" => self.claim(case)?,
            "settle" => self.settle(case)?,
            "advance" => self.advance(Duration::from_millis(case.take_arg("ms")?))?,
            "pause" => {
                let node = self.node(case)?;
                self.timeline.set_paused(node, true);
            }
            "resume" => {
                let node = self.node(case)?;
                self.timeline.set_paused(node, false);
            }
            "lost" => {
                let node = self.node(case)?;
                self.timeline.mark_lost(node);
            }
            "records" => self.list_runs()?,
            other => return Err(Error::unknown("directive", other)),
        }
        Ok(std::mem::take(&mut self.output))
    }

    fn node(&self, case: &mut TestCase) -> Result<NodeIndex, Error> {
        let name: SmolStr = case.take_arg("node")?;
        let found = self.names.iter().position(|other| *other == name);
        found.ok_or_else(|| Error::unknown("node", &name))
    }

    fn key(case: &mut TestCase) -> Result<Key, Error> {
        let text = case.take_arg("key")?;
        Ok(Key { organisation: "cascade".into(), service: "booking".into(), text })
    }

    fn claim(&mut self, case: &mut TestCase) -> Result<(), Error> {
        let node = self.node(case)?;
        let key = Self::key(case)?;
        let request = case.take_arg("request")?;
        let body: String = argument::or_default(case, "body", "house".to_owned())?;
        let digest = body.bytes().fold(0, |sum: u64, byte| sum.wrapping_mul(31) + u64::from(byte));
        self.keys.insert(request, key.text.clone());
        self.timeline.schedule(Duration::ZERO, node, Message::Claim { request, key, digest });
        self.advance(Duration::ZERO)
    }

    fn settle(&mut self, case: &mut TestCase) -> Result<(), Error> {
        let node = self.node(case)?;
        let key = Self::key(case)?;
        let request = case.take_arg("request")?;
        let answer: Option<String> = case.try_take_arg("answer")?;
        let outcome = match answer {
            Some(body) => Outcome::Answer {
                status: 200,
                content_type: "text/plain".into(),
                body: body.into_bytes(),
            },
            None if case.take_flag("not-run")? => Outcome::NotRun,
            None if case.take_flag("unknown")? => Outcome::Unknown,
            None => return Err(Error::script("settle needs answer=, not-run or unknown")),
        };
        let message = Message::Settle { key, request, outcome };
        self.timeline.schedule(Duration::ZERO, node, message);
        self.advance(Duration::ZERO)
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
        self.ledgers[node].step(now, message, &mut self.rng, &mut actions);
        for action in actions {
            self.perform(node, action)?;
        }
        Ok(())
    }

    fn perform(&mut self, node: NodeIndex, action: Action) -> Result<(), Error> {
        let now = self.timeline.now;
        let reply = match action {
            Action::Read { ticket, shard } => {
                let result = match self.store.read(now, &ledger::store_key(shard)) {
                    None => StoreResult::Down,
                    Some(None) => StoreResult::Value { revision: 0, value: Vec::new() },
                    Some(Some(entry)) => StoreResult::Value {
                        revision: u64::try_from(entry.modified).unwrap_or_default(),
                        value: entry.value,
                    },
                };
                Reply { ticket, result }
            }
            Action::Write { ticket, shard, revision, value } => {
                let key = ledger::store_key(shard);
                let result = match self.store.write(now, &key, revision, value) {
                    WriteResult::At(revision) => StoreResult::Written { revision },
                    WriteResult::Conflict => StoreResult::Conflict,
                    WriteResult::Lost => StoreResult::Lost,
                    WriteResult::Down => StoreResult::Down,
                };
                Reply { ticket, result }
            }
            Action::Verdict { request, verdict } => return self.verdict(node, request, &verdict),
            Action::Settled { request, kept } => {
                let kept = if kept { "kept" } else { "not kept yet" };
                return self.report(node, request, &format!("outcome {kept}"));
            }
            Action::Wake(delay) => {
                self.timeline.schedule(delay, node, Message::Wake);
                return Ok(());
            }
            Action::Log(_) => return Ok(()),
        };
        self.timeline.schedule(CALL_TIME, node, Message::Store(reply));
        Ok(())
    }

    /// Records and reports the verdict on a request.
    fn verdict(
        &mut self,
        node: NodeIndex,
        request: RequestId,
        verdict: &Verdict,
    ) -> Result<(), Error> {
        let text = match verdict {
            Verdict::Run { .. } => {
                let key = self.keys.get(&request).cloned().unwrap_or_default();
                self.runs.entry(key).or_default().push(request);
                "run".to_owned()
            }
            Verdict::Replay(Outcome::Answer { body, .. }) => {
                format!("replay {}", String::from_utf8_lossy(body))
            }
            Verdict::Replay(other) => format!("replay {other:?}").to_lowercase(),
            Verdict::Unknown => "unknown".to_owned(),
            Verdict::Mismatch => "mismatch".to_owned(),
            Verdict::Down { never_ran: true, .. } => "down, never ran".to_owned(),
            Verdict::Down { never_ran: false, .. } => "down, this sending not run".to_owned(),
            Verdict::Full { .. } => "full".to_owned(),
        };
        self.report(node, request, &text)
    }

    fn report(&mut self, node: NodeIndex, request: RequestId, text: &str) -> Result<(), Error> {
        let (now, name) = (self.timeline.now.as_millis(), &self.names[node]);
        writeln!(self.output, "{now} ms {name} request {request}: {text}")
            .map_err(Error::environment)
    }

    fn list_runs(&mut self) -> Result<(), Error> {
        for (key, requests) in &self.runs {
            writeln!(self.output, "{key}: told to run {} time(s)", requests.len())
                .map_err(Error::environment)?;
        }
        Ok(())
    }
}

fn parse_weakness(name: &str) -> Result<Weakness, Error> {
    Ok(match name {
        "none" => Weakness::None,
        "lost-is-written" => Weakness::LostIsWritten,
        "lost-is-failed" => Weakness::LostIsFailed,
        "no-bump" => Weakness::NoBump,
        "any-holder" => Weakness::AnyHolder,
        other => return Err(Error::unknown("weakness", other)),
    })
}
