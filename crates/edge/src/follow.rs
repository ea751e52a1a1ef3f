//! Follows the store: the configuration, the targets, and the nodes of this system.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::{Event, Version};
use platform::kv::{Item, Page};
use platform::{CONFIG_KEY, TARGET_PREFIX};
use site::{Config, Service, Target};
use tokio::pin;
use tokio::time::sleep;

use crate::event::{
    CONFIG_READABLE, CONFIG_UNREADABLE, CONFIGURED, HISTORY_LOST, RELAYED, STORE_BACK,
    TARGET_CHANGED, TARGET_GONE,
};
use crate::lead::Leadership;
use crate::node::{Node, UNREADY_AFTER};
use crate::replica::Listing;
use crate::store::{Reply, Store, log_undecodable};
use crate::stored::{LEADER_KEY, MARK_KEY, NODE_PREFIX, QUARANTINE_PREFIX};
use crate::unnamed::Unnamed;
use crate::watch::{Watch, batch_pause};

/// Pause before a failed call is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Maximum pause between retries, after repeated failures.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Age of the known state at which a node queries the store itself, although other nodes had proved
/// the state before.
const STALE_AFTER: Duration = Duration::from_millis(2200);
/// Length of an outage after which entries may have lapsed although their targets are alive.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(3000);
/// Time after the store's return within which live targets have registered again.
const REREGISTRATION_TIME: Duration = Duration::from_millis(1900);

/// Keeps this node's copy of the store's state up to date.
pub(crate) struct Follower {
    node: Rc<Node>,
    store: Rc<Store>,
    leadership: Rc<Leadership>,
    /// Other nodes and this one, as registered in the store.
    nodes: HashSet<String>,
    /// Entries whose service the configuration does not name.
    unnamed: Unnamed,
    /// Time until which a missing entry does not remove its target.
    lenient_until: Duration,
    /// Whether this node relies on other nodes' proofs that nothing has changed.
    relayed: bool,
}

impl Follower {
    /// Returns a follower without any state.
    pub(crate) fn new(node: Rc<Node>, store: Rc<Store>, leadership: Rc<Leadership>) -> Self {
        let (nodes, unnamed, lenient_until, relayed) = Default::default();
        Self { node, store, leadership, nodes, unnamed, lenient_until, relayed }
    }

