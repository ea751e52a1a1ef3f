//! Stand-ins and checks of the review's scripts: `standin CASE FOLDER`, in the repository. `TROUBLE=0`
//! leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run.

mod engine;
mod http;
mod json;
mod leader;
mod limit;
mod means;
mod node;
mod parts;
mod plain;
mod repeat;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (case, folder) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let run = || match case.as_str() {
        "limit" => limit::run(&folder, &temporary, trouble),
        "parts" => parts::run(&folder, &temporary, trouble, parts::FAR_BACK),
        "long-id" => parts::run(&folder, &temporary, trouble, parts::LONG_ID),
        "usual-parts" => parts::run(&folder, &temporary, trouble, parts::USUAL),
        "leader" => leader::run(&folder, &temporary, trouble),
        "means" => means::run(&folder, &temporary, trouble),
        "repeat" => repeat::run(&folder, &temporary, trouble),
        _ => Verdict::CouldNotRun,
    };
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    if std::env::var_os("KEEP").is_none() {
        std::fs::remove_dir_all(&temporary).ok();
    }
    ExitCode::from(match verdict {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Ok(Verdict::CouldNotRun) | Err(_) => 2,
    })
}
