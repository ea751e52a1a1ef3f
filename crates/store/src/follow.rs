//! Follower of a key: a watch that resumes without missing a revision, backed by a slow poll.

use std::io::{BufRead, BufReader};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use fleet::Event;

use crate::call::{Bytes, Number, WatchCreate, WatchLine, WatchRequest};
use crate::client::entry;
use crate::event::COMPACTED;
use crate::{Cause, Client, Entry, Error, Purpose, Revision};

/// Report of a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// Current entry of the key, from the start or a poll; `None` when the key does not exist. It
    /// may repeat a change that a watch has reported.
    Current(Option<Entry>),
    /// Change of the key. Changes are reported in order and none is left out, except before an
    /// [`Update::Current`] that follows a compaction.
    Changed(Entry),
    /// The key was removed.
    Removed {
        /// Revision of the removal.
        revision: Revision,
    },
    /// A poll or a watch failed; the follower retries after a back-off.
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

/// Interval at which a wait checks the stop flag.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl<'a> Follower<'a> {
    /// Follows `key` from its current value on.
    pub fn new(client: &'a Client, purpose: Purpose, key: &'a str) -> Self {
        Self { client, purpose, key, next: 0 }
    }

    /// Follows `key` from the change at `revision` on, for example after a pause.
    pub fn from_revision(
        client: &'a Client,
        purpose: Purpose,
        key: &'a str,
        revision: Revision,
    ) -> Self {
        Self { client, purpose, key, next: revision }
    }

    /// Reports updates to `sink` until `stop` is set. Blocks, and returns at most the idle time-out
    /// of a watch after `stop` was set.
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
                self.back_off(stop);
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

    /// Waits for the back-off of the client, and for at least the shortest back-off.
    fn back_off(&self, stop: &AtomicBool) {
        let earliest = self.client.now() + self.client.settings().min_backoff;
        let until = self.client.health().retry_at().max(earliest);
        while self.client.now() < until && !stop.load(Ordering::Relaxed) {
            thread::sleep(STOP_CHECK_INTERVAL);
        }
    }

    fn poll(&mut self, sink: &mut dyn FnMut(Update)) -> Result<(), Error> {
        let listing = self.client.snapshot(self.purpose, self.key)?;
        if self.next == 0 {
            self.next = listing.revision + 1;
        }
        // A poll does not advance `next`, so that the watch still reports every change.
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
        self.client.record(self.purpose, opened.as_ref().err());
        let lines = BufReader::new(opened?.into_reader()).lines();
        let until = self.client.now() + self.client.settings().poll_interval;
        for line in lines {
            match line {
                Ok(line) => self.report(&line, sink)?,
                // The idle time-out of a watch without changes is not a failure; the caller reopens
                // the watch.
                Err(error) if is_timeout(&error) => return Ok(()),
                Err(_) => break,
            }
            if stop.load(Ordering::Relaxed) || self.client.now() >= until {
                return Ok(());
            }
        }
        // The store closed the watch, which counts as a failure and causes a back-off.
        let error = Error::none(Cause::Broken("watch closed by the store".into()));
        self.client.record(self.purpose, Some(&error));
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
            return Err(Error::none(Cause::Broken("watch cancelled by the store".into())));
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
