//! A gate that suspends the work of a stand-in while it is frozen.

use tokio::sync::watch;

/// Gate that a stand-in passes before each unit of work; open unless frozen.
pub(crate) struct Gate {
    frozen: watch::Sender<bool>,
}

impl Gate {
    /// Creates an open gate.
    pub(crate) fn new() -> Self {
        Self { frozen: watch::Sender::new(false) }
    }

    /// Closes the gate if `frozen` and opens it otherwise.
    pub(crate) fn freeze(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Waits until the gate is open.
    pub(crate) async fn pass(&self) {
        let mut frozen = self.frozen.subscribe();
        // Cannot fail because this gate owns the sender.
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }
}
