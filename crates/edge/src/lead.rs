//! The one node that gives orders: a lease in the store holds the leader's key. The revision at
//! which the key came into being is the fencing number of its orders.

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

/// Key that the leading node holds.
pub(crate) const LEADER_KEY: &str = "magnoliarun/leader";
/// Prefix of the keys under which nodes register.
pub(crate) const NODE_PREFIX: &str = "magnoliarun/nodes/";

/// Time to live of a node's lease.
const LEASE_TTL: Duration = Duration::from_millis(1600);
/// Interval of renewals: two can be lost.
const RENEW_INTERVAL: Duration = Duration::from_millis(450);

/// What this node does to lead.
pub(crate) struct Leadership {
    /// Whether the store was listed since the start.
    known: Cell<bool>,
    lease: Cell<Option<LeaseId>>,
    /// Told when nobody leads any more.
    vacant: Notify,
}

impl Leadership {
    /// Nobody is known to lead.
    pub(crate) fn new() -> Self {
        Self { known: Cell::new(false), lease: Cell::new(None), vacant: Notify::new() }
    }

    /// Takes the leader's key as the store has it.
    pub(crate) fn seen(&self, node: &Node, item: &Item) {
        let holder = item.value.as_ref().map(|value| {
            let name = String::from_utf8_lossy(value).into_owned();
            (name, item.created)
        });
        node.claim.borrow_mut().seen(holder);
        if node.claim.borrow().is_vacant() {
            self.vacant.notify_waiters();
        }
    }

    /// Gives up leading: another node has.
    pub(crate) fn step_down(&self, node: &Node) {
        node.claim.borrow_mut().ended();
        self.lease.set(None);
    }
}

/// The fencing number of this node's orders, while it leads.
pub(crate) fn fence(node: &Node) -> Option<Revision> {
    let fenced = node.settings.bounds.fenced;
    node.claim.borrow().fence(node.now(), &identity(node), fenced)
}

/// Name of this start of the node: a restarted node does not take itself for the holder of
/// what it held before.
fn identity(node: &Node) -> String {
    format!("{}/{}/{:x}", node.settings.node, node.settings.front, node.instance)
}

/// Gives up the lease, so that another node leads at once.
pub(crate) async fn resign(node: &Node, store: &Store, leadership: &Leadership) {
    node.claim.borrow_mut().ended();
    if let Some(lease) = leadership.lease.take() {
        // A lease that is not ended lapses by itself.
        store.end(lease).await;
    }
}

/// Keeps the node's lease and keys, and leads when nobody does.
pub(crate) async fn keep_lease(node: Rc<Node>, store: Rc<Store>, leadership: Rc<Leadership>) {
    while !node.stopping.get() {
        let pause = match leadership.lease.get() {
            None => begin(&node, &store, &leadership).await,
            Some(lease) => renew(&node, &store, &leadership, lease).await,
        };
        let nobody_leads = leadership.known.get() && node.claim.borrow().is_vacant();
        let lease = leadership.lease.get().filter(|_| nobody_leads && !node.stopping.get());
        if let Some(lease) = lease {
            claim(&node, &store, lease).await;
        }
        tokio::select! {
            () = sleep(pause) => {}
            () = leadership.vacant.notified() => {}
        }
    }
}

async fn begin(node: &Node, store: &Store, leadership: &Leadership) -> Duration {
    let asked = node.now();
    let Some(lease) = store.lease(LEASE_TTL.max(node.settings.least_lease)).await else {
        return RENEW_INTERVAL / 2;
    };
    let key = format!("{NODE_PREFIX}{}", node.internal_address());
    let write = Write { key: &key, expected: None, value: b"", lease: lease.id };
    if !matches!(store.write(write).await, Reply::Done(_)) {
        return RENEW_INTERVAL / 2;
    }
    leadership.lease.set(Some(lease.id));
    node.claim.borrow_mut().renewed(asked + lease.ttl);
    // The follower has listed the store by the time a watch can tell of the key.
    leadership.known.set(node.synced.get().is_some());
    RENEW_INTERVAL / 2
}

async fn renew(node: &Node, store: &Store, leadership: &Leadership, lease: LeaseId) -> Duration {
    leadership.known.set(node.synced.get().is_some());
    let asked = node.now();
    match store.renew(lease).await {
        Reply::Done(_) => {
            let ttl = LEASE_TTL.max(node.settings.least_lease);
            node.claim.borrow_mut().renewed(asked + ttl);
            RENEW_INTERVAL
        }
        Reply::Missing => {
            leadership.step_down(node);
            Duration::ZERO
        }
        _ => RENEW_INTERVAL / 3,
    }
}

async fn claim(node: &Node, store: &Store, lease: LeaseId) {
    // Spread over nodes, so that most see the winner's key before they try.
    sleep(Duration::from_millis(60).mul_f64(node.luck())).await;
    let value = identity(node);
    let write = Write { key: LEADER_KEY, expected: Some(0), value: value.as_bytes(), lease };
    let reply = store.write(write).await;
    let event = Event::new(LEADING).with("claimed", matches!(reply, Reply::Done(_)));
    log::info!("{event}");
}
