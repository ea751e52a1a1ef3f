//! Numbered log events of this crate.

use fleet::EventKind;

/// A verdict on a claim was issued.
pub(crate) const VERDICT: EventKind = EventKind {
    number: 501,
    name: "claim-verdict",
    meaning: "A verdict on the claim of a non-idempotent request was issued.",
};

/// An outcome was recorded, or there was nothing left to record.
pub(crate) const KEPT: EventKind = EventKind {
    number: 502,
    name: "outcome-kept",
    meaning: "The outcome of a non-idempotent request is in the store.",
};

/// An outcome was not recorded before the timeout or the refusal of work during an outage.
pub(crate) const LATE: EventKind = EventKind {
    number: 503,
    name: "outcome-late",
    meaning: "The caller gets an answer that is not recorded in the store yet.",
};

/// A read or write failed, or its result is unknown.
pub(crate) const FAILED: EventKind = EventKind {
    number: 504,
    name: "ledger-store-failed",
    meaning: "A read or write of a shard failed, or its answer was lost.",
};

/// The claim of a refused attempt is certain not to be in the store.
pub(crate) const RELEASED: EventKind = EventKind {
    number: 505,
    name: "claim-released",
    meaning: "The claim of a refused request was removed, or was found not to have been written.",
};

/// Compaction removed records.
pub(crate) const COMPACTED: EventKind = EventKind {
    number: 506,
    name: "shard-compacted",
    meaning: "Records past their retention were removed from a shard.",
};

/// A shard could not be decoded.
pub(crate) const UNREADABLE: EventKind = EventKind {
    number: 507,
    name: "shard-unreadable",
    meaning: "The stored value of a shard could not be decoded; its keys are refused.",
};

/// An outcome could not be recorded because its claim is missing or not its own.
pub(crate) const ORPHAN: EventKind = EventKind {
    number: 508,
    name: "outcome-orphan",
    meaning: "The claim of an outcome is missing or not its own; the store has lost changes.",
};

/// All events of this crate.
pub const EVENTS: &[&EventKind] =
    &[&VERDICT, &KEPT, &LATE, &FAILED, &RELEASED, &COMPACTED, &UNREADABLE, &ORPHAN];
