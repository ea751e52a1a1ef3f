//! Parts of prompts with which requests have run past the point at which a request crashes its
//! target.

use std::collections::HashMap;
use std::time::Duration;

use crate::Fingerprint;

/// Time for which a part counts as harmless after a request with it has run. A part that starts to
/// crash targets is suspected once this has passed.
const VALIDITY: Duration = Duration::from_secs(2);
/// Maximum parts in one generation.
const MAX_PARTS: usize = 32_768;

/// Time of the latest run with each part. Keeps the last generation of parts and the one before.
#[derive(Clone, Debug, Default)]
pub struct Passes {
    latest: HashMap<Fingerprint, Duration>,
    earlier: HashMap<Fingerprint, Duration>,
}

impl Passes {
    /// Records that a request with a part has run at this time.
    pub fn record(&mut self, part: Fingerprint, at: Duration) {
        if self.last(part).is_some_and(|last| last > at) {
            return;
        }
        if self.latest.len() >= MAX_PARTS {
            self.earlier = std::mem::take(&mut self.latest);
        }
        self.latest.insert(part, at);
    }

    /// Returns when a request with a part has last run, if that is remembered.
    pub fn last(&self, part: Fingerprint) -> Option<Duration> {
        self.latest.get(&part).or_else(|| self.earlier.get(&part)).copied()
    }

    /// Returns whether a request with a part has run so recently that the part is harmless.
    pub fn is_harmless(&self, part: Fingerprint, now: Duration) -> bool {
        self.last(part).is_some_and(|at| now < at + VALIDITY)
    }
}
