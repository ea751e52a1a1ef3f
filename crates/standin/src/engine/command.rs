//! Control commands that inject faults into an engine.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A command; body of `POST /control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Crashes when a token is executed of a request whose prompt contains this word, which
    /// begins with [`CRASH_MARKER_PREFIX`](super::CRASH_MARKER_PREFIX).
    CrashOn {
        /// The crash marker.
        mark: SmolStr,
        /// Index of the first token that causes the crash.
        index: u32,
    },
    /// Crashes at once.
    Crash,
    /// Suspends all work, with connections kept open, until [`Command::Thaw`].
    Freeze,
    /// Resumes work after [`Command::Freeze`].
    Thaw,
    /// Multiplies the execution time of tokens by this factor; 1 restores the normal time.
    Slow(f64),
    /// Delays all activations sent to a later stage; 0 removes the delay.
    Link {
        /// Target of the receiving stage.
        target: SmolStr,
        /// Delay, in milliseconds.
        delay_ms: u64,
    },
    /// Cuts the connection of the next answer after this many tokens.
    CutNext {
        /// Tokens written before the cut.
        tokens: u32,
    },
    /// Delays the first token of the next answer.
    LateNext {
        /// Delay, in milliseconds.
        delay_ms: u64,
    },
    /// Writes a token of another request before each of the next token events.
    Cross {
        /// Number of token events.
        count: u32,
    },
    /// Rejects new work if `true` and accepts it again if `false`.
    Leaving(bool),
    /// Rejects the next new requests as if the queue were full.
    Full {
        /// Number of requests.
        count: u32,
    },
}
