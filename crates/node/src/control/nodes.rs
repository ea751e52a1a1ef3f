//! Calls to the operators' ports of the nodes.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use super::Error;

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the operators' ports given on the command line.
pub(super) struct Nodes {
    addresses: Vec<SocketAddr>,
    agent: ureq::Agent,
}

impl Nodes {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(TIMEOUT))
            .build();
        Self { addresses, agent: ureq::Agent::new_with_config(config) }
    }

    /// Calls a path of one node and returns the JSON of its answer.
    fn call(&self, address: SocketAddr, path: &str, post: bool) -> Result<Value, Error> {
        let url = format!("http://{address}{path}");
        let sent =
            if post { self.agent.post(url).send_empty() } else { self.agent.get(url).call() };
        let mut answer = sent.map_err(|_| Error::Unreachable)?;
        let value: Value = answer.body_mut().read_json().map_err(Error::malformed_answer)?;
        if answer.status().is_success() {
            return Ok(value);
        }
        Err(Error::Refused(value["error"]["message"].as_str().unwrap_or("refused").to_owned()))
    }

    /// Calls the nodes in turn and returns the first answer.
    ///
    /// # Errors
    ///
    /// Returns the last refusal, or [`Error::Unreachable`] if no node refused.
    pub(super) fn get_first(&self, path: &str) -> Result<Value, Error> {
        let mut refusal = Error::Unreachable;
        for address in &self.addresses {
            match self.call(*address, path, false) {
                Ok(value) => return Ok(value),
                Err(error @ Error::Refused(_)) => refusal = error,
                Err(_) => {}
            }
        }
        Err(refusal)
    }

    /// Returns the status of each node under its name, or `None` under its address if it does
    /// not answer.
    pub(super) fn statuses(&self) -> Vec<(String, Option<Value>)> {
        let status = |address: &SocketAddr| match self.call(*address, "/status", false) {
            Ok(status) => {
                let name = status["node"].as_str().unwrap_or_default().to_owned();
                (name, Some(status))
            }
            Err(_) => (address.to_string(), None),
        };
        self.addresses.iter().map(status).collect()
    }

    /// Requests the drain of a target from the first node that accepts it; that node informs the
    /// other nodes.
    pub(super) fn drain(&self, target: &str) -> Result<Value, Error> {
        let mut refusal = Error::Unreachable;
        for address in &self.addresses {
            match self.call(*address, &format!("/drain/{target}"), true) {
                Ok(value) => return Ok(value),
                Err(error @ Error::Refused(_)) => refusal = error,
                Err(_) => {}
            }
        }
        Err(refusal)
    }

    /// Returns the decisions on a request, with the address of the node that has recorded them.
    pub(super) fn explain(&self, request: &str) -> Result<(String, Value), Error> {
        let mut refusal = Error::Unreachable;
        for address in &self.addresses {
            match self.call(*address, &format!("/explain/{request}"), false) {
                Ok(value) => return Ok((address.to_string(), value)),
                Err(error @ Error::Refused(_)) => refusal = error,
                Err(_) => {}
            }
        }
        Err(refusal)
    }
}
