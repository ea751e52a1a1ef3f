//! What the nodes tell each other: how much of each target's memory their requests hold, and
//! which targets they have seen fail or refuse.
//!
//! Datagrams, lost now and then and never answered. A node that hears nothing goes by what it
//! sees itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::Event;
use path::Fault;
use serde::{Deserialize, Serialize};
use site::TargetKey;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::event::PEERS;
use crate::loan::{self, Loan};
use crate::node::Node;
use crate::relay::Known;
use crate::word::Word;

/// Shortest interval between messages to one peer.
const LEAST_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two messages of a node, whichever peer they go to: bounds what many peers cost.
const MESSAGE_SPACING: Duration = Duration::from_millis(15);
/// Time in which faults that are seen together go into one message.
const ALARM_GATHER: Duration = Duration::from_millis(5);
/// Interval at which a follower of the store is asked.
const ASK_INTERVAL: Duration = Duration::from_millis(600);
/// Largest message, bytes: one datagram that no link divides.
const MESSAGE_BYTES: usize = 1400;
/// Most targets in one message: each takes about 20 bytes.
const MOST_LOADS: usize = 60;
/// Most refusing engines in one message.
const MOST_FULL: usize = 8;

/// One message.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// What the sender sees.
    View(View),
    /// The sender asks for retries.
    Want(Loan),
    /// The sender lends retries.
    Lend(Loan),
    /// What the sender knows of requests that crash their targets.
    Suspects(Vec<Word>),
    /// The sender asks which revision of the store is known, by the number of its question.
    Ask(u64),
    /// The answer to that.
    Known(Known),
}

/// What a node tells of itself and of targets.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct View {
    /// Tokens that the sender's requests hold at each target, those that hold any.
    loads: Vec<(TargetKey, u32)>,
    /// Targets that the sender has seen fail in the last moments, and whether all that it knows
    /// is that they gave no report in time.
    down: Vec<(TargetKey, bool)>,
    /// Engines that have refused a request of the sender in the last moments.
    full: Vec<TargetKey>,
    /// Targets that have told the sender that they leave, or want a pause.
    unwilling: Vec<TargetKey>,
    /// The highest fencing number that the sender knows.
    fence: u64,
    /// Whether the sender can check keys.
    checks_keys: bool,
}

/// Most targets that leave or want a pause in one message.
const MOST_UNWILLING: usize = 8;

/// Interval between messages to one peer.
pub(crate) fn interval(peers: usize) -> Duration {
    LEAST_INTERVAL.max(MESSAGE_SPACING * peers as u32)
}

/// Tells the peers for good.
pub(crate) async fn tell(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut known = 0;
    loop {
        let peers = node.peers.borrow().clone();
        tokio::select! {
            () = sleep(interval(peers.len())) => {}
            // What this node has just seen fail others need to know at once.
            () = node.alarm.notified() => sleep(ALARM_GATHER).await,
        }
        if peers.len() != known {
            known = peers.len();
            log::info!("{}", Event::new(PEERS).with("peers", known));
        }
        let view = Message::View(view(&node, interval(peers.len()) * 2));
        tell_all(&socket, &view, &peers);
        let words = node.quarantine.words.borrow_mut().take();
        if !words.is_empty() {
            tell_all(&socket, &Message::Suspects(words), &peers);
        }
    }
}

/// Sends a message to some nodes.
fn tell_all(socket: &UdpSocket, message: &Message, peers: &[SocketAddr]) {
    let Some(bytes) = encoded(message) else { return };
    peers.iter().for_each(|&peer| pass_on(socket, &bytes, peer));
}

/// Sends a message to one node.
pub(crate) fn send(socket: &UdpSocket, message: &Message, peer: SocketAddr) {
    tell_all(socket, message, &[peer]);
}

fn encoded(message: &Message) -> Option<Vec<u8>> {
    // Names and numbers always serialise.
    let bytes = postcard::to_allocvec(message).ok()?;
    if bytes.len() > MESSAGE_BYTES {
        metrics::counter!("magnolia_peer_messages_too_long").increment(1);
        return None;
    }
    Some(bytes)
}

fn pass_on(socket: &UdpSocket, bytes: &[u8], peer: SocketAddr) {
    if socket.try_send_to(bytes, peer).is_err() {
        metrics::counter!("magnolia_peer_messages_unsent").increment(1);
    }
}

