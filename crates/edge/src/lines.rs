//! The log: collects lines in memory and passes them in batches to a thread that writes them.
//!
//! If the reader of the output is slow, lines are dropped and counted; the process never waits.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use fleet::Event;
use log::LevelFilter;
use simplelog::{Config, ConfigBuilder, LevelPadding, WriteLogger};

use crate::event::LINES_LOST;

/// Maximum size of the lines that wait for the next batch.
const MAX_PENDING_BYTES: usize = 128 << 10;
/// Maximum number of batches that wait for the writer.
const MAX_QUEUED_BATCHES: usize = 4;
/// Interval between batches.
pub(crate) const BATCH_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Default)]
struct Pending {
    bytes: Vec<u8>,
    partial: Vec<u8>,
    dropped: u64,
}

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Pending>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut pending = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        pending.partial.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            let line = std::mem::take(&mut pending.partial);
            if pending.bytes.len() + line.len() > MAX_PENDING_BYTES {
                pending.dropped += 1;
            } else {
                pending.bytes.extend_from_slice(&line);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the format of log lines: time, level and event. Lines of `libraries` are omitted.
pub fn line_format(libraries: &[&'static str]) -> Config {
    let mut builder = ConfigBuilder::new();
    builder
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_level_padding(LevelPadding::Off);
    for library in libraries {
        builder.add_filter_ignore_str(library);
    }
    builder.build()
}

/// The log of the process.
pub(crate) struct Lines {
    buffer: Buffer,
    sender: Option<SyncSender<Vec<u8>>>,
    writer: Option<JoinHandle<()>>,
}

impl Lines {
    /// Installs the logger and starts the writer.
    pub(crate) fn install() -> io::Result<Self> {
        let buffer = Buffer::default();
        let config = line_format(&["hyper"]);
        if WriteLogger::init(LevelFilter::Info, config, buffer.clone()).is_err() {
            return Err(io::Error::other("a logger is already installed"));
        }
        let (sender, receiver) = sync_channel(MAX_QUEUED_BATCHES);
        let writer =
            thread::Builder::new().name("log".into()).spawn(move || write_batches(&receiver))?;
        Ok(Self { buffer, sender: Some(sender), writer: Some(writer) })
    }

    /// Passes the collected lines to the writer. Drops them if its queue is full.
    pub(crate) fn submit_batch(&self) {
        let (bytes, dropped) = {
            let mut pending = self.buffer.0.lock().unwrap_or_else(PoisonError::into_inner);
            (std::mem::take(&mut pending.bytes), std::mem::take(&mut pending.dropped))
        };
        if dropped > 0 {
            log::warn!("{}", Event::new(LINES_LOST).with("lines", dropped));
        }
        if bytes.is_empty() {
            return;
        }
        let Some(sender) = &self.sender else { return };
        if sender.try_send(bytes).is_err() {
            let mut pending = self.buffer.0.lock().unwrap_or_else(PoisonError::into_inner);
            pending.dropped += 1;
            metrics::counter!("magnolia_log_batches_lost").increment(1);
        }
    }
}

impl Drop for Lines {
    fn drop(&mut self) {
        self.submit_batch();
        self.sender = None;
        if let Some(writer) = self.writer.take() {
            // A writer that panicked cannot write any more lines.
            writer.join().ok();
        }
    }
}

fn write_batches(receiver: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(bytes) = receiver.recv() {
        if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            metrics::counter!("magnolia_log_batches_lost").increment(1);
        }
    }
}
