//! Search of the path for the next attempt at a streaming request.

use std::net::SocketAddr;
use std::time::Duration;

use path::{Path, Query, Stage};
use tokio::time::{sleep, timeout};

use crate::call::Call;
use crate::dispatch::{Dispatch, NO_ATTEMPT, NO_PATH};
use crate::event::REQUEST_AWAITS_PATH;
use crate::room::Admission;

/// Share of an engine's memory above which new requests are refused.
pub(crate) const MAX_PRESSURE: f64 = limit::admission::FULL_PRESSURE;
/// Maximum wait for the link between failure domains. Engines mostly load layers that are missing
/// in a domain in less time.
const MAX_CROSSING_WAIT: Duration = Duration::from_millis(800);
/// Interval at which a waiting request looks for a path that does not cross, or for a free link.
const CROSSING_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum wait of a new request for engines that may only be silent. A probe reaches them several
/// times within it.
const MAX_SILENCE_WAIT: Duration = Duration::from_millis(500);
/// Reason of a request whose best path has no memory left.
pub(crate) const FULL: &str = "full";
/// Reason of a request whose paths all cross failure domains, while the link is in use.
const LINK_BUSY: &str = "link busy";

impl Dispatch {
    /// Returns the best path at `now`. A stream that was cut may resume at an excluded target if
    /// there is no other. A request without an attempt left, also one whose stream was cut before
    /// its first event, may run only at engines where it has run.
    pub(crate) fn find_path(&self, now: Duration) -> Result<Path, &'static str> {
        self.find_path_after(now, None)
    }

    /// Returns the path that [`Dispatch::find_path`] returns once the request has also run at
    /// `next`.
    pub(crate) fn find_path_after(
        &self,
        now: Duration,
        next: Option<&Stage>,
    ) -> Result<Path, &'static str> {
        self.find_open_path(now, next, Duration::ZERO)
    }

    /// Returns the path that [`Dispatch::find_path_after`] returns if it may start at engines whose
    /// limits are used up for up to `patience`.
    pub(crate) fn find_open_path(
        &self,
        now: Duration,
        next: Option<&Stage>,
        patience: Duration,
    ) -> Result<Path, &'static str> {
        let closed = self.node.permits.borrow().closed(now, self.class(), patience);
        let find = |avoid: &[SocketAddr], first: Option<&[SocketAddr]>| {
            let criteria = self.criteria(avoid, first, &closed);
            self.node.table.borrow().path(now, &self.model, &criteria)
        };
        let ran = self.ran.iter().chain(next).map(|stage| stage.address).collect::<Vec<_>>();
        let (allowed_first, missing) = match self.would_exhaust_attempts(next) {
            true => (Some(ran.as_slice()), NO_ATTEMPT),
            false => (None, NO_PATH),
        };
        let path = find(&self.excluded, allowed_first);
        path.or_else(|| if self.has_begun { find(&[], allowed_first) } else { None }).ok_or(missing)
    }

    pub(crate) fn criteria<'a>(
        &'a self,
        excluded: &'a [SocketAddr],
        allowed_first: Option<&'a [SocketAddr]>,
        closed_first: &'a [SocketAddr],
    ) -> Query<'a> {
        let (service, tokens, prompt) = (&self.call.service, self.call.tokens, self.prompt());
        Query { service, excluded, allowed_first, closed_first, tokens, prompt }
    }

    /// Returns the time until a path is available, if paused engines are the only obstacle.
    pub(crate) fn time_to_path(&self) -> Option<Duration> {
        let criteria = self.criteria(&[], None, &[]);
        self.node.table.borrow().path_available_in(self.node.now(), &self.model, &criteria)
    }

    /// Returns whether a new request for which there is no path may wait for one, because the engines
    /// that it lacks may only be silent. Another node that reaches its targets serves it at once.
    fn may_await_silent(&self, waited: Duration) -> bool {
        let (node, now) = (&self.node, self.node.now());
        let is_new = !self.has_begun && self.waiting.is_empty();
        let has_time = waited < MAX_SILENCE_WAIT && !self.time_left().is_zero();
        is_new
            && has_time
            && !(node.doubts_targets() && node.may_forward(&self.call))
            && node.table.borrow().has_path_beyond_silence(
                now,
                &self.model,
                &self.criteria(&self.excluded, None, &[]),
            )
    }

    /// Returns the best path that has room for the request. Waits if there is none only because
    /// engines are silent or have no memory left, or if it crosses failure domains while the link
    /// between them is in use.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub(crate) async fn await_path(&mut self) -> Result<Path, &'static str> {
        let called_at = self.node.now();
        let mut logged = false;
        let mut admission = Admission::default();
        loop {
            admission.turn().await?;
            let now = self.node.now();
            let waited = now.saturating_sub(called_at);
            let path = self.find_path(now).or_else(|reason| self.find_limited_path(now, reason));
            let path = match path {
                Ok(path) => path,
                Err(NO_PATH) if self.may_await_silent(waited) => {
                    if !std::mem::replace(&mut logged, true) {
                        log_awaiting(&self.call);
                    }
                    let left = MAX_SILENCE_WAIT.saturating_sub(waited).min(self.time_left());
                    // Both outcomes lead to another search.
                    timeout(left, self.node.routing_changed.notified()).await.ok();
                    continue;
                }
                Err(reason) => return Err(reason),
            };
            self.pressure = path.pressure;
            if !self.has_begun && !self.is_admitted_to(&path, &mut admission).await? {
                continue;
            }
            // A stream that resumes does not wait: its caller has been waiting for some time.
            if !path.crosses || self.has_begun || self.node.table.borrow().may_cross() {
                return Ok(path);
            }
            if waited >= MAX_CROSSING_WAIT || !self.waiting.is_empty() {
                return Err(LINK_BUSY);
            }
            sleep(CROSSING_POLL_INTERVAL).await;
        }
    }
}

/// Logs that a new request waits for engines that may only be silent.
fn log_awaiting(call: &Call) {
    let event = call.event(REQUEST_AWAITS_PATH);
    log::info!("{}", event.with("service", &call.service));
    metrics::counter!("magnolia_requests_awaiting_path").increment(1);
}
