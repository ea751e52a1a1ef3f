//! Scripts against decision services in virtual time.
//!
//! The first directive, `ledger` or `preset`, starts a simulation. Time passes only by
//! `advance`, and all calls to the store take a fixed time, so that a script gives the
//! same output on every run with the same seed.
//!
//! | directive | simulation | arguments | effect |
//! | --- | --- | --- | --- |
//! | `ledger` | | `nodes=3`, `seed=1`, `weakness=any-holder` | creates ledgers that share a store |
//! | `preset` | | `nodes=3`, `seed=1`, `monotonic-off` | creates preset followers that share a store |
//! | `store` | both | `up`, `down`, `lose=applied` or `lose=dropped` with `count=1` | ends or begins an outage, or loses the answers (`applied`) or the effects (`dropped`) of the next writes |
//! | `advance` | both | `ms=100` | advances the clock and prints the events of that time |
//! | `pause`, `resume` | both | `node=n1` | holds back, or releases, all messages to a node |
//! | `cut-off` | preset | `node=n1` | stops answers of the store from reaching a node |
//! | `lost` | both | `node=n1` | removes a node permanently |
//! | `claim` | ledger | `node=n1 request=7 key=crew-7 body=house` | delivers a booking to a node |
//! | `settle` | ledger | `node=n1 request=7 key=crew-7`, `answer=ok`, `not-run` or `unknown` | reports the end of a run to a node |
//! | `records` | ledger | | prints the number of requests that were told to run, by key |
//! | `put` | preset | `version=2` | writes a version as an operator does |
//! | `restore` | preset | `version=1` | writes an old version, as a restore from a backup does |
//! | `tell` | preset | `from=n1 to=n2` | delivers the sender's version to another node, as a heartbeat does |
//! | `versions` | preset | | prints, for each node, the version in force and whether it takes work |

mod ledgers;
mod presets;
mod store;
mod timeline;

use std::path::Path;

use datadriven::{TestCase, walk};
use standin::platform::Outage;

use crate::{Error, argument};
use ledgers::Ledgers;
use presets::Presets;
use store::Fault;

/// Runs all scripts of a directory, each in its own simulation.
///
/// # Panics
///
/// Panics if a directive's output differs from the expected output.
pub fn run(scripts: &Path) {
    walk(scripts.to_str().expect("the path of the scripts is text"), |file| {
        let mut simulation = Simulation::None;
        file.run(|case| run_directive(&mut simulation, case));
    });
}

/// Simulation that the script's last `ledger` or `preset` directive started.
enum Simulation {
    None,
    Ledgers(Ledgers),
    Presets(Presets),
}

fn run_directive(simulation: &mut Simulation, case: &mut TestCase) -> Result<String, Error> {
    let output = match (case.directive.as_str(), &mut *simulation) {
        ("ledger", _) => {
            *simulation = Simulation::Ledgers(Ledgers::new(case)?);
            String::new()
        }
        ("preset", _) => {
            *simulation = Simulation::Presets(Presets::new(case)?);
            String::new()
        }
        ("store", Simulation::Ledgers(ledgers)) => set_store(&mut ledgers.store, case)?,
        ("store", Simulation::Presets(presets)) => set_store(&mut presets.store, case)?,
        (_, Simulation::Ledgers(ledgers)) => ledgers.run_directive(case)?,
        (_, Simulation::Presets(presets)) => presets.run_directive(case)?,
        (other, Simulation::None) => return Err(Error::unknown("first directive", other)),
    };
    case.expect_empty()?;
    Ok(output)
}

fn set_store(store: &mut store::FakeStore, case: &mut TestCase) -> Result<String, Error> {
    if case.take_flag("up")? {
        store.outage = Outage::Off;
    }
    if case.take_flag("down")? {
        store.outage = Outage::Refuse;
    }
    let lost: Option<String> = case.try_take_arg("lose")?;
    if let Some(lost) = lost {
        let fault = match lost.as_str() {
            "applied" => Fault::AnswerLost,
            "dropped" => Fault::WriteLost,
            other => return Err(Error::unknown("way to lose an answer", other)),
        };
        store.inject_faults(fault, argument::or_default(case, "count", 1)?);
    }
    Ok(String::new())
}
