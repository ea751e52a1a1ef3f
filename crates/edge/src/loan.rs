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
use crate::question::Questions;

/// Longest wait for retries of other nodes: they answer within a few milliseconds.
const LOAN_WAIT: Duration = Duration::from_millis(20);
/// Time in which requests that need retries are gathered, and pause before others are asked.
const ASK_INTERVAL: Duration = Duration::from_millis(4);
/// Nodes that are asked at once.
const ASKED_NODES: usize = 6;
/// Nodes that are to cover what is asked for: not all of those asked have any.
const COVERING_NODES: u32 = 3;

/// Retries that are asked for, or lent.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Loan {
    /// Service that they are for.
    service: SmolStr,
    /// How many.
    retries: u32,
    /// Number of the question, unique at the node that asks.
    question: u64,
}

/// What this node asks of others.
#[derive(Default)]
pub(crate) struct Loans {
    /// Requests that wait for a retry, by service.
    waiting: RefCell<HashMap<SmolStr, u32>>,
    /// Told when a request begins to wait.
    wanted: Notify,
    /// Told when retries were lent to this node.
    lent: Notify,
    questions: RefCell<Questions>,
}

/// A request counted as waiting for a retry.
struct Waiting<'a> {
    loans: &'a Loans,
    service: &'a SmolStr,
}

impl<'a> Waiting<'a> {
    fn begin(loans: &'a Loans, service: &'a SmolStr) -> Self {
        *loans.waiting.borrow_mut().entry(service.clone()).or_default() += 1;
        loans.wanted.notify_one();
        Self { loans, service }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.loans.waiting.borrow_mut().get_mut(self.service) {
            *count -= 1;
        }
    }
}

impl Node {
    /// Takes one retry out of the budget, or one that another node lends, if any is left.
    pub(crate) async fn take_retry(&self, service: &SmolStr) -> bool {
        if self.take_own_retry(service) {
            return true;
        }
        let _waiting = Waiting::begin(&self.loans, service);
        let borrowed = async {
            loop {
                self.loans.lent.notified().await;
                if self.take_own_retry(service) {
                    return;
                }
            }
        };
        timeout(LOAN_WAIT, borrowed).await.is_ok()
    }
}

/// Asks other nodes for retries while requests wait for some, for good.
pub(crate) async fn ask(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        sleep(ASK_INTERVAL).await;
        let wanted: Vec<(SmolStr, u32)> = {
            let waiting = node.loans.waiting.borrow();
            let wanted = waiting.iter().filter(|(_, count)| **count > 0);
            wanted.map(|(service, count)| (service.clone(), *count)).collect()
        };
        if wanted.is_empty() {
            node.loans.wanted.notified().await;
            continue;
        }
        for (service, count) in wanted {
            let nodes = some_peers(&node);
            let question = node.loans.questions.borrow_mut().ask(node.now(), &service, &nodes);
            let retries = count.div_ceil(COVERING_NODES);
            let message = Message::Want(Loan { service, retries, question });
            nodes.into_iter().for_each(|peer| send(&socket, &message, peer));
        }
    }
}

/// Some of the other nodes, drawn anew each time.
fn some_peers(node: &Node) -> Vec<SocketAddr> {
    let peers = node.peers.borrow();
    let from = (node.luck() * peers.len() as f64) as usize;
    peers.iter().cycle().skip(from).take(ASKED_NODES.min(peers.len())).copied().collect()
}

/// Answers a node that asks for retries, if this one can spare some.
pub(crate) fn wanted(node: &Node, socket: &UdpSocket, from: SocketAddr, loan: Loan) {
    let retries = node.lend_retries(&loan.service, loan.retries);
    if retries > 0 {
        metrics::counter!("magnolia_retries_lent").increment(u64::from(retries));
        send(socket, &Message::Lend(Loan { retries, ..loan }), from);
    }
}

/// Takes retries that another node has lent.
pub(crate) fn lent(node: &Node, from: SocketAddr, loan: &Loan) {
    let asked = node.loans.questions.borrow_mut().answered(&loan.service, loan.question, from);
    if let Some(asked) = asked {
        node.borrow_retries(&loan.service, asked, loan.retries);
        metrics::counter!("magnolia_retries_borrowed").increment(u64::from(loan.retries));
        node.loans.lent.notify_waiters();
    }
}
