//! Fenced orders to engines.
//!
//! The desired state of each target is kept in the store. One node at a time, the holder of a
//! lease, compares it with what each engine reports, and orders what is next_order; then it reads
//! back, again and again. Every order carries a fencing number higher than all before it, of this
//! holder and of earlier ones. Engines that check the number never go back to an older order; for
//! those that ignore it, a late order lasts only until the next comparison.
//!
//! [`Orders`] is a state machine: its shell makes the calls that it asks for by [`Action`].

mod desired;
mod event;
mod message;
mod service;
mod settings;

pub use desired::{Desired, Malformed, Order, Report, Standing, next_order};
pub use event::EVENTS;
pub use message::*;
pub use service::Orders;
pub use settings::{Builder, Mutation, Settings};

/// Key of the lease holder in the store.
pub const HOLDER_KEY: &str = "magnolia/holder/order";
/// Beginning of the keys of desired states; the target's name follows.
pub const DESIRED_PREFIX: &str = "magnolia/order/";
