//! Compare-and-swap writes whose outcome is determined even when their answers are lost.

use fleet::Event;

use crate::event::SETTLED;
use crate::{Cas, Client, Effect, Entry, Error, Purpose, Revision, Write};

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// The write took effect exactly once.
    Written {
        /// Revision of the change.
        revision: Revision,
    },
    /// The write did not take effect and never will, or (for keys that may be removed) it took
    /// effect and a later removal has undone it.
    Conflict {
        /// Current entry of the key; `None` when it does not exist.
        current: Option<Entry>,
    },
    /// The outcome is unknown and cannot be determined now.
    Unknown(Error),
}

/// Number of times that a write is sent before its outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 4;
/// Number of revisions of a key that are read back in search of a nonce.
const MAX_REVISIONS_READ: u32 = 8;

/// Result of reading back a key after a write whose answer was lost.
enum Readback {
    /// The key still has the expected revision, so the write may still arrive.
    Unchanged,
    /// The value of this revision contains the nonce.
    Found(Revision),
    /// Another write has changed the key, so this one can never take effect.
    Superseded(Option<Entry>),
    /// The outcome cannot be determined: earlier revisions are not available, or the store does not
    /// answer.
    Unavailable(Error),
}

impl Client {
    /// Writes a key by compare-and-swap, and determines the outcome of lost answers by reading the
    /// key back. The value must contain a `nonce` that no other write contains.
    ///
    /// While the key is unchanged, a write without an answer may still be in flight. It is
    /// therefore sent again with the same expected revision: at most one of the two writes can
    /// take effect, and both write the same value.
    ///
    /// # Errors
    ///
    /// Fails only when the write did not take effect and never will.
    pub fn commit(
        &self,
        purpose: Purpose,
        write: Write<'_>,
        nonce: &[u8],
    ) -> Result<Commit, Error> {
        let mut lost: Option<Error> = None;
        for _ in 0..MAX_ATTEMPTS {
            match self.cas(purpose, write) {
                Ok(Cas::Written { revision }) => return Ok(Commit::Written { revision }),
                Ok(Cas::Conflict { current, .. }) if lost.is_none() => {
                    return Ok(Commit::Conflict { current });
                }
                Ok(Cas::Conflict { current, .. }) if revision_of(&current) == write.expected => {
                    // Only the guard has changed. Revisions never repeat, so the write that was
                    // sent before can no longer take effect either.
                    return Ok(Commit::Conflict { current });
                }
                Ok(Cas::Conflict { .. }) => {}
                Err(error) if error.effect == Effect::None => {
                    return match lost {
                        None => Err(error),
                        Some(lost) => Ok(Commit::Unknown(lost)),
                    };
                }
                Err(error) => lost = Some(error),
            }
            match self.readback(purpose, &write, nonce) {
                Readback::Unchanged => {}
                Readback::Found(revision) => {
                    log::info!(
                        "{}",
                        Event::new(&SETTLED).with("key", write.key).with("written", true)
                    );
                    return Ok(Commit::Written { revision });
                }
                Readback::Superseded(current) => {
                    log::info!(
                        "{}",
                        Event::new(&SETTLED).with("key", write.key).with("written", false)
                    );
                    return Ok(Commit::Conflict { current });
                }
                Readback::Unavailable(error) => lost = Some(error),
            }
        }
        let unknown = Error::possible(crate::Cause::Timeout);
        Ok(Commit::Unknown(lost.unwrap_or(unknown)))
    }

    /// Searches for the nonce from the current value back to the expected revision.
    fn readback(&self, purpose: Purpose, write: &Write<'_>, nonce: &[u8]) -> Readback {
        let current = match self.range(purpose, write.key) {
            Ok(current) => current,
            Err(error) => return Readback::Unavailable(error),
        };
        if revision_of(&current) == write.expected {
            return Readback::Unchanged;
        }
        let mut candidate = current.clone();
        for _ in 0..MAX_REVISIONS_READ {
            let Some(entry) = candidate else { break };
            if entry.revision <= write.expected {
                return Readback::Superseded(current);
            }
            if contains(&entry.value, nonce) {
                return Readback::Found(entry.revision);
            }
            if write.expected == 0 && entry.version == 1 {
                // Another write created the key, so the expected absence no longer holds.
                return Readback::Superseded(current);
            }
            let before = entry.revision - 1;
            candidate = match self.range_at(purpose, write.key, before) {
                // A store without history answers with the current value.
                Ok(Some(earlier)) if earlier.revision > before => break,
                Ok(earlier) => earlier,
                Err(error) => return Readback::Unavailable(error),
            };
        }
        Readback::Unavailable(Error::possible(crate::Cause::Timeout))
    }
}

fn revision_of(entry: &Option<Entry>) -> Revision {
    entry.as_ref().map_or(0, |entry| entry.revision)
}

fn contains(value: &[u8], nonce: &[u8]) -> bool {
    !nonce.is_empty() && value.windows(nonce.len()).any(|window| window == nonce)
}
