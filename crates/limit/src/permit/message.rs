//! Messages on permits between the VMs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use site::Rate;

/// Address at which a VM receives messages.
pub type Vm = SocketAddr;
/// Address of a target.
pub type Address = SocketAddr;

/// What a call to a target is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// A stream that resumes: its caller has been waiting for some time.
    Resumption,
    /// A request that has not begun.
    Request,
    /// A call of the VM's own, which can be left out.
    Call,
    /// An order, which is sent in any case and only counted.
    Order,
    /// No call: the VM only tells what it knows and has sent.
    Notice,
}

/// A statement as VMs tell it to each other, whose clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// The limit; `None` if the target takes any number of requests.
    pub rate: Option<Rate>,
    /// Age of the statement, milliseconds.
    pub age_ms: u64,
    /// Time since the target first named this limit or a higher one, milliseconds.
    pub named_ms: u64,
}

/// Asks the issuer of a target for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The target.
    pub target: Address,
    /// Number of the request, unique at the VM that asks.
    pub number: u64,
    /// What the permit is for.
    pub class: Class,
    /// Longest time that the call can wait, milliseconds.
    pub patience_ms: u64,
    /// What the VM knows of the limit.
    pub word: Word,
    /// Calls that the VM has sent, if the issuer does not know them: one number for each quarter of
    /// a second, the latest first.
    pub sent: Vec<u16>,
}

/// Answer of an issuer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The target.
    pub target: Address,
    /// Number of the request.
    pub number: u64,
    /// Whether the call may be sent.
    pub verdict: Verdict,
    /// What the issuer knows of the limit.
    pub word: Word,
}

/// Whether a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may be sent after this time, milliseconds.
    Granted(u64),
    /// The limit is used up for this time, milliseconds.
    Denied(u64),
    /// The target has no limit any more.
    Unlimited,
    /// The VM that was asked does not issue permits for the target.
    NotIssuer,
}

/// What an issuer tells all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The target.
    pub target: Address,
    /// What the issuer knows of the limit.
    pub word: Word,
}

/// A message for another VM that nobody waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outgoing {
    /// Tells an issuer what this VM knows and has sent.
    Notice(Request),
    /// Tells another VM of a limit.
    Limit(Limit),
}
