//! Conditions that scripts and measures wait for.

use datadriven::TestCase;
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use super::answer::Answer;
use super::check::answers;
use super::environment::{Environment, poll};
use crate::{Error, argument};

/// Runs a `wait` directive: waits until its condition holds.
pub(crate) fn wait(environment: &Environment, case: &mut TestCase) -> Result<String, Error> {
    let until: String = case.take_arg("until")?;
    match until.as_str() {
        "tokens" => await_tokens(environment, case)?,
        "executed" => await_executions(environment, case)?,
        "ran" => await_runs(environment, case)?,
        "preset" => await_preset(environment)?,
        "ready" => await_ready(environment)?,
        "nodes" => await_nodes(environment, case)?,
        "standing" => await_standing(environment, case)?,
        other => return Err(Error::unknown("condition", other)),
    }
    Ok("so it is\n".to_owned())
}

/// Waits until the caller of an answer has stopped receiving.
pub(crate) fn await_end(name: &str, answer: &Answer) -> Result<(), Error> {
    poll("the end of an answer", || {
        let received = answer.lock();
        match received.ended {
            true => Ok(()),
            false => Err(format_smolstr!("{name}: {} events", received.ids.len())),
        }
    })
}

/// Waits until all nodes are ready.
pub(crate) fn await_ready(environment: &Environment) -> Result<(), Error> {
    for node in environment.nodes.values() {
        poll("readiness", || node.check_ready())?;
    }
    Ok(())
}

/// `until=tokens of=r1 count=5`: waits until each answer has at least `count` events.
fn await_tokens(environment: &Environment, case: &mut TestCase) -> Result<(), Error> {
    let name: SmolStr = case.take_arg("of")?;
    let count = argument::or_default(case, "count", 1)?;
    for answer in answers(environment, &name)? {
        poll("tokens", || {
            let received = answer.lock();
            let seen = || format_smolstr!("{received:?}");
            (received.ids.len() >= count).then_some(()).ok_or_else(seen)
        })?;
    }
    Ok(())
}

/// `until=executed target=NAME count=5`: waits until an engine has made at least `count`
/// executions.
fn await_executions(environment: &Environment, case: &mut TestCase) -> Result<(), Error> {
    let name: SmolStr = case.take_arg("target")?;
    let count = argument::or_default(case, "count", 1)?;
    let deployment = environment.deployment()?;
    let engine = deployment.engine(&name).ok_or_else(|| Error::unknown("engine", &name))?;
    poll("executions", || at_least(engine.executions().len(), count))
}

/// `until=ran count=1`: waits until at least `count` bookings have run.
fn await_runs(environment: &Environment, case: &mut TestCase) -> Result<(), Error> {
    let count = argument::or_default(case, "count", 1)?;
    let services = &environment.deployment()?.services;
    let runs = || services.iter().map(|service| service.runs().len()).sum();
    poll("runs", || at_least(runs(), count))
}

fn at_least(seen: usize, count: usize) -> Result<(), SmolStr> {
    if seen >= count { Ok(()) } else { Err(format_smolstr!("{seen}")) }
}

/// `until=preset`: waits until the last preset put is in force on all nodes.
pub(crate) fn await_preset(environment: &Environment) -> Result<(), Error> {
    for node in environment.nodes.values() {
        poll("the preset in force", || {
            let status = node.status().unwrap_or_default();
            let version = &status["preset"]["version"];
            let seen = || format_smolstr!("{} has version {version}", node.name);
            (version.as_u64() == Some(environment.preset_version)).then_some(()).ok_or_else(seen)
        })?;
    }
    Ok(())
}

/// `until=nodes alive=3`: waits until each node counts `alive` nodes as alive, itself
/// included. A node's status may or may not list the node itself.
fn await_nodes(environment: &Environment, case: &mut TestCase) -> Result<(), Error> {
    let alive: usize = case.take_arg("alive")?;
    for node in environment.nodes.values() {
        poll("nodes alive", || {
            let status = node.status().unwrap_or_default();
            let rows = status["nodes"].as_array().map_or(&[][..], Vec::as_slice);
            let others = rows.iter().filter(|row| row["name"] != node.name.as_str());
            let seen = others.filter(|row| row["state"] == "alive").count() + 1;
            let message = || format_smolstr!("{} sees {seen}", node.name);
            (seen == alive).then_some(()).ok_or_else(message)
        })?;
    }
    Ok(())
}

/// `until=standing target=NAME is=leaving`: waits until all nodes report this standing of a
/// target, which may also be given as `answer=r1 stage=1`.
fn await_standing(environment: &Environment, case: &mut TestCase) -> Result<(), Error> {
    let name: SmolStr = match case.try_take_arg::<SmolStr>("answer")? {
        Some(answer) => {
            let stage = case.take_arg("stage")?;
            environment.target_at_stage(&answer, stage)?
        }
        None => case.take_arg("target")?,
    };
    let standing: SmolStr = case.take_arg("is")?;
    for node in environment.nodes.values() {
        poll("the standing of a target", || {
            let status = node.status().unwrap_or_default();
            let seen = standing_of(&status, &name);
            if seen == standing { Ok(()) } else { Err(seen) }
        })?;
    }
    Ok(())
}

fn standing_of(status: &Value, name: &str) -> SmolStr {
    let rows = status["targets"].as_array().map_or(&[][..], Vec::as_slice);
    let row = rows.iter().find(|row| row["name"] == name);
    row.and_then(|row| row["standing"].as_str()).unwrap_or("absent").into()
}
