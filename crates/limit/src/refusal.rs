//! When a refused caller may come back.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::organisation::Organisation;

/// Shortest time to come back.
const SHORTEST: Duration = Duration::from_secs(1);
/// Longest time to come back.
const LONGEST: Duration = Duration::from_secs(300);

/// Gives the next place in the organisation's line of returns.
///
/// Returns are spread so that those who come back in time find capacity: each place
/// is later than the one before by the time that the request would hold the
/// organisation's slots.
pub(crate) fn next_return(
    organisation: &mut Organisation,
    now: Duration,
    cost: f64,
    rng: &mut impl Rng,
) -> Duration {
    let slots = organisation.slots.max(0.1);
    let drained = now + Duration::from_secs_f64((organisation.queue.cost() / slots).min(300.0));
    let place = organisation.next_return.max(drained).max(now + SHORTEST);
    let place = place.min(now + LONGEST);
    organisation.next_return = place + Duration::from_secs_f64((cost / slots).min(300.0));
    let jitter = rng.random_range(0.0..0.1);
    let after = place - now;
    after + after.mul_f64(jitter)
}
