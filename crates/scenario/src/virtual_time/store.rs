//! Simulated store: the stand-in platform's store, with outages and faults.

use std::collections::VecDeque;
use std::time::Duration;

use standin::platform::{Compare, Comparison, Entry, Op, Outage, Outcome, Range, Store};

/// Time that each call to the store takes.
pub(super) const CALL_TIME: Duration = Duration::from_millis(2);

/// Fault of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The write takes effect, but its answer is lost.
    AnswerLost,
    /// The write is lost and takes no effect.
    WriteLost,
}

/// Result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteResult {
    /// The write took effect at this revision.
    At(u64),
    /// The key was at another revision.
    Conflict,
    /// No answer arrived, so the effect is unknown.
    Lost,
    /// The store is in an outage and did not accept the write.
    Down,
}

/// Store with injected outages and faults.
#[derive(Debug, Default)]
pub(super) struct FakeStore {
    store: Store,
    pub(super) outage: Outage,
    faults: VecDeque<Fault>,
}

impl FakeStore {
    /// Applies `fault` to the next `count` writes, after those already injected.
    pub(super) fn inject_faults(&mut self, fault: Fault, count: usize) {
        self.faults.extend(std::iter::repeat_n(fault, count));
    }

    /// Reads a key. Returns `None` in an outage, and `Some(None)` for a key that does not exist.
    pub(super) fn read(&mut self, now: Duration, key: &str) -> Option<Option<Entry>> {
        if self.outage != Outage::Off {
            return None;
        }
        let op = Op::Range { range: Range { start: key.into(), end: Vec::new() }, limit: 0 };
        match self.store.run(now, &op) {
            Ok(Outcome::Entries { entries, .. }) => Some(entries.into_iter().next()),
            _ => None,
        }
    }

    /// Writes a key if it was last modified at `revision`.
    pub(super) fn write(
        &mut self,
        now: Duration,
        key: &str,
        revision: u64,
        value: Vec<u8>,
    ) -> WriteResult {
        if self.outage != Outage::Off {
            return WriteResult::Down;
        }
        let fault = self.faults.pop_front();
        if fault == Some(Fault::WriteLost) {
            return WriteResult::Lost;
        }
        let revision = i64::try_from(revision).unwrap_or(i64::MAX);
        let condition = Compare {
            key: key.into(),
            comparison: Comparison::Modified(revision),
            accepts: &[std::cmp::Ordering::Equal],
        };
        let then = [Op::Put { key: key.into(), value, lease: 0 }];
        let result = self.store.transact(now, &[condition], &then, &[]);
        match (result, fault) {
            (_, Some(_)) => WriteResult::Lost,
            (Ok((true, _)), None) => {
                WriteResult::At(u64::try_from(self.store.revision()).unwrap_or_default())
            }
            (_, None) => WriteResult::Conflict,
        }
    }
}
