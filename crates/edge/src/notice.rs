//! Notices that targets give in their answers: that they are draining, or request a pause.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use fleet::Event;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use site::Rate;

use crate::event::{BACKED_OFF, TARGET_LEAVES, TARGET_LIMITED};
use crate::node::Node;
use crate::pool::{Exchange, Unanswered};
use crate::store::log_undecodable;
use crate::used::Used;

/// Upper limit of the random extension of a pause, as a share of it: prevents all nodes from
/// returning at once.
const SPREAD: f64 = 0.1;
/// Lower bound on that limit.
const MIN_SPREAD: Duration = Duration::from_millis(100);

impl Node {
    /// Sends a request to a target over a connection that it has not used yet, and applies the
    /// notices in the answer.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        used: &Used,
    ) -> Result<Exchange, Unanswered> {
        let exchange = self.pool.send(address, request, used).await.inspect_err(|unanswered| {
            if matches!(unanswered, Unanswered::Refused | Unanswered::NotSent) {
                self.contact.borrow_mut().record_no_connection(address);
            }
        })?;
        self.record_contact(self.now());
        if exchange.is_new_connection {
            self.record_connection();
        }
        self.apply_notice(address, exchange.response.status(), exchange.response.headers());
        self.apply_limit(address, exchange.response.headers());
        Ok(exchange)
    }

    /// Applies the notices in an answer of the target at `address`.
    pub(crate) fn apply_notice(
        &self,
        address: SocketAddr,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        if let Err(error) = platform::retry_after(status, headers) {
            log_undecodable(&address.to_string(), &error);
        }
        let notice = platform::notice(status, headers);
        if notice.is_empty() {
            return;
        }
        if notice.draining {
            self.apply_draining(address);
        }
        if let Some(pause) = notice.backoff {
            self.apply_backoff(address, pause);
            // The pause applies to the engine at fault as well as to the one that answered.
            if let Some(at_fault) =
                platform::faulty_engine(headers).filter(|other| *other != address)
            {
                self.apply_backoff(at_fault, pause);
            }
        }
    }

    /// Logs and counts a limit that the target at `address` names, if it is another one than before.
    fn apply_limit(&self, address: SocketAddr, headers: &HeaderMap) {
        let limit = match platform::limit(headers) {
            Ok(limit) => limit,
            Err(error) => return log_undecodable(&address.to_string(), &error),
        };
        let mut limits = self.limits.borrow_mut();
        let before = match limit {
            Some(limit) => limits.insert(address, limit),
            None => limits.remove(&address),
        };
        metrics::gauge!("magnolia_limited_targets").set(limits.len() as f64);
        if before == limit {
            return;
        }
        let show = |limit: Option<Rate>| limit.map_or("none".to_owned(), |limit| limit.to_string());
        let event = Event::new(TARGET_LIMITED)
            .with("address", address)
            .with("per_second", show(limit))
            .with("before", show(before));
        log::info!("{event}");
    }

    fn apply_draining(&self, address: SocketAddr) {
        let Some(target) = self.table.borrow_mut().mark_draining(address) else { return };
        let event = Event::new(TARGET_LEAVES).with("target", target).with("address", address);
        log::warn!("{event}");
        metrics::counter!("magnolia_targets_leaving").increment(1);
        self.alarm.notify_one();
        self.routing_changed.notify_waiters();
    }

    fn apply_backoff(&self, address: SocketAddr, pause: Duration) {
        let now = self.now();
        let spread = pause.mul_f64(SPREAD).max(MIN_SPREAD).mul_f64(self.random_fraction());
        let total = pause.saturating_add(spread);
        let Some(target) = self.table.borrow_mut().back_off(now, address, total) else { return };
        let event = Event::new(BACKED_OFF)
            .with("target", target)
            .with("address", address)
            .with("pause_ms", pause.as_millis());
        log::warn!("{event}");
        metrics::counter!("magnolia_targets_backed_off").increment(1);
        self.alarm.notify_one();
    }

    /// Returns the retry delay for a caller whose target is available again after the time `left`.
    pub(crate) fn after_backoff(&self, left: Duration) -> Duration {
        left + left.mul_f64(SPREAD).mul_f64(self.random_fraction())
    }
}
