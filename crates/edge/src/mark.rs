//! Mark in the store that states the era whose configuration is the operators' newest, so that nodes
//! that start in that era accept keys at once.
//!
//! The leading node writes it once an era. A copy of the store holds the mark of an earlier era.

use std::rc::Rc;
use std::time::Duration;

use fleet::Event;
use platform::kv::{Era, Item, Write};
use tokio::time::sleep;

use crate::event::ERA_SETTLED;
use crate::lead;
use crate::node::Node;
use crate::store::{Reply, Store};
use crate::stored::MARK_KEY;

/// Interval at which the leader checks whether the mark is needed.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Lease of a key that does not end.
const NO_LEASE: u64 = 0;

impl Node {
    /// Applies the mark of the store, or its removal.
    pub(crate) fn apply_mark(&self, item: &Item) {
        let era = self.replica.borrow().era();
        self.recency.borrow_mut().set_mark(marked_era(item), era);
    }
}

/// Returns the era that a mark states; `None` if there is none or it cannot be read.
fn marked_era(item: &Item) -> Option<Era> {
    std::str::from_utf8(item.value.as_deref()?).ok()?.parse().ok()
}

/// Writes the mark while this node leads, until the process ends.
pub(crate) async fn maintain_mark(node: Rc<Node>, store: Rc<Store>) {
    // Without the bound on withdrawn keys no node needs the mark.
    while node.settings.bounds.strict_revoke && !node.is_stopping() {
        sleep(CHECK_INTERVAL).await;
        let era = node.replica.borrow().era();
        let needs_mark = node.recency.borrow().needs_mark(era, node.config_version());
        if needs_mark && lead::fence(&node).is_some() {
            write(&node, &store, era).await;
        }
    }
}

async fn write(node: &Node, store: &Store, era: Era) {
    let value = era.to_string();
    let write = Write { key: MARK_KEY, expected: None, value: value.as_bytes(), lease: NO_LEASE };
    // A write that fails is repeated while the mark is missing.
    if matches!(store.write(write).await, Reply::Done(..)) {
        let present = node.replica.borrow().era();
        node.recency.borrow_mut().set_mark(Some(era), present);
        log::info!("{}", Event::new(ERA_SETTLED).with("era", era));
    }
}
