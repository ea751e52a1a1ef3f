//! State that the platform's request handlers share.

use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;

use super::command::{Command, Outage};
use super::counter::{Counter, Counters, Operation};
use super::store::Store;
use super::token_bucket::TokenBucket;
use super::vm_list::VmList;

/// Response to `GET /control/counters`.
#[derive(Debug, Serialize)]
pub(super) struct CountersAnswer {
    pub(super) counters: Vec<Counter>,
    pub(super) open_watches: u32,
}

/// Pending fault: the responses to the next `count` writes under `prefix` are lost.
#[derive(Debug)]
struct WriteLoss {
    prefix: SmolStr,
    count: u32,
    applied: bool,
}

/// Mutable state of the platform, protected by one mutex.
#[derive(Debug)]
pub(super) struct State {
    started: Instant,
    pub(super) store: Store,
    pub(super) list: VmList,
    pub(super) counters: Counters,
    pub(super) open_watches: u32,
    pub(super) outage: Outage,
    pub(super) list_outage: Outage,
    pub(super) delay: Duration,
    reads: TokenBucket,
    writes: TokenBucket,
    losses: Vec<WriteLoss>,
    /// Incremented to disconnect all open watches; a watch ends when this value differs
    /// from the one at its start.
    pub(super) watch_epoch: u64,
}

impl State {
    /// Creates the state with an empty store. `reads` and `writes` are in calls per second,
    /// and `lag` is that of the list of VMs.
    pub(super) fn new(reads: f64, writes: f64, lag: Duration) -> Self {
        Self {
            started: Instant::now(),
            store: Store::default(),
            list: VmList::new(lag),
            counters: Counters::default(),
            open_watches: 0,
            outage: Outage::Off,
            list_outage: Outage::Off,
            delay: Duration::ZERO,
            reads: TokenBucket::new(reads),
            writes: TokenBucket::new(writes),
            losses: Vec::new(),
            watch_epoch: 0,
        }
    }

    /// Returns the time since the platform started.
    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Applies the rate limit of the operation's kind. Returns `false` when the limit is
    /// exceeded. Reads of the list of VMs are not limited.
    pub(super) fn admit(&mut self, operation: Operation) -> bool {
        let now = self.now();
        match operation {
            Operation::Put | Operation::Txn | Operation::Delete => self.writes.try_acquire(now),
            Operation::Range | Operation::Watch | Operation::Lease => self.reads.try_acquire(now),
            Operation::Vms => true,
        }
    }

    /// Consumes one pending loss that matches a write of `key`. Returns whether the write is
    /// applied before its response is lost, or `None` when no loss matches.
    pub(super) fn consume_loss(&mut self, key: &[u8]) -> Option<bool> {
        let matches =
            |loss: &&mut WriteLoss| loss.count > 0 && key.starts_with(loss.prefix.as_bytes());
        let loss = self.losses.iter_mut().find(matches)?;
        loss.count -= 1;
        Some(loss.applied)
    }

    /// Executes a control command.
    pub(super) fn command(&mut self, command: Command) {
        let now = self.now();
        match command {
            Command::Outage(outage) => self.set_outage(outage),
            Command::ListOutage(outage) => self.list_outage = outage,
            Command::DelayMs(delay) => self.delay = Duration::from_millis(delay),
            Command::Lose { prefix, count, applied } => {
                self.losses.push(WriteLoss { prefix, count, applied });
            }
            Command::CutWatches => self.watch_epoch += 1,
            Command::Compact => self.store.compact(self.store.revision()),
            Command::SetVms(vms) => self.list.reset(vms),
            Command::Join(vm) => self.list.join(now, *vm),
            Command::Leaving(name) => self.list.leave(now, &name),
            Command::Remove(name) => self.list.remove(now, &name),
            Command::LagMs(lag) => self.list.set_lag(Duration::from_millis(lag)),
            Command::Rates { reads, writes } => {
                self.reads = TokenBucket::new(reads);
                self.writes = TokenBucket::new(writes);
            }
        }
    }

    fn set_outage(&mut self, outage: Outage) {
        self.outage = outage;
        if outage == Outage::Refuse {
            self.watch_epoch += 1;
        }
    }
}
