//! Many untrusted callers at once, which stop short of the end of what they do and stay.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

use platform_standin::Document;
use socket2::{Domain, Socket, Type};

use crate::flood::Site;

/// Longest wait of a caller for a piece to be taken from it.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval at which the sockets of the process are counted.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two bytes of a caller that drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(200);
/// Receive buffer of a caller that does not read, bytes.
const SMALL_BUFFER: usize = 4 << 10;
/// Number of descriptors of a VM that are reserved for files.
const FILES: usize = 200;
/// Callers that connect and send in parallel: those of one slow process are not to take minutes.
const SENDERS: usize = 30;

/// Limits of the VM of a process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Vm {
    pub(crate) memory_mb: u64,
    pub(crate) max_fds: usize,
}

impl Vm {
    /// Returns the lines of the settings file.
    pub(crate) fn settings(&self) -> String {
        format!("limits.memory_mb={}\nlimits.max_fds={}\n", self.memory_mb, self.max_fds)
    }

    pub(crate) fn max_sockets(&self) -> usize {
        self.max_fds - FILES
    }
}

/// Port that a crowd connects to.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Port {
    Callers,
    Nodes,
}

impl Port {
    pub(crate) fn of(self, site: &Site) -> SocketAddr {
        match self {
            Port::Callers => site.node.front,
            // The ports of the stand-in follow one another: callers, readiness, nodes.
            Port::Nodes => SocketAddr::new(site.node.ready.ip(), site.node.ready.port() + 1),
        }
    }
}

/// What each caller of a crowd does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Habit {
    /// Sends nothing.
    Silent,
    /// Sends this much of a head without an end.
    Head { bytes: usize },
    /// Sends a head byte by byte.
    DrippingHead,
    /// Sends all but the last byte of a body with a length.
    Body { bytes: usize },
    /// Sends a body in chunks, except for the last one.
    Chunks { bytes: usize, each: usize },
    /// Sends all but the last byte of the body of a request that has no route.
    Refused { bytes: usize },
    /// Sends a whole request and does not read the answer.
    Unread,
}

impl Habit {
    /// Returns what a caller sends.
    fn bytes(self) -> Vec<u8> {
        let head = |path: &str, framing: &str| {
            let host = Document::HOST;
            let fixed = "Request-Id: crowd\r\nDeadline-Ms: 60000";
            format!("POST {path} HTTP/1.1\r\nHost: {host}\r\n{fixed}\r\n{framing}\r\n").into_bytes()
        };
        let sized = |path: &str, bytes: usize| {
            let mut text = head(path, &format!("Content-Length: {bytes}\r\n"));
            text.resize(text.len() + bytes - 1, b'x');
            text
        };
        match self {
            Habit::Silent => Vec::new(),
            Habit::Head { bytes } => {
                let mut text = head("/book/x", "X-Filling: ");
                text.truncate(text.len() - 2);
                text.resize(text.len().max(bytes), b'x');
                text
            }
            Habit::DrippingHead => b"P".to_vec(),
            Habit::Body { bytes } => sized("/book/x", bytes),
            Habit::Refused { bytes } => sized("/none/x", bytes),
            Habit::Chunks { bytes, each } => {
                let mut text = head("/book/x", "Transfer-Encoding: chunked\r\n");
                let chunk = format!("{each:x}\r\n{}\r\n", "x".repeat(each));
                text.extend(chunk.repeat(bytes / each).into_bytes());
                text
            }
            Habit::Unread => head("/read/x", ""),
        }
    }
}

/// Open connections of callers.
pub(crate) struct Crowd {
    connections: Vec<TcpStream>,
    is_over: Arc<AtomicBool>,
    dripping: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Connects callers, and has each of them send what it sends.
    pub(crate) fn gather(address: SocketAddr, habit: Habit, callers: usize) -> Self {
        let bytes = Arc::new(habit.bytes());
        let senders: Vec<_> = (0..SENDERS)
            .map(|_| {
                let bytes = bytes.clone();
                let each = callers / SENDERS;
                spawn(move || (0..each).filter_map(|_| send(address, &bytes)).collect::<Vec<_>>())
            })
            .collect();
        let connections: Vec<TcpStream> =
            senders.into_iter().flat_map(|sender| sender.join().expect("callers send")).collect();
        let is_over = Arc::new(AtomicBool::new(false));
        let dripping = (habit == Habit::DrippingHead).then(|| drip(&connections, is_over.clone()));
        sleep(2 * SEND_TIMEOUT);
        Self { connections, is_over, dripping }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.connections.clear();
        if let Some(dripping) = self.dripping.take() {
            dripping.join().ok();
        }
    }
}

/// Connects a caller that sends this. What the process does not take is left out.
fn send(address: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(SMALL_BUFFER).expect("a buffer size");
    socket.connect_timeout(&address.into(), ANSWER_TIMEOUT).ok()?;
    let mut stream = TcpStream::from(socket);
    stream.set_write_timeout(Some(SEND_TIMEOUT)).expect("a time-out");
    stream.set_nodelay(true).expect("an option");
    // The process may refuse or close the connection meanwhile.
    stream.write_all(bytes).ok();
    Some(stream)
}

/// Sends a byte on each connection from time to time.
fn drip(connections: &[TcpStream], is_over: Arc<AtomicBool>) -> JoinHandle<()> {
    let connections: Vec<_> =
        connections.iter().map(|stream| stream.try_clone().expect("a copy")).collect();
    spawn(move || {
        while !is_over.load(Ordering::Relaxed) {
            for mut stream in &connections {
                stream.write_all(b"P").ok();
            }
            sleep(DRIP_INTERVAL);
        }
    })
}

/// Sends a request with a body of this size in pieces with pauses; returns the status of the answer.
pub(crate) fn send_slowly(address: SocketAddr, bytes: usize) -> Option<u16> {
    let text = Habit::Body { bytes }.bytes();
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    for piece in text.chunks(text.len() / 5) {
        stream.write_all(piece).ok()?;
        sleep(DRIP_INTERVAL);
    }
    stream.write_all(b"x").ok()?;
    let mut answer = [0; 64];
    let length = loop {
        match stream.read(&mut answer) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            length => break length.ok()?,
        }
    };
    let answer = String::from_utf8_lossy(&answer[..length]);
    answer.split(' ').nth(1)?.parse().ok()
}

/// Counts the sockets of a process until it is dropped.
pub(crate) struct Watch {
    most: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
    watching: Option<JoinHandle<()>>,
}

/// Begins to count the sockets of a process.
pub(crate) fn watch_sockets(process: u32) -> Watch {
    let (most, is_over) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let (counted, ends) = (most.clone(), is_over.clone());
    let watching = spawn(move || {
        while !ends.load(Ordering::Relaxed) {
            counted.fetch_max(sockets(process), Ordering::Relaxed);
            sleep(WATCH_INTERVAL);
        }
    });
    Watch { most, is_over, watching: Some(watching) }
}

impl Watch {
    /// Returns the largest number of sockets so far.
    pub(crate) fn most(&self) -> usize {
        self.most.load(Ordering::Relaxed)
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(watching) = self.watching.take() {
            watching.join().ok();
        }
    }
}

/// Returns the number of open sockets of a process; 0 if it has ended.
fn sockets(process: u32) -> usize {
    let Ok(entries) = fs::read_dir(format!("/proc/{process}/fd")) else { return 0 };
    let links = entries.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    links.filter(|link| link.to_string_lossy().starts_with("socket:")).count()
}
