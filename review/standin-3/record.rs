//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes the lines of a record.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Begins a record.
    pub fn begin(path: &Path) -> Self {
        let file = File::create(path).expect("a file for the record");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn note(&self, text: &str) {
        let ms = self.elapsed().as_millis();
        let mut file = self.file.lock().expect("no panic while it is held");
        writeln!(file, "{ms:6} ms  {text}").expect("the record can be written");
    }
}
