//! Logs and metrics of the process.
//!
//! Lines are written by a thread of their own: a reader of standard error that
//! stops reading costs lines, never decisions.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use kernel::Threads;
use log::LevelFilter;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use simplelog::WriteLogger;

/// Lines that wait for the writer.
const LINES_WAITING: usize = 65_536;

static PROMETHEUS: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

enum Line {
    Text(Vec<u8>),
    Stop,
}

/// Takes what the logger writes and hands on whole lines.
struct Lines {
    sender: SyncSender<Line>,
    begun: Vec<u8>,
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.begun.extend_from_slice(bytes);
        if !bytes.ends_with(b"\n") {
            return Ok(bytes.len());
        }
        let line = Line::Text(std::mem::take(&mut self.begun));
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

/// The writer of the log. Dropping it writes what waits and ends it.
pub struct Writer {
    sender: SyncSender<Line>,
    threads: Option<Threads>,
}

impl Drop for Writer {
    fn drop(&mut self) {
        // A writer that has ended does not take the message, which is as good.
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

/// Installs the logger on standard error: time, level, then the event.
///
/// # Errors
///
/// Fails when the operating system has no thread to give.
pub fn install(level: LevelFilter) -> io::Result<Writer> {
    let config = edge::line_format(&["rouille", "tiny_http", "hyper", "h2", "ureq"]);
    let (sender, receiver) = sync_channel(LINES_WAITING);
    let mut threads = Threads::default();
    threads.spawn("log", move || write_lines(&receiver))?;
    let lines = Lines { sender: sender.clone(), begun: Vec::new() };
    if WriteLogger::init(level, config, lines).is_err() {
        log::warn!("a logger was installed before");
    }
    Ok(Writer { sender, threads: Some(threads) })
}

/// Installs the metrics recorder of the process, once.
pub fn install_metrics() {
    PROMETHEUS.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// The recorder, when it is installed.
pub(crate) fn prometheus() -> Option<&'static PrometheusHandle> {
    PROMETHEUS.get()?.as_ref()
}
