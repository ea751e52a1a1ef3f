//! Events of a stream that wait for their caller, bounded by their number and by their size.

use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::sync::mpsc::{self, channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::answer::Broken;
use crate::memory::{Memory, Share};

/// Number of events that wait for a slow caller.
const MAX_EVENTS: usize = 32;
/// Size of the events that wait for a slow caller, bytes; one larger event may wait alone.
const MAX_BYTES: u32 = 64 << 10;

/// Size of the events of one stream that wait without being counted among what the process holds:
/// each stream goes on with it when nothing else has room.
const UNCOUNTED_BYTES: u32 = 4 << 10;

/// The room that an event takes in the uncounted part of its queue, or among what the process holds.
type Counted = (Option<OwnedSemaphorePermit>, Option<Share>);

/// An event, and the room that it takes.
type Queued = (Bytes, Option<OwnedSemaphorePermit>, Counted);

/// The caller has closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Closed;

/// Puts events into the queue.
pub(crate) struct Sender {
    events: mpsc::Sender<Result<Queued, Broken>>,
    room: Arc<Semaphore>,
    uncounted: Arc<Semaphore>,
    memory: Memory,
}

/// Takes events from the queue.
pub(crate) struct Receiver(mpsc::Receiver<Result<Queued, Broken>>);

/// Returns an empty queue, whose events are counted in `memory`.
pub(crate) fn queue(memory: Memory) -> (Sender, Receiver) {
    let (events, receiver) = channel(MAX_EVENTS);
    let room = Arc::new(Semaphore::new(MAX_BYTES as usize));
    let uncounted = Arc::new(Semaphore::new(UNCOUNTED_BYTES as usize));
    (Sender { events, room, uncounted, memory }, Receiver(receiver))
}

impl Sender {
    /// Waits for room and adds an event. Dropping the future before it is ready adds nothing.
    pub(crate) async fn send(&self, event: Bytes) -> Result<(), Closed> {
        let size = u32::try_from(event.len()).unwrap_or(MAX_BYTES).min(MAX_BYTES);
        let taking = async {
            let room = self.room.clone().acquire_many_owned(size).await.ok();
            (room, self.count(size).await)
        };
        let (room, counted) = tokio::select! {
            taken = taking => taken,
            () = self.closed() => return Err(Closed),
        };
        self.events.send(Ok((event, room, counted))).await.map_err(|_| Closed)
    }

    /// Takes room for an event among what the process holds. If there is none, waits until the caller
    /// has read most of the events before it.
    async fn count(&self, size: u32) -> Counted {
        let uncounted = self.uncounted.clone();
        if let Ok(permit) = uncounted.clone().try_acquire_many_owned(size.min(UNCOUNTED_BYTES)) {
            return (Some(permit), None);
        }
        match self.memory.try_share(size as usize) {
            Some(share) => (None, Some(share)),
            None => {
                let permit = uncounted.acquire_many_owned(size.min(UNCOUNTED_BYTES)).await;
                (permit.ok(), None)
            }
        }
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
        next.map(|event| event.map(|event| event.map(|(bytes, ..)| bytes)))
    }
}
