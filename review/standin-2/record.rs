//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// A record in a file. Each line bears the seconds since its begin.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Self { file, began: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let seconds = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record goes on");
        writeln!(file, "{seconds:8.3} {text}").expect("the record can be written");
    }
}
