//! Watches: streams of changes from a revision on, without a gap.

use std::sync::Arc;
use std::time::Duration;

use super::api::{Header, Int64, Line, WatchCreate, WatchEvent, WatchResponse};
use super::command::Outage;
use super::server::Shared;
use super::store::{Failure, Range, Revision};
use crate::http::Stream;

/// Time between two looks at a quiet store, when nothing has changed in between.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two progress lines, where they are asked for.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// What one look at the store yields.
enum Poll {
    /// Lines to write, and the first revision of the next look.
    Lines(Vec<WatchResponse>, Revision),
    /// The watch ends without a word.
    Cut,
    /// The watch ends with this line.
    Final(WatchResponse),
    /// Nothing can be last_written now.
    Unavailable,
}

/// Serves one watch until it is cut, cancelled or its reader has gone.
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
        // Either way the loop looks again.
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
            // All changes of one revision stand in one line.
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
            compact_revision: Int64(compacted),
            ..WatchResponse::default()
        }),
        Err(_) => Poll::Cut,
    }
}

fn write(stream: &Stream, response: WatchResponse) {
    let mut line = serde_json::to_vec(&Line { result: response }).unwrap_or_default();
    line.push(b'\n');
    // A reader that has gone is noticed by the loop.
    let _ = stream.write(line);
}
