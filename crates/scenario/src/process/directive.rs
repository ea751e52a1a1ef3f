//! Dispatch and implementation of the directives of process scripts.

use std::fmt::Write;
use std::time::Duration;

use datadriven::TestCase;
use fleet::DomainName;
use rustix::process::Signal;
use smol_str::{SmolStr, format_smolstr};
use standin::deployment::{self, Builder};
use standin::{engine, platform, service};

use super::caller::{Caller, Kind, Request};
use super::environment::{Environment, poll};
use super::{check, condition, start};
use crate::{Error, argument};

/// Layers of the model in a deployment that a script describes by arguments.
const DEPTH: u16 = 24;
/// Delay with which changes show in the platform's list of VMs.
const LIST_LAG: Duration = Duration::from_millis(200);

/// Runs one directive and returns its output.
pub(crate) fn run(environment: &mut Environment, case: &mut TestCase) -> Result<String, Error> {
    let output = match case.directive.as_str() {
        "deployment" => start_deployment(environment, case)?,
        "preset" => put_preset(environment, case)?,
        "nodes" => start_nodes(environment, case)?,
        "send" => send(environment, case)?,
        "read" => await_answers(environment, case)?,
        "wait" => condition::wait(environment, case)?,
        "signal" => send_signal(environment, case)?,
        "exit" => await_exit(environment, case)?,
        "fault" => inject_fault(environment, case)?,
        "leave" => announce_leaving(environment, case)?,
        "lose-domain" => lose_domain(environment, case)?,
        "crash-on" => crash_on(environment, case)?,
        "crashed" => check::count_crashed(environment)?,
        "mark" => check::mark_attempts(environment)?,
        "began" => check::count_begun(environment, case)?,
        "same" => check::compare(environment, case)?,
        "joined" => check::compare_joined(environment, case)?,
        "executions" => check::check_executions(environment)?,
        "runs" => check::list_runs(environment)?,
        "calls" => check::list_calls(environment, case)?,
        other => return Err(Error::unknown("directive", other)),
    };
    case.expect_empty()?;
    Ok(output)
}

fn start_deployment(environment: &mut Environment, case: &mut TestCase) -> Result<String, Error> {
    let name: Option<String> = case.try_take_arg("name")?;
    let builder = match name.as_deref() {
        Some("pnw") => deployment::pnw(),
        Some("dar") => deployment::dar(),
        Some(other) => return Err(Error::unknown("deployment", other)),
        None => custom_builder(case)?,
    };
    let started = builder.lag(LIST_LAG).start().map_err(Error::environment)?;
    let output =
        format!("{} engines, {} services\n", started.engines.len(), started.services.len());
    environment.deployment = Some(started);
    Ok(output)
}

fn custom_builder(case: &mut TestCase) -> Result<Builder, Error> {
    let chains = argument::or_default(case, "chains", 2)?;
    let stages = argument::or_default(case, "stages", 3)?;
    let rate: f64 = argument::or_default(case, "rate", 200.0)?;
    let bookings: u16 = argument::or_default(case, "bookings", 1)?;
    let mut domains: Vec<DomainName> =
        argument::list(case, "domains")?.into_iter().map(Into::into).collect();
    if domains.is_empty() {
        domains.push("a".into());
    }
    let configure = |engine: engine::Builder| engine.tokens_per_second(rate);
    let mut builder = Builder::new("plank", DEPTH).chains(chains, stages, &domains, configure);
    for number in 0..bookings {
        let domain = domains[usize::from(number) % domains.len()].clone();
        builder =
            builder.service(service::Builder::new(format_smolstr!("b{number}")).domain(domain));
    }
    Ok(builder.organisation("cascade", 0.6).organisation("harbor", 0.4))
}

fn put_preset(environment: &mut Environment, case: &mut TestCase) -> Result<String, Error> {
    let name = argument::or_default(case, "name", "ordinary".into())?;
    Ok(format!("version {}\n", start::put_preset(environment, name)?))
}

fn start_nodes(environment: &mut Environment, case: &mut TestCase) -> Result<String, Error> {
    start::start_nodes(environment, argument::or_default(case, "count", 4)?)?;
    let names: Vec<&str> = environment.nodes.keys().map(SmolStr::as_str).collect();
    Ok(format!("ready: {}\n", names.join(" ")))
}

fn send(environment: &mut Environment, case: &mut TestCase) -> Result<String, Error> {
    let name: SmolStr = case.take_arg("as")?;
    let node: SmolStr = case.take_arg("node")?;
    let count: usize = argument::or_default(case, "count", 1)?;
    let like: Option<SmolStr> = case.try_take_arg("like")?;
    let after: Option<SmolStr> = case.try_take_arg("after")?;
    let last_event_id = match &after {
        Some(before) => environment.caller(before)?.answer.lock().ids.last().cloned(),
        None => None,
    };
    let request = match like.or(after) {
        Some(other) => environment.caller(&other)?.request.clone(),
        None => parse_request(environment, case)?,
    };
    let address = environment.node(&node)?.caller_address;
    for number in 0..count {
        let mut request = request.clone();
        let mut name = name.clone();
        if count > 1 {
            name = format_smolstr!("{name}.{number}");
            request.key = request.key.map(|key| format_smolstr!("{key}.{number}"));
            request.content += &format!(" ({number})");
        }
        environment.callers.insert(name, Caller::send(address, request, last_event_id.clone())?);
    }
    Ok("sent\n".to_owned())
}

