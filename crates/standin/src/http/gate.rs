//! A gate that stops a stand-in's work while it is frozen.

use tokio::sync::watch;

/// Open unless frozen; a stand-in passes it before each piece of work.
pub(crate) struct Gate {
    frozen: watch::Sender<bool>,
}

impl Gate {
    /// Makes an open gate.
    pub(crate) fn new() -> Self {
        Self { frozen: watch::Sender::new(false) }
    }

    /// Closes or opens the gate.
    pub(crate) fn freeze(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Waits until the gate is open.
    pub(crate) async fn pass(&self) {
        let mut frozen = self.frozen.subscribe();
        // The sender lives as long as this gate.
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }
}
