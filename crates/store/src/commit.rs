//! Writes that are settled whatever becomes of their answers.

use fleet::Event;

use crate::event::SETTLED;
use crate::{Cas, Client, Effect, Entry, Error, Purpose, Revision, Write};

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It took effect, once.
    Written {
        /// Revision of the change.
        revision: Revision,
    },
    /// It did not take effect and never will, or (for keys that may be removed) it took effect
    /// and was undone by a removal since.
    Conflict {
        /// What the key holds.
        current: Option<Entry>,
    },
    /// It is not known, and cannot be found out now.
    Unknown(Error),
}

/// Sendings of one write before its fate is reported as unknown.
const MAX_ATTEMPTS: u32 = 4;
/// Earlier changes of a key that are read back in search of a nonce.
const MAX_STEPS_BACK: u32 = 8;

/// What reading back said about a write whose answer was lost.
enum Readback {
    /// The key still has the expected revision: the write may yet arrive.
    Unchanged,
    /// The nonce was found in the value of this revision.
    Found(Revision),
    /// The key has moved on without it: the write can never take effect.
    Superseded(Option<Entry>),
    /// The revisions between have been compacted away, or the store does not answer.
    Hidden(Error),
}

impl Client {
    /// Writes a key by compare-and-swap and settles lost answers by reading back. The value must
    /// carry a `nonce` that no other write carries.
    ///
    /// A write that is found not to have taken effect while the key is unchanged may still be on
    /// its way. It is therefore sent again with the same expected revision: of the two at most
    /// one can take effect, and both say the same.
    ///
    /// # Errors
    ///
    /// Fails only when nothing was written and never will be.
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
                    // Only the guard has changed, and it never changes back.
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
                Readback::Hidden(error) => lost = Some(error),
            }
        }
        let unknown = Error::possible(crate::Cause::Timeout);
        Ok(Commit::Unknown(lost.unwrap_or(unknown)))
    }

    /// Looks for the nonce from the present value back to the expected revision.
    fn readback(&self, purpose: Purpose, write: &Write<'_>, nonce: &[u8]) -> Readback {
        let current = match self.range(purpose, write.key) {
            Ok(current) => current,
            Err(error) => return Readback::Hidden(error),
        };
        if revision_of(&current) == write.expected {
            return Readback::Unchanged;
        }
        let mut step = current.clone();
        for _ in 0..MAX_STEPS_BACK {
            let Some(entry) = step else { break };
            if entry.revision <= write.expected {
                return Readback::Superseded(current);
            }
            if contains(&entry.value, nonce) {
                return Readback::Found(entry.revision);
            }
            if write.expected == 0 && entry.version == 1 {
                // The key came into being by another write, so the expected absence is over.
                return Readback::Superseded(current);
            }
            let before = entry.revision - 1;
            step = match self.range_at(purpose, write.key, before) {
                // A store that keeps no history answers with the present value.
                Ok(Some(earlier)) if earlier.revision > before => break,
                Ok(earlier) => earlier,
                Err(error) => return Readback::Hidden(error),
            };
        }
        Readback::Hidden(Error::possible(crate::Cause::Timeout))
    }
}

fn revision_of(entry: &Option<Entry>) -> Revision {
    entry.as_ref().map_or(0, |entry| entry.revision)
}

fn contains(value: &[u8], nonce: &[u8]) -> bool {
    !nonce.is_empty() && value.windows(nonce.len()).any(|window| window == nonce)
}
