//! Drives the store operations of the service: begins them, and takes their results.

use std::time::Duration;

use fleet::Event;
use rand::RngExt;

use crate::entry::{Intent, Work};
use crate::event::{COMPACTED, FAILED, UNREADABLE};
use crate::lane::{Flight, Written};
use crate::plan::{Decision, Known, Plan, plan};
use crate::service::{Outage, Scope};
use crate::{Action, Ledger, Reply, Shard, ShardId, StoreResult, Ticket, Weakness};

/// First and longest wait after a failure of the store.
const BACKOFF_FIRST: Duration = Duration::from_millis(20);
const BACKOFF_MOST: Duration = Duration::from_millis(500);
/// Largest exponent of the back-off.
const BACKOFF_EXPONENT: u32 = 8;
/// Longest wait after the rate of calls was spent.
const LIMITED_WAIT: Duration = Duration::from_millis(10);

/// Age from which a value of a shard that other nodes write too is read anew before a write.
const CONTENDED_AGE: Duration = Duration::from_millis(2);

/// What is known of a write that has not succeeded.
#[derive(Clone, Copy, Debug)]
enum Landing {
    /// It did not take effect and never will.
    Failed,
    /// It may take effect while the shard has this revision.
    Unsure { revision: u64 },
}

impl Ledger {
    /// Takes the store's answer to an operation.
    pub(crate) fn reply(&mut self, reply: Reply, scope: &mut Scope<'_>) {
        let Some(shard) = self.tickets.remove(&reply.ticket) else { return };
        let Some(flight) = self.lanes[shard as usize].flight.take() else { return };
        debug_assert_eq!(flight.ticket, reply.ticket, "one operation at a time for each shard");
        match reply.result {
            StoreResult::Value { revision, value } => {
                self.land(shard, Landing::Failed);
                self.learn(shard, &flight, revision, &value, scope);
            }
            StoreResult::Written { revision } => self.written(shard, flight, revision, scope),
            StoreResult::Conflict => {
                self.land(shard, Landing::Failed);
                self.lanes[shard as usize].known = None;
            }
            StoreResult::Lost => self.lost(shard, &flight, scope),
            StoreResult::Down => {
                self.land(shard, Landing::Failed);
                self.failed(shard, "down", scope);
            }
            StoreResult::RateLimited => {
                self.land(shard, Landing::Failed);
                let wait = LIMITED_WAIT.mul_f64(scope.rng.random_range(0.3..=1.0));
                self.limited_until = scope.now + wait;
                self.window = 1;
            }
        }
    }

    /// Takes the work on a shard out of a write that has not succeeded.
    fn land(&mut self, shard: ShardId, landing: Landing) {
        for entry in &mut self.lanes[shard as usize].entries {
            let intent = entry.flight.take();
            if let (Some(Intent::Claim), Landing::Unsure { revision }) = (intent, landing) {
                entry.late = Some(revision);
            }
        }
    }

    fn learn(
        &mut self,
        shard: ShardId,
        flight: &Flight,
        revision: u64,
        value: &[u8],
        scope: &mut Scope<'_>,
    ) {
        let Ok(content) = Shard::decode(value) else {
            let event = Event::new(&UNREADABLE).with("shard", shard).with("revision", revision);
            scope.actions.push(Action::Log(event));
            self.lanes[shard as usize].known = None;
            self.failed(shard, "unreadable", scope);
            return;
        };
        self.outage = Outage::default();
        let anchor = (scope.now, content.clock);
        let fresh_at = flight.step;
        let learned_at = scope.now;
        let known = Known { revision, shard: content, fresh_at, learned_at, anchor };
        let lane = &mut self.lanes[shard as usize];
        lane.contended = lane.seen.is_some_and(|seen| seen != revision);
        lane.seen = Some(revision);
        lane.known = Some(known);
    }

    fn written(&mut self, shard: ShardId, flight: Flight, revision: u64, scope: &mut Scope<'_>) {
        self.outage = Outage::default();
        self.window = (self.window + 1).min(self.settings.concurrency);
        let Some(write) = flight.write else { return };
        let fresh_at = flight.step;
        let (learned_at, anchor) = (scope.now, write.anchor);
        let known = Known { revision, shard: write.shard, fresh_at, learned_at, anchor };
        let lane = &mut self.lanes[shard as usize];
        lane.seen = Some(revision);
        lane.known = Some(known);
        self.finish(shard, scope);
    }

