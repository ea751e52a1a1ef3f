//! Events of a stream that wait for their caller, bounded by their number and by their size.

use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::sync::mpsc::{self, channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::answer::Broken;

/// Number of events that wait for a slow caller.
const MAX_EVENTS: usize = 32;
/// Size of the events that wait for a slow caller, bytes; one larger event may wait alone.
const MAX_BYTES: u32 = 64 << 10;

/// An event, and the room that it takes.
type Queued = (Bytes, Option<OwnedSemaphorePermit>);

/// The caller has closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Closed;

/// Puts events into the queue.
pub(crate) struct Sender {
    events: mpsc::Sender<Result<Queued, Broken>>,
    room: Arc<Semaphore>,
}

/// Takes events from the queue.
pub(crate) struct Receiver(mpsc::Receiver<Result<Queued, Broken>>);

/// Returns an empty queue.
pub(crate) fn queue() -> (Sender, Receiver) {
    let (events, receiver) = channel(MAX_EVENTS);
    let room = Arc::new(Semaphore::new(MAX_BYTES as usize));
    (Sender { events, room }, Receiver(receiver))
}

impl Sender {
    /// Waits for room and adds an event. Dropping the future before it is ready adds nothing.
    pub(crate) async fn send(&self, event: Bytes) -> Result<(), Closed> {
        let size = u32::try_from(event.len()).unwrap_or(MAX_BYTES).min(MAX_BYTES);
        let room = tokio::select! {
            room = self.room.clone().acquire_many_owned(size) => room.ok(),
            () = self.closed() => return Err(Closed),
        };
        self.events.send(Ok((event, room))).await.map_err(|_| Closed)
    }

    /// Ends the stream as broken, after the events that wait.
    pub(crate) async fn end_broken(&self) {
        // The send fails only if the caller has disconnected, which needs no further action.
        self.events.send(Err(Broken)).await.ok();
    }

    /// Waits until the caller has closed its connection.
    pub(crate) async fn closed(&self) {
        self.events.closed().await;
    }
}

impl Receiver {
    pub(crate) fn poll_next(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Broken>>> {
        let next = self.0.poll_recv(context);
        next.map(|event| event.map(|event| event.map(|(bytes, _room)| bytes)))
    }
}
