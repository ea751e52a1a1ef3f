//! Calls of this node's own to engines: orders, and requests for reports.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use path::Fault;
use platform::head;

use crate::node::Node;
use crate::pool::{Exchange, Unanswered};
use crate::used::Used;

impl Node {
    /// Sends a call of this node's own to an engine. An answer with the id of a request is a copy of
    /// an earlier answer on the same connection, which is then closed.
    pub(crate) async fn ask(
        &self,
        address: SocketAddr,
        call: Request<Full<Bytes>>,
    ) -> Result<Exchange, Unanswered> {
        let exchange = self.send(address, call, &Used::default()).await?;
        let id = exchange.response.headers().get(head::REQUEST_ID);
        if id.is_some_and(|id| !id.is_empty()) {
            self.record_fault(address, Fault::Failed, "answer to a request");
            return Err(Unanswered::Unknown);
        }
        Ok(exchange)
    }
}
