//! The project's own program as a process, with the command of the deploy file.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::store::Store;

/// Port for callers.
const FRONT_PORT: u16 = 8227;
/// Port of the readiness check.
const READY_PORT: u16 = 8220;
/// Longest wait until a node is ready.
const READY_TIME: Duration = Duration::from_secs(15);

/// Limits of a machine.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Memory that a process may use, megabytes.
    pub memory_mb: u64,
    /// Descriptors that a process may have open.
    pub max_fds: u64,
}

/// A machine of cpf-floorline.
const MACHINE: Machine = Machine { memory_mb: 260, max_fds: 4200 };

/// All processes that were started.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    STARTED.lock().expect("no panic while it is held").iter().for_each(end);
}

fn end(child: &Arc<Mutex<Child>>) {
    let mut child = child.lock().expect("no panic while it is held");
    // A process that has ended already needs no signal.
    child.kill().ok();
    child.wait().ok();
}

/// A node process. Dropping it ends the process.
pub struct Node {
    child: Arc<Mutex<Child>>,
    /// Address for callers.
    pub front: SocketAddr,
    ready: SocketAddr,
}

impl Node {
    /// Starts a node at an IP address of its own. `folder` holds its settings and its log.
    pub fn start(ip: &str, store: &Store, program: &Path, folder: &Path) -> Self {
        Self::start_with(ip, store, program, folder, MACHINE)
    }

    /// Starts a node on a machine with this memory and these descriptors.
    pub fn start_with(
        ip: &str,
        store: &Store,
        program: &Path,
        folder: &Path,
        machine: Machine,
    ) -> Self {
        let settings: PathBuf = folder.join(format!("node-{ip}.conf"));
        let front = SocketAddr::new(ip.parse().expect("an address"), FRONT_PORT);
        let ready = SocketAddr::new(front.ip(), READY_PORT);
        fs::write(&settings, Self::settings(ip, front, ready, store, machine))
            .expect("a settings file");
        let log = File::create(folder.join(format!("node-{ip}.log"))).expect("a log file");
        let child = Command::new(program)
            .arg("front")
            .env_clear()
            .env("MAGNOLIARUN_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        let child = Arc::new(Mutex::new(child));
        STARTED.lock().expect("no panic while it is held").push(child.clone());
        Self { child, front, ready }
    }

    /// Returns the settings of a small deployment, as the pages show them.
    fn settings(
        ip: &str,
        front: SocketAddr,
        ready: SocketAddr,
        store: &Store,
        machine: Machine,
    ) -> String {
        let Machine { memory_mb, max_fds } = machine;
        format!(
            "node=front-a-{ip}\nrole=entry\nmachine_class=front\nserves=front,control\nip={ip}\n\
             zone=a\nregion=r\nzones.a=r\nlisten.front={front}\nlisten.ready={ready}\n\
             listen.control={ip}:8229\ninternal_ports=7340,7355\nbootstrap=true\n\
             limits.cpu_share=0.5\nlimits.cores=1\nlimits.memory_mb={memory_mb}\nlimits.max_fds={max_fds}\n\
             discovery=platform\nentry=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\n\
             bounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
             bounds.loss_slack_ms=200\nbounds.config_deadline_ms=2000\n\
             bounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000\n\
             bounds.strict_revoke=true\nbounds.revoke_ms=5000\nbounds.budget_ratio=0.2\n\
             bounds.budget_window_s=10\nbounds.budget_extra=196\nbounds.recover_s=12\n\
             bounds.pass_ms=120\nbounds.retry_after_s=0\nbounds.stall_ms=2000\n\
             bounds.enforce_fencing=true\nplatform.address={}\nplatform.form=kv\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n\
             platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n",
            store.address
        )
    }

    /// Waits until the node is ready. Returns whether it is.
    pub fn await_ready(&self) -> bool {
        let until = Instant::now() + READY_TIME;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        client::status(self.ready, "/ready") == Some(200)
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().expect("no panic while it is held");
        child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        end(&self.child);
    }
}
