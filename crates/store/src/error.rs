//! Errors of calls to the store.

use std::fmt;

use smol_str::SmolStr;

/// What is known about the effect of a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call did not take effect and never will.
    None,
    /// The call may have taken effect or may do so later.
    Possible,
}

/// Failure of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// What is known about the effect of the call.
    pub effect: Effect,
    /// Cause of the failure.
    pub cause: Cause,
}

/// Cause of a failed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// This process has exhausted its budget of calls; nothing was sent.
    BudgetExhausted,
    /// No connection could be established; nothing was sent.
    Connect(SmolStr),
    /// The store rejected the call because of its rate limit.
    RateLimited,
    /// The store rejected the call as invalid.
    Refused {
        /// HTTP status code.
        status: u16,
        /// Error message of the store.
        message: SmolStr,
    },
    /// The store answered with a failure of its own.
    Failed {
        /// HTTP status code.
        status: u16,
        /// Error message of the store.
        message: SmolStr,
    },
    /// No answer arrived within the time-out.
    Timeout,
    /// The connection broke, or the answer was truncated.
    Broken(SmolStr),
    /// The call or its answer could not be encoded or decoded.
    Malformed(SmolStr),
    /// The requested revision has been removed by a compaction.
    Compacted {
        /// Lowest revision that the store still holds.
        revision: u64,
    },
}

impl Error {
    /// Makes the error of a call that did not take effect.
    pub(crate) fn none(cause: Cause) -> Self {
        Self { effect: Effect::None, cause }
    }

    /// Makes the error of a call that may have taken effect.
    pub(crate) fn possible(cause: Cause) -> Self {
        Self { effect: Effect::Possible, cause }
    }

    /// Returns whether the failure indicates an outage of the store, rather than a limit or an
    /// invalid request.
    pub fn is_outage(&self) -> bool {
        !matches!(
            self.cause,
            Cause::BudgetExhausted
                | Cause::Refused { .. }
                | Cause::Compacted { .. }
                | Cause::RateLimited
        )
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.effect {
            Effect::None => write!(f, "did not take effect: {}", self.cause),
            Effect::Possible => write!(f, "may have taken effect: {}", self.cause),
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::BudgetExhausted => write!(f, "budget of store calls exhausted"),
            Cause::Connect(reason) => write!(f, "connecting to the store failed: {reason}"),
            Cause::RateLimited => write!(f, "rejected by the rate limit of the store"),
            Cause::Refused { status, message } => write!(f, "rejected with {status}: {message}"),
            Cause::Failed { status, message } => write!(f, "store failed with {status}: {message}"),
            Cause::Timeout => write!(f, "no answer within the time-out"),
            Cause::Broken(reason) => write!(f, "connection to the store broke: {reason}"),
            Cause::Malformed(reason) => write!(f, "malformed message: {reason}"),
            Cause::Compacted { revision } => write!(f, "compacted up to revision {revision}"),
        }
    }
}

impl std::error::Error for Error {}
