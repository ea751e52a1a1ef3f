//! Entries of the store on quarantined requests and parts of prompts, for nodes that start later.
//!
//! Entries have no lease, so that they outlast an outage of the store that ends its leases; each
//! holds the time of its end. A node that knows of a quarantine whose entry is missing writes it
//! again. The trials of a part are counted in its entry: the node whose conditional write succeeds
//! may let one request run.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fleet::Event;
use platform::kv::{Item, Position, Revision, Write, decode_write};
use suspect::{Fingerprint, Scope, Trials};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::call::hex;
use crate::event::{PART_TRIED, UNDECODABLE};
use crate::node::Node;
use crate::quarantine::TTL;
use crate::store::{Reply, Store};
use crate::stored::{Quarantine, quarantine_key, quarantined};

/// Time over which the nodes spread their writes of the same change: most then see the first write
/// and skip theirs.
const WRITE_SPREAD: Duration = Duration::from_millis(400);
/// Pause before a failed write is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time after the end of a quarantine at which its entry is removed. Longer than the difference
/// between the clocks of the nodes.
const REMOVAL_DELAY: Duration = Duration::from_secs(30);
/// Lease of a key that does not end.
const NO_LEASE: u64 = 0;

/// Returns the value of a quarantine that starts, or continues, now. That of a part lasts beyond its
/// next trial.
fn starting_now(trials: Option<u32>) -> Quarantine {
    let ttl = longest(trials);
    Quarantine { trials, until_unix_ms: unix_ms().saturating_add(ttl.as_millis() as u64) }
}

/// Returns the time left; zero once the quarantine has ended.
fn time_left(value: Quarantine) -> Duration {
    let left = value.until_unix_ms.saturating_sub(unix_ms());
    Duration::from_millis(left).min(longest(value.trials))
}

/// Returns whether the quarantine ended some time ago.
fn is_obsolete(value: Quarantine) -> bool {
    value.until_unix_ms.saturating_add(REMOVAL_DELAY.as_millis() as u64) < unix_ms()
}

/// Returns the time from the last change of an entry to the end of its quarantine.
fn longest(trials: Option<u32>) -> Duration {
    TTL + trials.map(Trials::delay).unwrap_or_default()
}

fn unix_ms() -> u64 {
    // A clock before the epoch counts as the epoch: entries then last their full time.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Change of an entry that is to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Write the entry if it is missing.
    Save,
    /// Count a trial, and permit one request to run if the write succeeds.
    Try,
    /// Remove the entry.
    Remove,
}

/// Entries of the store, and changes of them that are to be written.
#[derive(Default)]
pub(crate) struct Entries {
    known: RefCell<BTreeMap<Fingerprint, (Position, Quarantine)>>,
    changes: RefCell<BTreeMap<Fingerprint, Change>>,
    /// Notified when a change is requested.
    change_requested: Notify,
}

impl Entries {
    /// Requests a change. It replaces an earlier one of the same entry.
    pub(crate) fn request(&self, fingerprint: Fingerprint, change: Change) {
        self.changes.borrow_mut().insert(fingerprint, change);
        self.change_requested.notify_one();
    }

    /// Requests the removal of entries whose quarantine has ended.
    pub(crate) fn remove_obsolete(&self) {
        let known = self.known.borrow();
        let obsolete = known.iter().filter(|(_, (_, value))| is_obsolete(*value));
        obsolete.for_each(|(&fingerprint, _)| self.request(fingerprint, Change::Remove));
    }

    fn position(&self, fingerprint: Fingerprint) -> Option<Position> {
        self.known.borrow().get(&fingerprint).map(|(position, _)| *position)
    }
}

/// Decodes the value of an entry. One that cannot be read, as those of old builds that have none,
/// counts as that of a request whose quarantine starts now.
fn decode(key: &str, bytes: &[u8]) -> Quarantine {
    Quarantine::decode(bytes).unwrap_or_else(|unreadable| {
        log::warn!("{}", Event::new(UNDECODABLE).with("key", key).with("reason", unreadable));
        starting_now(None)
    })
}

