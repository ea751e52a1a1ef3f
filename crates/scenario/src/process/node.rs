//! Nodes as child processes.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use super::caller::agent;
use crate::Error;

/// Environment variable that, if set, lets nodes write their logs to the terminal.
const LOG_VARIABLE: &str = "SCENARIO_LOG";

/// Node process; killed when dropped.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) name: SmolStr,
    pub(crate) caller_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    operator_address: SocketAddr,
    child: Child,
}

impl Node {
    /// Starts the node binary on free ports.
    pub(crate) fn start(
        binary: &Path,
        name: &str,
        domain: &str,
        platform: SocketAddr,
    ) -> Result<Self, Error> {
        let [caller_address, peer_address, operator_address] = free_addresses()?;
        let logs_enabled = std::env::var_os(LOG_VARIABLE).is_some();
        let output = || if logs_enabled { Stdio::inherit() } else { Stdio::null() };
        let child = Command::new(binary)
            .args(["--name", name, "--domain", domain])
            .args(["--callers", &caller_address.to_string()])
            .args(["--peers", &peer_address.to_string()])
            .args(["--operators", &operator_address.to_string()])
            .args(["--platform", &platform.to_string()])
            .args(["--list-ms", "100", "--load-ms", "100", "--stop-lag-ms", "100"])
            .stdin(Stdio::null())
            .stdout(output())
            .stderr(output())
            .spawn()
            .map_err(Error::environment)?;
        Ok(Self { name: name.into(), caller_address, peer_address, operator_address, child })
    }

    /// Checks that the node answers on `/livez`, with any status.
    pub(crate) fn check_live(&self) -> Result<(), SmolStr> {
        let answer = agent().get(format!("http://{}/livez", self.operator_address)).call();
        answer.map(|_| ()).map_err(|error| format_smolstr!("{}: {error}", self.name))
    }

    /// Checks that the node reports readiness; otherwise returns the reason that it gives.
    pub(crate) fn check_ready(&self) -> Result<(), SmolStr> {
        let answer = agent().get(format!("http://{}/readyz", self.operator_address)).call();
        let mut answer = answer.map_err(|error| format_smolstr!("{}: {error}", self.name))?;
        if answer.status() == 200 {
            return Ok(());
        }
        let reason = answer.body_mut().read_to_string().unwrap_or_default();
        Err(format_smolstr!("{}: {}", self.name, reason.trim()))
    }

    /// Returns the node's status document; `None` if it cannot be read.
    pub(crate) fn status(&self) -> Option<Value> {
        let mut answer =
            agent().get(format!("http://{}/status", self.operator_address)).call().ok()?;
        answer.body_mut().read_json().ok()
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) -> Result<(), Error> {
        let id = i32::try_from(self.child.id()).map_err(Error::environment)?;
        let pid = Pid::from_raw(id).ok_or_else(|| Error::unknown("process", &self.name))?;
        kill_process(pid, signal).map_err(Error::environment)
    }

    /// Returns the exit code if the process has ended, or -1 if a signal ended it.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok()??;
        Some(status.code().unwrap_or(-1))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Errors are ignored because the process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns three free addresses. All listeners stay open until the last is bound, so that the
/// addresses differ.
fn free_addresses() -> Result<[SocketAddr; 3], Error> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listeners: Result<Vec<TcpListener>, _> = (0..3).map(bind).collect();
    let listeners = listeners.map_err(Error::environment)?;
    let addresses: Result<Vec<SocketAddr>, _> =
        listeners.iter().map(TcpListener::local_addr).collect();
    let addresses = addresses.map_err(Error::environment)?;
    addresses.try_into().map_err(|_| Error::environment("found no three free addresses"))
}
