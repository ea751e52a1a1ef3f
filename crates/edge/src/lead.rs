//! Election of the node that sends placement orders. The leader holds a key in the store under a
//! lease; the revision at which the key was created is the fencing number of its orders.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use fleet::Event;
use platform::kv::{Item, LeaseId, Revision, Write};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::event::LEADING;
use crate::node::Node;
use crate::store::{Reply, Store};
use crate::stored::{LEADER_KEY, fence_number, node_key};

/// Time to live of the leader's lease.
const LEASE_TTL: Duration = Duration::from_millis(1600);
/// Time without contact to any target after which the leader gives up its key.
const RESIGN_AFTER: Duration = Duration::from_millis(500);
/// Interval of renewals: allows for two lost ones.
const RENEW_INTERVAL: Duration = Duration::from_millis(450);

/// Time to live of a node's registration. Longer than the leader's lease: late detection of a lost
/// node costs less than a renewal by each node twice a second.
const PRESENCE_TTL: Duration = Duration::from_millis(4800);
/// Interval of renewals of a node's registration: allows for two lost ones.
const PRESENCE_INTERVAL: Duration = Duration::from_millis(1500);
/// Time over which the nodes spread their claims, per node.
const CLAIM_SPREAD: Duration = Duration::from_millis(20);
/// Maximum time over which claims spread.
const MAX_CLAIM_SPREAD: Duration = Duration::from_millis(600);

/// The leases of this node.
pub(crate) struct Leadership {
    /// Lease of the leader key.
    lease: Cell<Option<LeaseId>>,
    /// Lease of this node's registration.
    presence: Cell<Option<LeaseId>>,
    /// Notified when the leader key is gone.
    vacant: Notify,
    /// Whether the store holds this node's registration, as last seen.
    is_registered: Cell<bool>,
    /// Notified when the registration is gone.
    unregistered: Notify,
}

impl Leadership {
    /// Returns a state without leases.
    pub(crate) fn new() -> Self {
        Self {
            lease: Cell::new(None),
            presence: Cell::new(None),
            vacant: Notify::new(),
            is_registered: Cell::new(false),
            unregistered: Notify::new(),
        }
    }

    /// Updates whether the store holds this node's registration.
    pub(crate) fn update_registration(&self, is_registered: bool) {
        if self.is_registered.replace(is_registered) && !is_registered {
            self.unregistered.notify_one();
        }
    }

    /// Updates the holder from the leader key in the store.
    pub(crate) fn update_leader(&self, node: &Node, item: &Item) {
        let holder = item.value.as_ref().map(|value| {
            let name = String::from_utf8_lossy(value).into_owned();
            (name, fence_number(item.created))
        });
        node.claim.borrow_mut().set_holder(holder);
        if node.claim.borrow().is_vacant() {
            self.vacant.notify_waiters();
        }
    }

    /// Stops leading, because the lease is gone or another node leads.
    pub(crate) fn step_down(&self, node: &Node) {
        node.claim.borrow_mut().clear_lease();
        self.lease.set(None);
    }
}

/// Returns the fencing number of this node's orders, if it leads.
pub(crate) fn fence(node: &Node) -> Option<Revision> {
    let fenced = node.settings.bounds.fenced;
    node.claim.borrow().fence(node.now(), &identity(node), fenced)
}

/// Returns the name of this start of the node, so that a restarted node does not mistake its
/// predecessor's key for its own.
fn identity(node: &Node) -> String {
    format!("{}/{}/{:x}", node.settings.node, node.settings.front, node.instance)
}

/// Ends the leases, so that another node can lead at once and none counts on this one.
pub(crate) async fn release_leases(node: &Node, store: &Store, leadership: &Leadership) {
    node.claim.borrow_mut().clear_lease();
    let leases = [leadership.lease.take(), leadership.presence.take()];
    for lease in leases.into_iter().flatten() {
        // A lease that could not be ended lapses on its own.
        store.end(lease).await;
    }
}

/// Maintains the key under which other nodes find this one.
pub(crate) async fn maintain_presence(
    node: Rc<Node>,
    store: Rc<Store>,
    leadership: Rc<Leadership>,
) {
    while !node.is_stopping() {
        let pause = match leadership.presence.get() {
            None => match store.lease(PRESENCE_TTL).await {
                Some(lease) => register(&node, &store, &leadership, lease.id).await,
                None => PRESENCE_INTERVAL / 4,
            },
            Some(lease) => match store.renew(lease).await {
                Reply::Missing => {
                    leadership.presence.set(None);
                    Duration::ZERO
                }
                Reply::Done(..) if !leadership.is_registered.get() => {
                    register(&node, &store, &leadership, lease).await
                }
                Reply::Done(..) => PRESENCE_INTERVAL,
                _ => PRESENCE_INTERVAL / 4,
            },
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = leadership.unregistered.notified() => {}
        }
    }
}

