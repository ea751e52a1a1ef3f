//! Notices that targets give in their answers: that they are draining, or request a pause.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use fleet::Event;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use platform::head;

use crate::event::{BACKED_OFF, TARGET_LEAVES};
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
        let (sent_at, id) = (self.now(), request.headers().get(head::REQUEST_ID).cloned());
        self.permits.borrow_mut().record_sent(sent_at, address);
        let exchange = self.pool.send(address, request, used).await.inspect_err(|unanswered| {
            if matches!(unanswered, Unanswered::Refused | Unanswered::NotSent) {
                self.contact.borrow_mut().record_no_connection(address);
                self.permits.borrow_mut().give_back(self.now(), address);
            }
            if matches!(unanswered, Unanswered::Malformed(_)) {
                // A target that sends a malformed response is within reach.
                self.record_contact(self.now());
            }
        })?;
        self.record_contact(self.now());
        if exchange.is_new_connection {
            self.record_connection();
        }
        self.apply_notice(address, exchange.response.status(), exchange.response.headers());
        let headers = exchange.response.headers();
        // The answer to another request may be an old one.
        if headers.get(head::REQUEST_ID) == id.as_ref() {
            self.apply_limit(address, sent_at, headers);
        }
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
