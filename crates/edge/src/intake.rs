//! The bytes of a stream between the socket and its events.

use bytes::Bytes;

use crate::memory::{Full, Holding};
use crate::split::{Event, MAX_BUFFER_BYTES, Splitter};

/// Size up to which the buffer of a stream is not counted: usual events of one read, which wait for
/// a slow caller, are to take no room for the largest one.
const UNCOUNTED_BYTES: usize = 64 << 10;

/// Splits what arrives of a stream into events, within the bound on all that the process holds.
pub(crate) struct Intake {
    splitter: Splitter,
    holding: Holding,
}

impl Intake {
    pub(crate) fn new(holding: Holding) -> Self {
        Self { splitter: Splitter::default(), holding }
    }

    /// Waits for room for bytes that have arrived and appends them. Dropping the future before it is
    /// ready appends nothing.
    pub(crate) async fn push(&mut self, bytes: &Bytes) -> Result<(), Full> {
        if self.splitter.capacity_with(bytes.len()) > UNCOUNTED_BYTES {
            self.holding.reserve(MAX_BUFFER_BYTES).await?;
        }
        self.splitter.push(bytes);
        Ok(())
    }

    /// Removes and returns the next complete event. A large one stays counted until the caller has
    /// it.
    pub(crate) fn pop(&mut self) -> Option<Event> {
        let mut event = self.splitter.pop()?;
        if event.bytes.len() > UNCOUNTED_BYTES {
            event.bytes = self.holding.split(event.bytes.len()).attach(event.bytes);
        }
        if self.splitter.capacity() <= UNCOUNTED_BYTES {
            self.holding.release();
        }
        Some(event)
    }

    /// Returns whether an incomplete event is there.
    pub(crate) fn is_partial(&self) -> bool {
        self.splitter.is_partial()
    }

    /// Returns whether the incomplete event exceeds the maximum size.
    pub(crate) fn is_oversized(&self) -> bool {
        self.splitter.is_oversized()
    }

    /// Waits until the stream must end, because its source fills the memory.
    pub(crate) async fn evicted(&self) {
        self.holding.evicted().await;
    }
}
