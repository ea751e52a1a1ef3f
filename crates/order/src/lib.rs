//! Fenced orders to engines.
//!
//! The store keeps the desired state of each target. One node at a time holds a lease. It
//! periodically compares the desired states with the states that the engines report, and sends the
//! orders that are missing. Each order carries a fencing number higher than those of all earlier
//! orders, from this and from earlier holders. Engines that check the number never return to an
//! older order. At engines that ignore it, a late order lasts only until the next comparison.
//!
//! [`Orders`] is a state machine. Its shell makes the calls that it requests as [`Action`]s.

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
/// Prefix of the keys of desired states, followed by the target's name.
pub const DESIRED_PREFIX: &str = "magnolia/order/";
