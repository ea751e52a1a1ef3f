//! Keeping condemnations in the store, for nodes that start later.

use std::rc::Rc;
use std::time::Duration;

use platform::kv::Write;
use suspect::Fingerprint;
use tokio::time::sleep;

use crate::call::hex;
use crate::node::Node;
use crate::quarantine::TTL;
use crate::store::{Reply, Store};

/// Prefix of the keys of condemned requests; the rest is the fingerprint in hexadecimal.
pub(crate) const QUARANTINE_PREFIX: &str = "magnoliarun/quarantine/";
/// Time over which the nodes' writes of one condemnation spread: most then see the first's.
const SAVE_SPREAD: Duration = Duration::from_millis(400);
/// Pause before a write that failed is tried again.
const SAVE_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Keeps condemnations in the store, for good.
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

/// Writes a condemnation; whether the store has it then.
async fn save(store: &Store, fingerprint: Fingerprint) -> bool {
    let Some(lease) = store.lease(TTL).await else { return false };
    let key = format!("{QUARANTINE_PREFIX}{}", hex(fingerprint));
    let write = Write { key: &key, expected: Some(0), value: b"", lease: lease.id };
    matches!(store.write(write).await, Reply::Done(_) | Reply::Conflict)
}
