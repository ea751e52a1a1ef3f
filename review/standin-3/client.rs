//! Stand-in of a client: sends one request on a connection of its own and reads the answer.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, Reader};

/// Host of all routes.
pub const HOST: &str = "review.example";

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path.
    pub path: &'a str,
    /// Id of this attempt.
    pub id: &'a str,
    /// Time that the client waits.
    pub deadline: Duration,
    /// Further header lines, each with its end.
    pub fields: &'a str,
    /// Body.
    pub body: &'a str,
}

impl Request<'_> {
    /// Returns the bytes of the request.
    pub fn encode(&self) -> Vec<u8> {
        format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n{}\
             Content-Length: {}\r\n\r\n{}",
            self.method,
            self.path,
            self.id,
            self.deadline.as_millis(),
            self.fields,
            self.body.len(),
            self.body
        )
        .into_bytes()
    }

    /// Sends the request on a new connection. Returns the answer; `None` if there was none.
    pub fn send(&self, to: SocketAddr) -> Option<Message> {
        self.send_within(to, self.deadline + Duration::from_secs(1))
    }

    /// Sends the request on a new connection, and gives up when nothing comes for `patience`.
    pub fn send_within(&self, to: SocketAddr, patience: Duration) -> Option<Message> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(patience)).ok()?;
        stream.write_all(&self.encode()).ok()?;
        Reader::new(stream).response()
    }
}

/// Returns the status of a plain `GET`; `None` if there is no answer.
pub fn status(at: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: {at}\r\n\r\n").as_bytes()).ok()?;
    let head = Reader::new(stream).head().ok()??;
    Some(head.status())
}