fn parse_request(environment: &Environment, case: &mut TestCase) -> Result<Request, Error> {
    let kind: String = argument::or_default(case, "kind", "chat".to_owned())?;
    let kind = match kind.as_str() {
        "chat" => Kind::Chat,
        "text" => Kind::Text,
        "booking" => Kind::Booking,
        other => return Err(Error::unknown("kind of request", other)),
    };
    let organisations = &environment.deployment()?.organisations;
    let organisation = organisations.first().map(|organisation| organisation.name.clone());
    Ok(Request {
        kind,
        model: environment.deployment()?.model.clone(),
        organisation: argument::or_default(case, "org", organisation.unwrap_or_default())?,
        key: case.try_take_arg("key")?,
        max_tokens: argument::or_default(case, "max", 32)?,
        stream: !case.take_flag("whole")?,
        content: case.input.trim_end().to_owned(),
    })
}

fn await_answers(environment: &Environment, case: &mut TestCase) -> Result<String, Error> {
    let name: SmolStr = case.take_arg("as")?;
    let answers = check::answers(environment, &name)?;
    let mut kinds = std::collections::BTreeMap::<String, usize>::new();
    for answer in answers {
        condition::await_end(&name, answer)?;
        *kinds.entry(check::summary(answer)).or_default() += 1;
    }
    let mut output = String::new();
    for (summary, count) in kinds {
        let times = if count > 1 { format!("{count} times: ") } else { String::new() };
        writeln!(output, "{times}{summary}").map_err(Error::environment)?;
    }
    Ok(output)
}

fn send_signal(environment: &mut Environment, case: &mut TestCase) -> Result<String, Error> {
    let name: SmolStr = case.take_arg("node")?;
    let signal: String = case.take_arg("with")?;
    let signal = match signal.as_str() {
        "kill" => Signal::KILL,
        "stop" => Signal::STOP,
        "cont" => Signal::CONT,
        "term" => Signal::TERM,
        other => return Err(Error::unknown("signal", other)),
    };
    environment.node(&name)?.signal(signal)?;
    if signal == Signal::KILL {
        environment.nodes.remove(&name);
    }
    Ok("sent\n".to_owned())
}

fn await_exit(environment: &mut Environment, case: &mut TestCase) -> Result<String, Error> {
    let name: SmolStr = case.take_arg("node")?;
    let node = environment.nodes.get_mut(&name).ok_or_else(|| Error::unknown("node", &name))?;
    let mut code = None;
    poll("the exit of the node", || {
        code = node.exit_code();
        code.map(|_| ()).ok_or_else(|| "still running".into())
    })?;
    environment.nodes.remove(&name);
    Ok(format!("exit code {}\n", code.unwrap_or_default()))
}

/// Returns the name of the target that a directive refers to, either by name or by a stage of
/// an answer.
pub(super) fn target_name(
    environment: &Environment,
    case: &mut TestCase,
) -> Result<SmolStr, Error> {
    match case.try_take_arg::<SmolStr>("answer")? {
        Some(answer) => {
            let stage = case.take_arg("stage")?;
            environment.target_at_stage(&answer, stage)
        }
        None => Ok(case.take_arg("target")?),
    }
}

fn inject_fault(environment: &Environment, case: &mut TestCase) -> Result<String, Error> {
    let deployment = environment.deployment()?;
    if case.take_flag("platform")? {
        deployment.platform.command(argument::json_input(case)?);
        return Ok("done\n".to_owned());
    }
    let name = target_name(environment, case)?;
    if let Some(engine) = deployment.engine(&name) {
        engine.command(argument::json_input(case)?);
    } else if let Some(service) = deployment.service(&name) {
        service.command(argument::json_input(case)?);
    } else {
        return Err(Error::unknown("target", &name));
    }
    Ok("done\n".to_owned())
}

fn crash_on(environment: &Environment, case: &mut TestCase) -> Result<String, Error> {
    let word: SmolStr = case.take_arg("mark")?;
    let mark = format_smolstr!("{}{word}", engine::CRASH_MARKER_PREFIX);
    for engine in &environment.deployment()?.engines {
        engine.command(engine::Command::CrashOn { mark: mark.clone(), index: 0 });
    }
    Ok("done\n".to_owned())
}

/// Crashes all targets of a failure domain.
fn lose_domain(environment: &Environment, case: &mut TestCase) -> Result<String, Error> {
    let domain: DomainName = case.take_arg("name")?;
    let deployment = environment.deployment()?;
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

fn announce_leaving(environment: &Environment, case: &mut TestCase) -> Result<String, Error> {
    let name = target_name(environment, case)?;
    let listed_only = case.take_flag("listed-only")?;
    let deployment = environment.deployment()?;
    deployment.platform.command(platform::Command::Leaving(name.clone()));
    if listed_only {
        return Ok("listed\n".to_owned());
    }
    if let Some(engine) = deployment.engine(&name) {
        engine.command(engine::Command::Leaving(true));
    } else if let Some(service) = deployment.service(&name) {
        service.command(service::Command::Leaving(true));
    }
    Ok("leaving\n".to_owned())
}
