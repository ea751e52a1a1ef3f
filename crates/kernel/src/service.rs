//! What a service is to the kernel.

use crate::Context;

/// Name under which services find each other.
pub type Name = &'static str;

/// A state machine that takes messages of type `M` and asks for actions of type `A`.
pub trait Service<M, A>: Send {
    /// Name of the service, unique in its kernel.
    fn name(&self) -> Name;

    /// Handles one message.
    fn handle(&mut self, message: M, context: &mut Context<'_, M, A>);
}
