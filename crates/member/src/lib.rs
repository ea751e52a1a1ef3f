//! Membership of nodes and targets, and spreading of small facts.
