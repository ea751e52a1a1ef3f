//! A small HTTP/1.1 implementation for the stand-ins: heads, bodies with a length or in chunks.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or a response as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Start line, without the line end.
    pub start: String,
    /// Header fields in order, names in lower case.
    pub fields: Vec<(String, String)>,
    /// Body, as far as it arrived.
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub is_complete: bool,
}

impl Message {
    /// Returns the first value of a field; empty if there is none.
    pub fn field(&self, name: &str) -> &str {
        self.fields.iter().find(|(other, _)| other == name).map_or("", |(_, value)| value)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next();
        decode_percent(value.unwrap_or_default())
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%' && at + 2 < bytes.len())
            .then(|| u8::from_str_radix(&text[at + 1..at + 3], 16).ok())
            .flatten();
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    /// Returns a reader of a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes. Returns whether there were any.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 8192];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads a line, without its end.
    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, count: usize, into: &mut Vec<u8>) -> io::Result<bool> {
        while self.buffer.len() < count {
            if !self.fill()? {
                into.append(&mut self.buffer);
                return Ok(false);
            }
        }
        into.extend(self.buffer.drain(..count));
        Ok(true)
    }

    /// Reads the head of a message; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else { return Ok(None) };
        let mut message = Message { start, ..Message::default() };
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                let field = (name.to_ascii_lowercase(), value.trim().to_owned());
                message.fields.push(field);
            }
        }
    }

    /// Reads the body of a message. `is_response` states whether it may end with the connection.
    pub fn body(&mut self, message: &mut Message, is_response: bool) {
        let is_complete = self.read_body(message, is_response);
        message.is_complete = is_complete.unwrap_or(false);
    }

    fn read_body(&mut self, message: &mut Message, is_response: bool) -> io::Result<bool> {
        let mut body = std::mem::take(&mut message.body);
        let result = self.read_body_into(message, is_response, &mut body);
        message.body = body;
        result
    }

    fn read_body_into(
        &mut self,
        message: &Message,
        is_response: bool,
        body: &mut Vec<u8>,
    ) -> io::Result<bool> {
        if message.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let Some(size) = self.line()? else { return Ok(false) };
                let size = usize::from_str_radix(size.split(';').next().unwrap_or(""), 16);
                let Ok(size) = size else { return Ok(false) };
                if !self.exact(size, body)? {
                    return Ok(false);
                }
                if self.line()?.is_none() {
                    return Ok(false);
                }
                if size == 0 {
                    return Ok(true);
                }
            }
        }
        if let Ok(length) = message.field("content-length").parse() {
            return self.exact(length, body);
        }
        if is_response && message.status() != 204 && message.status() != 304 {
            while self.fill()? {}
            body.append(&mut self.buffer);
        }
        Ok(true)
    }

    /// Reads a whole request; `None` at the end of the connection.
    pub fn request(&mut self) -> Option<Message> {
        let mut message = self.head().ok().flatten()?;
        self.body(&mut message, false);
        message.is_complete.then_some(message)
    }

    /// Reads a whole final response; `None` at the end of the connection.
    pub fn response(&mut self) -> Option<Message> {
        loop {
            let mut message = self.head().ok().flatten()?;
            if (100..200).contains(&message.status()) {
                continue;
            }
            self.body(&mut message, true);
            return Some(message);
        }
    }
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in fields {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
