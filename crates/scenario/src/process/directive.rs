//! Directives of process scripts.

use std::fmt::Write;
use std::time::Duration;

use datadriven::TestCase;
use fleet::DomainName;
use rustix::process::Signal;
use smol_str::{SmolStr, format_smolstr};
use standin::deployment::{self, Builder};
use standin::{engine, platform, service};

use super::caller::{Ask, Caller, Request};
use super::world::{World, poll};
use super::{check, condition, start};
use crate::{Error, words};

/// Layers of the models of deployments that a script describes.
const DEPTH: u16 = 24;
/// Lag of the list of VMs.
const LIST_LAG: Duration = Duration::from_millis(200);
/// Runs one directive and returns its output.
pub(crate) fn run(world: &mut World, case: &mut TestCase) -> Result<String, Error> {
    let output = match case.directive.as_str() {
        "deployment" => deployment(world, case)?,
        "preset" => put_preset(world, case)?,
        "nodes" => nodes(world, case)?,
        "send" => send(world, case)?,
        "read" => read(world, case)?,
        "wait" => condition::wait(world, case)?,
        "signal" => signal(world, case)?,
        "exit" => exit(world, case)?,
        "fault" => fault(world, case)?,
        "leave" => leave(world, case)?,
        "lose-domain" => lose_domain(world, case)?,
        "crash-on" => crash_on(world, case)?,
        "crashed" => check::crashed(world)?,
        "mark" => check::mark(world)?,
        "began" => check::began(world, case)?,
        "same" => check::same(world, case)?,
        "joined" => check::joined(world, case)?,
        "executions" => check::executions(world)?,
        "runs" => check::runs(world)?,
        "calls" => check::calls(world, case)?,
        other => return Err(Error::unknown("directive", other)),
    };
    case.expect_empty()?;
    Ok(output)
}

fn deployment(world: &mut World, case: &mut TestCase) -> Result<String, Error> {
    let name: Option<String> = case.try_take_arg("name")?;
    let builder = match name.as_deref() {
        Some("pnw") => deployment::pnw(),
        Some("dar") => deployment::dar(),
        Some(other) => return Err(Error::unknown("deployment", other)),
        None => described(case)?,
    };
    let started = builder.lag(LIST_LAG).start().map_err(Error::world)?;
    let output =
        format!("{} engines, {} services\n", started.engines.len(), started.services.len());
    world.deployment = Some(started);
    Ok(output)
}

fn described(case: &mut TestCase) -> Result<Builder, Error> {
    let chains = words::or(case, "chains", 2)?;
    let stages = words::or(case, "stages", 3)?;
    let rate: f64 = words::or(case, "rate", 200.0)?;
    let bookings: u16 = words::or(case, "bookings", 1)?;
    let mut domains: Vec<DomainName> =
        words::list(case, "domains")?.into_iter().map(Into::into).collect();
    if domains.is_empty() {
        domains.push("a".into());
    }
    let set = |engine: engine::Builder| engine.tokens_per_second(rate);
    let mut builder = Builder::new("plank", DEPTH).chains(chains, stages, &domains, set);
    for number in 0..bookings {
        let domain = domains[usize::from(number) % domains.len()].clone();
        builder =
            builder.service(service::Builder::new(format_smolstr!("b{number}")).domain(domain));
    }
    Ok(builder.organisation("cascade", 0.6).organisation("harbor", 0.4))
}

fn put_preset(world: &mut World, case: &mut TestCase) -> Result<String, Error> {
    let name = words::or(case, "name", "ordinary".into())?;
    Ok(format!("version {}\n", start::put_preset(world, name)?))
}

fn nodes(world: &mut World, case: &mut TestCase) -> Result<String, Error> {
    start::start_nodes(world, words::or(case, "count", 4)?)?;
    let names: Vec<&str> = world.nodes.keys().map(SmolStr::as_str).collect();
    Ok(format!("ready: {}\n", names.join(" ")))
}

fn send(world: &mut World, case: &mut TestCase) -> Result<String, Error> {
    let name: SmolStr = case.take_arg("as")?;
    let node: SmolStr = case.take_arg("node")?;
    let count: usize = words::or(case, "count", 1)?;
    let like: Option<SmolStr> = case.try_take_arg("like")?;
    let after: Option<SmolStr> = case.try_take_arg("after")?;
    let last = match &after {
        Some(before) => world.caller(before)?.answer.lock().ids.last().cloned(),
        None => None,
    };
    let request = match like.or(after) {
        Some(other) => world.caller(&other)?.request.clone(),
        None => request(world, case)?,
    };
    let address = world.node(&node)?.callers;
    for number in 0..count {
        let mut request = request.clone();
        let mut name = name.clone();
        if count > 1 {
            name = format_smolstr!("{name}.{number}");
            request.key = request.key.map(|key| format_smolstr!("{key}.{number}"));
            request.content += &format!(" ({number})");
        }
        world.callers.insert(name, Caller::send(address, request, last.clone())?);
    }
    Ok("sent\n".to_owned())
}

