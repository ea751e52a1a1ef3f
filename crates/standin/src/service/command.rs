//! Commands that change what a plain service does.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A command, as `POST /control` takes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// The next calls run, and the connection is cut in place of their answers.
    LoseNext {
        /// Number of calls.
        count: u32,
    },
    /// The next calls are cut before they run.
    CutNext {
        /// Number of calls.
        count: u32,
    },
    /// The next calls answer with this status after they ran.
    FailNext {
        /// Number of calls.
        count: u32,
        /// The status.
        status: u16,
    },
    /// Each call takes this long, in milliseconds.
    DelayMs(u64),
    /// Crash after a call has begun to run whose body has this word.
    CrashOn {
        /// The word.
        mark: SmolStr,
    },
    /// Crash now.
    Crash,
    /// Stop all work, with connections open, until [`Command::Thaw`].
    Freeze,
    /// Go on after [`Command::Freeze`].
    Thaw,
    /// Refuse new calls, or take them again.
    Leaving(bool),
}
