//! Control commands that inject faults into a plain service.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A control command, the body of `POST /control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Runs each of the next calls, then closes its connection instead of responding.
    LoseNext {
        /// Number of calls.
        count: u32,
    },
    /// Closes the connections of the next calls before they run.
    CutNext {
        /// Number of calls.
        count: u32,
    },
    /// Runs each of the next calls, then responds with the given status.
    FailNext {
        /// Number of calls.
        count: u32,
        /// HTTP status.
        status: u16,
    },
    /// Sets the duration of each call, in milliseconds.
    DelayMs(u64),
    /// Crashes when a call whose body contains `mark` has started to run.
    CrashOn {
        /// Text to search for in the body.
        mark: SmolStr,
    },
    /// Crashes immediately.
    Crash,
    /// Suspends all calls except control calls until [`Command::Thaw`]. Connections stay open.
    Freeze,
    /// Resumes work after [`Command::Freeze`].
    Thaw,
    /// Rejects new calls if `true`, and accepts them again if `false`.
    Leaving(bool),
}
