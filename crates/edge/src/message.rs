//! Messages between nodes, in the form in which they travel. During an upgrade the nodes run two
//! builds, and each reads the messages of the other: `docs/design/upgrades.md` states how messages
//! may be extended. Uses neither a clock nor a socket.

use std::collections::BTreeSet;
use std::fmt;

use fleet::Version;
use limit::permit;
use serde::{Deserialize, Serialize};
use site::TargetKey;

use crate::evidence::{Evidence, FurtherParts};
use crate::loan::Loan;
use crate::relay::Freshness;

/// Maximum size of a message: one datagram that is not fragmented on any link.
pub const MAX_MESSAGE_BYTES: usize = 1400;

/// A message to another node. New variants are added at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's view of the targets.
    View(View),
    /// Requests retries.
    LoanRequest(Loan),
    /// Grants retries.
    LoanGrant(Loan),
    /// Evidence on requests that crash their targets.
    Evidence(Vec<Evidence>),
    /// Asks for the store revision that the receiver knows. Carries the number of the query.
    FreshnessQuery(u64),
    /// Answers a freshness query.
    Freshness(Freshness),
    /// The version of the configuration in force on the sender, while the store's is older.
    ConfigVersion(Version),
    /// Asks the issuer of a target's permits for one.
    PermitRequest(permit::Request),
    /// Answers such a request.
    PermitAnswer(permit::Answer),
    /// Tells of the limit of a target.
    Limit(permit::Limit),
    /// Parts of a prompt for which evidence has no room. Builds up to e9c3740 do not know it, and
    /// consider only the first sixteen parts of a prompt.
    FurtherParts(FurtherParts),
}

/// One node's view of itself and the targets. New fields are added at the end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Tokens that the sender's requests use at each target with at least one.
    pub loads: Vec<(TargetKey, u32)>,
    /// Targets that the sender has recently observed to fail, and whether the only symptom is a
    /// report that did not arrive in time.
    pub down: Vec<(TargetKey, bool)>,
    /// Engines that have recently refused a request of the sender.
    pub refusing: Vec<TargetKey>,
    /// Targets that have notified the sender that they are draining or request a pause.
    pub declining: Vec<TargetKey>,
    /// The highest fencing number known to the sender.
    pub fence: u64,
    /// Whether the sender can check keys.
    pub checks_keys: bool,
    /// Whether the sender reaches targets. Appended: views of builds before 4c39794 end before it.
    pub reaches_targets: bool,
    /// Whether the sender issues permits. Appended: views of builds before 8bd7f1a and of that build
    /// end before it.
    pub issues_permits: bool,
}

/// Properties of a variant of [`Message`].
struct Kind {
    name: &'static str,
    /// Maximum number of bytes by which a message of an older build is shorter, because it ends
    /// before the fields that were appended since.
    appended_bytes: usize,
}

impl Kind {
    const fn new(name: &'static str) -> Self {
        Self { name, appended_bytes: 0 }
    }
}

/// All variants, in order.
const KINDS: [Kind; 11] = [
    Kind { name: "view", appended_bytes: 2 },
    Kind::new("loan-request"),
    Kind::new("loan-grant"),
    Kind::new("evidence"),
    Kind::new("freshness-query"),
    Kind::new("freshness"),
    Kind::new("config-version"),
    Kind::new("permit-request"),
    Kind::new("permit-answer"),
    Kind::new("limit"),
    Kind::new("further-parts"),
];

/// Why a message cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// The message has no number of a variant.
    NoKind,
    /// This build does not know the variant with this number; a newer one sends it.
    UnknownKind(u32),
    /// The fields of a known variant cannot be read.
    Malformed {
        /// Name of the variant.
        kind: &'static str,
        /// What is wrong with the fields.
        error: postcard::Error,
    },
}

impl Unreadable {
    /// Returns the kind of message by which the failure is counted.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::NoKind => "none",
            Self::UnknownKind(_) => "unknown",
            Self::Malformed { kind, .. } => kind,
        }
    }
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoKind => f.write_str("no kind of message"),
            Self::UnknownKind(number) => write!(f, "unknown kind of message {number}"),
            Self::Malformed { kind, error } => write!(f, "{kind}: {error}"),
        }
    }
}

/// Decodes a message of this build, an older or a newer one.
///
/// Fields that a newer build has appended are ignored. Those that an older build does not have yet
/// read as zero: false, 0, none or empty.
///
/// # Errors
///
/// Fails when this build does not know the kind of message, or cannot read its fields.
pub fn decode(bytes: &[u8]) -> Result<Message, Unreadable> {
    let number: u32 = postcard::from_bytes(bytes).map_err(|_| Unreadable::NoKind)?;
    let kind = KINDS.get(number as usize).ok_or(Unreadable::UnknownKind(number))?;
    let malformed = |error| Unreadable::Malformed { kind: kind.name, error };
    match postcard::from_bytes(bytes) {
        Err(postcard::Error::DeserializeUnexpectedEnd) if kind.appended_bytes > 0 => {
            let mut extended = bytes.to_vec();
            extended.resize(bytes.len() + kind.appended_bytes, 0);
            postcard::from_bytes(&extended).map_err(malformed)
        }
        outcome => outcome.map_err(malformed),
    }
}

/// Encodes a message; `None` if it does not fit into one datagram.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    // Names and numbers always serialise.
    let bytes = postcard::to_allocvec(message).ok()?;
    (bytes.len() <= MAX_MESSAGE_BYTES).then_some(bytes)
}

/// Kinds of messages that could not be read, each of which is logged once.
#[derive(Debug, Default)]
pub struct Refusals {
    logged: BTreeSet<(&'static str, u32)>,
}

impl Refusals {
    /// Records a message that could not be read. Returns whether it is the first of its kind.
    pub fn record(&mut self, unreadable: &Unreadable) -> bool {
        let number = match unreadable {
            Unreadable::UnknownKind(number) => *number,
            _ => 0,
        };
        self.logged.insert((unreadable.kind(), number))
    }
}
