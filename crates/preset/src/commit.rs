//! State machine of the operator's command, which puts a document in force by compare-and-swap.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{NodeName, Version};
use smol_str::SmolStr;

use crate::{Change, Preset, Stored, stored};

/// Revision of the store's key; 0 for a key that does not exist.
pub type Revision = u64;

/// Change requested by an operator.
#[derive(Clone, Debug)]
pub struct Request {
    /// Validated document.
    pub document: Preset,
    /// Name of the change; a repeated call uses the same name.
    pub change: Change,
    /// Time since the Unix epoch at the zero of the command's clock. A version is the time in
    /// milliseconds since the Unix epoch, or one more than the highest known version if that is
    /// larger. A version that the store has lost is therefore not assigned again.
    pub clock_origin: Duration,
    /// Version that the operator has seen in force; `None` to replace any version.
    pub base: Option<Version>,
    /// Time for which a proof of freshness is valid on the nodes.
    pub freshness: Duration,
    /// Time after the start at which the command gives up, and time after the commit at which it
    /// stops to report how the change spreads.
    pub timeout: Duration,
    /// Whether the outcome of a write without an answer is determined by reading back; switched
    /// off only to demonstrate the failure that this prevents.
    pub read_back: bool,
}

impl Request {
    /// Makes a request with the default freshness of the nodes and a time-out of 20 s.
    pub fn new(document: Preset, change: Change, clock_origin: Duration) -> Self {
        let freshness = crate::Settings::default().freshness;
        let timeout = Duration::from_secs(20);
        Self { document, change, clock_origin, base: None, freshness, timeout, read_back: true }
    }
}

/// Input of the command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Starts the command.
    Start,
    /// Answer to [`Output::Read`].
    Read {
        /// Value; `None` when the key does not exist.
        value: Option<Vec<u8>>,
        /// Revision of the key.
        revision: Revision,
    },
    /// The read was not answered.
    ReadLost,
    /// The write took effect.
    Written,
    /// The write was refused because the key had another revision.
    WriteRefused,
    /// The answer to the write was lost; the write may have taken effect or may do so later.
    WriteLost,
    /// Answer to [`Output::Status`]: the version in force by node, `None` for nodes that did
    /// not answer.
    Status(BTreeMap<NodeName, Option<Version>>),
    /// The time requested by [`Output::Wake`] has passed.
    Wake,
}

/// Output of the command.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Reads value and revision from the store.
    Read,
    /// Writes a value if the revision of the key is still `expected`.
    Write {
        /// New value.
        value: Vec<u8>,
        /// Expected revision; 0 for a key that does not exist.
        expected: Revision,
    },
    /// Queries all nodes for the version in force.
    Status,
    /// Sends [`Input::Wake`] after this time.
    Wake(Duration),
    /// Reports the state of the change to the operator. Reports of [`Outcome::Accepted`] repeat
    /// until the change is settled or the time-out has passed.
    Report(Outcome),
}

/// State of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The change was committed: it is or was in force.
    Accepted {
        /// Version of the change.
        version: Version,
        /// Version in the store; higher when another change has followed.
        stored: Version,
        /// Nodes that have this or a higher version in force.
        in_force: Vec<NodeName>,
        /// Nodes that have a lower version in force or did not answer.
        behind: Vec<NodeName>,
        /// Whether no node can accept new work under a lower version any more: the version is in
        /// force on all nodes, or has been on a majority for as long as a proof of freshness is
        /// valid.
        settled: bool,
        /// Time from now until the change is settled, provided that a majority has the version.
        settles_in: Duration,
    },
    /// The change was not made and never will be, because another change came first.
    Conflict(Box<Conflict>),
    /// The change was not made, because its name was used for another document.
    Reused {
        /// Version that was made under the name.
        version: Version,
    },
    /// The change was not made: nothing was written.
    NotMade,
    /// The outcome of the write could not be determined. Repeating the command with the same name
    /// of the change determines it later.
    Unknown,
}

