//! Reads bodies on the threads of attempts, within the bound on all that the process holds.

use std::io::{BufRead, Read};
use std::time::{Duration, Instant};

use edge::{Holding, Share, UNCOUNTED_BYTES};

/// Size of one read, bytes.
const READ_BYTES: usize = 16 * 1024;

/// Reads a body of at most `max_bytes` to its end. Room for all of it is taken before more than a
/// usual answer is read: for the `stated` length, else for the largest body. Returns it with what it
/// holds; `None` if it is truncated or too large, or there is no room until `until`.
pub(crate) fn read_whole(
    mut body: impl Read,
    stated: Option<usize>,
    max_bytes: usize,
    mut holding: Holding,
    until: Instant,
) -> Option<(Vec<u8>, Share)> {
    let wanted = stated.unwrap_or(max_bytes);
    if wanted > max_bytes || stated.is_some() && !holding.reserve_blocking(wanted, until) {
        return None;
    }
    let mut whole = Vec::new();
    let mut piece = [0; READ_BYTES];
    loop {
        let read = body.read(&mut piece).ok()?;
        if read == 0 {
            break;
        }
        let length = whole.len() + read;
        if length > max_bytes || holding.must_end() {
            return None;
        }
        if length > UNCOUNTED_BYTES {
            if !holding.reserve_blocking(wanted, until) {
                return None;
            }
            // The room is taken: growing step by step would leave smaller pieces behind.
            whole.reserve_exact(wanted.saturating_sub(whole.len()));
        }
        whole.extend_from_slice(&piece[..read]);
    }
    let share = holding.split(whole.len());
    Some((whole, share))
}

/// Reads the lines of a stream, each of at most `max_bytes`.
pub(crate) struct Lines<R> {
    reader: R,
    line: Vec<u8>,
    max_bytes: usize,
    holding: Holding,
    /// How long a long line waits for room.
    patience: Duration,
}

impl<R: BufRead> Lines<R> {
    pub(crate) fn new(reader: R, max_bytes: usize, holding: Holding, patience: Duration) -> Self {
        Self { reader, line: Vec::new(), max_bytes, holding, patience }
    }

    /// Reads the next line and returns it without its end; `None` if the stream has ended, or the
    /// line is too long or no text, or there is no room for it. A long one takes room for the
    /// longest.
    pub(crate) fn read(&mut self) -> Option<&str> {
        self.line.clear();
        self.line.shrink_to(UNCOUNTED_BYTES);
        self.holding.release();
        if !self.read_up_to(UNCOUNTED_BYTES) {
            let until = Instant::now() + self.patience;
            let is_long = self.line.len() == UNCOUNTED_BYTES;
            let has_room = is_long && self.holding.reserve_blocking(self.max_bytes, until);
            if !has_room || !self.read_up_to(self.max_bytes) {
                return None;
            }
        }
        std::str::from_utf8(self.line.strip_suffix(b"\n")?).ok()
    }

    /// Reads on up to a length of the line. Returns whether it has its end.
    fn read_up_to(&mut self, bytes: usize) -> bool {
        let left = bytes.saturating_sub(self.line.len()) as u64;
        let read = self.reader.by_ref().take(left).read_until(b'\n', &mut self.line);
        read.is_ok() && self.line.ends_with(b"\n")
    }
}
