//! Throughput against the max-flow bound.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fleet::{Kind, Role};
use smol_str::format_smolstr;
use standin::deployment::{self, Deployment};
use standin::engine::Command;

use super::bench;
use crate::Error;
use crate::process::caller::{Caller, Request};
use crate::process::environment::Environment;

/// Token rates of the engines, as a share of the deployment's: nodes, engines and callers
/// stand on one machine.
const SCALE: f64 = 0.1;
/// Callers, each of which sends its next request when the last has ended.
const CALLERS: usize = 480;
/// Most tokens of an answer.
const MAX_TOKENS: u32 = 48;
/// Time before the measurement.
const WARM_UP: Duration = Duration::from_secs(15);
/// Time of the measurement.
const MEASURED: Duration = Duration::from_secs(20);
/// Pause after a refusal.
const RESEND: Duration = Duration::from_millis(200);
/// Failure domain that is lost.
const LOST: &str = "pnw-c";

/// Tokens of whole answers per second at saturation, as a share of the bound.
pub(super) fn pnw(_seed: u64) -> Result<f64, Error> {
    measure(|_| Ok(()))
}

/// The same after the loss of a failure domain, of the bound that remains.
pub(super) fn pnw_domain_lost(_seed: u64) -> Result<f64, Error> {
    measure(|deployment| {
        for engine in deployment.engines.iter().filter(|engine| engine.vm().domain == LOST) {
            engine.command(Command::Crash);
        }
        Ok(())
    })
}

fn measure(fault: impl FnOnce(&Deployment) -> Result<(), Error>) -> Result<f64, Error> {
    let environment = bench::start(deployment::pnw().scale(SCALE))?;
    let load = Load::start(&environment)?;
    thread::sleep(WARM_UP / 2);
    fault(environment.deployment()?)?;
    thread::sleep(WARM_UP);
    let (before, at) = (load.tokens.load(Ordering::Relaxed), Instant::now());
    thread::sleep(MEASURED);
    let tokens = load.tokens.load(Ordering::Relaxed) - before;
    let rate = tokens as f64 / at.elapsed().as_secs_f64();
    load.stop()?;
    Ok(rate / bound(environment.deployment()?))
}

/// Maximum flow of the engines that run. Each row of engines holds every layer once, at one
/// rate; so the flow is the layers' share of all rates.
fn bound(deployment: &Deployment) -> f64 {
    let depth = f64::from(deployment.depth);
    let running = deployment.engines.iter().filter(|engine| engine.is_running());
    let flow = running.filter_map(|engine| match &engine.vm().role {
        Role::Target(target) => match &target.kind {
            Kind::Engine(engine) => {
                Some(engine.tokens_per_second * f64::from(engine.layers.len()) / depth)
            }
            Kind::Service(_) => None,
        },
        Role::Entry { .. } => None,
    });
    flow.sum()
}

/// Callers that keep the fleet busy.
struct Load {
    tokens: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Result<(), Error>>>,
}

impl Load {
    fn start(environment: &Environment) -> Result<Self, Error> {
        let nodes: Vec<SocketAddr> =
            environment.nodes.values().map(|node| node.caller_address).collect();
        let tokens = Arc::new(AtomicU64::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::with_capacity(CALLERS);
        for number in 0..CALLERS {
            let request = bench::chat(environment, "load", MAX_TOKENS)?;
            let organisations = &environment.deployment()?.organisations;
            let organisation = organisations[number % organisations.len()].name.clone();
            let request = Request { organisation, ..request };
            let (node, tokens, stopped) =
                (nodes[number % nodes.len()], Arc::clone(&tokens), Arc::clone(&stopped));
            threads.push(thread::spawn(move || call(node, &request, number, &tokens, &stopped)));
        }
        Ok(Self { tokens, stopped, threads })
    }

    fn stop(self) -> Result<(), Error> {
        self.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().map_err(|_| Error::environment("a caller panicked"))??;
        }
        Ok(())
    }
}

/// Sends one request after another, and counts the tokens of whole answers.
fn call(
    node: SocketAddr,
    request: &Request,
    caller: usize,
    tokens: &AtomicU64,
    stopped: &AtomicBool,
) -> Result<(), Error> {
    let mut number = 0;
    while !stopped.load(Ordering::Relaxed) {
        number += 1;
        let key = Some(format_smolstr!("{caller}-{number}"));
        let content = format!("Cut list {number} of crew {caller}.");
        let sent = Caller::send(node, Request { key, content, ..request.clone() }, None)?;
        let answer = sent.answer.clone();
        drop(sent);
        let received = answer.lock();
        if received.is_complete() {
            tokens.fetch_add(received.ids.len() as u64, Ordering::Relaxed);
        } else {
            drop(received);
            thread::sleep(RESEND);
        }
    }
    Ok(())
}
