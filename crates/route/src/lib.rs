//! Pipeline plans, target choice, recovery of streams, quarantine.
