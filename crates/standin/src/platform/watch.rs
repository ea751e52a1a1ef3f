//! Watches: streams of all changes from a start revision on.

use std::sync::Arc;
use std::time::Duration;

use super::api::{Header, Line, Long, WatchCreate, WatchEvent, WatchResponse};
use super::command::Outage;
use super::server::Shared;
use super::store::{Failure, Range, Revision};
use crate::http::Stream;

/// Interval at which a watch polls the store when no change notification arrives. Polling
/// also expires leases.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time without output before a progress notification, if the watch requests them.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Result of polling the store.
enum Poll {
    /// Responses to write, and the revision from which the next poll reads.
    Lines(Vec<WatchResponse>, Revision),
    /// The watch's connection is closed without a response.
    Cut,
    /// The watch ends after this response.
    Final(WatchResponse),
    /// The store is in an outage; the watch stays open and writes nothing.
    Unavailable,
}

/// Serves one watch until it is disconnected or cancelled, or its reader closes the stream.
pub(super) async fn serve(shared: Arc<Shared>, create: WatchCreate, stream: Stream) {
    let range = Range { start: create.key.0, end: create.range_end.0 };
    let epoch = shared.state().watch_epoch;
    let revision = shared.state().store.revision();
    let mut next = if create.start_revision.0 > 0 { create.start_revision.0 } else { revision + 1 };
    let header = Some(Header::new(revision));
    write(&stream, WatchResponse { header, created: true, ..WatchResponse::default() });
    let mut changed = shared.changed.subscribe();
    let mut last_written = tokio::time::Instant::now();
    while !stream.is_closed() {
        match poll_store(&shared, &range, next, epoch) {
            Poll::Cut => return stream.cut(),
            Poll::Final(line) => return write(&stream, line),
            Poll::Unavailable => {}
            Poll::Lines(lines, from) => {
                next = from;
                for line in lines {
                    write(&stream, line);
                    last_written = tokio::time::Instant::now();
                }
                if create.progress_notify && last_written.elapsed() >= PROGRESS_INTERVAL {
                    let header = Some(Header::new(next - 1));
                    write(&stream, WatchResponse { header, ..WatchResponse::default() });
                    last_written = tokio::time::Instant::now();
                }
            }
        }
        // The loop polls again after a notification as well as after the time-out.
        let _ = tokio::time::timeout(POLL_INTERVAL, changed.changed()).await;
    }
}

fn poll_store(shared: &Shared, range: &Range, next: Revision, epoch: u64) -> Poll {
    let mut state = shared.state();
    if state.watch_epoch != epoch {
        return Poll::Cut;
    }
    if state.outage != Outage::Off {
        return Poll::Unavailable;
    }
    let now = state.now();
    state.store.expire(now);
    let revision = state.store.revision();
    match state.store.changes(range, next) {
        Ok(changes) => {
            let mut lines: Vec<WatchResponse> = Vec::new();
            // All changes of one revision are sent in one response.
            for group in changes.chunk_by(|a, b| a.entry.modified == b.entry.modified) {
                let header = Some(Header::new(group[0].entry.modified));
                let events = group.iter().cloned().map(WatchEvent::new).collect();
                lines.push(WatchResponse { header, events, ..WatchResponse::default() });
            }
            Poll::Lines(lines, next.max(revision + 1))
        }
        Err(Failure::Compacted(compacted)) => Poll::Final(WatchResponse {
            header: Some(Header::new(revision)),
            canceled: true,
            compact_revision: Long(compacted),
            ..WatchResponse::default()
        }),
        Err(_) => Poll::Cut,
    }
}

fn write(stream: &Stream, response: WatchResponse) {
    let mut line = serde_json::to_vec(&Line { result: response }).unwrap_or_default();
    line.push(b'\n');
    // The caller's loop detects a closed stream.
    let _ = stream.write(line);
}
