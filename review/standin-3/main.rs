//! Runs a case of the review: `lab CASE PROGRAM FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod client;
mod crowd;
mod engine;
mod http;
mod json;
mod node;
mod record;
mod reuse;
mod store;
mod unsigned;

use std::env;
use std::fs;
use std::path::PathBuf;
use std::process::{self, exit};
use std::thread;
use std::time::{Duration, Instant};

use record::Record;

/// Longest time that a case may take.
const MAX_TIME: Duration = Duration::from_secs(110);

/// Outcome of a case.
pub enum Verdict {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
    /// The case could not run, for this reason.
    NotRun(&'static str),
}

/// What a case runs with.
pub struct Stage {
    /// The record.
    pub record: Record,
    /// The program of the deploy file.
    pub program: PathBuf,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    /// Start of loopback addresses of this run, without the last number.
    pub network: String,
}

impl Stage {
    /// Returns a loopback address of this run.
    pub fn ip(&self, last: u8) -> String {
        format!("{}.{last}", self.network)
    }

    /// Waits until a condition holds. Returns whether it did within `limit`.
    pub fn wait(&self, limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if holds() {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, program, folder] = arguments.as_slice() else {
        eprintln!("lab CASE PROGRAM FOLDER");
        exit(2);
    };
    let id = process::id();
    let temporary = env::temp_dir().join(format!("review-{case}-{id}"));
    fs::create_dir_all(&temporary).expect("a temporary folder");
    let stage = Stage {
        record: Record::begin(&PathBuf::from(folder).join("record.txt")),
        program: PathBuf::from(program),
        folder: temporary.clone(),
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
        network: format!("127.{}.{}", 100 + id / 250 % 100, 1 + id % 250),
    };
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        node::end_all();
        exit(2);
    });
    let verdict = match case.as_str() {
        "reuse" => reuse::run(&stage),
        "crowd" => crowd::run(&stage),
        "unsigned" => unsigned::run(&stage),
        _ => Verdict::NotRun("no such case"),
    };
    if env::var("KEEP").is_err() {
        fs::remove_dir_all(&temporary).ok();
    }
    let (text, code) = match verdict {
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::NotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    stage.record.note(&text);
    println!("{case}: {text}");
    exit(code);
}
