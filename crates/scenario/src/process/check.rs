//! Checks on answers, and on the work done by targets.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use datadriven::TestCase;
use fleet::{AttemptId, Depth, Layers, RequestId, TokenIndex};
use smol_str::{SmolStr, format_smolstr};
use standin::engine::Engine;
use standin::platform::Operation;

use super::answer::Answer;
use super::directive::target_name;
use super::environment::Environment;
use crate::{Error, argument};

/// Returns the answer of this name, or else all answers `NAME.0`, `NAME.1`, ...
///
/// # Errors
///
/// Fails if there is none.
pub(crate) fn answers<'a>(
    environment: &'a Environment,
    name: &str,
) -> Result<Vec<&'a Answer>, Error> {
    if let Some(caller) = environment.callers.get(name) {
        return Ok(vec![&caller.answer]);
    }
    let prefix = format_smolstr!("{name}.");
    let group = environment.callers.iter().filter(|(name, _)| name.starts_with(prefix.as_str()));
    let answers: Vec<&Answer> = group.map(|(_, caller)| &caller.answer).collect();
    if answers.is_empty() { Err(Error::unknown("answer", name)) } else { Ok(answers) }
}

/// Returns a one-line summary of an answer that has ended.
pub(crate) fn summary(answer: &Answer) -> String {
    let received = answer.lock();
    if received.status == 0 {
        return "no answer".to_owned();
    }
    let mut line = received.status.to_string();
    if !received.run.is_empty() {
        line += &format!(" {}", received.run);
    }
    if let Some(error) = &received.error {
        line += &format!(" error={error}");
    }
    if received.retry_after {
        line += " retry-after";
    }
    line += if received.is_complete() { " whole" } else { " not whole" };
    line
}

/// Compares the texts of two answers.
pub(crate) fn compare(environment: &Environment, case: &mut TestCase) -> Result<String, Error> {
    let [first, second] = texts(environment, case, ["first", "second"])?;
    let nothing = first.is_empty();
    Ok(match (first == second, nothing) {
        (_, true) => "nothing to compare\n".to_owned(),
        (true, _) => "same\n".to_owned(),
        (false, _) => format!("differ:\n{first}\n{second}\n"),
    })
}

/// Compares the joined texts of the two parts of an answer with the text of a third one.
pub(crate) fn compare_joined(
    environment: &Environment,
    case: &mut TestCase,
) -> Result<String, Error> {
    let [first, rest, whole] = texts(environment, case, ["first", "rest", "whole"])?;
    if first.is_empty() || rest.is_empty() {
        return Ok(format!("a part is empty: {first:?} {rest:?}\n"));
    }
    let joined = first + &rest;
    Ok(if joined == whole { "same\n".to_owned() } else { format!("differ:\n{joined}\n{whole}\n") })
}

fn texts<const N: usize>(
    environment: &Environment,
    case: &mut TestCase,
    names: [&str; N],
) -> Result<[String; N], Error> {
    let mut texts = [const { String::new() }; N];
    for (text, name) in texts.iter_mut().zip(names) {
        let answer: SmolStr = case.take_arg(name)?;
        *text = environment.caller(&answer)?.answer.lock().text.clone();
    }
    Ok(texts)
}

/// Checks that in each attempt no layer of a token ran twice, and that the layers that ran
/// start at layer 0 and have no gaps.
pub(crate) fn check_executions(environment: &Environment) -> Result<String, Error> {
    let deployment = environment.deployment()?;
    let mut tokens: BTreeMap<(RequestId, AttemptId, TokenIndex), Vec<Layers>> = BTreeMap::new();
    for engine in &deployment.engines {
        for execution in engine.executions() {
            let token = (execution.request, execution.attempt, execution.index);
            tokens.entry(token).or_default().push(execution.layers);
        }
    }
    let mut output = String::new();
    for ((request, attempt, index), mut layers) in tokens {
        layers.sort();
        if !is_contiguous(&layers, deployment.depth) {
            let line = writeln!(output, "{request:032x} {attempt} {index}: {layers:?}");
            line.map_err(Error::environment)?;
        }
    }
    Ok(if output.is_empty() { "each layer once and in order\n".to_owned() } else { output })
}

/// Returns whether sorted ranges are contiguous from layer 0 on. They may end before the last
/// layer.
fn is_contiguous(layers: &[Layers], depth: Depth) -> bool {
    let mut next = 0;
    for range in layers {
        if range.start != next {
            return false;
        }
        next = range.end;
    }
    next <= depth
}

/// Records which attempts have begun on each engine.
pub(crate) fn mark_attempts(environment: &mut Environment) -> Result<String, Error> {
    let begun = |engine: &Engine| (engine.vm().name.clone(), attempts(engine));
    environment.marked_attempts = environment.deployment()?.engines.iter().map(begun).collect();
    Ok("marked\n".to_owned())
}

/// Counts the attempts that began on an engine since the last `mark` directive.
pub(crate) fn count_begun(environment: &Environment, case: &mut TestCase) -> Result<String, Error> {
    let name = target_name(environment, case)?;
    let engine =
        environment.deployment()?.engine(&name).ok_or_else(|| Error::unknown("engine", &name))?;
    let before = environment.marked_attempts.get(&name).cloned().unwrap_or_default();
    Ok(format!("{}\n", attempts(engine).difference(&before).count()))
}

fn attempts(engine: &Engine) -> BTreeSet<(RequestId, AttemptId)> {
    let executions = engine.executions().into_iter();
    executions.map(|execution| (execution.request, execution.attempt)).collect()
}

/// Counts the engines that have crashed.
pub(crate) fn count_crashed(environment: &Environment) -> Result<String, Error> {
    let engines = &environment.deployment()?.engines;
    let count = engines.iter().filter(|engine| !engine.is_running()).count();
    Ok(format!("{count} of {}\n", engines.len()))
}

/// Lists the bookings that ran, by body, with the number of runs of each.
pub(crate) fn list_runs(environment: &Environment) -> Result<String, Error> {
    let mut runs: BTreeMap<SmolStr, usize> = BTreeMap::new();
    for service in &environment.deployment()?.services {
        for run in service.runs() {
            *runs.entry(run.body).or_default() += 1;
        }
    }
    let mut output = String::new();
    for (body, count) in runs {
        writeln!(output, "{body}: {count}").map_err(Error::environment)?;
    }
    Ok(if output.is_empty() { "none\n".to_owned() } else { output })
}

/// Lists the kinds of store calls that the platform counted under a key prefix.
pub(crate) fn list_calls(environment: &Environment, case: &mut TestCase) -> Result<String, Error> {
    // Arguments of the script language cannot contain slashes, so scripts write dots.
    let prefix: String = argument::or_default(case, "prefix", String::new())?;
    let prefix = prefix.replace('.', "/");
    let counters = environment.deployment()?.platform.counters();
    let counted = counters.iter().filter(|counter| counter.prefix == prefix && counter.calls > 0);
    let kinds: BTreeSet<Operation> = counted.map(|counter| counter.operation).collect();
    let names: Vec<String> = kinds.iter().map(|kind| format!("{kind:?}").to_lowercase()).collect();
    Ok(format!("{}\n", names.join(" ")))
}
