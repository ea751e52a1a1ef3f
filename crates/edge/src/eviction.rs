//! Decides which connection is closed when there is no room for another one, or for what another
//! one sends. Uses neither a clock nor a socket.

use std::time::Duration;

/// Time without progress after which a connection may be closed for another one. The rest of a
/// request that has begun arrives within a round trip, unless its caller stalls.
pub const STALL_TIME: Duration = Duration::from_millis(150);
/// Time without progress after which a connection whose answer is not read may be closed for another
/// one: longer than a lost packet takes to be sent again.
pub const UNREAD_TIME: Duration = Duration::from_secs(1);
/// Maximum wait for room: longer than the time after which a stalled connection may be closed for it.
pub const MAX_ROOM_WAIT: Duration = Duration::from_millis(400);
/// Interval at which one without room looks again for a stalled connection.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum interval of log lines about connections that are closed for others.
pub(crate) const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes that count as progress: a caller that sends single bytes makes none.
pub const PROGRESS_BYTES: u64 = 512;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The first request, or the rest of one.
    Incomplete,
    /// The answer to a whole request.
    Running,
    /// Its caller, to read the answer.
    Unread,
    /// The next request.
    Idle,
}

/// What a connection waits for, since its last progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// What it waits for.
    pub phase: Phase,
    /// Time of its last progress.
    pub since: Duration,
}

impl Standing {
    /// Returns whether the connection may be closed for another one.
    fn is_stalled(self, now: Duration) -> bool {
        let time = now.saturating_sub(self.since);
        match self.phase {
            Phase::Incomplete | Phase::Idle => time >= STALL_TIME,
            Phase::Unread => time >= UNREAD_TIME,
            Phase::Running => false,
        }
    }
}

/// Returns the connection to be closed for another one: of those that have stalled, the one without
/// progress for longest. Connections between two requests come last, as their callers may count on
/// them; one whose request is whole is never closed.
pub fn stalest<T>(
    now: Duration,
    connections: impl IntoIterator<Item = (T, Standing)>,
) -> Option<T> {
    let stalled = connections.into_iter().filter(|(_, standing)| standing.is_stalled(now));
    let first = stalled.min_by_key(|(_, standing)| (standing.phase == Phase::Idle, standing.since));
    first.map(|(connection, _)| connection)
}
