//! A site whose nodes run the build in production or the present one.

use std::fs::{self, File};
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::{Duration, Instant};

use platform_standin::{Call, Document, MODEL, PLAIN, Platform, Route, Settings, Setup, send_call};

use crate::entry::{Entry, command_of, status, sum_of_counters, text};
use crate::production;

/// Events of each stream; they take 10 ms each.
pub(crate) const EVENTS: u64 = 80;
/// Kinds of messages that the present build sends and the commit in production does not know: its
/// nodes count and ignore them. Must be empty again when `production` names a commit that does.
const UNKNOWN_TO_PRODUCTION: &[&str] = &[];
/// Maximum number of targets at which a request may run; those that ended meanwhile do not count.
pub(crate) const ATTEMPTS: u32 = 4;
/// Key that stays valid.
pub(crate) const VALID_KEY: &str = "valid";
/// Key that the second configuration withdraws.
pub(crate) const WITHDRAWN_KEY: &str = "withdrawn";
/// Key that the second configuration adds.
pub(crate) const ADDED_KEY: &str = "added";
/// Longest wait for an expected state.
pub(crate) const STATE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time from SIGTERM to the end of a process.
const STOP_LIMIT: Duration = Duration::from_secs(9);
/// Prefix of the keys under which nodes register.
const NODE_PREFIX: &str = "magnoliarun/nodes/";
/// Port of the metrics.
const METRICS_PORT: u16 = 9464;
/// Ids of the engines, by failure domain.
const ENGINES: [(&str, &str); 6] =
    [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("b2", "b"), ("b3", "b")];

/// A build of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Build {
    /// The commit in production.
    Production,
    /// The present files.
    Present,
}

impl Build {
    fn program(self) -> &'static Path {
        match self {
            Self::Production => production::program(),
            Self::Present => Path::new(env!("CARGO_BIN_EXE_magnoliarun")),
        }
    }
}

/// How a process is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    /// SIGTERM.
    Planned,
    /// SIGKILL.
    Killed,
}

/// A node; its processes follow one another at the same addresses.
pub(crate) struct Node {
    pub(crate) entry: Entry,
    build: Build,
    settings: Settings,
    name: String,
    /// File with the output of all its processes.
    log: PathBuf,
}

impl Node {
    fn start(name: String, settings: Settings, build: Build) -> Self {
        let log = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.log"));
        fs::write(&log, "").expect("a log file");
        let entry = run(&name, &settings, build, &log);
        Self { entry, build, settings, name, log }
    }

    /// Starts a process of a build in place of the one that has ended.
    pub(crate) fn restart(&mut self, build: Build) {
        self.entry = run(&self.name, &self.settings, build, &self.log);
        self.build = build;
    }

    /// Returns the address at which the node receives messages of other nodes.
    pub(crate) fn internal(&self) -> SocketAddr {
        let line = self.settings.text.lines().find_map(|line| line.strip_prefix("internal_ports="));
        let port = line.and_then(|ports| ports.split(',').next()?.parse().ok());
        SocketAddr::new(self.entry.front.ip(), port.expect("a port"))
    }

    /// Returns whether the node tells the platform that it is ready.
    pub(crate) fn is_ready(&self) -> bool {
        status(self.entry.ready, "/ready") == Some(200)
    }

    /// Returns the sum of the counters whose name starts with `name`.
    pub(crate) fn counter(&self, name: &str) -> u64 {
        let address = SocketAddr::new(self.entry.front.ip(), METRICS_PORT);
        let metrics = text(address, "/metrics").expect("metrics are served");
        sum_of_counters(&metrics, name)
    }

    /// Returns the log lines with an event.
    pub(crate) fn logged(&self, event: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).expect("the log is readable");
        let event = format!("event={event} ");
        log.lines().filter(|line| line.contains(&event)).map(str::to_owned).collect()
    }

    /// Returns whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.entry.child.try_wait().expect("the state of the process is known").is_some()
    }

    /// Waits until a process that was sent SIGTERM or SIGKILL has ended.
    pub(crate) fn wait_for_end(&mut self, stop: Stop) {
        let until = Instant::now() + STOP_LIMIT;
        while !self.has_ended() {
            assert!(Instant::now() < until, "{} does not end", self.name);
            sleep(Duration::from_millis(10));
        }
        let ended = self.entry.child.wait().expect("the process has ended");
        assert_eq!(ended.success(), stop == Stop::Planned, "{}: {ended}", self.name);
    }
}

fn run(name: &str, settings: &Settings, build: Build, log: &Path) -> Entry {
    let log = File::options().append(true).open(log).expect("the log file opens");
    let mut command = command_of(build.program(), name, &settings.text);
    Entry::start_command(command.stdout(log), settings)
}

/// Nodes, engines and plain targets of a test.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    pub(crate) nodes: Vec<Node>,
    pub(crate) engines: Vec<SocketAddr>,
    pub(crate) plain: Vec<SocketAddr>,
    number: u8,
    has_views: bool,
    /// Number of nodes that were added.
    added: usize,
}

