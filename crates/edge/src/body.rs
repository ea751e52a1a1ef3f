//! Reads whole bodies, within the bound on one body and on all that the process holds.

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::eviction::MAX_ROOM_WAIT;
use crate::memory::{Holding, UNCOUNTED_BYTES};

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// It is larger than allowed.
    TooLarge,
    /// The connection ended before it.
    Cut,
    /// Its source fills the memory.
    NoRoom,
}

impl Failure {
    /// Returns the reason for the log.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Failure::TooLarge => "answer too large",
            Failure::Cut => "answer truncated",
            Failure::NoRoom => "answers fill the memory",
        }
    }
}

/// How a body gets room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Room {
    /// It waits for room for all of it, so that nothing keeps it from ending then.
    Awaited,
    /// It takes room for what arrives, and ends if stalled callers do not make room soon.
    Soon,
}

impl Room {
    async fn take(self, holding: &mut Holding, bytes: usize) -> Result<(), Failure> {
        let has_room = match self {
            Room::Awaited => holding.reserve(bytes).await.is_ok(),
            Room::Soon => holding.reserve_within(bytes, MAX_ROOM_WAIT).await,
        };
        if has_room { Ok(()) } else { Err(Failure::NoRoom) }
    }
}

/// Reads a body of at most `max_bytes` to its end.
///
/// # Errors
///
/// Fails if the body is truncated or too large, or has no room.
pub(crate) async fn read(
    mut body: Incoming,
    max_bytes: usize,
    mut holding: Holding,
    room: Room,
) -> Result<Bytes, Failure> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Failure::TooLarge);
    }
    let stated = body.size_hint().exact().map(|bytes| bytes as usize);
    if let Some(stated) = stated {
        room.take(&mut holding, stated).await?;
    }
    let mut bytes: Vec<u8> = Vec::with_capacity(stated.unwrap_or(0));
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = holding.evicted() => return Err(Failure::NoRoom),
        };
        let Some(frame) = frame else { break };
        let Ok(mut data) = frame.map_err(|_| Failure::Cut)?.into_data() else { continue };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(Failure::TooLarge);
        }
        if length > bytes.capacity() {
            let capacity = (bytes.capacity() * 2).clamp(length, max_bytes);
            let wanted = if room == Room::Awaited { max_bytes } else { capacity };
            if room == Room::Soon || capacity > UNCOUNTED_BYTES {
                room.take(&mut holding, wanted).await?;
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        while data.has_remaining() {
            let chunk = data.chunk();
            bytes.extend_from_slice(chunk);
            data.advance(chunk.len());
        }
    }
    let share = holding.split(bytes.capacity());
    Ok(share.attach(Bytes::from(bytes)))
}

/// Reads and discards a body of at most `max_bytes`. Returns whether it ended.
pub(crate) async fn discard(mut body: Incoming, max_bytes: usize) -> bool {
    let mut left = max_bytes;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        if bytes > left {
            return false;
        }
        left -= bytes;
    }
    true
}
