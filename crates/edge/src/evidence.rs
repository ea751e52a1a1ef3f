//! Evidence that the nodes exchange on requests that crash their targets.

use std::collections::VecDeque;

use fleet::TargetName;
use serde::{Deserialize, Serialize};
use suspect::Fingerprint;

/// Number of times that evidence is sent, because datagrams may be lost.
const SEND_COUNT: u8 = 3;
/// Maximum number of items in one message.
const MAX_PER_MESSAGE: usize = 24;
/// Maximum number of items in the queue.
const MAX_QUEUED: usize = 512;

/// What one node reports of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Evidence {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) finding: Finding,
}

/// Whether a request is suspected of crashing its targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Finding {
    /// This target was lost while it ran the request.
    Suspected(TargetName),
    /// The request runs past the point at which requests crash targets.
    Cleared,
    /// The request was recently answered completely and crashes no target.
    Answered,
    /// The request is in quarantine, because this target and others were lost while they ran it.
    Quarantined(TargetName),
}

/// Evidence to be sent, with the number of times left for each item.
#[derive(Debug, Default)]
pub(crate) struct Outbox(VecDeque<(Evidence, u8)>);

impl Outbox {
    /// Queues evidence. Evidence that clears a request replaces what is queued for it; losses of
    /// further targets are added.
    pub(crate) fn push(&mut self, evidence: Evidence) {
        if !matches!(evidence.finding, Finding::Suspected(_) | Finding::Quarantined(_)) {
            self.0.retain(|(other, _)| other.fingerprint != evidence.fingerprint);
        }
        if self.0.len() == MAX_QUEUED {
            metrics::counter!("magnolia_quarantine_words_untold").increment(1);
            self.0.pop_front();
        }
        self.0.push_back((evidence, SEND_COUNT));
    }

    /// Returns the evidence for the next message, and queues items again that are to be sent more
    /// often.
    pub(crate) fn take_batch(&mut self) -> Vec<Evidence> {
        let due = self.0.len().min(MAX_PER_MESSAGE);
        let batch: Vec<(Evidence, u8)> = self.0.drain(..due).collect();
        let repeated = batch.iter().filter(|(_, left)| *left > 1);
        self.0.extend(repeated.map(|(evidence, left)| (evidence.clone(), left - 1)));
        batch.into_iter().map(|(evidence, _)| evidence).collect()
    }
}