impl Fleet {
    /// Starts the targets on the hosts of one test. With `has_views`, each node sees them at
    /// addresses of its own, so that it can be cut off.
    pub(crate) fn start(number: u8, has_views: bool) -> Self {
        let host = format!("127.89.{number}.1");
        let platform = Platform::start(&host);
        platform.configure(&document(1, vec![VALID_KEY, WITHDRAWN_KEY]));
        let target = |id: &'static str, service, domain, events| {
            let setup = Setup { id: id.into(), service, domain, events };
            platform.start_target(&host, setup)
        };
        let engines = ENGINES.map(|(id, domain)| target(id, MODEL, domain, EVENTS)).into();
        let plain = ["p1", "p2"].map(|id| target(id, PLAIN, "a", 0)).into();
        Self { platform, nodes: Vec::new(), engines, plain, number, has_views, added: 0 }
    }

    /// Starts nodes of these builds and waits until all serve and have a share of the retry budget.
    pub(crate) fn add_nodes(&mut self, builds: &[Build]) {
        builds.iter().for_each(|build| self.add_node(*build));
        sleep(Settings::STARTUP_WITHOUT_RETRIES);
        self.assert_all_serve();
    }

    /// Starts a node with another bound on withdrawn keys than that of the settings.
    pub(crate) fn add_node_with_revoke(&mut self, build: Build, revoke: Duration) {
        let settings = self.next_settings().with_revoke(revoke);
        self.start_node(settings, build);
    }

    /// Starts a node.
    pub(crate) fn add_node(&mut self, build: Build) {
        let settings = self.next_settings();
        self.start_node(settings, build);
    }

    fn start_node(&mut self, settings: Settings, build: Build) {
        let name = format!("upgrade-{}-{}", self.number, self.added);
        self.added += 1;
        self.nodes.push(Node::start(name, settings, build));
    }

    /// Returns the settings of the next node.
    fn next_settings(&self) -> Settings {
        let index = self.added;
        let host = format!("127.89.{}.{}", self.number, 10 + index);
        let store = match self.has_views {
            true => self.platform.add_view(&self.view(index)),
            false => self.platform.store(),
        };
        Settings::new(&format!("n{index}"), "a", &host, store)
    }

    /// Returns the address of a node's view of the targets.
    pub(crate) fn view(&self, node: usize) -> String {
        format!("127.89.{}.{}", self.number, 110 + node)
    }

    /// Registers another node in the store. Returns the socket of its messages.
    pub(crate) fn register_other(&self) -> UdpSocket {
        let socket = UdpSocket::bind(format!("127.89.{}.100:0", self.number)).expect("a socket");
        let address = socket.local_addr().expect("an address");
        let row = format!(
            r#"{{"expected":[],"writes":[{{"key":"{NODE_PREFIX}{address}","value":"","lease":0}}],"remove":[]}}"#
        );
        let url = format!("http://{}/kv-txn", self.platform.store());
        ureq::post(url).send(row).expect("the store answers");
        socket
    }

    /// Checks that all nodes serve a stream within `STATE_TIMEOUT`.
    pub(crate) fn assert_all_serve(&self) {
        let probe = Call { key: Some(VALID_KEY), ..Call::new(Route::Resumable, "probe") };
        for (index, node) in self.nodes.iter().enumerate() {
            let serves = || send_call(node.entry.front, &probe).is_complete(EVENTS);
            assert!(self.platform.wait(STATE_TIMEOUT, serves), "node {index} serves");
        }
    }

    /// Returns the status with which a node answers a request with a key.
    pub(crate) fn status(&self, node: usize, key: &'static str) -> Option<u16> {
        let call = Call { key: Some(key), ..Call::new(Route::Safe, "probe") };
        send_call(self.nodes[node].entry.front, &call).status
    }

    /// Checks that no process has ended, and that no node has received a message that it could not
    /// read.
    pub(crate) fn assert_sound(&mut self) {
        for node in &mut self.nodes {
            assert!(!node.has_ended(), "{} ended by itself", node.name);
            node.assert_reads_all();
        }
    }
}

impl Node {
    /// Checks that the running process has read all messages that it must, and logged none as
    /// unreadable.
    pub(crate) fn assert_reads_all(&self) {
        if self.build == Build::Production && !UNKNOWN_TO_PRODUCTION.is_empty() {
            // Its counter does not tell kinds apart.
            return;
        }
        let unread = self.counter("magnolia_peer_messages_undecodable");
        assert_eq!(unread, 0, "{} could not read messages", self.name);
        assert_eq!(self.logged("1145"), Vec::<String>::new());
    }
}

/// Returns a configuration with these keys.
pub(crate) fn document(version: u64, keys: Vec<&'static str>) -> Document {
    Document { version, keys, attempts: ATTEMPTS, ..Document::default() }
}
