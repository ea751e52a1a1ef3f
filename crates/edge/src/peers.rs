//! Exchange of messages between nodes: how much memory their requests use at each target, which
//! targets they have observed to fail or refuse, and replies to queries.
//!
//! Messages are datagrams and may be lost; there are no acknowledgements. A node that receives none
//! relies on what it observes itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::{Event, Version};
use path::Fault;
use site::TargetKey;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::event::{MESSAGE_UNREADABLE, PEERS};
use crate::loan;
use crate::message::{MAX_MESSAGE_BYTES, Message, Refusals, Unreadable, View, decode, encode};
use crate::node::Node;
use crate::permit;
use crate::relay::Freshness;

/// Minimum interval between views sent to one peer.
const MIN_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between views per peer: limits the rate at which a node with many peers sends.
const MESSAGE_SPACING: Duration = Duration::from_millis(15);
/// Time in which faults observed together are collected into one message.
const ALARM_DELAY: Duration = Duration::from_millis(5);
/// Minimum time between two broadcasts per peer. A broadcast to a hundred peers keeps a node of a
/// tenth of a core busy for tens of milliseconds, in which it handles no answers.
const BROADCAST_SPACING: Duration = Duration::from_millis(1);
/// Interval of queries to a follower of the store.
const QUERY_INTERVAL: Duration = Duration::from_millis(600);
/// Maximum number of targets in one message, about 20 bytes each.
const MAX_LOADS: usize = 60;
/// Maximum number of refusing engines in one message.
const MAX_REFUSING: usize = 8;
/// Maximum number of draining or paused targets in one message.
const MAX_DECLINING: usize = 8;

/// Time for which a target is used less whose reports too few other nodes miss.
const SUSPICION_TIME: Duration = Duration::from_millis(300);

/// Maximum number of messages of each kind with evidence that are sent together.
const MAX_EVIDENCE_MESSAGES: usize = 4;

/// Returns the interval between views sent to one peer.
pub(crate) fn interval(peers: usize) -> Duration {
    MIN_INTERVAL.max(MESSAGE_SPACING * peers as u32)
}

/// Broadcasts this node's view and evidence until the process ends.
pub(crate) async fn broadcast(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let (mut last_count, mut sent_at) = (0, Duration::ZERO);
    loop {
        let peers = node.peers.borrow().clone();
        tokio::select! {
            () = sleep(interval(peers.len())) => {}
            // Other nodes need to know at once what this node has just observed to fail.
            () = node.alarm.notified() => {
                let earliest = sent_at + BROADCAST_SPACING * peers.len() as u32;
                sleep(ALARM_DELAY.max(earliest.saturating_sub(node.now()))).await;
            }
        }
        sent_at = node.now();
        if peers.len() != last_count {
            last_count = peers.len();
            log::info!("{}", Event::new(PEERS).with("peers", last_count));
        }
        send_to_all(&socket, &Message::View(view(&node)), &peers);
        if let Some(version) = node.version_unknown_to_store() {
            send_to_all(&socket, &Message::ConfigVersion(version), &peers);
        }
        let mut outbox = node.quarantine.outbox.borrow_mut();
        let batches = outbox.take_batches(MAX_EVIDENCE_MESSAGES).into_iter().map(Message::Evidence);
        let further = outbox.take_further(MAX_EVIDENCE_MESSAGES).into_iter();
        for message in batches.chain(further.map(Message::FurtherParts)) {
            send_to_all(&socket, &message, &peers);
        }
    }
}

/// Sends a message to all of `peers`.
fn send_to_all(socket: &UdpSocket, message: &Message, peers: &[SocketAddr]) {
    let Some(bytes) = encode(message) else {
        metrics::counter!("magnolia_peer_messages_too_long").increment(1);
        return;
    };
    peers.iter().for_each(|&peer| send_datagram(socket, &bytes, peer));
}

/// Sends a message to one node.
pub(crate) fn send(socket: &UdpSocket, message: &Message, peer: SocketAddr) {
    send_to_all(socket, message, &[peer]);
}

fn send_datagram(socket: &UdpSocket, bytes: &[u8], peer: SocketAddr) {
    if socket.try_send_to(bytes, peer).is_err() {
        metrics::counter!("magnolia_peer_messages_unsent").increment(1);
    }
}

/// Returns what this node tells others of the targets.
fn view(node: &Node) -> View {
    let now = node.now();
    let recent = interval(node.peers.borrow().len()) * 2;
    let table = node.table.borrow();
    let mut loads: Vec<(TargetKey, u32)> = table
        .entries()
        .filter(|entry| entry.tokens >= 1.0)
        .map(|entry| (entry.target.id.clone(), entry.tokens as u32))
        .collect();
    loads.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
    loads.truncate(MAX_LOADS);
    // What a node that may be cut off observes says nothing about the targets.
    let may_report = !node.doubts_targets();
    let failed = table.entries().filter(|entry| {
        may_report
            && entry.health.is_locally_observed()
            && entry.health.time_down(now).is_some_and(|down| down < recent)
    });
    let down = failed
        .map(|entry| (entry.target.id.clone(), entry.health.is_report_timeout_only()))
        .collect();
    // A plain target has a free slot again before other nodes could use the information.
    let recent_refusals = table.entries().filter(|entry| {
        let refused = entry.health.time_since_refusal(now);
        entry.is_engine() && refused.is_some_and(|since| since < recent)
    });
    let refusing =
        recent_refusals.map(|entry| entry.target.id.clone()).take(MAX_REFUSING).collect();
    let marked = table.entries().filter(|entry| entry.availability.is_restricted(now));
    let declining = marked.map(|entry| entry.target.id.clone()).take(MAX_DECLINING).collect();
    let fence = node.claim.borrow().highest();
    let (checks_keys, reaches_targets) = (node.may_honour_keys(), node.reaches_targets());
    let issues_permits = node.issues_permits();
    View { loads, down, refusing, declining, fence, checks_keys, reaches_targets, issues_permits }
}

