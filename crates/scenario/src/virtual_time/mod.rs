//! Scripts against decision services in virtual time.
//!
//! The first directive makes a simulation: `ledger` or `preset`. Time passes only by
//! `advance`, and all calls to the store take a fixed time, so that one script and one
//! seed always give the same output.
//!
//! | directive | simulation | arguments | does |
//! | --- | --- | --- | --- |
//! | `ledger` | | `nodes=3`, `seed=1`, `weakness=any-holder` | makes ledgers that share a store |
//! | `preset` | | `nodes=3`, `seed=1`, `monotonic-off` | makes followers that share a store |
//! | `store` | both | `up`, `down`, `lose=applied` or `lose=dropped` with `count=1` | changes the store |
//! | `advance` | both | `ms=100` | lets time pass and prints what happens |
//! | `pause`, `resume` | both | `node=n1` | holds back all that a node would hear |
//! | `cut-off` | preset | `node=n1` | the store's answers no longer reach a node |
//! | `lost` | both | `node=n1` | a node is gone for good |
//! | `claim` | ledger | `node=n1 request=7 key=crew-7 body=house` | a booking arrives |
//! | `settle` | ledger | `node=n1 request=7 key=crew-7`, `answer=ok`, `not-run` or `unknown` | a run has ended |
//! | `records` | ledger | | prints how many requests were told to run, by key |
//! | `put` | preset | `version=2` | an operator's commit |
//! | `restore` | preset | `version=1` | the store answers with an old value |
//! | `tell` | preset | `from=n1 to=n2` | a heartbeat tells the sender's version |
//! | `versions` | preset | | prints the version in force and the freshness of each node |

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

/// Runs all scripts of a directory, each in a simulation of its own.
///
/// # Panics
///
/// When the output of a directive is not the expected one.
pub fn run(scripts: &Path) {
    walk(scripts.to_str().expect("the path of the scripts is text"), |file| {
        let mut simulation = Simulation::None;
        file.run(|case| directive(&mut simulation, case));
    });
}

enum Simulation {
    None,
    Ledgers(Ledgers),
    Presets(Presets),
}

fn directive(simulation: &mut Simulation, case: &mut TestCase) -> Result<String, Error> {
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
        (_, Simulation::Ledgers(ledgers)) => ledgers.directive(case)?,
        (_, Simulation::Presets(presets)) => presets.directive(case)?,
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
    let lose: Option<String> = case.try_take_arg("lose")?;
    if let Some(lose) = lose {
        let fault = match lose.as_str() {
            "applied" => Fault::LostApplied,
            "dropped" => Fault::LostDropped,
            other => return Err(Error::unknown("way to lose an answer", other)),
        };
        store.lose(fault, argument::or_default(case, "count", 1)?);
    }
    Ok(String::new())
}
