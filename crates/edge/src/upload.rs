//! The body of a request, which may be answered before all of it has arrived.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::EXPECT;
use hyper::http::request::Parts;
use tokio::time::timeout;

use crate::body::{self, Room};
use crate::memory::Holding;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// It could not be read to its end.
    Unread(body::Failure),
    /// It did not arrive in time.
    TooSlow,
}

/// What is left of a request when it is answered.
pub(crate) enum Rest {
    /// Nothing.
    None,
    /// The body, which the caller may still send.
    Body(Incoming),
    /// A part that is not read: the connection cannot be used again.
    Unread,
}

/// The body of a request.
pub(crate) struct Upload {
    rest: Rest,
    /// Whether the caller sends the body only when it is asked to.
    is_expected: bool,
}

impl Upload {
    pub(crate) fn new(parts: &Parts, body: Incoming) -> Self {
        let rest = if body.is_end_stream() { Rest::None } else { Rest::Body(body) };
        Self { rest, is_expected: parts.headers.contains_key(EXPECT) }
    }

    /// Reads the body, of at most `max_bytes`, within `max_time`. It is counted in `holding`.
    pub(crate) async fn read(
        &mut self,
        max_bytes: usize,
        max_time: Duration,
        holding: Holding,
    ) -> Result<Bytes, Failure> {
        let body = match std::mem::replace(&mut self.rest, Rest::Unread) {
            Rest::Body(body) => body,
            rest => {
                self.rest = rest;
                return Ok(Bytes::new());
            }
        };
        let reading = body::read(body, max_bytes, holding, Room::Soon);
        let body = timeout(max_time, reading).await.map_err(|_| Failure::TooSlow)?;
        let body = body.map_err(Failure::Unread)?;
        self.rest = Rest::None;
        Ok(body)
    }

    /// Returns what is left of the request, of which at most `max_bytes` can be read.
    pub(crate) fn into_rest(self, max_bytes: usize) -> Rest {
        match self.rest {
            // Whether the caller sends it after an answer is not known.
            Rest::Body(_) if self.is_expected => Rest::Unread,
            Rest::Body(body) if body.size_hint().lower() > max_bytes as u64 => Rest::Unread,
            rest => rest,
        }
    }
}
