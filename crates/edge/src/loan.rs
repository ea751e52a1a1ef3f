//! Loans of retries between nodes: the loss of an engine can cut far more streams of one node than
//! its share of the budget covers, while other nodes have most of theirs left.
//!
//! A node whose share is used up requests retries from some other nodes while its requests wait for
//! a few milliseconds. The lender counts the retries that it lends, so a lost message loses retries
//! but never creates any.

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

use crate::message::Message;
use crate::node::Node;
use crate::peers::send;
use crate::query::Queries;

/// Maximum wait for retries of other nodes, which answer within a few milliseconds.
const LOAN_TIMEOUT: Duration = Duration::from_millis(20);
/// Interval of loan requests, in which requests that need retries are collected.
const REQUEST_INTERVAL: Duration = Duration::from_millis(4);
/// Number of nodes to which a loan request is sent.
const QUERIED_PEERS: usize = 6;
/// Number of nodes over which the requested retries are divided: not all queried nodes have any.
const ASSUMED_LENDERS: u32 = 3;

/// A number of retries that is requested or granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Service whose retry budget is concerned.
    pub service: SmolStr,
    /// Number of retries.
    pub retries: u32,
    /// Number of the query, unique on the requesting node.
    pub query: u64,
}

/// Loans that this node requests.
#[derive(Default)]
pub(crate) struct Loans {
    /// Number of requests that wait for a retry, by service.
    waiting: RefCell<HashMap<SmolStr, u32>>,
    /// Notified when a request starts to wait.
    requested: Notify,
    /// Notified when this node has received retries.
    granted: Notify,
    queries: RefCell<Queries>,
}

/// Counts a request that waits for a retry.
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
    /// Takes one retry from the budget, or waits for one that another node lends. Returns whether
    /// there was one.
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

/// Requests retries from other nodes whenever requests wait for some, until the process ends.
pub(crate) async fn request_loans(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        sleep(REQUEST_INTERVAL).await;
        let demand: Vec<(SmolStr, u32)> = {
            let waiting = node.loans.waiting.borrow();
            let demand = waiting.iter().filter(|(_, count)| **count > 0);
            demand.map(|(service, count)| (service.clone(), *count)).collect()
        };
        if demand.is_empty() {
            node.loans.requested.notified().await;
            continue;
        }
        for (service, count) in demand {
            let nodes = sample_peers(&node);
            let query = node.loans.queries.borrow_mut().register(node.now(), &service, &nodes);
            let retries = count.div_ceil(ASSUMED_LENDERS);
            let message = Message::LoanRequest(Loan { service, retries, query });
            nodes.into_iter().for_each(|peer| send(&socket, &message, peer));
        }
    }
}

/// Returns some of the other nodes, starting at a random one.
fn sample_peers(node: &Node) -> Vec<SocketAddr> {
    let peers = node.peers.borrow();
    let from = (node.random_fraction() * peers.len() as f64) as usize;
    peers.iter().cycle().skip(from).take(QUERIED_PEERS.min(peers.len())).copied().collect()
}

/// Answers a loan request if this node has retries to spare.
pub(crate) fn handle_request(node: &Node, socket: &UdpSocket, from: SocketAddr, loan: Loan) {
    let retries = node.lend_retries(&loan.service, loan.retries);
    if retries > 0 {
        metrics::counter!("magnolia_retries_lent").increment(u64::from(retries));
        send(socket, &Message::LoanGrant(Loan { retries, ..loan }), from);
    }
}

/// Adds the retries that another node has granted.
pub(crate) fn handle_grant(node: &Node, from: SocketAddr, loan: &Loan) {
    let sent_at = node.loans.queries.borrow_mut().accept_answer(&loan.service, loan.query, from);
    if let Some(sent_at) = sent_at {
        node.borrow_retries(&loan.service, sent_at, loan.retries);
        metrics::counter!("magnolia_retries_borrowed").increment(u64::from(loan.retries));
        node.loans.granted.notify_waiters();
    }
}
