//! Recovery of streams after the loss of an engine, and new work on a leaving target.

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

/// Chains of the deployment; each round loses an engine of a different chain.
const CHAINS: u16 = 8;
/// Stages of each chain.
const STAGES: u16 = 3;
/// Rounds, each of which loses one engine.
const ROUNDS: u16 = 5;
/// Tokens per second of each engine.
const RATE: f64 = 400.0;
/// Concurrent streams in each round.
const STREAMS: usize = 32;
/// Maximum tokens of a stream.
const MAX_TOKENS: u32 = 200;
/// Events that each stream has received before an engine is lost.
const TOKENS_BEFORE_LOSS: usize = 10;
/// Time for which new work is observed after the notice that a target leaves.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);
/// Time between two checks of the leaving target's executions.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Measures the 95th percentile, in ms, of the longest gaps in streams through an engine that
/// crashes.
pub(super) fn stage_killed(seed: u64) -> Result<f64, Error> {
    measure_gaps(seed, &Command::Crash)
}

/// Measures the 95th percentile, in ms, of the longest gaps in streams through an engine that
/// freezes.
pub(super) fn stage_frozen(seed: u64) -> Result<f64, Error> {
    measure_gaps(seed, &Command::Freeze)
}

fn measure_gaps(seed: u64, command: &Command) -> Result<f64, Error> {
    let mut rng = bench::rng(seed);
    let mut environment = bench::start(fleet())?;
    let mut gaps = Vec::new();
    for round in 0..ROUNDS {
        let names =
            bench::send_streams(&mut environment, &format!("s{round}"), STREAMS, MAX_TOKENS)?;
        wait_for_tokens(&environment, &names)?;
        let lost = format_smolstr!("c{round}s{}", rng.random_range(0..STAGES));
        let affected = streams_through(&environment, &names, &lost)?;
        let at = Instant::now();
        engine(&environment, &lost)?.command(command.clone());
        for name in &names {
            condition::await_end(name, &environment.caller(name)?.answer)?;
        }
        for name in affected {
            gaps.push(longest_gap(&environment, &name, at)?);
        }
        // The platform removes lost VMs from its list.
        environment.deployment()?.platform.command(platform::Command::Remove(lost));
        environment.callers.clear();
    }
    bench::percentile_95(gaps)
}

fn fleet() -> Builder {
    let domains = ["a".into(), "b".into(), "c".into()];
    let configure = |engine: standin::engine::Builder| engine.tokens_per_second(RATE);
    Builder::new("plank", 24)
        .chains(CHAINS, STAGES, &domains, configure)
        .organisation("cascade", 1.0)
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
            if count >= TOKENS_BEFORE_LOSS { Ok(()) } else { Err(format_smolstr!("{count}")) }
        })?;
    }
    Ok(())
}

/// Returns the unfinished streams that have executed on an engine.
fn streams_through(
    environment: &Environment,
    names: &[SmolStr],
    engine_name: &str,
) -> Result<Vec<SmolStr>, Error> {
    let executions = engine(environment, engine_name)?.executions();
    let mut affected = Vec::new();
    for name in names {
        let received = environment.caller(name)?.answer.lock();
        let runs = executions.iter().any(|execution| Some(execution.request) == received.request);
        if runs && !received.ended {
            affected.push(name.clone());
        }
    }
    Ok(affected)
}

/// Returns the longest time between two successive events of a stream, of which the second
/// was received after `at`.
///
/// # Errors
///
/// Fails if the answer is incomplete, since the stream has then not recovered.
fn longest_gap(environment: &Environment, name: &str, at: Instant) -> Result<Duration, Error> {
    let received = environment.caller(name)?.answer.lock();
    if !received.is_complete() {
        return Err(Error::environment(format_smolstr!(
            "answer of {name} is incomplete: {received:?}"
        )));
    }
    let pairs = received.arrivals.windows(2).filter(|pair| pair[1] > at);
    Ok(pairs.map(|pair| pair[1] - pair[0]).max().unwrap_or_default())
}

/// Measures the time, in ms, from the notice that a target leaves to the last new work that
/// it receives. The target itself does not refuse work. The notice enters the list of VMs at
/// once, but the list shows it after [`bench::LIST_LAG`].
pub(super) fn leaving_last_work(seed: u64) -> Result<f64, Error> {
    let mut rng = bench::rng(seed);
    let mut environment = bench::start(fleet())?;
    let name = format_smolstr!("c{}s0", rng.random_range(0..CHAINS));
    let mut sent = 0;
    let mut last = Duration::ZERO;
    let mut seen = 0;
    let mut notice = None;
    let started = Instant::now();
    while notice.is_none_or(|notice: Instant| notice.elapsed() < OBSERVATION_TIME) {
        if notice.is_none() && started.elapsed() > OBSERVATION_TIME / 4 {
            environment.deployment()?.platform.command(platform::Command::Leaving(name.clone()));
            notice = Some(Instant::now());
        }
        bench::send_streams(&mut environment, &format!("w{sent}"), 1, 4)?;
        sent += 1;
        thread::sleep(POLL_INTERVAL);
        let requests = count_attempts(&environment, &name)?;
        if requests > seen {
            seen = requests;
            last = notice.map_or(Duration::ZERO, |notice| notice.elapsed());
        }
        environment.callers.retain(|_, caller| !caller.answer.lock().ended);
    }
    if seen == 0 {
        return Err(Error::environment("the leaving target received no work at all"));
    }
    Ok(bench::millis(last))
}

fn count_attempts(environment: &Environment, name: &str) -> Result<usize, Error> {
    let executions = engine(environment, name)?.executions();
    let runs: std::collections::BTreeSet<_> =
        executions.iter().map(|execution| (execution.request, execution.attempt)).collect();
    Ok(runs.len())
}
