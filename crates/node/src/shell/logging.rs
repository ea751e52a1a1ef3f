//! Logs and metrics of the process.
//!
//! A dedicated thread writes the lines, so that a blocked standard error causes
//! the loss of lines but never blocks the decision thread.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use kernel::Threads;
use log::LevelFilter;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use simplelog::WriteLogger;

/// Maximum number of lines that wait for the writer.
const LINE_CAPACITY: usize = 65_536;

static PROMETHEUS: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

enum Line {
    Text(Vec<u8>),
    Stop,
}

/// Buffers the logger's output and sends complete lines to the writer thread.
struct Lines {
    sender: SyncSender<Line>,
    partial: Vec<u8>,
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.partial.extend_from_slice(bytes);
        if !bytes.ends_with(b"\n") {
            return Ok(bytes.len());
        }
        let line = Line::Text(std::mem::take(&mut self.partial));
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.sender.try_send(line)
        {
            metrics::counter!("magnolia_log_lines_lost").increment(1);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Handle to the log's writer thread. Dropping it writes the queued lines and ends the thread.
pub struct Writer {
    sender: SyncSender<Line>,
    threads: Option<Threads>,
}

impl Drop for Writer {
    fn drop(&mut self) {
        // The send fails only if the writer has already ended.
        self.sender.send(Line::Stop).ok();
        drop(self.threads.take());
    }
}

fn write_lines(receiver: &Receiver<Line>) {
    let mut out = io::stderr();
    while let Ok(Line::Text(line)) = receiver.recv() {
        if out.write_all(&line).is_err() {
            metrics::counter!("magnolia_log_lines_lost").increment(1);
        }
    }
}

/// Installs the logger on standard error. A line has the time, the level and the event.
///
/// # Errors
///
/// Fails if the operating system cannot start a thread.
pub fn install(level: LevelFilter) -> io::Result<Writer> {
    let config = edge::line_format(&["rouille", "tiny_http", "hyper", "h2", "ureq"]);
    let (sender, receiver) = sync_channel(LINE_CAPACITY);
    let mut threads = Threads::default();
    threads.spawn("log", move || write_lines(&receiver))?;
    let lines = Lines { sender: sender.clone(), partial: Vec::new() };
    if WriteLogger::init(level, config, lines).is_err() {
        log::warn!("a logger is already installed");
    }
    Ok(Writer { sender, threads: Some(threads) })
}

/// Installs the metrics recorder of the process. Further calls have no effect.
pub fn install_metrics() {
    PROMETHEUS.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// Returns the handle of the metrics recorder if it is installed.
pub(crate) fn prometheus() -> Option<&'static PrometheusHandle> {
    PROMETHEUS.get()?.as_ref()
}
