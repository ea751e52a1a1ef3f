//! Counts of calls.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Parts of a key, separated by slashes, that make the prefix counted by.
const PREFIX_PARTS: usize = 2;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Read of keys.
    Range,
    /// Write of a key.
    Put,
    /// Transaction that changes something when its conditions hold.
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

/// Calls of one kind under one key prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counter {
    /// Kind of call.
    pub operation: Operation,
    /// First two parts of the key, for example `magnolia/ledger`; empty without a key.
    pub prefix: SmolStr,
    /// Calls that came in.
    pub calls: u64,
    /// Of those, calls refused by a rate limit or an outage.
    pub refused: u64,
}

/// All counters.
#[derive(Debug, Default)]
pub(super) struct Counters {
    table: BTreeMap<(SmolStr, Operation), (u64, u64)>,
}

impl Counters {
    /// Counts a call.
    pub(super) fn count(&mut self, operation: Operation, key: &[u8], refused: bool) {
        let entry = self.table.entry((prefix(key), operation)).or_default();
        entry.0 += 1;
        entry.1 += u64::from(refused);
    }

    /// All counters, by prefix and kind.
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
