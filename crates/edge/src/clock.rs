//! The clock of the process.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the process started, including time for which the VM is suspended, which
/// `std::time::Instant` leaves out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Duration,
}

impl Clock {
    /// Returns a clock that starts now.
    pub(crate) fn start() -> Self {
        Self { start: read() }
    }

    /// Returns the time since the start.
    pub(crate) fn now(self) -> Duration {
        read().saturating_sub(self.start)
    }
}

fn read() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
