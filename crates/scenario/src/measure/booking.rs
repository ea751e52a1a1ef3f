//! Delay of bookings after the loss of a node.

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

/// Bookings sent after the loss, each with its own key.
const BOOKINGS: usize = 300;
/// Time between the sending of two bookings.
const SEND_INTERVAL: Duration = Duration::from_millis(5);
/// Delay before a booking that was not accepted is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(20);
/// Booking services in the deployment.
const ENGINES: u16 = 3;

/// Measures the longest time, in ms, until a booking is accepted that is sent to one of the
/// remaining nodes after a node is killed. Refused bookings are sent again with the same key.
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
        threads.push(thread::spawn(move || book_until_accepted(node, number)));
        thread::sleep(SEND_INTERVAL);
    }
    let mut longest = Duration::ZERO;
    for thread in threads {
        let taken = thread.join().map_err(|_| Error::environment("a caller panicked"))??;
        longest = longest.max(taken);
    }
    Ok(bench::millis(longest))
}

/// Sends a booking until it is accepted, and returns the time that this took.
///
/// # Errors
///
/// Fails with [`Error::Timeout`] after [`MAX_WAIT`].
fn book_until_accepted(node: SocketAddr, number: usize) -> Result<Duration, Error> {
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
        thread::sleep(RESEND_DELAY);
    }
    Err(Error::Timeout {
        condition: "the acceptance of a booking".into(),
        seen: format_smolstr!("key crew-{number} was not accepted"),
    })
}
