//! Following a key: a watch that resumes without missing a revision, and a slow poll behind it.

use std::io::{BufRead, BufReader};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use fleet::Event;

use crate::call::{Bytes, Number, WatchCreate, WatchLine, WatchRequest};
use crate::client::entry;
use crate::event::COMPACTED;
use crate::{Cause, Client, Entry, Error, Purpose, Revision};

/// What a follower reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// A poll or the start: what the key holds now. It may repeat what a watch has reported.
    Current(Option<Entry>),
    /// A change; changes are reported in order and none is left out, except before a
    /// [`Update::Current`] that follows a compaction.
    Changed(Entry),
    /// The key was removed.
    Removed {
        /// Revision of the removal.
        revision: Revision,
    },
    /// The store did not answer.
    Failed(Error),
}

/// Follows one key.
#[derive(Debug)]
pub struct Follower<'a> {
    client: &'a Client,
    purpose: Purpose,
    key: &'a str,
    /// First revision that has not been reported; 0 before the first read.
    next: Revision,
}

/// Step in which a wait looks for the stop flag.
const STOP_CHECK: Duration = Duration::from_millis(20);

impl<'a> Follower<'a> {
    /// Follows `key` from its present value on.
    pub fn new(client: &'a Client, purpose: Purpose, key: &'a str) -> Self {
        Self { client, purpose, key, next: 0 }
    }

    /// Follows `key` from the changes of `revision` on, for instance after a pause.
    pub fn from_revision(
        client: &'a Client,
        purpose: Purpose,
        key: &'a str,
        revision: Revision,
    ) -> Self {
        Self { client, purpose, key, next: revision }
    }

    /// Reports updates until `stop` is set. Blocks; after `stop` it returns within the idle time
    /// of a watch.
    pub fn run(&mut self, stop: &AtomicBool, sink: &mut dyn FnMut(Update)) {
        let mut polled: Option<Duration> = None;
        while !stop.load(Ordering::Relaxed) {
            let due = polled
                .is_none_or(|at| self.client.now() >= at + self.client.settings().poll_interval);
            let result = if due { self.poll(sink) } else { Ok(()) };
            if due && result.is_ok() {
                polled = Some(self.client.now());
            }
            let result = result.and_then(|()| self.watch(stop, sink));
            if let Err(error) = result {
                self.recover(error, &mut polled, sink);
                self.wait(stop);
            }
        }
    }

    fn recover(
        &mut self,
        error: Error,
        polled: &mut Option<Duration>,
        sink: &mut dyn FnMut(Update),
    ) {
        if let Cause::Compacted { revision } = error.cause {
            log::warn!(
                "{}",
                Event::new(&COMPACTED).with("key", self.key).with("revision", revision)
            );
            self.next = 0;
            *polled = None;
        }
        sink(Update::Failed(error));
    }

    /// Waits out the back-off, which is never shorter than its first step.
    fn wait(&self, stop: &AtomicBool) {
        let least = self.client.now() + self.client.settings().min_backoff;
        let until = self.client.health().retry_at().max(least);
        while self.client.now() < until && !stop.load(Ordering::Relaxed) {
            thread::sleep(STOP_CHECK);
        }
    }

    fn poll(&mut self, sink: &mut dyn FnMut(Update)) -> Result<(), Error> {
        let listing = self.client.snapshot(self.purpose, self.key)?;
        if self.next == 0 {
            self.next = listing.revision + 1;
        }
        // A poll does not move `next`: the watch still reports every change before it.
        sink(Update::Current(listing.entries.into_iter().next()));
        Ok(())
    }

    fn watch(&mut self, stop: &AtomicBool, sink: &mut dyn FnMut(Update)) -> Result<(), Error> {
        self.client.take_read(self.purpose)?;
        let create = WatchCreate {
            key: Bytes(self.key.as_bytes().to_vec()),
            start_revision: Number(self.next),
        };
        let idle = self.client.settings().watch_idle_timeout;
        let body = WatchRequest { create_request: create };
        let opened = self.client.send("/v3/watch", &body, Some(idle));
        self.client.note(self.purpose, opened.as_ref().err());
        let lines = BufReader::new(opened?.into_reader()).lines();
        let until = self.client.now() + self.client.settings().poll_interval;
        for line in lines {
            match line {
                Ok(line) => self.report(&line, sink)?,
                // A silent watch ends by its idle time, which is no failure: it is opened anew.
                Err(error) if is_timeout(&error) => return Ok(()),
                Err(_) => break,
            }
            if stop.load(Ordering::Relaxed) || self.client.now() >= until {
                return Ok(());
            }
        }
        // The store ended the watch: back off, as after a failure.
        let error = Error::none(Cause::Broken("the watch has ended".into()));
        self.client.note(self.purpose, Some(&error));
        Err(error)
    }

    fn report(&mut self, line: &str, sink: &mut dyn FnMut(Update)) -> Result<(), Error> {
        if line.trim().is_empty() {
            return Ok(());
        }
        let parsed: WatchLine = serde_json::from_str(line)
            .map_err(|error| Error::none(Cause::Malformed(smol_str::format_smolstr!("{error}"))))?;
        let Some(result) = parsed.result else {
            return Err(Error::none(Cause::Malformed(line.into())));
        };
        if result.compact_revision.0 > 0 {
            return Err(Error::none(Cause::Compacted { revision: result.compact_revision.0 }));
        }
        if result.canceled {
            return Err(Error::none(Cause::Broken("the store cancelled the watch".into())));
        }
        for event in result.events {
            let removed = event.kind.as_deref() == Some("DELETE");
            let entry = entry(event.kv)?;
            if entry.revision < self.next {
                continue;
            }
            self.next = entry.revision + 1;
            sink(match removed {
                true => Update::Removed { revision: entry.revision },
                false => Update::Changed(entry),
            });
        }
        Ok(())
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    let inner = error.get_ref().and_then(|inner| inner.downcast_ref::<ureq::Error>());
    matches!(inner, Some(ureq::Error::Timeout(_))) || error.kind() == std::io::ErrorKind::TimedOut
}
