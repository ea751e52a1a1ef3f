//! The open connections of a port, bounded by descriptors and memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use fleet::Event;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::connection::State;
use crate::event::{CONNECTIONS_EVICTED, PORT_FULL};
use crate::eviction::{LOG_INTERVAL, Phase, RETRY_INTERVAL, stalest};
use crate::forward::Origin;
use crate::memory::Memory;
use crate::node::Node;

/// Descriptors of the VM that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the descriptors for sockets that connections of callers may take. Each request in progress
/// needs another one, to a target or a node.
const CALLERS_PART: usize = 2;
/// Part of them that connections of other nodes may take.
const NODES_PART: usize = 8;
/// Part of the process's memory that open connections may take.
const MEMORY_PART: usize = 4;
/// Memory of an open connection, bytes: its read buffer of 8 KB, a piece of a body of that size that
/// waits to be read or for room, its state, and as much for the connection to a target. With 16 KB,
/// 444 callers with chunked bodies exceeded a VM of 32 MB.
const CONNECTION_BYTES: usize = 40 << 10;
/// Minimum number of connections of a port, whatever the limits.
const MIN_CONNECTIONS: usize = 16;

/// Why a connection is closed for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shortage {
    /// The port has as many connections as it may have, or the process has no descriptor left.
    Connections,
    /// The requests that arrive fill their part of the memory.
    Requests,
    /// The answers that are not read fill their part of the memory.
    Answers,
}

impl Shortage {
    fn name(self) -> &'static str {
        match self {
            Shortage::Connections => "connections",
            Shortage::Requests => "requests",
            Shortage::Answers => "answers",
        }
    }

    /// Returns whether closing this connection relieves the shortage.
    fn is_relieved_by(self, connection: &State, phase: Phase) -> bool {
        match self {
            Shortage::Connections => true,
            Shortage::Requests => phase == Phase::Incomplete && connection.holds_request(),
            Shortage::Answers => phase == Phase::Unread,
        }
    }
}

/// The largest numbers of connections of callers and of other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other nodes.
    pub nodes: usize,
}

impl Capacity {
    /// Returns the capacity of a process with this many descriptors and this memory, bytes.
    pub fn new(max_fds: usize, memory: usize) -> Self {
        let sockets = max_fds.saturating_sub(FILE_DESCRIPTORS);
        let fitting = memory / MEMORY_PART / CONNECTION_BYTES;
        let callers = (sockets / CALLERS_PART).min(fitting);
        let nodes = (sockets / NODES_PART).min(fitting * CALLERS_PART / NODES_PART);
        Self { callers: callers.max(MIN_CONNECTIONS), nodes: nodes.max(MIN_CONNECTIONS) }
    }
}

/// The open connections of a port.
pub(crate) struct Callers {
    max: usize,
    open: RefCell<BTreeMap<u64, Rc<State>>>,
    /// Notified when a connection has ended.
    left: Notify,
    /// Number of connections closed for others since the last log line.
    evicted: Cell<u64>,
    logged_at: Cell<Option<Duration>>,
    full_logged_at: Cell<Option<Duration>>,
}

impl Callers {
    /// Returns a port for at most `max` connections.
    pub(crate) fn new(max: usize) -> Self {
        let (open, left, evicted, logged_at, full_logged_at) = Default::default();
        Self { max, open, left, evicted, logged_at, full_logged_at }
    }

    pub(crate) fn enter(&self, connection: &Rc<State>) {
        self.open.borrow_mut().insert(connection.number, connection.clone());
    }

    pub(crate) fn leave(&self, number: u64) {
        self.open.borrow_mut().remove(&number);
        self.left.notify_waiters();
    }

    pub(crate) fn is_full(&self) -> bool {
        self.open.borrow().len() >= self.max
    }

    /// Closes the connection that has stalled for longest among those that relieve the shortage.
    /// Returns whether there is one.
    pub(crate) fn evict(&self, node: &Node, shortage: Shortage) -> bool {
        let open = self.open.borrow();
        let standings = open.values().filter_map(|connection| {
            let standing = connection.standing()?;
            let is_relief = shortage.is_relieved_by(connection, standing.phase);
            is_relief.then_some((connection, standing))
        });
        let Some(connection) = stalest(node.now(), standings) else { return false };
        connection.evict();
        self.evicted.set(self.evicted.get() + 1);
        metrics::counter!("magnolia_connections_evicted", "shortage" => shortage.name())
            .increment(1);
        if is_due(&self.logged_at, node.now()) {
            let event = Event::new(CONNECTIONS_EVICTED)
                .with("shortage", shortage.name())
                .with("evicted", self.evicted.take())
                .with("open", open.len())
                .with("most", self.max);
            log::warn!("{event}");
        }
        true
    }

    /// Waits until there is room for another connection. Closes stalled ones for it.
    pub(crate) async fn await_room(&self, node: &Node, origin: Origin) {
        while self.is_full() {
            let left = self.left.notified();
            if !self.evict(node, Shortage::Connections) {
                self.log_full(node, origin);
            }
            timeout(RETRY_INTERVAL, left).await.ok();
        }
    }

    fn log_full(&self, node: &Node, origin: Origin) {
        metrics::counter!("magnolia_port_full").increment(1);
        if is_due(&self.full_logged_at, node.now()) {
            let event = Event::new(PORT_FULL)
                .with("origin", format_args!("{origin:?}"))
                .with("most", self.max);
            log::warn!("{event}");
        }
    }
}

/// Returns whether a log line is due, and records it then.
fn is_due(logged_at: &Cell<Option<Duration>>, now: Duration) -> bool {
    let is_due = logged_at.get().is_none_or(|at| now.saturating_sub(at) >= LOG_INTERVAL);
    if is_due {
        logged_at.set(Some(now));
    }
    is_due
}

/// Closes stalled connections whenever what is counted in `memory` leaves no room for another message.
pub(crate) async fn relieve(node: Rc<Node>, memory: Memory, shortage: Shortage) {
    loop {
        memory.shortage().await;
        let is_relieved =
            [&node.callers, &node.nodes].iter().any(|port| port.evict(&node, shortage));
        if !is_relieved {
            sleep(RETRY_INTERVAL).await;
        }
        // The connection that was closed releases what it holds before another one is chosen.
        tokio::task::yield_now().await;
    }
}
