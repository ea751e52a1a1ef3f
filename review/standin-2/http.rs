//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message: its first line, its fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its head said.
    pub is_whole: bool,
}

impl Message {
    /// Returns the value of a field; empty without one.
    pub fn field(&self, name: &str) -> String {
        let field = self.fields.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        field.map(|(_, value)| String::from_utf8_lossy(value).into_owned()).unwrap_or_default()
    }

    pub fn has(&self, name: &str) -> bool {
        self.fields.iter().any(|(other, _)| other.eq_ignore_ascii_case(name))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

/// A connection with what has been read and not been used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let length = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    fn take(&mut self, length: usize) -> Vec<u8> {
        let rest = self.buffer.split_off(length);
        std::mem::replace(&mut self.buffer, rest)
    }

    /// Reads the head of a message; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head = self.take(end);
        let mut lines = head[..end - 4].split(|byte| *byte == b'\n');
        let line = |line: &[u8]| line.strip_suffix(b"\r").unwrap_or(line).to_vec();
        let start = String::from_utf8_lossy(&line(lines.next().unwrap_or_default())).into_owned();
        let fields = lines.filter_map(|text| {
            let text = line(text);
            let colon = text.iter().position(|byte| *byte == b':')?;
            let name = String::from_utf8_lossy(&text[..colon]).into_owned();
            Some((name, text[colon + 1..].trim_ascii().to_vec()))
        });
        Ok(Some(Message { start, fields: fields.collect(), body: Vec::new(), is_whole: false }))
    }

    /// Reads a whole message; `None` at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    /// Reads the body of a message whose head was read.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if let Ok(length) = message.field("content-length").parse::<usize>() {
            while self.buffer.len() < length {
                if self.fill()? == 0 {
                    message.body = std::mem::take(&mut self.buffer);
                    return Ok(());
                }
            }
            message.body = self.take(length);
            message.is_whole = true;
        } else if message.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
            message.is_whole = self.read_chunks(&mut message.body)?;
        } else {
            message.is_whole = true;
        }
        Ok(())
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let end = loop {
                if let Some(at) = find(&self.buffer, b"\r\n") {
                    break at;
                }
                if self.fill()? == 0 {
                    return Ok(false);
                }
            };
            let line = self.take(end + 2);
            let text = String::from_utf8_lossy(&line[..end]).into_owned();
            let size = usize::from_str_radix(text.trim(), 16).unwrap_or(0);
            while self.buffer.len() < size + 2 {
                if self.fill()? == 0 {
                    return Ok(false);
                }
            }
            let chunk = self.take(size + 2);
            if size == 0 {
                return Ok(true);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// Returns a response with a body of a known length.
pub fn response(status: &str, fields: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}
