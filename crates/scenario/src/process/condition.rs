//! Conditions that scripts wait for.

use datadriven::TestCase;
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use super::answer::Answer;
use super::check::answers;
use super::world::{World, poll};
use crate::{Error, words};

/// Waits until the condition of the directive holds.
pub(crate) fn wait(world: &World, case: &mut TestCase) -> Result<String, Error> {
    let until: String = case.take_arg("until")?;
    match until.as_str() {
        "tokens" => tokens(world, case)?,
        "executed" => executed(world, case)?,
        "ran" => ran(world, case)?,
        "preset" => preset_in_force(world)?,
        "ready" => all_ready(world)?,
        "nodes" => nodes_known(world, case)?,
        "standing" => standing(world, case)?,
        other => return Err(Error::unknown("condition", other)),
    }
    Ok("so it is\n".to_owned())
}

/// Waits until nothing more comes of an answer.
pub(crate) fn ended(name: &str, answer: &Answer) -> Result<(), Error> {
    poll("the end of an answer", || {
        let received = answer.lock();
        match received.ended {
            true => Ok(()),
            false => Err(format_smolstr!("{name}: {} events", received.ids.len())),
        }
    })
}

/// Waits until all nodes are ready.
pub(crate) fn all_ready(world: &World) -> Result<(), Error> {
    for node in world.nodes.values() {
        poll("readiness", || node.ready())?;
    }
    Ok(())
}

/// `until=tokens of=r1 count=5`: each answer has received so many tokens.
fn tokens(world: &World, case: &mut TestCase) -> Result<(), Error> {
    let name: SmolStr = case.take_arg("of")?;
    let count = words::or(case, "count", 1)?;
    for answer in answers(world, &name)? {
        poll("tokens", || {
            let received = answer.lock();
            let seen = || format_smolstr!("{received:?}");
            (received.ids.len() >= count).then_some(()).ok_or_else(seen)
        })?;
    }
    Ok(())
}

/// `until=executed target=NAME count=5`: an engine has executed so many tokens.
fn executed(world: &World, case: &mut TestCase) -> Result<(), Error> {
    let name: SmolStr = case.take_arg("target")?;
    let count = words::or(case, "count", 1)?;
    let deployment = world.deployment()?;
    let engine = deployment.engine(&name).ok_or_else(|| Error::unknown("engine", &name))?;
    poll("executions", || at_least(engine.executions().len(), count))
}

/// `until=ran count=1`: so many bookings have run.
fn ran(world: &World, case: &mut TestCase) -> Result<(), Error> {
    let count = words::or(case, "count", 1)?;
    let services = &world.deployment()?.services;
    let runs = || services.iter().map(|service| service.runs().len()).sum();
    poll("runs", || at_least(runs(), count))
}

fn at_least(seen: usize, count: usize) -> Result<(), SmolStr> {
    if seen >= count { Ok(()) } else { Err(format_smolstr!("{seen}")) }
}

/// `until=preset`: the last preset put is in force on all nodes.
pub(crate) fn preset_in_force(world: &World) -> Result<(), Error> {
    for node in world.nodes.values() {
        poll("the preset in force", || {
            let status = node.status().unwrap_or_default();
            let version = &status["preset"]["version"];
            let seen = || format_smolstr!("{} has version {version}", node.name);
            (version.as_u64() == Some(world.version)).then_some(()).ok_or_else(seen)
        })?;
    }
    Ok(())
}

/// `until=nodes alive=3`: each node sees so many nodes alive, itself included or not told.
fn nodes_known(world: &World, case: &mut TestCase) -> Result<(), Error> {
    let alive: usize = case.take_arg("alive")?;
    for node in world.nodes.values() {
        poll("nodes alive", || {
            let status = node.status().unwrap_or_default();
            let rows = status["nodes"].as_array().map_or(&[][..], Vec::as_slice);
            let others = rows.iter().filter(|row| row["name"] != node.name.as_str());
            let seen = others.filter(|row| row["state"] == "alive").count() + 1;
            let told = || format_smolstr!("{} sees {seen}", node.name);
            (seen == alive).then_some(()).ok_or_else(told)
        })?;
    }
    Ok(())
}

/// `until=standing target=NAME is=leaving`: all nodes see a target so.
fn standing(world: &World, case: &mut TestCase) -> Result<(), Error> {
    let name: SmolStr = match case.try_take_arg::<SmolStr>("answer")? {
        Some(answer) => {
            let stage = case.take_arg("stage")?;
            world.stage(&answer, stage)?
        }
        None => case.take_arg("target")?,
    };
    let standing: SmolStr = case.take_arg("is")?;
    for node in world.nodes.values() {
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
