//! The operator's side: puts a document in force by compare-and-swap.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{NodeName, Version};
use smol_str::SmolStr;

use crate::{Change, Preset, Stored, stored};

/// Revision of the store's key; 0 for a key that does not exist.
pub type Revision = u64;

/// What an operator asks for.
#[derive(Clone, Debug)]
pub struct Request {
    /// The document, checked.
    pub document: Preset,
    /// Name of the change; the same in a repeated call.
    pub change: Change,
    /// Time since 1970 at the zero of the command's clock. Versions are milliseconds since
    /// 1970, or one more than the highest where that is higher, so that a version that the
    /// store has lost is not given again.
    pub clock_origin: Duration,
    /// Version that the operator has seen in force; `None` to follow whatever is in force.
    pub base: Option<Version>,
    /// How long a proof of freshness holds in the nodes.
    pub freshness: Duration,
    /// Time from the start after which the command gives up.
    pub timeout: Duration,
    /// Whether a lost answer is settled by reading back; off only to show what goes wrong.
    pub read_back: bool,
}

impl Request {
    /// Makes a request with the freshness of the nodes' defaults and 20 s of timeout.
    pub fn new(document: Preset, change: Change, clock_origin: Duration) -> Self {
        let freshness = crate::Settings::default().freshness;
        let timeout = Duration::from_secs(20);
        Self { document, change, clock_origin, base: None, freshness, timeout, read_back: true }
    }
}

/// What the command hears.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Begin.
    Start,
    /// Answer to [`Output::Read`].
    Read {
        /// The value; `None` when the key does not exist.
        value: Option<Vec<u8>>,
        /// Its revision.
        revision: Revision,
    },
    /// The read was not answered.
    ReadLost,
    /// The write was made.
    Written,
    /// The write was refused: the revision was another.
    WriteRefused,
    /// The write's answer was lost; it may have been made or may yet be.
    WriteLost,
    /// Answer to [`Output::Status`]: the version in force by node, `None` where the node did
    /// not answer.
    Status(BTreeMap<NodeName, Option<Version>>),
    /// The time asked for by [`Output::Wake`] has come.
    Wake,
}

/// What the command asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read value and revision from the store.
    Read,
    /// Write if the key's revision is still `expected`.
    Write {
        /// The value.
        value: Vec<u8>,
        /// The revision; 0 for a key that does not exist.
        expected: Revision,
    },
    /// Ask all nodes for the version in force.
    Status,
    /// Send [`Input::Wake`] after this time.
    Wake(Duration),
    /// Tell the operator how the change stands; more of these follow after
    /// [`Outcome::Accepted`] until it is in force on all nodes or cannot be elsewhere.
    Report(Outcome),
}

/// How a change stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Committed: this change is or was in force.
    Accepted {
        /// Its version.
        version: Version,
        /// Version that the store holds now; higher when another change has followed.
        stored: Version,
        /// Nodes that have it or a higher one in force.
        in_force: Vec<NodeName>,
        /// Nodes that have a lower one or did not answer.
        behind: Vec<NodeName>,
        /// Whether no node can take new work under a lower version any more: it is in force
        /// on all nodes, or on most of them for as long as a proof of freshness holds.
        settled: bool,
        /// Time from now after which that will be so if most nodes have it.
        settles_in: Duration,
    },
    /// Not made and never will be: another change came first.
    Conflict(Box<Conflict>),
    /// Not made: this name was used for another document.
    Reused {
        /// Version that the name was used for.
        version: Version,
    },
    /// Not made: nothing was written.
    NotMade,
    /// The write's outcome could not be found out. The same command with the same change
    /// finds it out later.
    Unknown,
}

/// A change that came first.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// The preset in force; `None` when there is none.
    pub in_force: Option<Preset>,
    /// Version that the operator built on.
    pub base: Version,
}

/// State of one command.
#[derive(Clone, Debug)]
pub struct Commit {
    request: Request,
    started: Duration,
    phase: Phase,
    /// Highest version that a node has told; the store may have been restored below it.
    highest: Version,
    /// The write that may have been made.
    written: Option<Written>,
    /// When the change was known to be committed.
    committed: Option<(Version, Duration)>,
    /// When most nodes were first seen with it in force.
    most: Option<Duration>,
    stored: Version,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Start,
    Survey,
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

/// Time between two questions to the nodes, and before a call to the store is repeated.
const PAUSE: Duration = Duration::from_millis(200);

impl Commit {
    /// Makes the command.
    pub fn new(request: Request) -> Self {
        Self {
            request,
            started: Duration::ZERO,
            phase: Phase::Start,
            highest: 0,
            written: None,
            committed: None,
            most: None,
            stored: 0,
        }
    }

    /// Whether the command has ended.
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Handles one step at `now` and appends what it asks for.
    pub fn step(&mut self, now: Duration, step: Input, wants: &mut Vec<Output>) {
        match (self.phase.clone(), step) {
            (Phase::Start, Input::Start) => {
                self.started = now;
                self.enter(Phase::Survey, Output::Status, wants);
            }
            (Phase::Survey, Input::Status(nodes)) => {
                self.highest = nodes.values().flatten().copied().max().unwrap_or(0);
                self.enter(Phase::Read, Output::Read, wants);
            }
            (Phase::Read | Phase::ReadBack, Input::Read { value, revision }) => {
                self.read(now, value.as_deref(), revision, wants);
            }
            (Phase::Read | Phase::ReadBack, Input::ReadLost) => self.again(now, wants),
            (Phase::Read | Phase::ReadBack, Input::Wake) => wants.push(Output::Read),
            (Phase::Write, Input::Written) => self.written(now, wants),
            (Phase::Write, Input::WriteRefused) => self.enter(Phase::ReadBack, Output::Read, wants),
            (Phase::Write, Input::WriteLost) if self.request.read_back => {
                self.enter(Phase::ReadBack, Output::Wake(PAUSE), wants);
            }
            (Phase::Write, Input::WriteLost) => self.end(Outcome::NotMade, wants),
            (Phase::Spread, Input::Status(nodes)) => self.spread(now, &nodes, wants),
            (Phase::Spread, Input::Wake) => wants.push(Output::Status),
            _ => {}
        }
    }

