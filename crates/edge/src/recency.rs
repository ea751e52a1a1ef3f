//! Up to what time this node's configuration is known to be the operators' newest. Uses neither a
//! clock nor a socket.
//!
//! A store that comes back from a copy holds an older configuration until the operators have
//! written theirs again. What it answers meanwhile proves nothing about withdrawn keys.

use std::time::Duration;

use fleet::Version;
use platform::kv::Era;

/// Time from the store's return from a copy within which the operators have written their
/// configuration again.
pub const REWRITE_TIME: Duration = Duration::from_millis(2200);

/// What is known about the configuration in force on this node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Recency {
    /// Time from which on the store's state is the operators' newest.
    settled_at: Duration,
    /// Time up to which the configuration is known to be the newest.
    known_until: Option<Duration>,
    /// Version of the configuration in the store.
    stored: Version,
    /// Era that the store's mark states as settled.
    marked: Option<Era>,
    /// Version of a configuration that this node cannot read, and that is newer than the one in force;
    /// 0 if the version cannot be read either.
    unread: Option<Version>,
    /// Newest version that another node has stated, and the time until which this counts.
    stated: Option<(Version, Duration)>,
}

impl Recency {
    /// Records that the store was first heard to be in a later era at `now`: it has come back from a
    /// copy at any time before.
    pub fn begin_era(&mut self, now: Duration) {
        self.settled_at = now + REWRITE_TIME;
    }

    /// Records the version of the readable configuration that the store holds.
    pub fn set_stored(&mut self, stored: Version) {
        self.stored = stored;
        self.unread = self.unread.filter(|unread| stored < *unread);
    }

    /// Records that the store holds a configuration that this node cannot read, of this version if
    /// that can be read. The version `in_force` and earlier ones are those of a copy of the store.
    pub fn record_unreadable(&mut self, version: Option<Version>, in_force: Version) {
        match version {
            Some(version) => {
                self.stored = version;
                if version > in_force {
                    self.unread = self.unread.max(Some(version));
                }
            }
            None => self.unread = self.unread.max(Some(0)),
        }
    }

    /// Returns whether the operators' newest configuration is one that this node cannot read, so that
    /// it must not handle requests by the one before.
    pub fn is_outdated(&self) -> bool {
        self.unread.is_some()
    }

    /// Records that the operators have written the configuration in force in the present era, `at`
    /// this time or later.
    pub fn record_write(&mut self, at: Duration) {
        self.settled_at = self.settled_at.min(at);
        self.record_synced(at);
    }

    /// Records the mark in the store, which states a settled era. `era` is the present one.
    pub fn set_mark(&mut self, marked: Option<Era>, era: Era) {
        self.marked = marked;
        if marked == Some(era) {
            self.settled_at = Duration::ZERO;
        }
    }

    /// Records that the store's state up to the time `at` is in force on this node.
    pub fn record_synced(&mut self, at: Duration) {
        if at >= self.settled_at {
            self.known_until = self.known_until.max(Some(at));
        }
    }

    /// Records that a configuration of this version is in force at another node, which counts until
    /// the time `until`.
    pub fn record_stated(&mut self, version: Version, until: Duration) {
        let stated = self.stated.map_or(0, |(stated, _)| stated);
        if version >= stated {
            self.stated = Some((version, until));
        }
    }

    /// Returns the age of the proof that the configuration in force, of this version, is the newest;
    /// `None` if there is none, or if there is a newer one that another node has or that cannot be
    /// read.
    pub fn age(&self, now: Duration, version: Version) -> Option<Duration> {
        let is_newer = |(stated, until): (Version, Duration)| stated > version && now < until;
        if self.is_outdated() || self.stated.is_some_and(is_newer) {
            return None;
        }
        self.known_until.map(|at| now.saturating_sub(at))
    }

    /// Returns whether the configuration in force was known to be the newest at any time.
    pub fn is_proven(&self) -> bool {
        self.known_until.is_some()
    }

    /// Returns whether the store's configuration is older than this version, which is in force here:
    /// other nodes may not know it.
    pub fn is_stored_older(&self, version: Version) -> bool {
        self.stored < version
    }

    /// Returns whether the present era is settled, and the store has no mark of it. The first era
    /// needs none.
    pub fn needs_mark(&self, era: Era, version: Version) -> bool {
        let is_settled = self.known_until.is_some_and(|at| at >= self.settled_at);
        let is_newest = is_settled && !self.is_outdated();
        era > 0 && is_newest && self.marked != Some(era) && !self.is_stored_older(version)
    }
}
