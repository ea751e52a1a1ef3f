//! Admission: which request runs when, and which is refused at once.
//!
//! Callers never say how urgent they are. The limiter learns it, per organisation
//! and shape of request, from how long callers wait before they hang up or send
//! again ([`Patience`]), and how long the work takes ([`Estimate`]). Capacity goes
//! to organisations in fair shares by predicted cost; inside a share the request
//! with the least slack goes first, with ageing. A request that cannot be answered
//! before its caller loses patience is refused as soon as that is known, with a
//! time to come back that spreads the returns over the capacity.
//!
//! Cost and capacity are counted in slots: a request costs the slot-seconds that it
//! is predicted to hold, and the fleet offers its slots. Each node takes the part
//! of an organisation's share that its own callers ask for; there is no counter
//! that nodes share.
//!
//! [`Limiter`] is a state machine without clock, thread or socket.

mod class;
mod end;
mod estimate;
mod event;
mod lane;
mod message;
mod organisation;
mod patience;
mod rate;
mod refusal;
mod service;
mod settings;
mod share;
mod sharing;
mod waiting;

pub use class::Class;
pub use estimate::Estimate;
pub use event::EVENTS;
pub use message::*;
pub use patience::Patience;
pub use rate::Rate;
pub use service::Limiter;
pub use settings::{Builder, Settings};
pub use share::{Claim, divide};
