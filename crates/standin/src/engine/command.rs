//! Commands that change what an engine does.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A command, as `POST /control` takes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Crash as soon as a token of a request is executed whose prompt has this word,
    /// which begins with [`CRASH_MARKER_PREFIX`](super::CRASH_MARKER_PREFIX).
    CrashOn {
        /// The word.
        mark: SmolStr,
        /// First token that crashes it.
        index: u32,
    },
    /// Crash now.
    Crash,
    /// Stop all work, with connections open, until [`Command::Thaw`].
    Freeze,
    /// Go on after [`Command::Freeze`].
    Thaw,
    /// Each token takes this many times as long.
    Slow(f64),
    /// Delay of all activations sent to the stage, in milliseconds; 0 for none.
    Link {
        /// The receiving stage.
        target: SmolStr,
        /// Delay, in milliseconds.
        delay_ms: u64,
    },
    /// The next answer's connection breaks after this many tokens.
    CutNext {
        /// Tokens written before.
        tokens: u32,
    },
    /// The next answer's first token comes this much later.
    LateNext {
        /// Delay, in milliseconds.
        delay_ms: u64,
    },
    /// Before each of the next events, a token of another request is written.
    Cross {
        /// Number of events.
        count: u32,
    },
    /// Refuse new work, or take it again.
    Leaving(bool),
    /// Refuse the next new requests as full.
    Full {
        /// Number of requests.
        count: u32,
    },
}
