//! An HTTP client with persistent connections.

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

/// Reason why a request got no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientError {
    /// The connection could not be established.
    Unreachable,
    /// The connection closed before the complete response arrived, or a message was malformed.
    Broken,
    /// The response had a status other than 200.
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

/// Client that reuses idle connections, kept by address.
#[derive(Default)]
pub(crate) struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Client {
    /// Sends a `POST` request and returns the body of the response.
    pub(crate) async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, ClientError> {
        let mut sender = self.open_sender(address).await?;
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

    async fn open_sender(&self, address: SocketAddr) -> Result<Sender, ClientError> {
        while let Some(mut sender) = self.take_idle(address) {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        connect(address).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().expect("no thread panics while it holds the lock");
        let senders = idle.get_mut(&address)?;
        senders.retain(|sender| !sender.is_closed());
        senders.pop()
    }

    fn return_idle(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().expect("no thread panics while it holds the lock");
        idle.entry(address).or_default().push(sender);
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, ClientError> {
    let stream = TcpStream::connect(address).await.map_err(|_| ClientError::Unreachable)?;
    // Disables the Nagle algorithm, which would delay activations because they are small.
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| ClientError::Unreachable)?;
    tokio::spawn(async move {
        // The sender reports when the connection has ended.
        let _ = connection.await;
    });
    Ok(sender)
}
