//! Streaming requests to engines that limit the requests per second that they take.

use std::time::Duration;

use limit::permit::Class;
use path::Path;

use crate::dispatch::{Dispatch, NO_PATH, NO_RETRY};
use crate::permit::patience;

/// Reason of a request for which the limits of all engines are used up at which a path can start.
pub(crate) const LIMITED: &str = "limit used up";
/// Maximum wait of a new request for a permit.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// Maximum wait of a stream that resumes, whose caller leaves after a gap of some seconds.
const MAX_RESUMPTION_WAIT: Duration = Duration::from_millis(1000);
/// Maximum number of engines whose permits are denied to a request in a row.
const MAX_DENIALS: u32 = 8;

impl Dispatch {
    /// Returns the class of the next attempt.
    pub(crate) fn class(&self) -> Class {
        if self.has_begun { Class::Resumption } else { Class::Request }
    }

    /// Returns the time for which the request can wait for a permit: none beside another attempt.
    fn patience(&self) -> Duration {
        if !self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let max = if self.has_begun { MAX_RESUMPTION_WAIT } else { MAX_WAIT };
        patience(max, self.time_left())
    }

    /// Returns the best path whose first engine takes the request after a wait, because there is no
    /// other for this reason.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub(crate) fn find_limited_path(
        &self,
        now: Duration,
        reason: &'static str,
    ) -> Result<Path, &'static str> {
        let path = self.find_open_path(now, None, self.patience());
        path.map_err(|_| match self.find_open_path(now, None, Duration::MAX - now) {
            Ok(_) => LIMITED,
            Err(_) => reason,
        })
    }

    /// Returns the best path, with the permit of its first engine and the retry for another offer.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub(crate) async fn await_permitted_path(&mut self) -> Result<Path, &'static str> {
        for _ in 0..MAX_DENIALS {
            let path = self.await_path().await?;
            if self.offers > 0 && !self.take_retry().await {
                return Err(NO_RETRY);
            }
            if self.take_permit(&path).await {
                return Ok(path);
            }
            self.keep_retry();
            if self.time_left().is_zero() {
                return Err(NO_PATH);
            }
        }
        Err(LIMITED)
    }

    /// Takes a permit for the first engine of a path. Returns whether there is one.
    async fn take_permit(&self, path: &Path) -> bool {
        let address = path.first().address;
        self.node.take_permit(&self.call, address, self.class(), self.patience()).await
    }
}
