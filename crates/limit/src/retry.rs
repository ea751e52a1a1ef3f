//! Retry times of refused requests.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::organisation::Organisation;

/// Minimum delay before a retry, without jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum delay before a retry, without jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(300);

/// Returns the delay after which a refused request of the organisation may be retried, and
/// advances the organisation's next retry time.
///
/// Retries are spread so that callers who retry at the given time find capacity: each
/// retry time is later than the previous one by the time that the refused request would
/// occupy all of the organisation's slots. Jitter adds up to 10 %.
pub(crate) fn retry_after(
    organisation: &mut Organisation,
    now: Duration,
    cost: f64,
    rng: &mut impl Rng,
) -> Duration {
    let slots = organisation.slots.max(0.1);
    let drained = now + Duration::from_secs_f64((organisation.queue.cost() / slots).min(300.0));
    let at = organisation.next_retry.max(drained).max(now + MIN_RETRY_AFTER);
    let at = at.min(now + MAX_RETRY_AFTER);
    organisation.next_retry = at + Duration::from_secs_f64((cost / slots).min(300.0));
    let jitter = rng.random_range(0.0..0.1);
    let after = at - now;
    after + after.mul_f64(jitter)
}
