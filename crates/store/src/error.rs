//! Failures of calls to the store.

use std::fmt;

use smol_str::SmolStr;

/// What is known about the effect of a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call did not take effect and never will.
    None,
    /// The call may have taken effect, or may still do so.
    Possible,
}

/// A call that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// What is known about its effect.
    pub effect: Effect,
    /// Why it failed.
    pub cause: Cause,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// This process has spent its budget of calls; nothing was sent.
    BudgetExhausted,
    /// No connection came about; nothing was sent.
    Connect(SmolStr),
    /// The store limits the rate and did not take the call.
    RateLimited,
    /// The store refused the call as wrong.
    Refused {
        /// Status code.
        status: u16,
        /// The store's words.
        message: SmolStr,
    },
    /// The store answered that it failed.
    Failed {
        /// Status code.
        status: u16,
        /// The store's words.
        message: SmolStr,
    },
    /// No answer within the deadline.
    Timeout,
    /// The connection broke, or the answer was not whole.
    Broken(SmolStr),
    /// The answer is not of the published form.
    Malformed(SmolStr),
    /// The revision asked for has been compacted away.
    Compacted {
        /// Lowest revision that is still there.
        revision: u64,
    },
}

impl Error {
    /// A call that did not take effect.
    pub(crate) fn none(cause: Cause) -> Self {
        Self { effect: Effect::None, cause }
    }

    /// A call that may have taken effect.
    pub(crate) fn possible(cause: Cause) -> Self {
        Self { effect: Effect::Possible, cause }
    }

    /// Whether the store, not this process or its request, is to blame.
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
            Cause::BudgetExhausted => write!(f, "the budget of calls is spent"),
            Cause::Connect(reason) => write!(f, "no connection: {reason}"),
            Cause::RateLimited => write!(f, "the store limits the rate"),
            Cause::Refused { status, message } => write!(f, "refused with {status}: {message}"),
            Cause::Failed { status, message } => write!(f, "failed with {status}: {message}"),
            Cause::Timeout => write!(f, "no answer within the deadline"),
            Cause::Broken(reason) => write!(f, "the connection broke: {reason}"),
            Cause::Malformed(reason) => write!(f, "malformed answer: {reason}"),
            Cause::Compacted { revision } => write!(f, "compacted up to revision {revision}"),
        }
    }
}

impl std::error::Error for Error {}
