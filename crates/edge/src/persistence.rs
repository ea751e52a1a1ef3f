//! Writes quarantine decisions to the store, for nodes that start later.

use std::rc::Rc;
use std::time::Duration;

use platform::kv::Write;
use suspect::Fingerprint;
use tokio::time::sleep;

use crate::call::hex;
use crate::node::Node;
use crate::quarantine::TTL;
use crate::store::{Reply, Store};

/// Prefix of the keys of quarantined requests, followed by the fingerprint in hexadecimal.
pub(crate) const QUARANTINE_PREFIX: &str = "magnoliarun/quarantine/";
/// Time over which the nodes spread their writes of the same decision: most then see the first
/// write and skip theirs.
const SAVE_SPREAD: Duration = Duration::from_millis(400);
/// Pause before a failed write is retried.
const SAVE_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Writes unsaved quarantine decisions to the store until the process ends.
pub(crate) async fn persist_quarantine(node: Rc<Node>, store: Rc<Store>) {
    loop {
        let next = node.quarantine.unsaved.borrow().first().copied();
        let Some(fingerprint) = next else {
            node.quarantine.save_needed.notified().await;
            continue;
        };
        sleep(SAVE_SPREAD.mul_f64(node.random_fraction())).await;
        if !node.quarantine.unsaved.borrow().contains(&fingerprint) {
            continue;
        }
        if save(&store, fingerprint).await {
            node.quarantine.unsaved.borrow_mut().remove(&fingerprint);
        } else {
            sleep(SAVE_RETRY_PAUSE).await;
        }
    }
}

/// Writes a quarantine decision. Returns whether the store has it afterwards.
async fn save(store: &Store, fingerprint: Fingerprint) -> bool {
    let Some(lease) = store.lease(TTL).await else { return false };
    let key = format!("{QUARANTINE_PREFIX}{}", hex(fingerprint));
    let write = Write { key: &key, expected: Some(0), value: b"", lease: lease.id };
    matches!(store.write(write).await, Reply::Done(_) | Reply::Conflict)
}
