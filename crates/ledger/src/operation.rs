//! Starts the store operations of the ledger and handles their results.

use std::time::Duration;

use fleet::Event;
use rand::RngExt;

use crate::entry::{Intent, Work};
use crate::event::{COMPACTED, FAILED, UNREADABLE};
use crate::plan::{Decision, Plan, Snapshot, plan};
use crate::queue::{Operation, PendingWrite};
use crate::service::{Outage, StepContext};
use crate::{Action, Ledger, Reply, Shard, ShardId, StoreResult, Ticket, Weakness};

/// Delay after the first failure of the store, and the limit to which it doubles.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Keeps the shift of the exponential back-off in range.
const MAX_BACKOFF_EXPONENT: u32 = 8;
/// Maximum delay after the rate limit of store calls was reached.
const MAX_RATE_LIMIT_DELAY: Duration = Duration::from_millis(10);

/// Age above which a shard that other nodes also write is read again before a write.
const MAX_CONTENDED_AGE: Duration = Duration::from_millis(2);

/// State of a write that is not known to have succeeded.
#[derive(Clone, Copy, Debug)]
enum WriteStatus {
    /// The write did not take effect and never will.
    Failed,
    /// The write may have taken effect, or may still do so while the shard has this revision.
    Unknown { revision: u64 },
}

impl Ledger {
    /// Handles the result of a store operation.
    pub(crate) fn on_reply(&mut self, reply: Reply, ctx: &mut StepContext<'_>) {
        let Some(shard) = self.tickets.remove(&reply.ticket) else { return };
        let Some(op) = self.queues[shard as usize].in_flight.take() else { return };
        debug_assert_eq!(op.ticket, reply.ticket, "one operation at a time for each shard");
        match reply.result {
            StoreResult::Value { revision, value } => {
                self.reset_in_flight(shard, WriteStatus::Failed);
                self.update_snapshot(shard, &op, revision, &value, ctx);
            }
            StoreResult::Written { revision } => self.on_written(shard, op, revision, ctx),
            StoreResult::Conflict => {
                self.reset_in_flight(shard, WriteStatus::Failed);
                self.queues[shard as usize].snapshot = None;
            }
            StoreResult::Lost => self.on_lost(shard, &op, ctx),
            StoreResult::Down => {
                self.reset_in_flight(shard, WriteStatus::Failed);
                self.record_failure(shard, "down", ctx);
            }
            StoreResult::RateLimited => {
                self.reset_in_flight(shard, WriteStatus::Failed);
                let wait = MAX_RATE_LIMIT_DELAY.mul_f64(ctx.rng.random_range(0.3..=1.0));
                self.limited_until = ctx.now + wait;
                self.window = 1;
            }
        }
    }

    /// Returns the entries of a write that is not known to have succeeded to the queue. If the
    /// write may still take effect, its claims keep the expected revision.
    fn reset_in_flight(&mut self, shard: ShardId, status: WriteStatus) {
        for entry in &mut self.queues[shard as usize].entries {
            let intent = entry.in_flight.take();
            if let (Some(Intent::Claim), WriteStatus::Unknown { revision }) = (intent, status) {
                entry.unresolved_revision = Some(revision);
            }
        }
    }

    /// Replaces the snapshot of a shard by a value just read.
    fn update_snapshot(
        &mut self,
        shard: ShardId,
        op: &Operation,
        revision: u64,
        value: &[u8],
        ctx: &mut StepContext<'_>,
    ) {
        let Ok(content) = Shard::decode(value) else {
            let event = Event::new(&UNREADABLE).with("shard", shard).with("revision", revision);
            ctx.actions.push(Action::Log(event));
            self.queues[shard as usize].snapshot = None;
            self.record_failure(shard, "unreadable", ctx);
            return;
        };
        self.outage = Outage::default();
        let clock_anchor = (ctx.now, content.clock);
        let current_since_step = op.start_step;
        let observed_at = ctx.now;
        let snapshot =
            Snapshot { revision, shard: content, current_since_step, observed_at, clock_anchor };
        let queue = &mut self.queues[shard as usize];
        queue.contended = queue.last_revision.is_some_and(|last| last != revision);
        queue.last_revision = Some(revision);
        queue.snapshot = Some(snapshot);
    }

    fn on_written(
        &mut self,
        shard: ShardId,
        op: Operation,
        revision: u64,
        ctx: &mut StepContext<'_>,
    ) {
        self.outage = Outage::default();
        self.window = (self.window + 1).min(self.settings.concurrency);
        let Some(write) = op.write else { return };
        let current_since_step = op.start_step;
        let (observed_at, clock_anchor) = (ctx.now, write.clock_anchor);
        let snapshot = Snapshot {
            revision,
            shard: write.shard,
            current_since_step,
            observed_at,
            clock_anchor,
        };
        let queue = &mut self.queues[shard as usize];
        queue.last_revision = Some(revision);
        queue.snapshot = Some(snapshot);
        self.complete_write(shard, ctx);
    }