    /// Follows the store until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            if !self.list().await {
                sleep(RETRY_PAUSE).await;
                continue;
            }
            self.watch().await;
            if self.node.replica.borrow().is_listed() {
                log::warn!("{}", Event::new(HISTORY_LOST));
            }
        }
    }

    /// Lists all keys. Returns whether the list is complete: a call may fail, or a new era of the
    /// store begin meanwhile.
    async fn list(&mut self) -> bool {
        let started_at = self.node.now();
        let mut listing = Listing::default();
        let mut after: Option<String> = None;
        loop {
            let Some(page) = self.store.range("", after.as_deref()).await else { return false };
            if !self.node.replica.borrow().accept_page(&mut listing, &page) {
                return false;
            }
            after = page.items.last().map(|item| item.key.clone());
            page.items.into_iter().for_each(|item| self.apply_item(item));
            if !page.has_more || after.is_none() {
                self.complete_list(listing);
                self.record_synced(started_at);
                return true;
            }
        }
    }

    /// Removes the known keys that a list does not have.
    fn complete_list(&mut self, listing: Listing) {
        if !self.node.replica.borrow().is_listed() {
            // Targets write their entries again after a change of era.
            self.lenient_until = self.node.now() + REREGISTRATION_TIME;
        }
        let removals = self.node.replica.borrow_mut().complete(listing);
        for item in removals {
            if item.key.starts_with(QUARANTINE_PREFIX) {
                self.node.restore_quarantine_entry(&item.key);
            } else {
                self.apply_change(item);
            }
        }
    }

    /// Watches for changes until the store no longer has their history, or a new era begins.
    async fn watch(&mut self) {
        let mut pause = RETRY_PAUSE;
        let mut has_failed = false;
        loop {
            if !self.node.replica.borrow().is_listed() {
                return;
            }
            let now = self.node.now();
            let watch = match has_failed {
                true => Watch::immediate(now),
                false => self.next_watch(now),
            };
            if watch.is_long() {
                self.set_relayed(true);
            }
            match self.next_answer(watch).await {
                // No node proves the state any more. The next watch is shorter.
                None => self.set_relayed(false),
                Some(Ok(page)) => {
                    if !self.node.replica.borrow_mut().accept_changes(&page) {
                        return;
                    }
                    let has_changes = !page.items.is_empty();
                    let known_until = watch.known_until(self.node.now(), has_changes);
                    self.record_synced(known_until);
                    (pause, has_failed) = (RETRY_PAUSE, false);
                    let changes_leader = page.items.iter().any(|item| item.key == LEADER_KEY);
                    let changes_config = page.items.iter().any(|item| item.key == CONFIG_KEY);
                    for item in page.items {
                        self.apply_item(item);
                    }
                    if changes_config {
                        self.record_config_write(known_until);
                    }
                    if has_changes && !changes_leader {
                        let vms = self.node.table.borrow().vms;
                        sleep(batch_pause(vms, self.node.max_store_age())).await;
                    }
                }
                Some(Err(Reply::HistoryLost)) => return,
                Some(Err(_)) => {
                    sleep(pause).await;
                    pause = (pause * 2).min(MAX_RETRY_PAUSE);
                    has_failed = true;
                }
            }
        }
    }

    /// Returns the next watch, for a call at `now`.
    fn next_watch(&self, now: Duration) -> Watch {
        let synced = self.node.synced.get();
        let relay = self.node.relay.borrow();
        let is_fresh = synced.is_some_and(|synced| now.saturating_sub(synced) < STALE_AFTER / 2);
        let max_age = self.node.max_store_age();
        // Proofs of other nodes are too old for a bound on withdrawn keys below this age.
        if is_fresh && max_age >= UNREADY_AFTER && relay.has_recent_proof(now) {
            return Watch::long(now);
        }
        let watch = Watch::new(now, synced, max_age);
        if relay.serves_others() { watch.shortened() } else { watch }
    }

    /// Records and logs whether this node relies on other nodes' proofs.
    fn set_relayed(&mut self, relayed: bool) {
        if relayed == std::mem::replace(&mut self.relayed, relayed) {
            return;
        }
        let age = self.node.now().saturating_sub(self.node.synced.get().unwrap_or_default());
        let event = Event::new(RELAYED)
            .with("goes_by_others", relayed)
            .with("revision", self.node.replica.borrow().position().revision())
            .with("age_ms", age.as_millis());
        log::info!("{event}");
    }

    /// Waits for the answer to a watch and applies proofs of other nodes meanwhile. Returns `None`
    /// when a long watch is pending and the proofs have stopped.
    async fn next_answer(&mut self, watch: Watch) -> Option<Result<Page, Reply>> {
        let store = self.store.clone();
        let revision = self.node.replica.borrow().position().revision();
        let answer = store.watch("", revision, watch.wait());
        pin!(answer);
        loop {
            let synced = self.node.synced.get().unwrap_or_default();
            let stale = (synced + STALE_AFTER).saturating_sub(self.node.now());
            tokio::select! {
                answer = &mut answer => return Some(answer),
                () = self.node.proof_received.notified() => {
                    if let Some(proof) = self.node.peer_proof.take() {
                        self.record_synced(proof);
                    }
                }
                () = sleep(stale), if watch.is_long() => return None,
                () = self.node.era_changed.notified() => return None,
            }
        }
    }

    /// Records that the configuration was written at the time `at` or later, in the present era.
    fn record_config_write(&self, at: Duration) {
        // An older one is not the last that the operators write.
        if self.node.version_unknown_to_store().is_none() {
            self.node.recency.borrow_mut().record_write(at);
        }
    }

    /// Records that the state up to the time `at` is known.
    fn record_synced(&mut self, at: Duration) {
        let before = self.node.synced.get().unwrap_or_default();
        let age = at.saturating_sub(before);
        if age > OUTAGE_THRESHOLD {
            self.lenient_until = self.node.now() + REREGISTRATION_TIME;
            let event = Event::new(STORE_BACK).with("purpose", "follow");
            log::info!("{}", event.with("age_ms", age.as_millis()));
        }
        self.node.synced.set(Some(before.max(at)));
        self.node.recency.borrow_mut().record_synced(at);
        let window = self.node.settings.bounds.retry_window;
        self.node.sharers.borrow_mut().confirm_present(at, window);
    }

    /// Applies an item unless the known one of its key is as late.
    fn apply_item(&mut self, item: Item) {
        if self.node.replica.borrow_mut().accept_item(&item) {
            self.apply_change(item);
        }
    }

    fn apply_change(&mut self, item: Item) {
        if item.key == CONFIG_KEY {
            self.apply_config(&item);
        } else if let Some(id) = item.key.strip_prefix(TARGET_PREFIX) {
            self.apply_target(id, &item);
        } else if item.key == MARK_KEY {
            self.node.apply_mark(&item);
        } else if item.key == LEADER_KEY {
            self.leadership.update_leader(&self.node, &item);
        } else if let Some(name) = item.key.strip_prefix(NODE_PREFIX) {
            match item.value {
                Some(_) => self.nodes.insert(name.to_owned()),
                None => self.nodes.remove(name),
            };
            self.update_nodes();
        } else if item.key.starts_with(QUARANTINE_PREFIX) {
            self.node.apply_quarantine_entry(&item);
        }
    }

    fn update_nodes(&self) {
        let own = self.node.internal_address();
        self.leadership.update_registration(self.nodes.contains(&own.to_string()));
        let addresses = self.nodes.iter().filter_map(|name| name.parse().ok());
        let peers: Vec<SocketAddr> = addresses.filter(|address| *address != own).collect();
        self.node.table.borrow_mut().vms = peers.len() + 1;
        self.node
            .sharers
            .borrow_mut()
            .set_present(self.node.now(), peers.iter().copied().collect());
        self.node.permits.borrow_mut().set_registered(peers.iter().copied().collect());
        self.node.relay.borrow_mut().set_nodes(own, &peers);
        *self.node.peers.borrow_mut() = peers;
    }

    fn apply_config(&mut self, item: &Item) {
        let Some(value) = &item.value else { return self.set_stored_version(0) };
        let config = match platform::decode_config(value) {
            Ok(config) => config,
            Err(error) => return self.record_unreadable(item, value, &error),
        };
        self.set_stored_version(config.version);
        let current = self.node.config_version();
        if config.version <= current && current > 0 {
            return;
        }
        let event = Event::new(CONFIGURED)
            .with("version", config.version)
            .with("before", current)
            .with("revision", item.position.revision())
            .with("services", list_services(&config));
        log::info!("{event}");
        metrics::gauge!("magnolia_configuration_version").set(config.version as f64);
        self.node.bound_uploads(&config.limits);
        *self.node.config.borrow_mut() = Some(Rc::new(config));
        self.node.routing_changed.notify_waiters();
        for item in self.unnamed.take_all() {
            self.apply_change(item);
        }
    }

    /// Records a configuration that cannot be read.
    fn record_unreadable(&self, item: &Item, value: &[u8], error: &platform::Error) {
        let version = platform::config_version(value);
        let in_force = self.node.config_version();
        self.node.recency.borrow_mut().record_unreadable(version, in_force);
        metrics::gauge!("magnolia_configuration_unreadable")
            .set(f64::from(self.node.is_outdated()));
        let event = Event::new(CONFIG_UNREADABLE)
            .with("version", version.map_or("unknown".to_owned(), |version| version.to_string()))
            .with("in_force", in_force)
            .with("refuses", self.node.is_outdated())
            .with("revision", item.position.revision())
            .with("reason", error);
        log::error!("{event}");
    }

    fn set_stored_version(&self, version: Version) {
        let was_outdated = self.node.is_outdated();
        self.node.recency.borrow_mut().set_stored(version);
        if was_outdated && !self.node.is_outdated() {
            metrics::gauge!("magnolia_configuration_unreadable").set(0.0);
            log::warn!("{}", Event::new(CONFIG_READABLE).with("version", version));
        }
        if self.node.version_unknown_to_store().is_some() {
            // Other nodes may know only the store's.
            self.node.alarm.notify_one();
        }
    }

    /// Returns whether an entry names a target of a known service, or one that is known already.
    fn is_named(&self, target: &Target) -> bool {
        let config = self.node.config();
        let is_service = config.is_none_or(|config| config.service(&target.service).is_some());
        is_service || self.node.table.borrow().entry(&target.id).is_some()
    }

    fn apply_target(&mut self, id: &str, item: &Item) {
        self.unnamed.remove(&item.key);
        let now = self.node.now();
        let Some(value) = &item.value else {
            self.node.table.borrow_mut().mark_missing(id, now.max(self.lenient_until));
            expire(&self.node);
            return;
        };
        match platform::decode_target(id, value) {
            Ok(target) if !self.is_named(&target) => self.unnamed.insert(item.clone()),
            Ok(target) => {
                let event = Event::new(TARGET_CHANGED)
                    .with("target", id)
                    .with("service", &target.service)
                    .with("domain", &target.domain)
                    .with("card", &target.card)
                    .with("born", target.started_unix_ms)
                    .with("state", format_args!("{:?}", target.state))
                    .with("layers", format_args!("{:?}", target.layers))
                    .with("revision", item.position.revision());
                let replaced = self.node.table.borrow().replaced_by(&target);
                let now = self.node.now();
                let is_copied = !self.node.replica.borrow().is_listed();
                let mut table = self.node.table.borrow_mut();
                let is_changed =
                    if is_copied { table.set_copied(now, target) } else { table.set(now, target) };
                drop(table);
                if is_changed {
                    log::info!("{event}");
                    self.node.routing_changed.notify_waiters();
                }
                for target in &replaced {
                    self.node.record_target_loss(target);
                    self.node.permits.borrow_mut().forget(now, target.address);
                }
                self.node.publish_limits(None);
            }
            Err(error) => log_undecodable(&item.key, &error),
        }
    }
}

/// Lists the services and their kinds for the log.
fn list_services(config: &Config) -> String {
    let name = |service: &Service| {
        let kind = if service.model.is_some() { "model" } else { "plain" };
        format!("{}:{kind}", service.name)
    };
    config.services().map(name).collect::<Vec<_>>().join(",")
}

/// Removes targets whose entries have lapsed for long enough.
pub(crate) fn expire(node: &Node) {
    let gone = node.table.borrow_mut().expire(node.now());
    for target in &gone {
        log::info!("{}", Event::new(TARGET_GONE).with("target", &target.id));
    }
    if !gone.is_empty() {
        node.routing_changed.notify_waiters();
    }
}
