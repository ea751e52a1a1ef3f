//! Retries that nodes lend each other: a lost engine can cut far more streams of one node than
//! its part of the budget covers, while others have most of theirs left.
//!
//! A node that runs out asks some others, a few milliseconds before it would have to give the
//! streams up. What is lent is counted by the lender; a message that is lost loses retries and
//! never makes any.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::node::Node;
use crate::peers::{Message, send};
use crate::query::Queries;

/// Longest wait for retries of other nodes: they answer within a few milliseconds.
const LOAN_TIMEOUT: Duration = Duration::from_millis(20);
/// Time in which requests that need retries are gathered, and pause before others are asked.
const ASK_INTERVAL: Duration = Duration::from_millis(4);
/// Nodes that are asked at once.
const QUERIED_PEERS: usize = 6;
/// Nodes that are to cover what is asked for: not all of those asked have any.
const ASSUMED_LENDERS: u32 = 3;

/// Retries that are asked for, or lent.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Loan {
    /// Service that they are for.
    service: SmolStr,
    /// How many.
    retries: u32,
    /// Number of the question, unique at the node that asks.
    query: u64,
}

/// What this node asks of others.
#[derive(Default)]
pub(crate) struct Loans {
    /// Requests that wait for a retry, by service.
    waiting: RefCell<HashMap<SmolStr, u32>>,
    /// Told when a request begins to wait.
    requested: Notify,
    /// Told when retries were lent to this node.
    granted: Notify,
    queries: RefCell<Queries>,
}

/// A request counted as waiting for a retry.
struct Waiter<'a> {
    loans: &'a Loans,
    service: &'a SmolStr,
}

impl<'a> Waiter<'a> {
    fn register(loans: &'a Loans, service: &'a SmolStr) -> Self {
        *loans.waiting.borrow_mut().entry(service.clone()).or_default() += 1;
        loans.requested.notify_one();
        Self { loans, service }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.loans.waiting.borrow_mut().get_mut(self.service) {
            *count -= 1;
        }
    }
}

impl Node {
    /// Takes one retry out of the budget, or one that another node lends, if any is left.
    pub(crate) async fn take_retry(&self, service: &SmolStr) -> bool {
        if self.take_local_retry(service) {
            return true;
        }
        let _waiter = Waiter::register(&self.loans, service);
        let borrowed = async {
            loop {
                self.loans.granted.notified().await;
                if self.take_local_retry(service) {
                    return;
                }
            }
        };
        timeout(LOAN_TIMEOUT, borrowed).await.is_ok()
    }
}

/// Asks other nodes for retries while requests wait for some, for good.
pub(crate) async fn request_loans(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        sleep(ASK_INTERVAL).await;
        let wanted: Vec<(SmolStr, u32)> = {
            let waiting = node.loans.waiting.borrow();
            let wanted = waiting.iter().filter(|(_, count)| **count > 0);
            wanted.map(|(service, count)| (service.clone(), *count)).collect()
        };
        if wanted.is_empty() {
            node.loans.requested.notified().await;
            continue;
        }
        for (service, count) in wanted {
            let nodes = sample_peers(&node);
            let query = node.loans.queries.borrow_mut().register(node.now(), &service, &nodes);
            let retries = count.div_ceil(ASSUMED_LENDERS);
            let message = Message::LoanRequest(Loan { service, retries, query });
            nodes.into_iter().for_each(|peer| send(&socket, &message, peer));
        }
    }
}

/// Some of the other nodes, drawn anew each time.
fn sample_peers(node: &Node) -> Vec<SocketAddr> {
    let peers = node.peers.borrow();
    let from = (node.random_fraction() * peers.len() as f64) as usize;
    peers.iter().cycle().skip(from).take(QUERIED_PEERS.min(peers.len())).copied().collect()
}

/// Answers a node that asks for retries, if this one can spare some.
pub(crate) fn handle_request(node: &Node, socket: &UdpSocket, from: SocketAddr, loan: Loan) {
    let retries = node.lend_retries(&loan.service, loan.retries);
    if retries > 0 {
        metrics::counter!("magnolia_retries_lent").increment(u64::from(retries));
        send(socket, &Message::LoanGrant(Loan { retries, ..loan }), from);
    }
}

/// Takes retries that another node has lent.
pub(crate) fn handle_grant(node: &Node, from: SocketAddr, loan: &Loan) {
    let asked = node.loans.queries.borrow_mut().accept_answer(&loan.service, loan.query, from);
    if let Some(asked) = asked {
        node.borrow_retries(&loan.service, asked, loan.retries);
        metrics::counter!("magnolia_retries_borrowed").increment(u64::from(loan.retries));
        node.loans.granted.notify_waiters();
    }
}
