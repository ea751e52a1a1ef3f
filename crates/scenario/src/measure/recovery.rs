//! Recovery of streams, and the end of new work on a leaving target.

use std::thread;
use std::time::{Duration, Instant};

use rand::RngExt;
use smol_str::{SmolStr, format_smolstr};
use standin::deployment::Builder;
use standin::engine::Command;
use standin::platform;

use super::bench;
use crate::Error;
use crate::process::condition;
use crate::process::environment::{Environment, poll};

/// Chains of the fleet; each round loses an engine of another one.
const CHAINS: u16 = 8;
/// Stages of a chain.
const STAGES: u16 = 3;
/// Engines lost, one after another.
const ROUNDS: u16 = 5;
/// Tokens per second of an engine.
const RATE: f64 = 400.0;
/// Streams at once.
const STREAMS: usize = 32;
/// Most tokens of a stream.
const MAX_TOKENS: u32 = 200;
/// Tokens that each stream has received when an engine is lost.
const TOKENS_BEFORE: usize = 10;
/// Time for which new work is watched after the notice of a leaving target.
const WATCHED: Duration = Duration::from_secs(4);
/// Time between two looks at the executions of the leaving target.
const LOOK: Duration = Duration::from_millis(5);

/// Longest gap in the streams that passed a stage which is killed, 95th percentile, in ms.
pub(super) fn stage_killed(seed: u64) -> Result<f64, Error> {
    gaps(seed, &Command::Crash)
}

/// Longest gap in the streams that passed a stage which freezes, 95th percentile, in ms.
pub(super) fn stage_frozen(seed: u64) -> Result<f64, Error> {
    gaps(seed, &Command::Freeze)
}

fn gaps(seed: u64, command: &Command) -> Result<f64, Error> {
    let mut rng = bench::rng(seed);
    let mut environment = bench::start(fleet())?;
    let mut gaps = Vec::new();
    for round in 0..ROUNDS {
        let names = bench::send(&mut environment, &format!("s{round}"), STREAMS, MAX_TOKENS)?;
        wait_for_tokens(&environment, &names)?;
        let lost = format_smolstr!("c{round}s{}", rng.random_range(0..STAGES));
        let hit = hit(&environment, &names, &lost)?;
        let at = Instant::now();
        engine(&environment, &lost)?.command(command.clone());
        for name in &names {
            condition::await_end(name, &environment.caller(name)?.answer)?;
        }
        for name in hit {
            gaps.push(longest_gap(&environment, &name, at)?);
        }
        // The platform takes lost VMs off its list.
        environment.deployment()?.platform.command(platform::Command::Remove(lost));
        environment.callers.clear();
    }
    bench::percentile_95(gaps)
}

fn fleet() -> Builder {
    let domains = ["a".into(), "b".into(), "c".into()];
    let set = |engine: standin::engine::Builder| engine.tokens_per_second(RATE);
    Builder::new("plank", 24).chains(CHAINS, STAGES, &domains, set).organisation("cascade", 1.0)
}

fn engine<'a>(
    environment: &'a Environment,
    name: &str,
) -> Result<&'a standin::engine::Engine, Error> {
    environment.deployment()?.engine(name).ok_or_else(|| Error::unknown("engine", name))
}

fn wait_for_tokens(environment: &Environment, names: &[SmolStr]) -> Result<(), Error> {
    for name in names {
        let answer = &environment.caller(name)?.answer;
        poll("tokens", || {
            let count = answer.lock().ids.len();
            if count >= TOKENS_BEFORE { Ok(()) } else { Err(format_smolstr!("{count}")) }
        })?;
    }
    Ok(())
}

/// The streams that run through an engine now.
fn hit(
    environment: &Environment,
    names: &[SmolStr],
    engine_name: &str,
) -> Result<Vec<SmolStr>, Error> {
    let executions = engine(environment, engine_name)?.executions();
    let mut hit = Vec::new();
    for name in names {
        let received = environment.caller(name)?.answer.lock();
        let runs = executions.iter().any(|execution| Some(execution.request) == received.request);
        if runs && !received.ended {
            hit.push(name.clone());
        }
    }
    Ok(hit)
}

/// Longest time between two tokens, the second of which came after `at`.
///
/// # Errors
///
/// Fails when the answer is not whole: then it has not recovered.
fn longest_gap(environment: &Environment, name: &str, at: Instant) -> Result<Duration, Error> {
    let received = environment.caller(name)?.answer.lock();
    if !received.is_complete() {
        return Err(Error::environment(format_smolstr!("{name} is not whole: {received:?}")));
    }
    let pairs = received.arrivals.windows(2).filter(|pair| pair[1] > at);
    Ok(pairs.map(|pair| pair[1] - pair[0]).max().unwrap_or_default())
}

/// Time from the notice that a target leaves to the last new work that it gets, in ms. The
/// target itself refuses nothing; the notice reaches the list of VMs at once and the list
/// lags.
pub(super) fn leaving_last_work(seed: u64) -> Result<f64, Error> {
    let mut rng = bench::rng(seed);
    let mut environment = bench::start(fleet())?;
    let name = format_smolstr!("c{}s0", rng.random_range(0..CHAINS));
    let mut sent = 0;
    let mut last = Duration::ZERO;
    let mut seen = 0;
    let mut notice = None;
    let started = Instant::now();
    while notice.is_none_or(|notice: Instant| notice.elapsed() < WATCHED) {
        if notice.is_none() && started.elapsed() > WATCHED / 4 {
            environment.deployment()?.platform.command(platform::Command::Leaving(name.clone()));
            notice = Some(Instant::now());
        }
        bench::send(&mut environment, &format!("w{sent}"), 1, 4)?;
        sent += 1;
        thread::sleep(LOOK);
        let requests = requests(&environment, &name)?;
        if requests > seen {
            seen = requests;
            last = notice.map_or(Duration::ZERO, |notice| notice.elapsed());
        }
        environment.callers.retain(|_, caller| !caller.answer.lock().ended);
    }
    if seen == 0 {
        return Err(Error::environment("the target never got any work"));
    }
    Ok(bench::millis(last))
}

fn requests(environment: &Environment, name: &str) -> Result<usize, Error> {
    let executions = engine(environment, name)?.executions();
    let runs: std::collections::BTreeSet<_> =
        executions.iter().map(|execution| (execution.request, execution.attempt)).collect();
    Ok(runs.len())
}
