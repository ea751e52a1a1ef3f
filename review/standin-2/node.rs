//! The project's process, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::Connection;

/// The command of the role in the deploy file.
const PROGRAM: &str = "target/release/magnoliarun";
const FRONT: u16 = 8227;
const READY: u16 = 8220;
const CONTROL: u16 = 8229;

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started here.
pub fn kill_all() {
    let running = std::mem::take(&mut *RUNNING.lock().expect("a list"));
    for id in running {
        Command::new("kill").args(["-KILL", &id.to_string()]).stderr(Stdio::null()).status().ok();
    }
}

/// A machine with one process.
pub struct Node {
    pub host: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Starts a process on a loopback address of its own.
    pub fn start(host: &str, zone: &str, store: SocketAddr, more: &str) -> Self {
        let address = |port: u16| SocketAddr::new(host.parse().expect("an address"), port);
        for port in [FRONT, READY, 9464, 7340] {
            TcpListener::bind(address(port)).expect("a free port");
        }
        let folder = std::env::temp_dir().join(format!("review-{}-{host}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let (front, ready) = (address(FRONT), address(READY));
        let settings = format!(
            "node=front-{host}\nrole=entry\nmachine_class=front\nserves=front,control\nip={host}\n\
             zone={zone}\nregion=r\nzones.{zone}=r\nlisten.front={front}\nlisten.ready={ready}\n\
             listen.control={host}:{CONTROL}\ninternal_ports=7340,7355\nseeds=\nbootstrap=true\n\
             counts_as_loss=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.max_fds=4200\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n\
             heartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers\n\
             tolerance.machines=1\nbounds.seed_lag_s=3\nbounds.reuse_after_s=2\n\
             bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\n\
             bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
             bounds.config_deadline_ms=2000\nbounds.rollback_slack_ms=250\n\
             bounds.max_stretch_ms=5000\nbounds.strict_revoke=true\nbounds.revoke_ms=5000\n\
             bounds.budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_extra=196\n\
             bounds.recover_s=12\nbounds.pass_ms=120\nbounds.retry_after_s=0\n\
             bounds.stall_ms=2000\nbounds.enforce_fencing=true\nplatform.address={store}\n\
             platform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n\
             platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n{more}"
        );
        fs::write(folder.join("node.conf"), settings).expect("the settings are written");
        let mut node = Self { host: host.to_owned(), front, ready, folder, child: None };
        node.restart();
        node
    }

    pub fn restart(&mut self) {
        let log = File::create(self.folder.join("log")).expect("a log");
        let mut command = Command::new(PROGRAM);
        command.arg("front").env("MAGNOLIARUN_NODE_FILE", self.folder.join("node.conf"));
        command.stdout(log).stderr(Stdio::inherit());
        let child = command.spawn().expect("the program starts");
        RUNNING.lock().expect("a list").push(child.id());
        self.child = Some(child);
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns whether the platform's readiness check is answered with 200.
    pub fn is_ready(&self) -> bool {
        let check = || {
            let mut connection = Connection::open(self.ready).ok()?;
            connection.stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            connection.send(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n").ok()?;
            connection.read().ok()?
        };
        check().is_some_and(|answer| answer.status() == 200)
    }

    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|end| end.is_some()))
    }

    /// Returns the resident memory of the process, bytes.
    pub fn memory(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        let kb = line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
        kb.unwrap_or(0) * 1024
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
            RUNNING.lock().expect("a list").retain(|id| *id != child.id());
        }
        fs::remove_dir_all(&self.folder).ok();
    }
}
