//! The store of a virtual simulation: the stand-in's own, with faults.

use std::collections::VecDeque;
use std::time::Duration;

use standin::platform::{Compare, Comparison, Entry, Op, Outage, Outcome, Range, Store};

/// Time that each call takes.
pub(super) const CALL_TIME: Duration = Duration::from_millis(2);

/// What happens to the answer of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The write takes effect and its answer is lost.
    LostApplied,
    /// The write is lost.
    LostDropped,
}

/// What came of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Written {
    /// It took effect at this revision.
    At(u64),
    /// The key had another revision.
    Conflict,
    /// No answer came.
    Lost,
    /// The store did not take it.
    Down,
}

/// The store.
#[derive(Debug, Default)]
pub(super) struct FakeStore {
    store: Store,
    pub(super) outage: Outage,
    faults: VecDeque<Fault>,
}

impl FakeStore {
    /// Loses the answers of the next `count` writes.
    pub(super) fn lose(&mut self, fault: Fault, count: usize) {
        self.faults.extend(std::iter::repeat_n(fault, count));
    }

    /// Reads a key; `None` in an outage.
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

    /// Writes a key if its last change was at `revision`.
    pub(super) fn write(
        &mut self,
        now: Duration,
        key: &str,
        revision: u64,
        value: Vec<u8>,
    ) -> Written {
        if self.outage != Outage::Off {
            return Written::Down;
        }
        let fault = self.faults.pop_front();
        if fault == Some(Fault::LostDropped) {
            return Written::Lost;
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
            (_, Some(_)) => Written::Lost,
            (Ok((true, _)), None) => {
                Written::At(u64::try_from(self.store.revision()).unwrap_or_default())
            }
            (_, None) => Written::Conflict,
        }
    }
}
