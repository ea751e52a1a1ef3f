//! Interface between a service and the kernel.

use crate::Context;

/// Name by which messages are addressed to a service.
pub type Name = &'static str;

/// A state machine that handles messages of type `M` and requests actions of type `A`.
pub trait Service<M, A>: Send {
    /// Returns the name of the service, which is unique in its kernel.
    fn name(&self) -> Name;

    /// Handles one message.
    fn handle(&mut self, message: M, context: &mut Context<'_, M, A>);
}
