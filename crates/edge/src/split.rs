//! Splits a stream of server-sent events.

use bytes::Bytes;

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum size of a buffer: that of an event, and of what arrives at once.
pub(crate) const MAX_BUFFER_BYTES: usize = MAX_EVENT_BYTES + (64 << 10);
/// Maximum size of an empty buffer that is kept.
const MAX_KEPT_BYTES: usize = 16 << 10;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number of the event, if it has one.
    pub id: Option<u64>,
    /// The event's bytes, including the empty line that ends it.
    pub bytes: Bytes,
    /// Whether the event consists of comments only, which serve as keep-alives.
    pub is_comment: bool,
    /// Whether each line is a field or a comment. Other text is no event.
    pub is_valid: bool,
}

/// Collects bytes and returns complete events. Events are copies, so that none of them keeps what
/// arrived with it in memory.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    /// Number of leading bytes that were returned.
    returned: usize,
    /// Number of leading bytes known to contain no end of an event.
    searched: usize,
}

impl Splitter {
    /// Returns the size of the buffer after `more` bytes are appended.
    pub fn capacity_with(&self, more: usize) -> usize {
        let needed = self.buffer.len() - self.returned + more;
        match needed > self.buffer.capacity() {
            true => needed.max((self.buffer.capacity() * 2).min(MAX_BUFFER_BYTES)),
            false => self.buffer.capacity(),
        }
    }

    /// Returns the size of the buffer.
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Appends bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        let capacity = self.capacity_with(bytes.len());
        self.buffer.drain(..self.returned);
        self.searched -= self.returned;
        self.returned = 0;
        self.buffer.reserve_exact(capacity - self.buffer.len());
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn pop(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(3).max(self.returned);
        let Some(end) = end_of_event(&self.buffer, from) else {
            self.searched = self.buffer.len();
            return None;
        };
        let bytes = Bytes::copy_from_slice(&self.buffer[self.returned..end]);
        (self.returned, self.searched) = (end, end);
        if self.returned == self.buffer.len() {
            self.clear();
        }
        let (id, is_comment) = (id(&bytes), is_comment(&bytes));
        let is_valid = lines(&bytes).all(is_field);
        Some(Event { id, bytes, is_comment, is_valid })
    }

    /// Empties the buffer, and releases its memory if it has grown beyond the size of usual events.
    fn clear(&mut self) {
        self.buffer.clear();
        if self.buffer.capacity() > MAX_KEPT_BYTES {
            self.buffer = Vec::new();
        }
        (self.returned, self.searched) = (0, 0);
    }

    /// Returns whether the incomplete event in the buffer exceeds the maximum size.
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() - self.returned > MAX_EVENT_BYTES
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn is_partial(&self) -> bool {
        self.buffer.len() > self.returned
    }
}

/// Returns the end of the first event that ends at or after `from`.
fn end_of_event(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|at| {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else if rest.starts_with(b"\r\n\r\n") {
            Some(at + 4)
        } else {
            None
        }
    })
}

fn is_comment(event: &[u8]) -> bool {
    lines(event).all(|line| line.starts_with(b":"))
}

/// Returns the lines of an event that are not empty.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event.split(|&byte| byte == b'\n').filter(|line| !line.trim_ascii().is_empty())
}

/// Returns whether a line starts with the name of a field and a colon, or is a comment.
fn is_field(line: &[u8]) -> bool {
    let is_name = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let end = line.iter().position(|&byte| !is_name(byte));
    end.is_some_and(|end| line[end] == b':')
}

fn id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|&byte| byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