/// Conflict with a change that came first.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// Preset in force; `None` when there is none.
    pub in_force: Option<Preset>,
    /// Version that the operator's change was based on.
    pub base: Version,
}

/// State of a command.
#[derive(Clone, Debug)]
pub struct Commit {
    request: Request,
    started: Duration,
    phase: Phase,
    /// Highest version that a node has reported; the store may have been restored to a lower one.
    highest: Version,
    /// Write that may have taken effect.
    written: Option<Written>,
    /// Version of the change, and the time at which its commit became known.
    committed: Option<(Version, Duration)>,
    /// Time at which a majority of nodes was first seen with the version in force.
    majority_since: Option<Duration>,
    stored: Version,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Start,
    QueryNodes,
    Read,
    Write,
    ReadBack,
    Spread,
    Done,
}

#[derive(Clone, Debug, PartialEq)]
struct Written {
    value: Vec<u8>,
    expected: Revision,
    version: Version,
    base: Version,
}

/// Time between two queries to the nodes, and before a call to the store is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

impl Commit {
    /// Creates a command.
    pub fn new(request: Request) -> Self {
        Self {
            request,
            started: Duration::ZERO,
            phase: Phase::Start,
            highest: 0,
            written: None,
            committed: None,
            majority_since: None,
            stored: 0,
        }
    }

