//! Bookings after the loss of an entry VM.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use rand::RngExt;
use rustix::process::Signal;
use smol_str::{SmolStr, format_smolstr};
use standin::deployment::Builder;
use standin::service;

use super::bench;
use crate::Error;
use crate::process::MAX_WAIT;
use crate::process::caller::{Caller, Kind, Request};

/// Bookings sent after the loss, each under a key of its own.
const BOOKINGS: usize = 300;
/// Time between two bookings.
const INTERVAL: Duration = Duration::from_millis(5);
/// Time between two sendings of a booking that was not accepted.
const RESEND: Duration = Duration::from_millis(20);
/// Booking engines.
const ENGINES: u16 = 3;

/// Longest time until a booking is accepted that is sent through another node after one is
/// lost, over all keys, in ms. Refused bookings are sent again under their key.
pub(super) fn node_killed(seed: u64) -> Result<f64, Error> {
    let mut rng = bench::rng(seed);
    let mut builder = Builder::new("plank", 24).organisation("cascade", 1.0);
    builder = builder.chains(1, 1, &["a".into()], |engine| engine);
    for number in 0..ENGINES {
        builder = builder.service(service::Builder::new(format_smolstr!("b{number}")));
    }
    let mut environment = bench::start(builder)?;
    let names: Vec<SmolStr> = environment.nodes.keys().cloned().collect();
    let lost = &names[rng.random_range(0..names.len())];
    environment.node(lost)?.signal(Signal::KILL)?;
    environment.nodes.remove(lost);
    let nodes: Vec<SocketAddr> =
        environment.nodes.values().map(|node| node.caller_address).collect();
    let mut threads = Vec::with_capacity(BOOKINGS);
    for number in 0..BOOKINGS {
        let node = nodes[number % nodes.len()];
        threads.push(thread::spawn(move || accepted(node, number)));
        thread::sleep(INTERVAL);
    }
    let mut longest = Duration::ZERO;
    for thread in threads {
        let taken = thread.join().map_err(|_| Error::environment("a caller panicked"))??;
        longest = longest.max(taken);
    }
    Ok(bench::millis(longest))
}

/// Sends a booking until it is accepted, and returns how long that took.
fn accepted(node: SocketAddr, number: usize) -> Result<Duration, Error> {
    let request = Request {
        kind: Kind::Booking,
        model: SmolStr::default(),
        organisation: "cascade".into(),
        key: Some(format_smolstr!("crew-{number}")),
        max_tokens: 0,
        stream: false,
        content: format!("house {number}"),
    };
    let at = Instant::now();
    while at.elapsed() < MAX_WAIT {
        let caller = Caller::send(node, request.clone(), None)?;
        let answer = caller.answer.clone();
        drop(caller);
        if answer.lock().is_complete() {
            return Ok(at.elapsed());
        }
        thread::sleep(RESEND);
    }
    Err(Error::Timeout {
        condition: "a booking".into(),
        seen: format_smolstr!("key crew-{number} is not accepted"),
    })
}