/// Writes this node's registration under a lease. The lease is kept if there is no answer: a write
/// that is done late has then the lease that is renewed.
async fn register(node: &Node, store: &Store, leadership: &Leadership, lease: LeaseId) -> Duration {
    leadership.presence.set(Some(lease));
    let key = node_key(node.internal_address());
    let write = Write { key: &key, expected: None, value: b"", lease };
    match store.write(write).await {
        Reply::Done(..) => PRESENCE_INTERVAL,
        Reply::Missing => {
            leadership.presence.set(None);
            PRESENCE_INTERVAL / 4
        }
        _ => PRESENCE_INTERVAL / 4,
    }
}

/// Claims the leader key while it is vacant, and renews the lease while this node holds it.
pub(crate) async fn maintain_leadership(
    node: Rc<Node>,
    store: Rc<Store>,
    leadership: Rc<Leadership>,
) {
    while !node.is_stopping() {
        let unable = node.contact.borrow().lost_for(node.now());
        let unable = unable.is_some_and(|lost_for| lost_for >= RESIGN_AFTER);
        if let Some(lease) = leadership.lease.get().filter(|_| unable) {
            resign(&node, &store, &leadership, lease).await;
        } else if let Some(lease) = leadership.lease.get() {
            hold(&node, &store, &leadership, lease).await;
        } else if is_vacant(&node) {
            // Most nodes see the winner's key before they claim.
            let max_delay = CLAIM_SPREAD * node.table.borrow().vms as u32;
            sleep(max_delay.min(MAX_CLAIM_SPREAD).mul_f64(node.random_fraction())).await;
            if is_vacant(&node) {
                claim(&node, &store, &leadership).await;
            }
        }
        tokio::select! {
            () = sleep(RENEW_INTERVAL) => {}
            () = leadership.vacant.notified() => {}
        }
    }
}

/// Returns whether the store was listed and the leader key is vacant.
fn is_vacant(node: &Node) -> bool {
    let able = node.reaches_targets() && !node.is_stopping();
    able && node.synced.get().is_some() && node.claim.borrow().is_vacant()
}

/// Gives up the leader key, because this node does not reach the engines.
async fn resign(node: &Node, store: &Store, leadership: &Leadership, lease: LeaseId) {
    leadership.step_down(node);
    // A lease that could not be ended lapses on its own.
    store.end(lease).await;
    log::info!("{}", Event::new(LEADING).with("resigned", true));
}

/// Renews the lease, as long as this node can hold the leader key under it. Claims the key again if it
/// is still vacant: a claim without an answer may not have been done.
async fn hold(node: &Node, store: &Store, leadership: &Leadership, lease: LeaseId) {
    if node.claim.borrow().is_held_by_another(&identity(node)) {
        leadership.step_down(node);
        // A lease that could not be ended lapses on its own.
        store.end(lease).await;
        return;
    }
    renew(node, store, leadership, lease).await;
    if leadership.lease.get() == Some(lease) && is_vacant(node) {
        let reply = write_claim(node, store, lease).await;
        if matches!(reply, Reply::Missing) {
            leadership.step_down(node);
        }
    }
}

async fn renew(node: &Node, store: &Store, leadership: &Leadership, lease: LeaseId) {
    let sent_at = node.now();
    match store.renew(lease).await {
        Reply::Done(..) => {
            let ttl = LEASE_TTL.max(node.settings.min_lease_ttl);
            node.claim.borrow_mut().set_lease_end(sent_at + ttl);
        }
        Reply::Missing => leadership.step_down(node),
        // The renewal is retried after `RENEW_INTERVAL`.
        _ => {}
    }
}

async fn claim(node: &Node, store: &Store, leadership: &Leadership) {
    let sent_at = node.now();
    let ttl = LEASE_TTL.max(node.settings.min_lease_ttl);
    let Some(lease) = store.lease(ttl).await else { return };
    let reply = write_claim(node, store, lease.id).await;
    // A write without an answer may have succeeded, or do so later: the watch shows whether it did.
    if matches!(reply, Reply::Done(..) | Reply::Unknown) {
        leadership.lease.set(Some(lease.id));
        node.claim.borrow_mut().set_lease_end(sent_at + lease.ttl);
    }
}

/// Writes the leader key under a lease if it is vacant.
async fn write_claim(node: &Node, store: &Store, lease: LeaseId) -> Reply {
    let value = identity(node);
    let write = Write { key: LEADER_KEY, expected: Some(0), value: value.as_bytes(), lease };
    let reply = store.write(write).await;
    let event = Event::new(LEADING).with("claimed", matches!(reply, Reply::Done(..)));
    log::info!("{event}");
    reply
}