fn view(node: &Node, recent: Duration) -> View {
    let now = node.now();
    let table = node.table.borrow();
    let mut loads: Vec<(TargetKey, u32)> = table
        .entries()
        .filter(|entry| entry.tokens >= 1.0)
        .map(|entry| (entry.target.id.clone(), entry.tokens as u32))
        .collect();
    loads.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
    loads.truncate(MOST_LOADS);
    let failed = table.entries().filter(|entry| {
        entry.health.is_locally_observed()
            && entry.health.time_down(now).is_some_and(|down| down < recent)
    });
    let down = failed
        .map(|entry| (entry.target.id.clone(), entry.health.is_report_timeout_only()))
        .collect();
    // A plain target that has no slot left has one again before others could hear of it.
    let refusing = table.entries().filter(|entry| {
        let refused = entry.health.time_since_refusal(now);
        entry.is_engine() && refused.is_some_and(|since| since < recent)
    });
    let full = refusing.map(|entry| entry.target.id.clone()).take(MOST_FULL).collect();
    let marked = table.entries().filter(|entry| entry.availability.is_restricted(now));
    let unwilling = marked.map(|entry| entry.target.id.clone()).take(MOST_UNWILLING).collect();
    let fence = node.claim.borrow().highest();
    View { loads, down, full, unwilling, fence, checks_keys: node.may_honour_keys() }
}

/// Listens to the peers for good.
pub(crate) async fn hear(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MESSAGE_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // A datagram that could not be delivered comes back as an error of the next call.
            sleep(MESSAGE_SPACING).await;
            continue;
        };
        // Nodes that are not known, or no more, have no say.
        if !node.peers.borrow().contains(&from) {
            continue;
        }
        match postcard::from_bytes::<Message>(&buffer[..length]) {
            Ok(Message::View(view)) => take(&node, from, view),
            Ok(Message::Want(loan)) => loan::wanted(&node, &socket, from, loan),
            Ok(Message::Lend(loan)) => loan::lent(&node, from, &loan),
            Ok(Message::Ask(question)) => answer(&node, &socket, from, question),
            Ok(Message::Known(known)) => take_known(&node, from, &known),
            Ok(Message::Suspects(words)) => {
                words.into_iter().for_each(|word| node.heard_word(word))
            }
            Err(_) => metrics::counter!("magnolia_peer_messages_undecodable").increment(1),
        }
    }
}

/// Asks followers of the store how old its state is, for good.
pub(crate) async fn ask(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        sleep(ASK_INTERVAL).await;
        let asked = node.relay.borrow_mut().ask(node.now(), node.luck());
        if let Some((follower, question)) = asked {
            send(&socket, &Message::Ask(question), follower);
        }
    }
}

/// Tells a node that asks which revision is known here, and how old that is.
fn answer(node: &Node, socket: &UdpSocket, from: SocketAddr, question: u64) {
    let Some(synced) = node.synced.get() else { return };
    let age = node.now().saturating_sub(synced);
    let known = Known { question, revision: node.revision.get(), age };
    send(socket, &Message::Known(known), from);
}

fn take_known(node: &Node, from: SocketAddr, known: &Known) {
    let proof = node.relay.borrow_mut().proves(from, known, node.revision.get());
    if proof > node.synced.get() {
        node.proof.set(proof);
        node.proved.notify_one();
    }
}

fn take(node: &Node, from: SocketAddr, view: View) {
    node.claim.borrow_mut().heard(view.fence);
    let now = node.now();
    node.others.borrow_mut().hear(now, view.checks_keys);
    let until = now + interval(node.peers.borrow().len()) * 5;
    node.table.borrow_mut().record_peer_load(from, view.loads, until);
    for id in &view.unwilling {
        node.table.borrow_mut().deprioritise(id, until);
    }
    let address = |id: &TargetKey| node.table.borrow().entry(id).map(|entry| entry.target.address);
    for (id, mute) in &view.down {
        let fault = if *mute { Fault::ReportedTimeout } else { Fault::Reported };
        if let Some(address) = address(id) {
            node.fault(address, fault, "a peer saw it fail");
        }
    }
    for address in view.full.iter().filter_map(address) {
        node.pause(address, false);
    }
}