    /// Completes the entries included in a write that took effect.
    fn complete_write(&mut self, shard: ShardId, ctx: &mut StepContext<'_>) {
        let entries = std::mem::take(&mut self.queues[shard as usize].entries);
        for mut entry in entries {
            let decision = match (entry.in_flight.take(), &entry.work) {
                (Some(Intent::Claim), Work::Claim { .. }) => Decision::Claimed,
                (Some(Intent::Settle), _) => Decision::Kept(true),
                (Some(Intent::Remove), _) => Decision::Released,
                // The attempt was refused while its claim was in flight, so the recorded claim
                // must be removed. Entries that the write did not include stay queued.
                (Some(Intent::Claim), _) | (None, _) => {
                    self.queues[shard as usize].entries.push(entry);
                    continue;
                }
            };
            self.apply_decision(entry, decision, ctx);
        }
    }

    fn on_lost(&mut self, shard: ShardId, op: &Operation, ctx: &mut StepContext<'_>) {
        let Some(write) = &op.write else {
            self.record_failure(shard, "read-lost", ctx);
            return;
        };
        let event = Event::new(&FAILED).with("shard", shard).with("reason", "write-lost");
        ctx.actions.push(Action::Log(event));
        self.queues[shard as usize].snapshot = None;
        match self.settings.weakness {
            Weakness::LostIsWritten => self.complete_write(shard, ctx),
            Weakness::LostIsFailed => {
                self.reset_in_flight(shard, WriteStatus::Failed);
                self.answer_all_callers(shard, ctx);
            }
            _ => self.reset_in_flight(shard, WriteStatus::Unknown { revision: write.revision }),
        }
    }

    /// Records a failure of the store or an unreadable shard, backs off, and answers the waiting
    /// callers once the ledger refuses claims.
    fn record_failure(&mut self, shard: ShardId, reason: &str, ctx: &mut StepContext<'_>) {
        let exponent = self.outage.failures.min(MAX_BACKOFF_EXPONENT);
        let full = MIN_BACKOFF.saturating_mul(1 << exponent).min(MAX_BACKOFF);
        let wait = full.mul_f64(ctx.rng.random_range(0.5..=1.0));
        self.outage.failures = self.outage.failures.saturating_add(1);
        self.outage.retry_at = ctx.now + wait;
        self.queues[shard as usize].retry_at = ctx.now + wait;
        let event = Event::new(&FAILED).with("shard", shard).with("reason", reason);
        ctx.actions.push(Action::Log(event));
        if self.is_refusing() {
            self.answer_all_callers(shard, ctx);
        }
    }

    /// Starts operations on the shards with pending work, round-robin, up to the window.
    pub(crate) fn start_operations(&mut self, ctx: &mut StepContext<'_>) {
        if ctx.now < self.limited_until {
            return;
        }
        let count = self.queues.len();
        let first = self.cursor;
        for offset in 0..count {
            let index = (first + offset) % count;
            while self.queues[index].is_ready(ctx.now) {
                if self.tickets.len() >= self.window {
                    self.cursor = index;
                    return;
                }
                self.start_operation(index, ctx);
            }
        }
    }

    /// Starts an operation on a shard, or completes entries that need none.
    fn start_operation(&mut self, index: usize, ctx: &mut StepContext<'_>) {
        let queue = &mut self.queues[index];
        // Reads cost the store less than writes, and a write based on an old snapshot would
        // mostly conflict where other nodes also write.
        let is_old =
            |snapshot: &Snapshot| ctx.now.saturating_sub(snapshot.observed_at) > MAX_CONTENDED_AGE;
        let stale = queue.contended && queue.snapshot.as_ref().is_some_and(is_old);
        let Some(snapshot) = queue.snapshot.take_if(|_| !stale) else {
            self.start_read(index, ctx);
            return;
        };
        let planned =
            plan(&mut queue.entries, &snapshot, &self.held_claims, &self.settings, ctx.now);
        let (revision, clock_anchor) = (snapshot.revision, snapshot.clock_anchor);
        queue.snapshot = Some(snapshot);
        let Plan { shard, write, reread, decided, dropped } = planned;
        if write {
            self.start_write(index, PendingWrite { revision, shard, clock_anchor }, dropped, ctx);
        } else if reread {
            self.start_read(index, ctx);
        }
        for (entry, decision) in decided {
            self.apply_decision(entry, decision, ctx);
        }
    }

    fn start_read(&mut self, index: usize, ctx: &mut StepContext<'_>) {
        let shard = index as ShardId;
        let ticket = self.allocate_ticket(shard);
        let op = Operation { ticket, start_step: self.steps, write: None };
        self.queues[index].in_flight = Some(op);
        ctx.actions.push(Action::Read { ticket, shard });
    }

    fn start_write(
        &mut self,
        index: usize,
        mut write: PendingWrite,
        dropped: usize,
        ctx: &mut StepContext<'_>,
    ) {
        let shard = index as ShardId;
        let ticket = self.allocate_ticket(shard);
        write.shard.nonce = (self.settings.incarnation, ticket);
        if dropped > 0 {
            let event = Event::new(&COMPACTED).with("shard", shard).with("count", dropped);
            ctx.actions.push(Action::Log(event));
        }
        let queue = &mut self.queues[index];
        for entry in queue.entries.iter_mut().filter(|entry| entry.in_flight == Some(Intent::Claim))
        {
            entry.first_write_at.get_or_insert(ctx.now);
        }
        let (revision, value) = (write.revision, write.shard.encode());
        queue.in_flight = Some(Operation { ticket, start_step: self.steps, write: Some(write) });
        ctx.actions.push(Action::Write { ticket, shard, revision, value });
    }

    fn allocate_ticket(&mut self, shard: ShardId) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.insert(ticket, shard);
        ticket
    }
}