    /// Ends the work of a write that took effect.
    fn finish(&mut self, shard: ShardId, scope: &mut Scope<'_>) {
        let entries = std::mem::take(&mut self.lanes[shard as usize].entries);
        for mut entry in entries {
            let decision = match (entry.flight.take(), &entry.work) {
                (Some(Intent::Claim), Work::Claim { .. }) => Decision::Claimed,
                (Some(Intent::Settle), _) => Decision::Kept(true),
                (Some(Intent::Remove), _) => Decision::Released,
                // Refused while its claim was in flight: the claim is there now and must go.
                (Some(Intent::Claim), _) | (None, _) => {
                    self.lanes[shard as usize].entries.push(entry);
                    continue;
                }
            };
            self.decide(entry, decision, scope);
        }
    }

    fn lost(&mut self, shard: ShardId, flight: &Flight, scope: &mut Scope<'_>) {
        let Some(write) = &flight.write else {
            self.failed(shard, "read-lost", scope);
            return;
        };
        let event = Event::new(&FAILED).with("shard", shard).with("reason", "write-lost");
        scope.actions.push(Action::Log(event));
        self.lanes[shard as usize].known = None;
        match self.settings.weakness {
            Weakness::LostIsWritten => self.finish(shard, scope),
            Weakness::LostIsFailed => {
                self.land(shard, Landing::Failed);
                self.refuse(shard, scope);
            }
            _ => self.land(shard, Landing::Unsure { revision: write.revision }),
        }
    }

    /// Notes that the store did not take an operation.
    fn failed(&mut self, shard: ShardId, reason: &str, scope: &mut Scope<'_>) {
        let exponent = self.outage.failures.min(BACKOFF_EXPONENT);
        let full = BACKOFF_FIRST.saturating_mul(1 << exponent).min(BACKOFF_MOST);
        let wait = full.mul_f64(scope.rng.random_range(0.5..=1.0));
        self.outage.failures = self.outage.failures.saturating_add(1);
        self.outage.retry_at = scope.now + wait;
        self.lanes[shard as usize].retry_at = scope.now + wait;
        let event = Event::new(&FAILED).with("shard", shard).with("reason", reason);
        scope.actions.push(Action::Log(event));
        if self.is_refusing() {
            self.refuse(shard, scope);
        }
    }

    /// Begins operations in the shards that have work, each shard in its turn.
    pub(crate) fn pump(&mut self, scope: &mut Scope<'_>) {
        if scope.now < self.limited_until {
            return;
        }
        let count = self.lanes.len();
        let first = self.cursor;
        for offset in 0..count {
            let index = (first + offset) % count;
            while self.lanes[index].is_ready(scope.now) {
                if self.tickets.len() >= self.window {
                    self.cursor = index;
                    return;
                }
                self.begin(index, scope);
            }
        }
    }

    /// Begins an operation on a shard, or finishes some of its work without one.
    fn begin(&mut self, index: usize, scope: &mut Scope<'_>) {
        let lane = &mut self.lanes[index];
        // Reads cost the store less than writes: where other nodes write too, a write from an
        // old value would mostly be a conflict.
        let old = |known: &Known| scope.now.saturating_sub(known.learned_at) > CONTENDED_AGE;
        let stale = lane.contended && lane.known.as_ref().is_some_and(old);
        let Some(known) = lane.known.take_if(|_| !stale) else {
            self.read(index, scope);
            return;
        };
        let planned = plan(&mut lane.entries, &known, &self.held, &self.settings, scope.now);
        let (revision, anchor) = (known.revision, known.anchor);
        lane.known = Some(known);
        let Plan { shard, write, reread, decided, dropped } = planned;
        if write {
            self.write(index, Written { revision, shard, anchor }, dropped, scope);
        } else if reread {
            self.read(index, scope);
        }
        for (entry, decision) in decided {
            self.decide(entry, decision, scope);
        }
    }

    fn read(&mut self, index: usize, scope: &mut Scope<'_>) {
        let shard = index as ShardId;
        let ticket = self.ticket(shard);
        let flight = Flight { ticket, step: self.steps, write: None };
        self.lanes[index].flight = Some(flight);
        scope.actions.push(Action::Read { ticket, shard });
    }

    fn write(&mut self, index: usize, mut write: Written, dropped: usize, scope: &mut Scope<'_>) {
        let shard = index as ShardId;
        let ticket = self.ticket(shard);
        write.shard.nonce = (self.settings.life, ticket);
        if dropped > 0 {
            let event = Event::new(&COMPACTED).with("shard", shard).with("count", dropped);
            scope.actions.push(Action::Log(event));
        }
        let lane = &mut self.lanes[index];
        for entry in lane.entries.iter_mut().filter(|entry| entry.flight == Some(Intent::Claim)) {
            entry.attempted.get_or_insert(scope.now);
        }
        let (revision, value) = (write.revision, write.shard.encode());
        lane.flight = Some(Flight { ticket, step: self.steps, write: Some(write) });
        scope.actions.push(Action::Write { ticket, shard, revision, value });
    }

    fn ticket(&mut self, shard: ShardId) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.insert(ticket, shard);
        ticket
    }
}