    fn enter(&mut self, phase: Phase, want: Output, wants: &mut Vec<Output>) {
        self.phase = phase;
        wants.push(want);
    }

    fn end(&mut self, outcome: Outcome, wants: &mut Vec<Output>) {
        self.enter(Phase::Done, Output::Report(outcome), wants);
    }

    fn again(&mut self, now: Duration, wants: &mut Vec<Output>) {
        if now < self.started + self.request.timeout {
            wants.push(Output::Wake(PAUSE));
            return;
        }
        let outcome = if self.written.is_some() { Outcome::Unknown } else { Outcome::NotMade };
        self.end(outcome, wants);
    }

    fn read(
        &mut self,
        now: Duration,
        value: Option<&[u8]>,
        revision: Revision,
        wants: &mut Vec<Output>,
    ) {
        // A value that cannot be read is replaced like none, but not its version's place.
        let found = value.and_then(|value| Stored::decode(value).ok());
        self.stored = found.as_ref().map_or(0, |stored| stored.preset.version);
        let past = found.as_ref().and_then(|stored| stored.find(&self.request.change));
        if let Some(past) = past {
            if past.digest != stored::digest(&self.request.document) {
                return self.end(Outcome::Reused { version: past.version }, wants);
            }
            return self.committed(now, past.version, wants);
        }
        match self.written.clone() {
            // Nothing has followed the revision written against, so the write may yet be
            // made. Writing the same again forces a definite answer.
            Some(written) if written.expected == revision => {
                if now >= self.started + self.request.timeout {
                    return self.end(Outcome::Unknown, wants);
                }
                self.phase = Phase::Write;
                wants.push(Output::Write { value: written.value, expected: written.expected });
            }
            Some(written) => self.conflict(found, written.base, wants),
            None => self.first(now, found, revision, wants),
        }
    }

    fn first(
        &mut self,
        now: Duration,
        found: Option<Stored>,
        revision: Revision,
        wants: &mut Vec<Output>,
    ) {
        if let Some(base) = self.request.base.filter(|base| *base != self.stored) {
            return self.conflict(found, base, wants);
        }
        let clock = (self.request.clock_origin + now).as_millis() as Version;
        let version = clock.max(self.stored.max(self.highest) + 1);
        let Request { document, change, .. } = &self.request;
        let stored = Stored::following(found.as_ref(), document, change, version);
        let value = stored.encode();
        let written =
            Written { value: value.clone(), expected: revision, version, base: self.stored };
        self.written = Some(written);
        self.enter(Phase::Write, Output::Write { value, expected: revision }, wants);
    }

    fn conflict(&mut self, found: Option<Stored>, base: Version, wants: &mut Vec<Output>) {
        let in_force = found.map(|stored| stored.preset);
        self.end(Outcome::Conflict(Box::new(Conflict { in_force, base })), wants);
    }

    fn written(&mut self, now: Duration, wants: &mut Vec<Output>) {
        let version = self.written.as_ref().map_or(0, |written| written.version);
        self.stored = version;
        self.committed(now, version, wants);
    }

    fn committed(&mut self, now: Duration, version: Version, wants: &mut Vec<Output>) {
        self.committed = Some((version, now));
        self.enter(Phase::Spread, Output::Status, wants);
    }

    fn spread(
        &mut self,
        now: Duration,
        nodes: &BTreeMap<NodeName, Option<Version>>,
        wants: &mut Vec<Output>,
    ) {
        let Some((version, committed)) = self.committed else { return };
        let has = |told: &Option<Version>| told.is_some_and(|told| told >= version);
        let (there, behind): (Vec<_>, Vec<_>) = nodes.iter().partition(|(_, told)| has(told));
        if self.most.is_none() && there.len() * 2 > nodes.len() {
            self.most = Some(now);
        }
        // A node that most others can reach learns of the version from them; one that they
        // cannot reach stops when its last proof from before the commit has expired.
        let expiry = self.most.map(|most| most.max(committed) + self.request.freshness);
        let settled = behind.is_empty() || expiry.is_some_and(|expiry| now > expiry);
        let settles_in = expiry.map_or(self.request.freshness, |expiry| expiry.saturating_sub(now));
        wants.push(Output::Report(Outcome::Accepted {
            version,
            stored: self.stored,
            in_force: there.iter().map(|(name, _)| SmolStr::clone(name)).collect(),
            behind: behind.iter().map(|(name, _)| SmolStr::clone(name)).collect(),
            settled,
            settles_in: if settled { Duration::ZERO } else { settles_in },
        }));
        if settled || now >= committed + self.request.timeout {
            self.phase = Phase::Done;
            return;
        }
        wants.push(Output::Wake(PAUSE));
    }
}