/// Receives messages until the process ends.
pub(crate) async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MAX_MESSAGE_BYTES];
    let mut refusals = Refusals::default();
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // A datagram that could not be delivered causes an error in the next call.
            sleep(MESSAGE_SPACING).await;
            continue;
        };
        // Messages from addresses that are not registered nodes are ignored.
        if !node.peers.borrow().contains(&from) {
            continue;
        }
        match decode(&buffer[..length]) {
            Ok(Message::View(view)) => {
                if !node.table.borrow().has_peer_load(from) {
                    // A node that has just started knows no loads, and would refuse callers.
                    let own = self::view(&node);
                    send(&socket, &Message::View(own), from);
                }
                apply_view(&node, from, view);
            }
            Ok(Message::LoanRequest(loan)) => loan::handle_request(&node, &socket, from, loan),
            Ok(Message::LoanGrant(loan)) => loan::handle_grant(&node, from, &loan),
            Ok(Message::FreshnessQuery(query)) => answer_query(&node, &socket, from, query),
            Ok(Message::Freshness(freshness)) => apply_freshness(&node, from, &freshness),
            Ok(Message::ConfigVersion(version)) => apply_version(&node, version),
            Ok(Message::PermitRequest(request)) => permit::answer(&node, &socket, from, &request),
            Ok(Message::PermitAnswer(answer)) => node.record_permit_answer(from, answer),
            Ok(Message::Limit(limit)) => node.record_limit(from, &limit),
            Ok(Message::Evidence(evidence)) => {
                evidence.into_iter().for_each(|evidence| node.apply_evidence(evidence))
            }
            Ok(Message::FurtherParts(further)) => node.apply_further_parts(further),
            Err(unreadable) => refuse(&mut refusals, from, &unreadable),
        }
    }
}

/// Counts a message that cannot be read, and logs the first one of its kind. During an upgrade it
/// may be one of a newer build.
fn refuse(refusals: &mut Refusals, from: SocketAddr, unreadable: &Unreadable) {
    let kind = unreadable.kind();
    metrics::counter!("magnolia_peer_messages_undecodable", "kind" => kind).increment(1);
    if refusals.record(unreadable) {
        let event = Event::new(MESSAGE_UNREADABLE).with("node", from).with("reason", unreadable);
        log::warn!("{event}");
    }
}

/// Queries followers of the store for the age of its state until the process ends.
pub(crate) async fn query_followers(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        sleep(QUERY_INTERVAL).await;
        let next = node.relay.borrow_mut().next_query(node.now(), node.random_fraction());
        if let Some((follower, query)) = next {
            send(&socket, &Message::FreshnessQuery(query), follower);
        }
    }
}

/// Answers a freshness query with the position in force on this node and its age.
fn answer_query(node: &Node, socket: &UdpSocket, from: SocketAddr, query: u64) {
    let Some(synced) = node.synced.get() else { return };
    let age = node.now().saturating_sub(synced);
    let position = node.replica.borrow().position();
    let freshness = Freshness { query, position, age };
    send(socket, &Message::Freshness(freshness), from);
}

fn apply_freshness(node: &Node, from: SocketAddr, freshness: &Freshness) {
    let replica = node.replica.borrow();
    let proof = node.relay.borrow_mut().accept_answer(from, freshness, &replica);
    if proof > node.synced.get() {
        node.peer_proof.set(proof);
        node.proof_received.notify_one();
    }
}

fn apply_version(node: &Node, version: Version) {
    node.recency.borrow_mut().record_stated(version, valid_until(node));
}

/// Returns the time until which a message that is sent with each view counts.
fn valid_until(node: &Node) -> Duration {
    node.now() + interval(node.peers.borrow().len()) * 5
}

fn apply_view(node: &Node, from: SocketAddr, view: View) {
    node.claim.borrow_mut().observe_fence(view.fence);
    let now = node.now();
    node.reachability.borrow_mut().record(now, view.checks_keys);
    node.reachability.borrow_mut().record_contact(now, from, view.reaches_targets);
    let until = valid_until(node);
    node.record_issuing(from, view.issues_permits, until);
    node.table.borrow_mut().record_peer_load(from, view.loads, until);
    for id in &view.declining {
        node.table.borrow_mut().deprioritise(id, until);
    }
    let address = |id: &TargetKey| node.table.borrow().entry(id).map(|entry| entry.target.address);
    let (missed, failed): (Vec<_>, Vec<_>) = view.down.into_iter().partition(|(_, mute)| *mute);
    for address in failed.iter().filter_map(|(id, _)| address(id)) {
        node.record_fault(address, Fault::Reported, "reported by another node");
    }
    let missed: Vec<TargetKey> = missed.into_iter().map(|(id, _)| id).collect();
    let silent = node.table.borrow_mut().record_missed_reports(from, &missed, now + SUSPICION_TIME);
    for address in silent {
        node.record_fault(address, Fault::ReportedTimeout, "reported by other nodes");
    }
    for address in view.refusing.iter().filter_map(address) {
        node.pause_target(address, false);
    }
}
