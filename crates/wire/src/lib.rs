//! Messages between nodes, and the tonic client and server that transport them.
//!
//! The `generated` module is generated from `proto/peer.proto`, and a test checks that it is up to
//! date. This crate contains nothing else; `member` (heartbeats and facts), `preset` and `ledger`
//! define what the messages mean.

#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
mod generated;

pub use generated::peer_client::PeerClient as Client;
pub use generated::peer_server::{Peer, PeerServer as Server};
pub use generated::{
    Claims, Demand, Fact, Heartbeat, Leaving, Quarantine, Share, Standing, Verdicts, fact, standing,
};
