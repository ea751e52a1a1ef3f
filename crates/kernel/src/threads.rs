//! Threads that are joined by their parent.

use std::io;
use std::thread::{self, JoinHandle};

use crate::Panicked;

/// Threads spawned by one parent. [`Threads::join`] or dropping the value joins all of them.
#[derive(Default)]
pub struct Threads {
    handles: Vec<JoinHandle<()>>,
}

impl Threads {
    /// Spawns a named thread.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot create a thread.
    pub fn spawn(&mut self, name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
        self.handles.retain(|handle| !handle.is_finished());
        let handle = thread::Builder::new().name(name.to_owned()).spawn(work)?;
        self.handles.push(handle);
        Ok(())
    }

    /// Returns the number of threads that are still running.
    pub fn running(&self) -> usize {
        self.handles.iter().filter(|handle| !handle.is_finished()).count()
    }

    /// Joins all threads.
    ///
    /// # Errors
    ///
    /// Returns the first thread that panicked, after all of them have ended.
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
