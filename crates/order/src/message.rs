//! What the order service hears and what it asks for.

use std::time::Duration;

use fleet::{Event, TargetName};

use crate::{Desired, Order, Report};

/// Number of a call of this node.
pub type CallId = u64;
/// Fencing number of an order.
pub type Fence = u64;
/// Revision at which the holder's key came into being; grows with each holder.
pub type Tenure = u64;

/// What the order service hears.
#[derive(Clone, Debug)]
pub enum Message {
    /// Desired states of all targets, as the store has them.
    Desired(Vec<(TargetName, Desired)>),
    /// Answer to [`Action::Acquire`] or [`Action::Renew`].
    Lease {
        /// The call.
        call_id: CallId,
        /// Its result.
        lease: Lease,
    },
    /// Answer to [`Action::Read`]; `None` when the engine did not give one.
    Reported {
        /// The call.
        call_id: CallId,
        /// What the engine has.
        report: Option<Report>,
    },
    /// Answer to [`Action::Send`].
    Answered {
        /// The call.
        call_id: CallId,
        /// Its result.
        answer: Answer,
    },
    /// The time asked for by [`Action::Wake`] has come.
    Wake,
}

/// State of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lease {
    /// This node holds it.
    Held {
        /// Revision at which its key came into being.
        tenure: Tenure,
        /// Time that it holds, counted from before the call was made.
        ttl: Duration,
    },
    /// Another node holds it, or it has lapsed.
    NotHeld,
    /// The store did not say.
    Unavailable,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The engine took it.
    Taken,
    /// The engine has seen a higher fencing number.
    Old,
    /// Not sent, since its window had passed.
    Late,
    /// Refused, or the answer was lost.
    Failed,
}

/// What the order service asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask for a lease and create the holder's key with it, if there is none.
    Acquire {
        /// Number of the call.
        call_id: CallId,
        /// Time to live.
        ttl: Duration,
    },
    /// Renew the lease.
    Renew {
        /// Number of the call.
        call_id: CallId,
    },
    /// Read an engine's state.
    Read {
        /// Number of the call.
        call_id: CallId,
        /// The engine.
        target: TargetName,
    },
    /// Send an order, with a time-out of what is left of its window.
    Send {
        /// Number of the call.
        call_id: CallId,
        /// The engine.
        target: TargetName,
        /// Fencing number.
        fence: Fence,
        /// The order.
        order: Order,
        /// Moment, on the clock of [`Orders::step`](crate::Orders::step), after which it must not
        /// be sent. The shell compares just before it writes the first byte.
        until: Duration,
    },
    /// Send [`Message::Wake`] after this time.
    Wake(Duration),
    /// Write a log line.
    Log(Event),
}
