//! What the loss of a target counts against.

use crate::{Fingerprint, Passes};

/// A request, or a part of its prompt that other requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Subject {
    /// Fingerprint of the request or of the part.
    pub fingerprint: Fingerprint,
    /// Fingerprint of the request that ran on the target; `None` if that request was answered
    /// recently, so that the rest of it crashes no targets.
    pub request: Option<Fingerprint>,
    /// How widely it is shared: 0 for the request itself, 1 for the last shared part of the prompt,
    /// and one more for each part before it.
    pub breadth: u32,
    /// Whether a request with this part is known to have run before.
    pub has_run: bool,
}

impl Subject {
    /// Returns the subject of a request itself.
    pub fn request(fingerprint: Fingerprint) -> Self {
        Self { fingerprint, request: Some(fingerprint), breadth: 0, has_run: false }
    }

    /// Returns the subjects of shared parts of a request's prompt, which are in the order of the
    /// prompt and precede `narrower` other shared parts. `request` is `None` for a request that was
    /// answered recently.
    pub fn parts(
        request: Option<Fingerprint>,
        parts: &[Fingerprint],
        narrower: u32,
        passes: &Passes,
    ) -> impl Iterator<Item = Self> {
        let breadths = narrower.saturating_add(1)..=u32::MAX;
        let narrowest_first = parts.iter().rev().zip(breadths);
        narrowest_first.map(move |(&fingerprint, breadth)| {
            let has_run = passes.last(fingerprint).is_some();
            Self { fingerprint, request, breadth, has_run }
        })
    }
}
