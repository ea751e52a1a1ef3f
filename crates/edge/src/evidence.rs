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
/// Maximum number of items in the queue: a prompt may have hundreds of parts.
const MAX_QUEUED: usize = 4096;
/// Maximum number of messages on further parts in the queue.
const MAX_QUEUED_FURTHER: usize = 512;
/// Maximum number of parts that one message names: those of one datagram, next to the name of a target.
const MAX_NAMED_PARTS: usize = 96;

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
    /// Fingerprints of the shared parts of the prompt, in the order of the prompt: the last ones if
    /// there are more than fit into a message. [`FurtherParts`] name the others.
    pub parts: Vec<Fingerprint>,
    /// Whether the loss came before any part of an answer.
    pub fresh: bool,
}

/// Parts of a prompt that precede those of a [`Suspicion`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FurtherParts {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// The lost target.
    pub target: TargetName,
    /// Fingerprints of some shared parts of the prompt, in the order of the prompt.
    pub parts: Vec<Fingerprint>,
    /// Number of the shared parts that follow them in the prompt.
    pub narrower: u32,
    /// Whether the loss came before any part of an answer.
    pub fresh: bool,
}

/// Items to be sent several times, each with the number of times left.
#[derive(Debug)]
struct Queue<T> {
    items: VecDeque<(T, u8)>,
    max_items: usize,
}

impl<T: Clone> Queue<T> {
    fn new(max_items: usize) -> Self {
        Self { items: VecDeque::new(), max_items }
    }

    fn push(&mut self, item: T) {
        if self.items.len() == self.max_items {
            metrics::counter!("magnolia_quarantine_words_untold").increment(1);
            self.items.pop_front();
        }
        self.items.push_back((item, SEND_COUNT));
    }

    /// Queues items that were taken again, unless they were sent often enough.
    fn repeat(&mut self, taken: Vec<(T, u8)>) {
        let repeated = taken.into_iter().filter(|(_, left)| *left > 1);
        self.items.extend(repeated.map(|(item, left)| (item, left - 1)));
    }
}

/// Evidence to be sent.
#[derive(Debug)]
pub(crate) struct Outbox {
    evidence: Queue<Evidence>,
    further: Queue<FurtherParts>,
}

impl Default for Outbox {
    fn default() -> Self {
        Self { evidence: Queue::new(MAX_QUEUED), further: Queue::new(MAX_QUEUED_FURTHER) }
    }
}

impl Outbox {
    /// Queues evidence. Evidence that clears a request replaces what is queued for it; losses of
    /// further targets are added.
    pub(crate) fn push(&mut self, evidence: Evidence) {
        let adds = matches!(
            evidence.finding,
            Finding::Suspected(_) | Finding::Quarantined(_) | Finding::PartQuarantined(_)
        );
        if !adds {
            let cleared = evidence.fingerprint;
            self.evidence.items.retain(|(other, _)| other.fingerprint != cleared);
            self.further.items.retain(|(other, _)| other.request != cleared);
        }
        self.evidence.push(evidence);
    }

    /// Queues a loss under a request with these shared parts, in the order of the prompt.
    pub(crate) fn push_suspicion(&mut self, request: Fingerprint, suspicion: Suspicion) {
        let Suspicion { target, mut parts, fresh } = suspicion;
        let last = parts.split_off(parts.len().saturating_sub(MAX_NAMED_PARTS));
        let mut narrower = last.len();
        for parts in parts.rchunks(MAX_NAMED_PARTS) {
            self.further.push(FurtherParts {
                request,
                target: target.clone(),
                parts: parts.to_vec(),
                narrower: u32::try_from(narrower).unwrap_or(u32::MAX),
                fresh,
            });
            narrower += parts.len();
        }
        let finding = Finding::Suspected(Suspicion { target, parts: last, fresh });
        self.push(Evidence { fingerprint: request, finding });
    }

    /// Drops queued news that requests with a part have run, because another node has told it.
    pub(crate) fn drop_passed(&mut self, part: Fingerprint) {
        self.evidence.items.retain(|(queued, _)| {
            queued.fingerprint != part || !matches!(queued.finding, Finding::Passed(_))
        });
    }

    /// Returns the evidence for the next messages, at most `max` of them, and queues items again that
    /// are to be sent more often.
    pub(crate) fn take_batches(&mut self, max: usize) -> Vec<Vec<Evidence>> {
        let (mut batches, mut taken) = (Vec::new(), Vec::new());
        while batches.len() < max && !self.evidence.items.is_empty() {
            let batch = self.take_batch();
            batches.push(batch.iter().map(|(evidence, _)| evidence.clone()).collect());
            taken.extend(batch);
        }
        self.evidence.repeat(taken);
        batches
    }

    /// Removes and returns the items of one message.
    fn take_batch(&mut self) -> Vec<(Evidence, u8)> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some((evidence, _)) = self.evidence.items.front() {
            bytes += encoded_size(evidence);
            if bytes > MAX_BATCH_BYTES && !batch.is_empty() {
                break;
            }
            batch.extend(self.evidence.items.pop_front());
        }
        batch
    }

    /// Returns the next messages on further parts, at most `max` of them.
    pub(crate) fn take_further(&mut self, max: usize) -> Vec<FurtherParts> {
        let count = max.min(self.further.items.len());
        let taken: Vec<_> = self.further.items.drain(..count).collect();
        let further = taken.iter().map(|(further, _)| further.clone()).collect();
        self.further.repeat(taken);
        further
    }
}

fn encoded_size(evidence: &Evidence) -> usize {
    // Names and numbers always serialise.
    postcard::to_allocvec(evidence).map_or(0, |bytes| bytes.len())
}
