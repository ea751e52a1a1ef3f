//! Throughput relative to the maximum-flow bound.

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

/// Factor applied to the deployment's token rates, since nodes, engines and callers share one
/// machine.
const RATE_SCALE: f64 = 0.1;
/// Concurrent callers; each sends its next request when its previous answer has ended.
const CALLERS: usize = 480;
/// Maximum tokens of an answer.
const MAX_TOKENS: u32 = 48;
/// Time between the fault, if any, and the measurement; half of it also precedes the fault.
const WARM_UP: Duration = Duration::from_secs(15);
/// Duration of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);
/// Delay before the next request after an incomplete answer.
const RESEND_DELAY: Duration = Duration::from_millis(200);
/// Failure domain whose engines crash.
const LOST_DOMAIN: &str = "pnw-c";

/// Measures the tokens per second of complete answers at saturation, as a share of the bound.
pub(super) fn pnw(_seed: u64) -> Result<f64, Error> {
    measure_share(|_| Ok(()))
}

/// Measures the same after the loss of a failure domain, as a share of the bound of the engines
/// that remain.
pub(super) fn pnw_domain_lost(_seed: u64) -> Result<f64, Error> {
    measure_share(|deployment| {
        for engine in deployment.engines.iter().filter(|engine| engine.vm().domain == LOST_DOMAIN) {
            engine.command(Command::Crash);
        }
        Ok(())
    })
}

fn measure_share(fault: impl FnOnce(&Deployment) -> Result<(), Error>) -> Result<f64, Error> {
    let environment = bench::start(deployment::pnw().scale(RATE_SCALE))?;
    let load = Load::start(&environment)?;
    thread::sleep(WARM_UP / 2);
    fault(environment.deployment()?)?;
    thread::sleep(WARM_UP);
    let (before, at) = (load.tokens.load(Ordering::Relaxed), Instant::now());
    thread::sleep(MEASUREMENT_TIME);
    let tokens = load.tokens.load(Ordering::Relaxed) - before;
    let rate = tokens as f64 / at.elapsed().as_secs_f64();
    load.stop()?;
    Ok(rate / flow_bound(environment.deployment()?))
}

/// Returns the maximum flow of the running engines, in tokens per second. Each row of engines
/// holds every layer once and at one rate, so the flow is the sum of the engines' rates, each
/// weighted by its share of the layers.
fn flow_bound(deployment: &Deployment) -> f64 {
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

/// Callers that saturate the deployment.
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
            let request = bench::chat_request(environment, "load", MAX_TOKENS)?;
            let organisations = &environment.deployment()?.organisations;
            let organisation = organisations[number % organisations.len()].name.clone();
            let request = Request { organisation, ..request };
            let (node, tokens, stopped) =
                (nodes[number % nodes.len()], Arc::clone(&tokens), Arc::clone(&stopped));
            threads
                .push(thread::spawn(move || run_caller(node, &request, number, &tokens, &stopped)));
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

/// Sends requests one after another until stopped, and counts the events of complete answers
/// as tokens.
fn run_caller(
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
            thread::sleep(RESEND_DELAY);
        }
    }
    Ok(())
}
