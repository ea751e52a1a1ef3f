//! HTTP/1.1 over blocking sockets: requests with a length, answers with a length or in chunks.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request, or the head of an answer with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target, or version and status.
    pub start: (String, String),
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.start.1.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> &str {
        let query = self.start.1.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.start.1.parse().unwrap_or(0)
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    match reader.read_line(&mut line)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(line.trim_end().to_owned()),
    }
}

/// Reads a head; the body is empty.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let start = line(reader)?;
    let mut words = start.split(' ');
    let mut word = || words.next().unwrap_or_default().to_owned();
    let mut message = Message { start: (word(), word()), ..Message::default() };
    loop {
        let line = line(reader)?;
        let Some((name, value)) = line.split_once(':') else { return Ok(message) };
        message.fields.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads the next chunk of a body; empty at the end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let length = line(reader)?;
    let length = usize::from_str_radix(&length, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk)?;
    line(reader)?;
    Ok(chunk)
}

/// Reads a whole message.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    let length = message.field("content-length").and_then(|length| length.parse::<usize>().ok());
    if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if message.field("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend(chunk);
        }
    }
    Ok(message)
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut impl Write,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Serves requests on each connection in a thread, until the handler returns an error.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                stream.set_nodelay(true).ok();
                let Ok(reading) = stream.try_clone() else { return };
                let mut reader = BufReader::new(reading);
                while let Ok(request) = read_message(&mut reader) {
                    if handle(&request, &mut stream).is_err() {
                        break;
                    }
                }
                stream.shutdown(std::net::Shutdown::Both).ok();
            });
        }
    });
}

/// Sends a request on a new connection, which is returned with the reader of its answer.
pub fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> io::Result<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)?;
    Ok(BufReader::new(stream))
}
