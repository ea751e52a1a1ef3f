//! Call counters by kind of call and key prefix.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Number of slash-separated segments of a key that form its counter prefix.
const PREFIX_PARTS: usize = 2;

/// Kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Read of keys.
    Range,
    /// Write of a key.
    Put,
    /// Transaction with at least one write or deletion. A transaction that only reads counts
    /// as [`Operation::Range`].
    Txn,
    /// Deletion of keys.
    Delete,
    /// Grant, renewal or revocation of a lease.
    Lease,
    /// Opening of a watch.
    Watch,
    /// Read of the list of VMs.
    Vms,
}

/// Counters of the calls of one kind under one key prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counter {
    /// Kind of call.
    pub operation: Operation,
    /// First two segments of the key, for example `magnolia/ledger`; empty for calls
    /// without a key.
    pub prefix: SmolStr,
    /// Number of calls received.
    pub calls: u64,
    /// Number of these calls that a rate limit or an outage rejected.
    pub refused: u64,
}

/// The counters of all kinds and prefixes.
#[derive(Debug, Default)]
pub(super) struct Counters {
    table: BTreeMap<(SmolStr, Operation), (u64, u64)>,
}

impl Counters {
    /// Records a call of `key`.
    pub(super) fn count(&mut self, operation: Operation, key: &[u8], refused: bool) {
        let entry = self.table.entry((prefix(key), operation)).or_default();
        entry.0 += 1;
        entry.1 += u64::from(refused);
    }

    /// Returns all counters, sorted by prefix and then by kind.
    pub(super) fn list(&self) -> Vec<Counter> {
        let row = |(key, value): (&(SmolStr, Operation), &(u64, u64))| Counter {
            operation: key.1,
            prefix: key.0.clone(),
            calls: value.0,
            refused: value.1,
        };
        self.table.iter().map(row).collect()
    }
}

fn prefix(key: &[u8]) -> SmolStr {
    let text = String::from_utf8_lossy(key);
    text.split('/').take(PREFIX_PARTS).collect::<Vec<_>>().join("/").into()
}
