//! Threads that their parent joins.

use std::io;
use std::thread::{self, JoinHandle};

use crate::Panicked;

/// Threads spawned by one parent. All are joined by [`Threads::join`], or on drop.
#[derive(Default)]
pub struct Threads {
    handles: Vec<JoinHandle<()>>,
}

impl Threads {
    /// Spawns a named thread.
    ///
    /// # Errors
    ///
    /// Fails when the operating system has no thread to give.
    pub fn spawn(&mut self, name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
        self.handles.retain(|handle| !handle.is_finished());
        let handle = thread::Builder::new().name(name.to_owned()).spawn(work)?;
        self.handles.push(handle);
        Ok(())
    }

    /// Number of threads that still run.
    pub fn running(&self) -> usize {
        self.handles.iter().filter(|handle| !handle.is_finished()).count()
    }

    /// Waits for all threads.
    ///
    /// # Errors
    ///
    /// Returns the first thread that panicked, after all have ended.
    pub fn join(mut self) -> Result<(), Panicked> {
        self.join_all().map_or(Ok(()), Err)
    }

    fn join_all(&mut self) -> Option<Panicked> {
        let mut first = None;
        for handle in self.handles.drain(..) {
            let thread = handle.thread().name().unwrap_or_default().to_owned();
            if handle.join().is_err() && first.is_none() {
                first = Some(Panicked { thread });
            }
        }
        first
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        self.join_all();
    }
}
