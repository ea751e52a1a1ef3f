//! Numbered events of this crate.

use fleet::EventKind;

/// A verdict on a claim.
pub(crate) const VERDICT: EventKind = EventKind {
    number: 501,
    name: "claim-verdict",
    meaning: "A non-idempotent request has got its verdict.",
};

/// An outcome has been kept.
pub(crate) const KEPT: EventKind = EventKind {
    number: 502,
    name: "outcome-kept",
    meaning: "The outcome of a non-idempotent request is in the store.",
};

/// An outcome could not be kept in time.
pub(crate) const LATE: EventKind = EventKind {
    number: 503,
    name: "outcome-late",
    meaning: "The caller gets an answer that the store does not have yet.",
};

/// A store operation failed.
pub(crate) const FAILED: EventKind = EventKind {
    number: 504,
    name: "ledger-store-failed",
    meaning: "A read or write of a shard failed, or its answer was lost.",
};

/// A claim has been taken back.
pub(crate) const RELEASED: EventKind = EventKind {
    number: 505,
    name: "claim-released",
    meaning: "A claim whose caller had been refused was taken back or shown never to have been written.",
};

/// Records have been dropped.
pub(crate) const COMPACTED: EventKind = EventKind {
    number: 506,
    name: "shard-compacted",
    meaning: "Records past their retention were dropped from a shard.",
};

/// A shard cannot be read.
pub(crate) const UNREADABLE: EventKind = EventKind {
    number: 507,
    name: "shard-unreadable",
    meaning: "The stored value of a shard is not of a known form; its keys are refused.",
};

/// An outcome has no claim to stand beside.
pub(crate) const ORPHAN: EventKind = EventKind {
    number: 508,
    name: "outcome-orphan",
    meaning: "An outcome found its claim gone or held by another; the store has lost changes.",
};

/// All events of this crate.
pub const EVENTS: &[&EventKind] =
    &[&VERDICT, &KEPT, &LATE, &FAILED, &RELEASED, &COMPACTED, &UNREADABLE, &ORPHAN];