fn request(world: &World, case: &mut TestCase) -> Result<Request, Error> {
    let kind: String = words::or(case, "kind", "chat".to_owned())?;
    let ask = match kind.as_str() {
        "chat" => Ask::Chat,
        "text" => Ask::Text,
        "booking" => Ask::Booking,
        other => return Err(Error::unknown("kind of request", other)),
    };
    let organisations = &world.deployment()?.organisations;
    let organisation = organisations.first().map(|organisation| organisation.name.clone());
    Ok(Request {
        ask,
        model: world.deployment()?.model.clone(),
        organisation: words::or(case, "org", organisation.unwrap_or_default())?,
        key: case.try_take_arg("key")?,
        max_tokens: words::or(case, "max", 32)?,
        stream: !case.take_flag("whole")?,
        content: case.input.trim_end().to_owned(),
    })
}

fn read(world: &World, case: &mut TestCase) -> Result<String, Error> {
    let name: SmolStr = case.take_arg("as")?;
    let answers = check::answers(world, &name)?;
    let mut kinds = std::collections::BTreeMap::<String, usize>::new();
    for answer in answers {
        condition::ended(&name, answer)?;
        *kinds.entry(check::summary(answer)).or_default() += 1;
    }
    let mut output = String::new();
    for (summary, count) in kinds {
        let times = if count > 1 { format!("{count} times: ") } else { String::new() };
        writeln!(output, "{times}{summary}").map_err(Error::world)?;
    }
    Ok(output)
}

fn signal(world: &mut World, case: &mut TestCase) -> Result<String, Error> {
    let name: SmolStr = case.take_arg("node")?;
    let signal: String = case.take_arg("with")?;
    let signal = match signal.as_str() {
        "kill" => Signal::KILL,
        "stop" => Signal::STOP,
        "cont" => Signal::CONT,
        "term" => Signal::TERM,
        other => return Err(Error::unknown("signal", other)),
    };
    world.node(&name)?.signal(signal)?;
    if signal == Signal::KILL {
        world.nodes.remove(&name);
    }
    Ok("sent\n".to_owned())
}

fn exit(world: &mut World, case: &mut TestCase) -> Result<String, Error> {
    let name: SmolStr = case.take_arg("node")?;
    let node = world.nodes.get_mut(&name).ok_or_else(|| Error::unknown("node", &name))?;
    let mut code = None;
    poll("the node's end", || {
        code = node.exit_code();
        code.map(|_| ()).ok_or_else(|| "it runs".into())
    })?;
    world.nodes.remove(&name);
    Ok(format!("exit code {}\n", code.unwrap_or_default()))
}

/// The target that a directive names, by its name or as a stage of an answer.
pub(super) fn target(world: &World, case: &mut TestCase) -> Result<SmolStr, Error> {
    match case.try_take_arg::<SmolStr>("answer")? {
        Some(answer) => {
            let stage = case.take_arg("stage")?;
            world.stage(&answer, stage)
        }
        None => Ok(case.take_arg("target")?),
    }
}

fn fault(world: &World, case: &mut TestCase) -> Result<String, Error> {
    let deployment = world.deployment()?;
    if case.take_flag("platform")? {
        deployment.platform.command(words::json(case)?);
        return Ok("done\n".to_owned());
    }
    let name = target(world, case)?;
    if let Some(engine) = deployment.engine(&name) {
        engine.command(words::json(case)?);
    } else if let Some(service) = deployment.service(&name) {
        service.command(words::json(case)?);
    } else {
        return Err(Error::unknown("target", &name));
    }
    Ok("done\n".to_owned())
}

fn crash_on(world: &World, case: &mut TestCase) -> Result<String, Error> {
    let word: SmolStr = case.take_arg("mark")?;
    let mark = format_smolstr!("{}{word}", engine::CRASH_MARKER_PREFIX);
    for engine in &world.deployment()?.engines {
        engine.command(engine::Command::CrashOn { mark: mark.clone(), index: 0 });
    }
    Ok("done\n".to_owned())
}

/// Crashes all targets of a failure domain.
fn lose_domain(world: &World, case: &mut TestCase) -> Result<String, Error> {
    let domain: DomainName = case.take_arg("name")?;
    let deployment = world.deployment()?;
    let engines = deployment.engines.iter().filter(|engine| engine.vm().domain == domain);
    let mut lost = 0;
    for engine in engines {
        engine.command(engine::Command::Crash);
        lost += 1;
    }
    let services = deployment.services.iter().filter(|service| service.vm().domain == domain);
    for service in services {
        service.command(service::Command::Crash);
        lost += 1;
    }
    Ok(format!("{lost} targets lost\n"))
}

fn leave(world: &World, case: &mut TestCase) -> Result<String, Error> {
    let name = target(world, case)?;
    let silent = case.take_flag("listed-only")?;
    let deployment = world.deployment()?;
    deployment.platform.command(platform::Command::Leaving(name.clone()));
    if silent {
        return Ok("listed\n".to_owned());
    }
    if let Some(engine) = deployment.engine(&name) {
        engine.command(engine::Command::Leaving(true));
    } else if let Some(service) = deployment.service(&name) {
        service.command(service::Command::Leaving(true));
    }
    Ok("leaving\n".to_owned())
}
