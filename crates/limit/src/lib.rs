//! Admission control: decides when each request runs and which requests are refused.
//!
//! Requests carry no priority. The limiter estimates, per organisation and request
//! shape, how long callers wait before they hang up or resend ([`Tolerance`]) and how
//! long the work takes ([`Estimate`]). Capacity is divided between organisations in
//! weighted max-min fair shares by predicted cost; within a share the request with the
//! least slack runs first, with ageing. A request that cannot be answered within its
//! caller's wait tolerance is refused as soon as that is known, with a retry time that
//! spreads retries over the capacity.
//!
//! Cost and capacity are counted in slots: a request costs the slot-seconds that it
//! is predicted to hold, and the fleet offers its slots. Each node uses the fraction
//! of an organisation's share that its own callers demand; nodes share no counter.
//!
//! Targets may limit the requests per second that they take from all VMs together: [`permit`].
//!
//! Engines may have memory for fewer requests than arrive: [`admission`].
//!
//! [`Limiter`], [`permit::Permits`] and [`admission::Room`] are state machines without clock, thread or socket.

pub mod admission;
mod capacity;
mod class;
mod estimate;
mod event;
mod lifecycle;
mod limiter;
mod message;
mod organisation;
pub mod permit;
mod pool;
mod queue;
mod rate;
mod retry;
mod settings;
mod share;
mod tolerance;
mod window;

pub use class::Class;
pub use estimate::Estimate;
pub use event::EVENTS;
pub use limiter::Limiter;
pub use message::*;
pub use rate::Rate;
pub use settings::{Builder, Settings};
pub use share::{Claim, max_min_shares};
pub use tolerance::Tolerance;
