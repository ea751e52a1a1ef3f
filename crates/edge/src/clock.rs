//! The clock of the process.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the process began. It counts on while the VM is suspended, which the steady
/// clock of the standard library does not.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Duration,
}

impl Clock {
    /// A clock that begins now.
    pub(crate) fn start() -> Self {
        Self { start: read() }
    }

    /// Time since the start.
    pub(crate) fn now(self) -> Duration {
        read().saturating_sub(self.start)
    }
}

fn read() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
