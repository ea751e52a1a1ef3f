//! A client that keeps its connections open.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientError {
    /// No connection came about.
    Unreachable,
    /// The connection broke before the answer was whole.
    Broken,
    /// The answer had another status than 200.
    Status(u16),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::Unreachable => write!(f, "unreachable"),
            ClientError::Broken => write!(f, "broken"),
            ClientError::Status(status) => write!(f, "status-{status}"),
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// Idle connections by address.
#[derive(Default)]
pub(crate) struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Client {
    /// Posts a body and returns that of the answer.
    pub(crate) async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, ClientError> {
        let mut sender = self.sender(address).await?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(HOST, address.to_string())
            .body(Full::new(body))
            .map_err(|_| ClientError::Broken)?;
        let response = sender.send_request(request).await.map_err(|_| ClientError::Broken)?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map_err(|_| ClientError::Broken)?;
        self.return_idle(address, sender);
        if status != 200 {
            return Err(ClientError::Status(status));
        }
        Ok(body.to_bytes())
    }

    async fn sender(&self, address: SocketAddr) -> Result<Sender, ClientError> {
        while let Some(mut sender) = self.take_idle(address) {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        connect(address).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        let senders = idle.get_mut(&address)?;
        senders.retain(|sender| !sender.is_closed());
        senders.pop()
    }

    fn return_idle(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        idle.entry(address).or_default().push(sender);
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, ClientError> {
    let stream = TcpStream::connect(address).await.map_err(|_| ClientError::Unreachable)?;
    // Activations are small and must not wait for more.
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| ClientError::Unreachable)?;
    tokio::spawn(async move {
        // Its end is seen by the sender.
        let _ = connection.await;
    });
    Ok(sender)
}
