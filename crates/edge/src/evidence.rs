//! What the nodes tell each other of requests that crash their targets.

use std::collections::VecDeque;

use fleet::TargetName;
use serde::{Deserialize, Serialize};
use suspect::Fingerprint;

/// Times that each word is told: datagrams are lost now and then.
const SEND_COUNT: u8 = 3;
/// Most words in one message.
const MAX_PER_MESSAGE: usize = 24;
/// Most words that wait to be told.
const MAX_QUEUED: usize = 512;
/// What one node tells the others of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Evidence {
    /// The request.
    pub(crate) fingerprint: Fingerprint,
    /// What was found of it.
    pub(crate) finding: Finding,
}

/// What was found of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Finding {
    /// This target was lost under it.
    Suspected(TargetName),
    /// It runs after all.
    Cleared,
    /// It was answered whole lately: it crashes no target.
    Answered,
    /// It is not to be run, as this target and others were lost under it.
    Quarantined(TargetName),
}

/// Words that wait to be told, with the times that are left for each.
#[derive(Debug, Default)]
pub(crate) struct Outbox(VecDeque<(Evidence, u8)>);

impl Outbox {
    /// Lets a word be told soon. What was found of the request before is not told any more, but
    /// for the losses of other targets.
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

    /// Words that are to be told now.
    pub(crate) fn take_batch(&mut self) -> Vec<Evidence> {
        let due = self.0.len().min(MAX_PER_MESSAGE);
        let told: Vec<(Evidence, u8)> = self.0.drain(..due).collect();
        let again = told.iter().filter(|(_, left)| *left > 1);
        self.0.extend(again.map(|(evidence, left)| (evidence.clone(), left - 1)));
        told.into_iter().map(|(evidence, _)| evidence).collect()
    }
}
