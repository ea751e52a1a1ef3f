//! Stand-ins of the platform's store, of targets and of callers, and the cases of the review that
//! are scripts. Uses the standard library only.

mod crowd;
mod hang;
mod http;
mod json;
mod leak;
mod node;
mod record;
mod refused;
mod site;
mod store;
mod target;
mod twice;

use std::env;
use std::panic::catch_unwind;
use std::process::{ExitCode, exit};
use std::thread::{sleep, spawn};
use std::time::Duration;

use record::Record;

/// Longest time that a case runs.
const MAX_TIME: Duration = Duration::from_secs(116);

/// What a case has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

impl Verdict {
    fn code(self) -> u8 {
        match self {
            Verdict::Held => 0,
            Verdict::Broken => 1,
            Verdict::NotRun => 2,
        }
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let case: fn(&Record, bool) -> Verdict = match case.as_str() {
        "crowd" => crowd::run,
        "hang" => hang::run,
        "leak" => leak::run,
        "refused" => refused::run,
        "twice" => twice::run,
        other => {
            eprintln!("no case {other}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(path);
    spawn(|| {
        sleep(MAX_TIME);
        node::kill_all();
        exit(2);
    });
    let verdict = catch_unwind(|| case(&record, has_trouble)).unwrap_or(Verdict::NotRun);
    node::kill_all();
    record.line(&format!("verdict: {verdict:?}"));
    ExitCode::from(verdict.code())
}