    /// Returns whether the command has ended.
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Handles one input at `now` and appends its outputs to `out`.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match (self.phase.clone(), input) {
            (Phase::Start, Input::Start) => {
                self.started = now;
                self.enter(Phase::QueryNodes, Output::Status, out);
            }
            (Phase::QueryNodes, Input::Status(nodes)) => {
                self.highest = nodes.values().flatten().copied().max().unwrap_or(0);
                self.enter(Phase::Read, Output::Read, out);
            }
            (Phase::Read | Phase::ReadBack, Input::Read { value, revision }) => {
                self.handle_read(now, value.as_deref(), revision, out);
            }
            (Phase::Read | Phase::ReadBack, Input::ReadLost) => self.retry_or_finish(now, out),
            (Phase::Read | Phase::ReadBack, Input::Wake) => out.push(Output::Read),
            (Phase::Write, Input::Written) => self.handle_written(now, out),
            (Phase::Write, Input::WriteRefused) => self.enter(Phase::ReadBack, Output::Read, out),
            (Phase::Write, Input::WriteLost) if self.request.read_back => {
                self.enter(Phase::ReadBack, Output::Wake(RETRY_INTERVAL), out);
            }
            (Phase::Write, Input::WriteLost) => self.finish(Outcome::NotMade, out),
            (Phase::Spread, Input::Status(nodes)) => self.track_spread(now, &nodes, out),
            (Phase::Spread, Input::Wake) => out.push(Output::Status),
            _ => {}
        }
    }

    fn enter(&mut self, phase: Phase, output: Output, out: &mut Vec<Output>) {
        self.phase = phase;
        out.push(output);
    }

    fn finish(&mut self, outcome: Outcome, out: &mut Vec<Output>) {
        self.enter(Phase::Done, Output::Report(outcome), out);
    }

    fn retry_or_finish(&mut self, now: Duration, out: &mut Vec<Output>) {
        if now < self.started + self.request.timeout {
            out.push(Output::Wake(RETRY_INTERVAL));
            return;
        }
        let outcome = if self.written.is_some() { Outcome::Unknown } else { Outcome::NotMade };
        self.finish(outcome, out);
    }

    fn handle_read(
        &mut self,
        now: Duration,
        value: Option<&[u8]>,
        revision: Revision,
        out: &mut Vec<Output>,
    ) {
        // An undecodable value is replaced as if there were none, but only at its revision.
        let found = value.and_then(|value| Stored::decode(value).ok());
        self.stored = found.as_ref().map_or(0, |stored| stored.preset.version);
        let past = found.as_ref().and_then(|stored| stored.find(&self.request.change));
        if let Some(past) = past {
            if past.digest != stored::digest(&self.request.document) {
                return self.finish(Outcome::Reused { version: past.version }, out);
            }
            return self.mark_committed(now, past.version, out);
        }
        match self.written.clone() {
            // The key still has the expected revision, so the write may still take effect.
            // Repeating the same write forces a definite answer.
            Some(written) if written.expected == revision => {
                if now >= self.started + self.request.timeout {
                    return self.finish(Outcome::Unknown, out);
                }
                self.phase = Phase::Write;
                out.push(Output::Write { value: written.value, expected: written.expected });
            }
            Some(written) => self.finish_with_conflict(found, written.base, out),
            None => self.write_first(now, found, revision, out),
        }
    }

    fn write_first(
        &mut self,
        now: Duration,
        found: Option<Stored>,
        revision: Revision,
        out: &mut Vec<Output>,
    ) {
        if let Some(base) = self.request.base.filter(|base| *base != self.stored) {
            return self.finish_with_conflict(found, base, out);
        }
        let clock = (self.request.clock_origin + now).as_millis() as Version;
        let version = clock.max(self.stored.max(self.highest) + 1);
        let Request { document, change, .. } = &self.request;
        let stored = Stored::following(found.as_ref(), document, change, version);
        let value = stored.encode();
        let written =
            Written { value: value.clone(), expected: revision, version, base: self.stored };
        self.written = Some(written);
        self.enter(Phase::Write, Output::Write { value, expected: revision }, out);
    }

    fn finish_with_conflict(
        &mut self,
        found: Option<Stored>,
        base: Version,
        out: &mut Vec<Output>,
    ) {
        let in_force = found.map(|stored| stored.preset);
        self.finish(Outcome::Conflict(Box::new(Conflict { in_force, base })), out);
    }

    fn handle_written(&mut self, now: Duration, out: &mut Vec<Output>) {
        let version = self.written.as_ref().map_or(0, |written| written.version);
        self.stored = version;
        self.mark_committed(now, version, out);
    }

    fn mark_committed(&mut self, now: Duration, version: Version, out: &mut Vec<Output>) {
        self.committed = Some((version, now));
        self.enter(Phase::Spread, Output::Status, out);
    }

    fn track_spread(
        &mut self,
        now: Duration,
        nodes: &BTreeMap<NodeName, Option<Version>>,
        out: &mut Vec<Output>,
    ) {
        let Some((version, committed)) = self.committed else { return };
        let has = |reported: &Option<Version>| reported.is_some_and(|reported| reported >= version);
        let (in_force, behind): (Vec<_>, Vec<_>) =
            nodes.iter().partition(|(_, reported)| has(reported));
        if self.majority_since.is_none() && in_force.len() * 2 > nodes.len() {
            self.majority_since = Some(now);
        }
        // A node that a majority can reach learns the version from it. A node that it cannot reach
        // stops accepting work when its last proof from before the commit has expired.
        let expiry = self.majority_since.map(|since| since.max(committed) + self.request.freshness);
        let settled = behind.is_empty() || expiry.is_some_and(|expiry| now > expiry);
        let settles_in = expiry.map_or(self.request.freshness, |expiry| expiry.saturating_sub(now));
        out.push(Output::Report(Outcome::Accepted {
            version,
            stored: self.stored,
            in_force: in_force.iter().map(|(name, _)| SmolStr::clone(name)).collect(),
            behind: behind.iter().map(|(name, _)| SmolStr::clone(name)).collect(),
            settled,
            settles_in: if settled { Duration::ZERO } else { settles_in },
        }));
        if settled || now >= committed + self.request.timeout {
            self.phase = Phase::Done;
            return;
        }
        out.push(Output::Wake(RETRY_INTERVAL));
    }
}
