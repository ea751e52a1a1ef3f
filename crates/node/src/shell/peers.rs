//! The port for other nodes, and the calls to them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use fleet::NodeName;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};
use wire::Client;

use super::convert::{from_wire, to_wire};
use super::shared::{Input, Shared};
use crate::Message;

/// Connections to other nodes, opened on first use and kept.
type Channels = Arc<Mutex<HashMap<SocketAddr, Client<Channel>>>>;

/// Calls to other nodes.
pub(crate) struct Peers {
    shared: Arc<Shared>,
    runtime: Handle,
    channels: Channels,
}

impl Peers {
    pub(crate) fn new(shared: Arc<Shared>, runtime: Handle) -> Self {
        Self { shared, runtime, channels: Channels::default() }
    }

    fn client(&self, address: SocketAddr) -> Option<Client<Channel>> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = channels.get(&address) {
            return Some(client.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let connect_timeout = self.shared.settings.peer_timeout;
        let _entered = self.runtime.enter();
        let client = Client::new(endpoint.connect_timeout(connect_timeout).connect_lazy());
        channels.insert(address, client.clone());
        Some(client)
    }

    /// Sends a heartbeat. The reply, or its absence, is posted to the node as a message.
    pub(crate) fn send(&self, to: NodeName, address: SocketAddr, heartbeat: member::Heartbeat) {
        let Some(mut client) = self.client(address) else { return };
        let shared = Arc::clone(&self.shared);
        self.runtime.spawn(async move {
            let call = client.exchange(to_wire(heartbeat));
            let reply = timeout(shared.settings.peer_timeout, call).await;
            shared.inbox.post(Message::Member(match reply {
                Ok(Ok(reply)) => member::Message::Replied(from_wire(reply.into_inner())),
                Ok(Err(_)) | Err(_) => member::Message::NoReply(to),
            }));
        });
    }

    /// Requests the preset in force from a node. A non-empty reply is posted to the node as a
    /// message.
    pub(crate) fn request_preset(&self, node: &NodeName) {
        let nodes = self.shared.nodes();
        let Some(peer) = nodes.iter().find(|peer| peer.name == *node) else { return };
        let Some(mut client) = self.client(peer.address) else { return };
        let shared = Arc::clone(&self.shared);
        let node = node.clone();
        self.runtime.spawn(async move {
            let request = wire::Heartbeat {
                from: shared.settings.name.to_string(),
                wants_preset: true,
                ..wire::Heartbeat::default()
            };
            let reply = timeout(shared.settings.peer_timeout, client.exchange(request)).await;
            if let Ok(Ok(reply)) = reply {
                let value = reply.into_inner().preset;
                if !value.is_empty() {
                    let peer = preset::Message::PeerValue { node, value };
                    shared.inbox.post(Message::Preset(peer));
                }
            }
        });
    }
}

/// Handles calls from other nodes.
pub(crate) struct PeerService {
    shared: Arc<Shared>,
}

impl PeerService {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

#[tonic::async_trait]
impl wire::Peer for PeerService {
    async fn exchange(
        &self,
        request: Request<wire::Heartbeat>,
    ) -> Result<Response<wire::Heartbeat>, Status> {
        let heartbeat = request.into_inner();
        if heartbeat.wants_preset {
            let preset = self.shared.active_preset().map(|(_, value)| value.to_vec());
            return Ok(Response::new(wire::Heartbeat {
                from: self.shared.settings.name.to_string(),
                preset: preset.unwrap_or_default(),
                ..wire::Heartbeat::default()
            }));
        }
        let (reply, replied) = oneshot::channel();
        let heartbeat = from_wire(heartbeat);
        self.shared.inbox.send(Input::Exchange { heartbeat, reply });
        match replied.await {
            Ok(heartbeat) => Ok(Response::new(to_wire(heartbeat))),
            Err(_) => Err(Status::unavailable("no reply to this heartbeat")),
        }
    }

    async fn commit(
        &self,
        _request: Request<wire::Claims>,
    ) -> Result<Response<wire::Verdicts>, Status> {
        Err(Status::unimplemented("claims are committed only by the node that holds them"))
    }
}
