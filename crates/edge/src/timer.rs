//! A timer for a time that changes.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep, sleep};

/// A timer. Times are those since the start of the process.
pub(crate) struct Timer {
    sleep: Pin<Box<Sleep>>,
    /// Time for which it is set.
    at: Option<Duration>,
}

impl Timer {
    pub(crate) fn new() -> Self {
        Self { sleep: Box::pin(sleep(Duration::ZERO)), at: None }
    }

    /// Waits until the time `at`.
    pub(crate) fn poll_until(
        &mut self,
        context: &mut Context<'_>,
        now: Duration,
        at: Duration,
    ) -> Poll<()> {
        if self.at != Some(at) {
            self.at = Some(at);
            self.sleep.as_mut().reset(Instant::now() + at.saturating_sub(now));
        }
        let elapsed = self.sleep.as_mut().poll(context);
        if elapsed.is_ready() {
            self.at = None;
        }
        elapsed
    }
}
