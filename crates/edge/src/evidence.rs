//! Evidence that the nodes exchange on requests that crash their targets.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::TargetName;
use serde::{Deserialize, Serialize};
use suspect::Fingerprint;

/// Number of times that evidence is sent, because datagrams may be lost.
const SEND_COUNT: u8 = 3;
/// Maximum size of the items in one message, encoded: one datagram with a margin for its head.
const MAX_BATCH_BYTES: usize = 1200;
/// Maximum number of items in the queue.
const MAX_QUEUED: usize = 512;

/// What one node reports of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Fingerprint of the request or of the part of prompts.
    pub fingerprint: Fingerprint,
    /// What is reported.
    pub finding: Finding,
}

/// Whether a request is suspected of crashing its targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// A target was lost while it ran the request.
    Suspected(Suspicion),
    /// The request runs past the point at which requests crash targets.
    Cleared,
    /// The request was recently answered completely and crashes no target.
    Answered,
    /// A request with this part in its prompt ran past that point, this long ago.
    Passed(Duration),
    /// The request is in quarantine, because this target and others were lost while they ran it.
    Quarantined(TargetName),
    /// All requests with this part in their prompts are in quarantine, for losses of this target
    /// and others.
    PartQuarantined(TargetName),
}

/// A loss of a target under a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The lost target.
    pub target: TargetName,
    /// Fingerprints of the shared parts of the prompt, in the order of the prompt.
    pub parts: Vec<Fingerprint>,
    /// Whether the loss came before any part of an answer.
    pub fresh: bool,
}

/// Evidence to be sent, with the number of times left for each item.
#[derive(Debug, Default)]
pub(crate) struct Outbox(VecDeque<(Evidence, u8)>);

impl Outbox {
    /// Queues evidence. Evidence that clears a request replaces what is queued for it; losses of
    /// further targets are added.
    pub(crate) fn push(&mut self, evidence: Evidence) {
        let adds = matches!(
            evidence.finding,
            Finding::Suspected(_) | Finding::Quarantined(_) | Finding::PartQuarantined(_)
        );
        if !adds {
            self.0.retain(|(other, _)| other.fingerprint != evidence.fingerprint);
        }
        if self.0.len() == MAX_QUEUED {
            metrics::counter!("magnolia_quarantine_words_untold").increment(1);
            self.0.pop_front();
        }
        self.0.push_back((evidence, SEND_COUNT));
    }

    /// Drops queued news that requests with a part have run, because another node has told it.
    pub(crate) fn drop_passed(&mut self, part: Fingerprint) {
        self.0.retain(|(queued, _)| {
            queued.fingerprint != part || !matches!(queued.finding, Finding::Passed(_))
        });
    }

    /// Returns the evidence for the next message, and queues items again that are to be sent more
    /// often.
    pub(crate) fn take_batch(&mut self) -> Vec<Evidence> {
        let mut batch: Vec<(Evidence, u8)> = Vec::new();
        let mut bytes = 0;
        while let Some((evidence, _)) = self.0.front() {
            bytes += encoded_size(evidence);
            if bytes > MAX_BATCH_BYTES && !batch.is_empty() {
                break;
            }
            batch.extend(self.0.pop_front());
        }
        let repeated = batch.iter().filter(|(_, left)| *left > 1);
        self.0.extend(repeated.map(|(evidence, left)| (evidence.clone(), left - 1)));
        batch.into_iter().map(|(evidence, _)| evidence).collect()
    }
}

fn encoded_size(evidence: &Evidence) -> usize {
    // Names and numbers always serialise.
    postcard::to_allocvec(evidence).map_or(0, |bytes| bytes.len())
}
