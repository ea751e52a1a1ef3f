//! Messages that the order service handles and actions that it requests.

use std::time::Duration;

use fleet::{Event, TargetName};

use crate::{Desired, Order, Report};

/// Identifier of a call, unique in this node.
pub type CallId = u64;
/// Fencing number of an order.
pub type Fence = u64;
/// Revision at which the holder's key was created. Increases with each holder.
pub type Tenure = u64;

/// Input of the order service.
#[derive(Clone, Debug)]
pub enum Message {
    /// Desired states of all targets from the store.
    Desired(Vec<(TargetName, Desired)>),
    /// Answer to [`Action::Acquire`] or [`Action::Renew`].
    Lease {
        /// The call.
        call_id: CallId,
        /// Result of the call.
        lease: Lease,
    },
    /// Answer to [`Action::Read`].
    Reported {
        /// The call.
        call_id: CallId,
        /// State that the engine reports; `None` if it gave no answer.
        report: Option<Report>,
    },
    /// Answer to [`Action::Send`].
    Answered {
        /// The call.
        call_id: CallId,
        /// Result of the call.
        answer: Answer,
    },
    /// The delay requested by [`Action::Wake`] has passed.
    Wake,
}

/// Result of a call about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lease {
    /// This node holds the lease.
    Held {
        /// Revision at which the holder's key was created.
        tenure: Tenure,
        /// Time for which the lease is valid, counted from before the call was made.
        ttl: Duration,
    },
    /// Another node holds the lease, or it has expired.
    NotHeld,
    /// The store gave no answer.
    Unavailable,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The engine accepted the order.
    Taken,
    /// The engine has seen a higher fencing number.
    Old,
    /// The order was not sent because its window had passed.
    Late,
    /// The engine refused the order, or its answer was lost.
    Failed,
}

/// Output of the order service.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Acquire a lease and create the holder's key with it, unless the key exists.
    Acquire {
        /// Identifier of the call.
        call_id: CallId,
        /// Time to live of the lease.
        ttl: Duration,
    },
    /// Renew the lease.
    Renew {
        /// Identifier of the call.
        call_id: CallId,
    },
    /// Read an engine's state.
    Read {
        /// Identifier of the call.
        call_id: CallId,
        /// The engine.
        target: TargetName,
    },
    /// Send an order with the rest of its window as the timeout.
    Send {
        /// Identifier of the call.
        call_id: CallId,
        /// The engine.
        target: TargetName,
        /// Fencing number of the order.
        fence: Fence,
        /// The order.
        order: Order,
        /// Time after which the order must not be sent, on the clock of
        /// [`Orders::step`](crate::Orders::step). The shell checks it just before it writes the
        /// first byte.
        until: Duration,
    },
    /// Send [`Message::Wake`] after this delay.
    Wake(Duration),
    /// Write a log line.
    Log(Event),
}
