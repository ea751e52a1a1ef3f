//! Client of the platform's store. A watch occupies one connection, and other calls use another.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fleet::Event;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use platform::kv::{self, Era, LeaseId, Page, Revision, Write};
use tokio::time::timeout;

use crate::body::{self, Room};
use crate::event::{STORE_BACK, STORE_LOST, STORE_RESTORED, UNDECODABLE};
use crate::node::Node;
use crate::pool::Unanswered;
use crate::replica::Stated;
use crate::used::Used;

/// Maximum wait for an answer of the store, in addition to the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum size of an answer: a page holds about a megabyte of values, or one larger value.
pub(crate) const MAX_PAGE_BYTES: usize = 16 << 20;

/// Outcome of a call.
#[derive(Debug)]
pub(crate) enum Reply {
    /// The call succeeded. Holds the body of the answer, and its era.
    Done(Bytes, Era),
    /// The condition of the call did not hold (412).
    Conflict,
    /// The key or lease that the call names does not exist (404).
    Missing,
    /// The requested history is no longer available (410).
    HistoryLost,
    /// The call had no effect.
    NotDone,
    /// The call may have had an effect.
    Unknown,
}

/// The client of the store.
pub(crate) struct Store {
    node: Rc<Node>,
    address: SocketAddr,
    is_failing: Cell<bool>,
}

impl Store {
    /// Returns a client of the store in the node's settings.
    pub(crate) fn new(node: Rc<Node>) -> Self {
        let address = node.settings.store;
        Self { node, address, is_failing: Cell::new(false) }
    }

    /// Lists a page of the keys under `prefix` that follow `after`.
    pub(crate) async fn range(&self, prefix: &str, after: Option<&str>) -> Option<Page> {
        let call = kv::range_request(self.address, prefix, after);
        let Reply::Done(bytes, era) = self.call("range", call, Duration::ZERO).await else {
            return None;
        };
        ok_or_log("range", kv::decode_range(&bytes, era))
    }

    /// Waits for changes under `prefix` after the revision `after`.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Page, Reply> {
        let call = kv::watch_request(self.address, prefix, after, wait);
        match self.call("watch", call, wait).await {
            Reply::Done(bytes, era) => {
                ok_or_log("watch", kv::decode_watch(&bytes, era)).ok_or(Reply::NotDone)
            }
            other => Err(other),
        }
    }

    /// Requests a lease.
    pub(crate) async fn lease(&self, ttl: Duration) -> Option<kv::Lease> {
        let call = kv::lease_request(self.address, ttl);
        let Reply::Done(bytes, _) = self.call("lease", call, Duration::ZERO).await else {
            return None;
        };
        ok_or_log("lease", kv::decode_lease(&bytes))
    }

    pub(crate) async fn renew(&self, lease: LeaseId) -> Reply {
        self.call("renew", kv::renew_request(self.address, lease), Duration::ZERO).await
    }

    /// Ends a lease, which removes its keys.
    pub(crate) async fn end(&self, lease: LeaseId) -> Reply {
        self.call("end", kv::end_lease_request(self.address, lease), Duration::ZERO).await
    }

    pub(crate) async fn write(&self, write: Write<'_>) -> Reply {
        self.call("write", kv::write_request(self.address, write), Duration::ZERO).await
    }

    /// Removes a key that still has the revision `expected`.
    pub(crate) async fn remove(&self, key: &str, expected: Revision) -> Reply {
        let call = kv::remove_request(self.address, key, expected);
        self.call("remove", call, Duration::ZERO).await
    }

    async fn call(
        &self,
        purpose: &'static str,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Reply {
        let limit = wait + CALL_TIMEOUT;
        let reply = match timeout(limit, self.exchange(request)).await {
            Ok(reply) => reply,
            Err(_) => Reply::Unknown,
        };
        let failed = matches!(reply, Reply::NotDone | Reply::Unknown);
        metrics::counter!("magnolia_store_calls", "purpose" => purpose, "failed" => failed.to_string())
            .increment(1);
        if failed != self.is_failing.replace(failed) {
            let kind = if failed { STORE_LOST } else { STORE_BACK };
            let outcome = if failed { format!("{reply:?}") } else { "answered".to_owned() };
            log::warn!("{}", Event::new(kind).with("purpose", purpose).with("outcome", outcome));
        }
        reply
    }

    /// Records the era that an answer states. Returns the era of the answer, `None` if it is not
    /// the latest one. An answer without a readable era counts as one of the known era.
    fn accept_era(&self, stated: Option<Era>) -> Option<Era> {
        let verdict = self.node.replica.borrow_mut().accept_era(stated);
        let era = self.node.replica.borrow().era();
        match verdict {
            Stated::Known => {}
            Stated::Earlier => {
                metrics::counter!("magnolia_store_answers_of_earlier_eras").increment(1);
                return None;
            }
            Stated::Later { before } => self.begin_era(era, before),
        }
        Some(era)
    }

    fn begin_era(&self, era: Era, before: Era) {
        metrics::gauge!("magnolia_store_era").set(era as f64);
        // A node that starts cannot know when the store came back.
        self.node.recency.borrow_mut().begin_era(self.node.now());
        if self.node.synced.get().is_none() {
            return;
        }
        let event = Event::new(STORE_RESTORED)
            .with("era", era)
            .with("before", before)
            .with("revision", self.node.replica.borrow().position().revision());
        log::warn!("{event}");
        // The lease of the leader may have been granted after the copy was taken.
        self.node.claim.borrow_mut().clear_lease();
        self.node.era_changed.notify_waiters();
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Reply {
        let exchange = match self.node.pool.send(self.address, request, &Used::default()).await {
            Ok(exchange) => exchange,
            Err(Unanswered::Refused | Unanswered::NotSent) => return Reply::NotDone,
            Err(Unanswered::Unknown | Unanswered::Malformed(_)) => return Reply::Unknown,
        };
        let (response, connection) = exchange.split();
        let status = response.status();
        let Some(era) = self.accept_era(kv::era(response.headers())) else {
            return Reply::Unknown;
        };
        let holding = self.node.store_answers.begin(self.address);
        let body = body::read(response.into_body(), MAX_PAGE_BYTES, holding, Room::Awaited).await;
        let Ok(body) = body else { return Reply::Unknown };
        self.node.pool.release(connection);
        match status {
            StatusCode::OK => Reply::Done(body, era),
            StatusCode::NOT_FOUND => Reply::Missing,
            StatusCode::PRECONDITION_FAILED => Reply::Conflict,
            StatusCode::GONE => Reply::HistoryLost,
            _ => Reply::NotDone,
        }
    }
}

fn ok_or_log<T>(purpose: &'static str, result: Result<T, platform::Error>) -> Option<T> {
    match result {
        Ok(value) => Some(value),
        Err(error) => {
            log_undecodable(purpose, &error);
            None
        }
    }
}

/// Logs a value that cannot be decoded; `key` names its key, the call or the target that sent it.
pub(crate) fn log_undecodable(key: &str, error: &platform::Error) {
    log::warn!("{}", Event::new(UNDECODABLE).with("key", key).with("reason", error));
}
