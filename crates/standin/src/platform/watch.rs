//! Watches: streams of changes from a revision on, without a gap.

use std::sync::Arc;
use std::time::Duration;

use super::api::{Header, Line, Long, WatchCreate, WatchEvent, WatchResponse};
use super::command::Outage;
use super::server::Shared;
use super::store::{Failure, Range, Revision};
use crate::http::Stream;

/// Time between two looks at a quiet store, when nothing has changed in between.
const IDLE: Duration = Duration::from_millis(100);
/// Time between two progress lines, where they are asked for.
const PROGRESS: Duration = Duration::from_secs(2);

/// What one look at the store yields.
enum Look {
    /// Lines to write, and the first revision of the next look.
    Lines(Vec<WatchResponse>, Revision),
    /// The watch ends without a word.
    Cut,
    /// The watch ends with this line.
    Last(WatchResponse),
    /// Nothing can be told now.
    Silent,
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
    let mut told = tokio::time::Instant::now();
    while !stream.is_closed() {
        match look(&shared, &range, next, epoch) {
            Look::Cut => return stream.cut(),
            Look::Last(line) => return write(&stream, line),
            Look::Silent => {}
            Look::Lines(lines, from) => {
                next = from;
                for line in lines {
                    write(&stream, line);
                    told = tokio::time::Instant::now();
                }
                if create.progress_notify && told.elapsed() >= PROGRESS {
                    let header = Some(Header::new(next - 1));
                    write(&stream, WatchResponse { header, ..WatchResponse::default() });
                    told = tokio::time::Instant::now();
                }
            }
        }
        // Either way the loop looks again.
        let _ = tokio::time::timeout(IDLE, changed.changed()).await;
    }
}

fn look(shared: &Shared, range: &Range, next: Revision, epoch: u64) -> Look {
    let mut state = shared.state();
    if state.watch_epoch != epoch {
        return Look::Cut;
    }
    if state.outage != Outage::Off {
        return Look::Silent;
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
            Look::Lines(lines, next.max(revision + 1))
        }
        Err(Failure::Compacted(compacted)) => Look::Last(WatchResponse {
            header: Some(Header::new(revision)),
            canceled: true,
            compact_revision: Long(compacted),
            ..WatchResponse::default()
        }),
        Err(_) => Look::Cut,
    }
}

fn write(stream: &Stream, response: WatchResponse) {
    let mut line = serde_json::to_vec(&Line { result: response }).unwrap_or_default();
    line.push(b'\n');
    // A reader that has gone is noticed by the loop.
    let _ = stream.write(line);
}
