//! Messages between nodes, and the tonic client and server that carry them.
//!
//! The code in `generated` is made from `proto/peer.proto`; a test shows that it
//! is current. Nothing else in this crate: what messages mean is decided by
//! `member` (heartbeats and facts), `preset` and `ledger`.

#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
mod generated;

pub use generated::peer_client::PeerClient as Client;
pub use generated::peer_server::{Peer, PeerServer as Server};
pub use generated::{
    Claims, Demand, Fact, Heartbeat, Leaving, Quarantine, Share, Standing, Verdicts, fact, standing,
};
