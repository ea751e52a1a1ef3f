//! The project's program as a process, with settings like those of a small deployment.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The users' bounds for the small deployments.
const BOUNDS: &str = "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,\
layers\nheartbeat_ms=1200\nbounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
bounds.loss_slack_ms=200\nbounds.config_deadline_ms=2000\nbounds.rollback_slack_ms=250\n\
bounds.strict_revoke=true\nbounds.revoke_ms=5000\nbounds.budget_ratio=0.2\n\
bounds.budget_window_s=10\nbounds.budget_extra=196\nbounds.recover_s=12\nbounds.stall_ms=2000\n\
bounds.enforce_fencing=true\nplatform.ttl_min_ms=1000\n";

/// A node, which is killed when the value is dropped.
pub struct Node {
    pub front: SocketAddr,
    pub internal: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns addresses with free ports of a host. All are held until the last is found, so that the
/// ports differ.
fn free<const N: usize>(host: &str) -> [SocketAddr; N] {
    let listeners = [(); N].map(|()| TcpListener::bind((host, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address"))
}

impl Node {
    /// Prepares a node on free ports of a host of its own.
    pub fn new(name: &str, zone: &str, host: &str, store: SocketAddr, folder: &Path) -> Self {
        let [front, ready, internal] = free(host);
        let port = internal.port();
        let text = format!(
            "node={name}\nrole=entry\nmachine_class=front\nserves=front,control\nip={host}\n\
             zone={zone}\nregion=r\nlisten.front={front}\nlisten.ready={ready}\n\
             internal_ports={port},{port}\nbootstrap=true\ndiscovery=platform\nentry=vip\n\
             platform.address={store}\nplatform.form=kv\n{BOUNDS}"
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("a settings file");
        let log = folder.join(format!("{name}.log"));
        Self { front, internal, settings, log, child: None }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let child = Command::new("target/release/magnoliarun")
            .arg("front")
            .env("MAGNOLIARUN_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("a log file"))
            .stderr(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the program starts"));
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Returns whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the start of loopback hosts that are free, also at the port of the metrics.
pub fn free_hosts(count: u8) -> String {
    let seed = std::process::id();
    for attempt in 0..200u32 {
        let (a, b) = (100 + (seed + attempt) % 20, (seed / 20 + attempt * 7) % 250 + 1);
        let prefix = format!("127.{a}.{b}.");
        let hosts = 1..=count;
        let mut hosts = hosts.map(|host| format!("{prefix}{}", 10 + host));
        if hosts.all(|host| TcpListener::bind((host.as_str(), 9464)).is_ok()) {
            return prefix;
        }
    }
    panic!("no free loopback hosts");
}

/// What a case writes down.
pub struct Record(fs::File);

impl Record {
    pub fn create(path: &Path) -> Self {
        Self(fs::File::create(path).expect("a record"))
    }

    pub fn line(&mut self, line: impl AsRef<str>) {
        writeln!(self.0, "{}", line.as_ref()).expect("a line of the record");
    }
}