impl Node {
    /// Applies an entry of the store, or its removal.
    pub(crate) fn apply_quarantine_entry(&self, item: &Item) {
        let Some(fingerprint) = quarantined(&item.key) else { return };
        let entries = &self.quarantine.entries;
        let Some(bytes) = &item.value else {
            entries.known.borrow_mut().remove(&fingerprint);
            return self.release_quarantined(fingerprint);
        };
        let value = decode(&item.key, bytes);
        entries.known.borrow_mut().insert(fingerprint, (item.position, value));
        entries
            .changes
            .borrow_mut()
            .retain(|other, change| *other != fingerprint || *change == Change::Remove);
        let left = time_left(value);
        if left.is_zero() {
            return;
        }
        let scope = if value.trials.is_some() { Scope::Part } else { Scope::Request };
        self.quarantine_subject((fingerprint, scope), &[], left, "store");
        if let Some(trials) = value.trials.filter(|_| self.is_quarantined(fingerprint)) {
            self.quarantine.trials.borrow_mut().schedule(fingerprint, trials, self.now());
        }
    }

    /// Records that an entry is missing although no node has removed it, as far as this node knows.
    /// Writes it again if the quarantine is still in force here.
    pub(crate) fn restore_quarantine_entry(&self, key: &str) {
        let Some(fingerprint) = quarantined(key) else { return };
        self.quarantine.entries.known.borrow_mut().remove(&fingerprint);
        if self.is_quarantined(fingerprint) {
            self.quarantine.entries.request(fingerprint, Change::Save);
        }
    }
}

/// Writes requested changes to the store until the process ends.
pub(crate) async fn persist_quarantine(node: Rc<Node>, store: Rc<Store>) {
    let entries = &node.quarantine.entries;
    loop {
        let next = entries.changes.borrow().keys().next().copied();
        let Some(fingerprint) = next else {
            entries.change_requested.notified().await;
            continue;
        };
        sleep(WRITE_SPREAD.mul_f64(node.random_fraction())).await;
        let Some(change) = entries.changes.borrow().get(&fingerprint).copied() else { continue };
        let is_done = match change {
            Change::Save => save(&node, &store, fingerprint).await,
            Change::Try => try_part(&node, &store, fingerprint).await,
            Change::Remove => remove(&node, &store, fingerprint).await,
        };
        if !is_done {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        let mut changes = entries.changes.borrow_mut();
        if changes.get(&fingerprint) == Some(&change) {
            changes.remove(&fingerprint);
        }
    }
}

/// Writes an entry that is missing. Returns whether the store has it afterwards.
async fn save(node: &Node, store: &Store, fingerprint: Fingerprint) -> bool {
    if node.quarantine.entries.position(fingerprint).is_some() || !node.is_quarantined(fingerprint)
    {
        return true;
    }
    let trials = node.quarantine.trials.borrow().number(fingerprint);
    let reply = write(store, fingerprint, 0, starting_now(trials)).await;
    matches!(reply, Reply::Done(..) | Reply::Conflict)
}

/// Counts a trial in the entry of a part, and permits one request to run if this succeeds. A failed
/// trial is not repeated: the next request with the part asks for another one.
async fn try_part(node: &Node, store: &Store, part: Fingerprint) -> bool {
    let Some(position) = node.quarantine.entries.position(part) else {
        // Without its entry, other nodes could permit the same trial.
        return save(node, store, part).await;
    };
    let current = node.replica.borrow().current_revision(position);
    // A revision of an earlier era says nothing about the present entry: no trial.
    let Some(revision) = current else { return true };
    let number =
        node.quarantine.trials.borrow().number(part).map_or(1, |number| number.saturating_add(1));
    let reply = write(store, part, revision, starting_now(Some(number))).await;
    if let Reply::Done(bytes, _) = &reply
        && decode_write(bytes).is_ok()
    {
        let mut trials = node.quarantine.trials.borrow_mut();
        trials.schedule(part, number, node.now());
        trials.permit(part);
        let event = Event::new(PART_TRIED).with("fingerprint", hex(part)).with("trial", number);
        log::info!("{event}");
    }
    true
}

/// Removes an entry. Returns whether the store no longer has it, or has another version of it.
async fn remove(node: &Node, store: &Store, fingerprint: Fingerprint) -> bool {
    let Some(position) = node.quarantine.entries.position(fingerprint) else { return true };
    // After a change of era the entry is removed once it has been listed again.
    let current = node.replica.borrow().current_revision(position);
    let Some(revision) = current else { return false };
    let reply = store.remove(&quarantine_key(fingerprint), revision).await;
    matches!(reply, Reply::Done(..) | Reply::Conflict | Reply::Missing)
}

async fn write(
    store: &Store,
    fingerprint: Fingerprint,
    expected: Revision,
    value: Quarantine,
) -> Reply {
    let (key, expected) = (quarantine_key(fingerprint), Some(expected));
    store.write(Write { key: &key, expected, value: &value.encode(), lease: NO_LEASE }).await
}
