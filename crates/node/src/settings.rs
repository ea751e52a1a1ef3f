//! Settings of the process: flags and environment variables, all checked at start.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bpaf::Bpaf;
use fleet::{DomainName, NodeName};
use log::LevelFilter;
use smol_str::SmolStr;

/// Exit code of a planned stop.
pub const EXIT_STOPPED: u8 = 0;
/// Exit code of an internal failure.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of settings that are not allowed.
pub const EXIT_SETTINGS: u8 = 2;
/// Exit code when a port is not free.
pub const EXIT_PORT: u8 = 3;
/// Exit code of a planned stop that had to cut off requests.
pub const EXIT_CUT: u8 = 4;

/// Usage line of the help text.
const USAGE: &str = "Usage: magnoliarun --name NAME --domain NAME [OPTION]...";
/// Head of the help text.
const HEADER: &str = "One process runs on each entry VM; all are equal. Every setting is a flag or \
                      an environment variable; a flag wins. A start for tests: magnoliarun \
                      --name n1 --domain a --platform 127.0.0.1:2379. With `magnoliarun front` the \
                      settings come in the platform's file, whose path MAGNOLIARUN_NODE_FILE \
                      holds; `magnoliarun front --check` reads that file and ends.";
/// End of the help text.
const FOOTER: &str = "Exit codes: 0 planned stop, 1 internal failure, 2 settings not allowed, \
                      3 port not free, 4 planned stop that had to cut off requests.";

/// magnoliarun: routes callers' requests to model pipelines and plain services
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(options), usage(USAGE), header(HEADER), footer(FOOTER))]
pub struct Arguments {
    /// Name of this node, unique in the deployment
    #[bpaf(long, env("MAGNOLIA_NAME"), argument("NAME"))]
    pub name: String,
    /// Failure domain that this VM stands in
    #[bpaf(long, env("MAGNOLIA_DOMAIN"), argument("NAME"))]
    pub domain: String,
    /// Address of the port for callers
    #[bpaf(long, env("MAGNOLIA_CALLERS"), argument("IP:PORT"), fallback("127.0.0.1:8080".into()), display_fallback)]
    pub callers: String,
    /// Address of the port for other nodes, as they reach it
    #[bpaf(long, env("MAGNOLIA_PEERS"), argument("IP:PORT"), fallback("127.0.0.1:7001".into()), display_fallback)]
    pub peers: String,
    /// Address of the port for operators
    #[bpaf(long, env("MAGNOLIA_OPERATORS"), argument("IP:PORT"), fallback("127.0.0.1:9090".into()), display_fallback)]
    pub operators: String,
    /// Address of the platform's key-value service and VM list
    #[bpaf(long, env("MAGNOLIA_PLATFORM"), argument("IP:PORT"), fallback("127.0.0.1:2379".into()), display_fallback)]
    pub platform: String,
    /// Text that keys all hashes; the same on all nodes of a deployment
    #[bpaf(long, env("MAGNOLIA_SECRET"), argument("TEXT"), fallback("magnoliarun".into()))]
    pub secret: String,
    /// Least severe log level: error, warn, info, debug or off
    #[bpaf(long("log-level"), env("MAGNOLIA_LOG_LEVEL"), argument("LEVEL"), fallback("info".into()), display_fallback)]
    pub log_level: String,
    /// Seed of the decisions' random numbers; 0 takes one from the system
    #[bpaf(long, env("MAGNOLIA_SEED"), argument("NUMBER"), fallback("0".into()), display_fallback)]
    pub seed: String,
    /// Connections of callers open at once
    #[bpaf(long, env("MAGNOLIA_CONNECTIONS"), argument("NUMBER"), fallback("4096".into()), display_fallback)]
    pub connections: String,
    /// Largest request head, in bytes
    #[bpaf(long("head-bytes"), env("MAGNOLIA_HEAD_BYTES"), argument("BYTES"), fallback("16384".into()), display_fallback)]
    pub head_bytes: String,
    /// Largest request body, in bytes
    #[bpaf(long("body-bytes"), env("MAGNOLIA_BODY_BYTES"), argument("BYTES"), fallback("1048576".into()), display_fallback)]
    pub body_bytes: String,
    /// Longest time for a caller to send a request head, in milliseconds; also for idle connections
    #[bpaf(long("head-ms"), env("MAGNOLIA_HEAD_MS"), argument("MS"), fallback("30000".into()), display_fallback)]
    pub head_ms: String,
    /// Longest time for a caller to send a request body, in milliseconds
    #[bpaf(long("body-ms"), env("MAGNOLIA_BODY_MS"), argument("MS"), fallback("10000".into()), display_fallback)]
    pub body_ms: String,
    /// Longest time for a caller to take one piece of its answer, in milliseconds
    #[bpaf(long("write-ms"), env("MAGNOLIA_WRITE_MS"), argument("MS"), fallback("30000".into()), display_fallback)]
    pub write_ms: String,
    /// Largest answer of a plain service, in bytes
    #[bpaf(long("answer-bytes"), env("MAGNOLIA_ANSWER_BYTES"), argument("BYTES"), fallback("1048576".into()), display_fallback)]
    pub answer_bytes: String,
    /// Longest time for a target to take a connection, in milliseconds
    #[bpaf(long("connect-ms"), env("MAGNOLIA_CONNECT_MS"), argument("MS"), fallback("500".into()), display_fallback)]
    pub connect_ms: String,
    /// Longest time for one call to the platform, in milliseconds
    #[bpaf(long("platform-ms"), env("MAGNOLIA_PLATFORM_MS"), argument("MS"), fallback("1000".into()), display_fallback)]
    pub platform_ms: String,
    /// Time between reads of the platform's VM list, in milliseconds
    #[bpaf(long("list-ms"), env("MAGNOLIA_LIST_MS"), argument("MS"), fallback("1000".into()), display_fallback)]
    pub list_ms: String,
    /// Time between reads of a target's load, in milliseconds
    #[bpaf(long("load-ms"), env("MAGNOLIA_LOAD_MS"), argument("MS"), fallback("1000".into()), display_fallback)]
    pub load_ms: String,
    /// Longest time for a reply of another node, in milliseconds
    #[bpaf(long("peer-ms"), env("MAGNOLIA_PEER_MS"), argument("MS"), fallback("500".into()), display_fallback)]
    pub peer_ms: String,
    /// Time in a planned stop until the balancer sends nothing more, in milliseconds
    #[bpaf(long("stop-lag-ms"), env("MAGNOLIA_STOP_LAG_MS"), argument("MS"), fallback("5000".into()), display_fallback)]
    pub stop_lag_ms: String,
    /// Longest time for the last requests in a planned stop, in milliseconds
    #[bpaf(long("stop-limit-ms"), env("MAGNOLIA_STOP_LIMIT_MS"), argument("MS"), fallback("600000".into()), display_fallback)]
    pub stop_limit_ms: String,
    /// Threads that call the platform's store
    #[bpaf(long("store-threads"), env("MAGNOLIA_STORE_THREADS"), argument("NUMBER"), fallback("4".into()), display_fallback)]
    pub store_threads: String,
    /// Writes per second that the store takes from all nodes together
    #[bpaf(long("store-writes"), env("MAGNOLIA_STORE_WRITES"), argument("NUMBER"), fallback("300".into()), display_fallback)]
    pub store_writes: String,
    /// Reads per second that the store takes from all nodes together
    #[bpaf(long("store-reads"), env("MAGNOLIA_STORE_READS"), argument("NUMBER"), fallback("2000".into()), display_fallback)]
    pub store_reads: String,
    /// Threads that read answers of targets, one for each attempt that runs
    #[bpaf(long("target-threads"), env("MAGNOLIA_TARGET_THREADS"), argument("NUMBER"), fallback("2048".into()), display_fallback)]
    pub target_threads: String,
    /// Requests whose decisions are kept for `magnoliactl explain`
    #[bpaf(long("explained"), env("MAGNOLIA_EXPLAINED"), argument("NUMBER"), fallback("2000".into()), display_fallback)]
    pub explained: String,
}

/// A setting has a value that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    /// The flag, without dashes.
    pub setting: &'static str,
    /// Its value.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let variable = self.setting.replace('-', "_").to_uppercase();
        let Self { setting, value, allowed } = self;
        write!(f, "setting --{setting} (MAGNOLIA_{variable}) is `{value}`; allowed: {allowed}")
    }
}

impl std::error::Error for Invalid {}

/// Settings of the process, checked.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this node.
    pub name: NodeName,
    /// Failure domain of this VM.
    pub domain: DomainName,
    /// Port for callers.
    pub callers: SocketAddr,
    /// Port for other nodes.
    pub peers: SocketAddr,
    /// Port for operators.
    pub operators: SocketAddr,
    /// The platform.
    pub platform: SocketAddr,
    /// Text that keys all hashes.
    pub secret: SmolStr,
    /// Least severe log level.
    pub log_level: LevelFilter,
    /// Seed of the decisions' random numbers.
    pub seed: u64,
    /// Connections of callers open at once.
    pub connections: usize,
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request head.
    pub head: Duration,
    /// Longest time for a request body.
    pub body: Duration,
    /// Longest time for a caller to take one piece of its answer.
    pub write: Duration,
    /// Largest answer of a plain service, in bytes.
    pub answer_bytes: usize,
    /// Longest time for a target to take a connection.
    pub connect: Duration,
    /// Longest time for one call to the platform.
    pub platform_call: Duration,
    /// Time between reads of the platform's VM list.
    pub list: Duration,
    /// Time between reads of a target's load.
    pub load: Duration,
    /// Longest time for a reply of another node.
    pub peer: Duration,
    /// Time in a planned stop until the balancer sends nothing more.
    pub stop_lag: Duration,
    /// Longest time for the last requests in a planned stop.
    pub stop_limit: Duration,
    /// Threads that call the platform's store.
    pub store_threads: usize,
    /// Writes per second that the store takes from all nodes together.
    pub store_writes: u32,
    /// Reads per second that the store takes from all nodes together.
    pub store_reads: u32,
    /// Threads that read answers of targets.
    pub target_threads: usize,
    /// Requests whose decisions are kept.
    pub explained: usize,
}

impl Arguments {
    /// Settings with a name, a failure domain and defaults for all else.
    pub fn new(name: &str, domain: &str) -> Self {
        let arguments = ["--name", name, "--domain", domain];
        options().run_inner(&arguments[..]).expect("defaults are allowed")
    }

    /// Checks all settings.
    ///
    /// # Errors
    ///
    /// Returns the first setting whose value is not allowed.
    pub fn check(&self) -> Result<Settings, Invalid> {
        Ok(Settings {
            name: name("name", &self.name)?,
            domain: name("domain", &self.domain)?,
            callers: address("callers", &self.callers)?,
            peers: address("peers", &self.peers)?,
            operators: address("operators", &self.operators)?,
            platform: address("platform", &self.platform)?,
            secret: secret(&self.secret)?,
            log_level: level(&self.log_level)?,
            seed: number("seed", &self.seed, 0, u64::MAX)?,
            connections: size("connections", &self.connections, 1, 1_000_000)?,
            head_bytes: size("head-bytes", &self.head_bytes, 8_192, 1_048_576)?,
            body_bytes: size("body-bytes", &self.body_bytes, 1_024, 67_108_864)?,
            head: millis("head-ms", &self.head_ms, 10, 600_000)?,
            body: millis("body-ms", &self.body_ms, 10, 600_000)?,
            write: millis("write-ms", &self.write_ms, 10, 600_000)?,
            answer_bytes: size("answer-bytes", &self.answer_bytes, 256, 16_777_216)?,
            connect: millis("connect-ms", &self.connect_ms, 10, 60_000)?,
            platform_call: millis("platform-ms", &self.platform_ms, 10, 60_000)?,
            list: millis("list-ms", &self.list_ms, 10, 60_000)?,
            load: millis("load-ms", &self.load_ms, 10, 60_000)?,
            peer: millis("peer-ms", &self.peer_ms, 10, 60_000)?,
            stop_lag: millis("stop-lag-ms", &self.stop_lag_ms, 0, 600_000)?,
            stop_limit: millis("stop-limit-ms", &self.stop_limit_ms, 0, 86_400_000)?,
            store_threads: size("store-threads", &self.store_threads, 1, 64)?,
            store_writes: rate("store-writes", &self.store_writes)?,
            store_reads: rate("store-reads", &self.store_reads)?,
            target_threads: size("target-threads", &self.target_threads, 1, 32_768)?,
            explained: size("explained", &self.explained, 0, 1_000_000)?,
        })
    }
}

fn invalid(setting: &'static str, value: &str, allowed: impl Into<String>) -> Invalid {
    Invalid { setting, value: value.to_owned(), allowed: allowed.into() }
}

fn name(setting: &'static str, value: &str) -> Result<SmolStr, Invalid> {
    let allowed_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if value.is_empty() || value.len() > 64 || !value.chars().all(allowed_char) {
        return Err(invalid(setting, value, "1 to 64 letters, digits, `-`, `_` and `.`"));
    }
    Ok(value.into())
}

fn secret(value: &str) -> Result<SmolStr, Invalid> {
    if value.len() < 8 {
        return Err(invalid("secret", value, "at least 8 bytes"));
    }
    Ok(value.into())
}

fn address(setting: &'static str, value: &str) -> Result<SocketAddr, Invalid> {
    SocketAddr::from_str(value)
        .map_err(|_| invalid(setting, value, "an IP number and a port, such as 10.0.0.5:8080"))
}

fn level(value: &str) -> Result<LevelFilter, Invalid> {
    let level = LevelFilter::from_str(value);
    level.map_err(|_| invalid("log-level", value, "error, warn, info, debug, trace or off"))
}

fn number(setting: &'static str, value: &str, least: u64, most: u64) -> Result<u64, Invalid> {
    let allowed = || invalid(setting, value, format!("a whole number from {least} to {most}"));
    let number: u64 = value.parse().map_err(|_| allowed())?;
    if (least..=most).contains(&number) { Ok(number) } else { Err(allowed()) }
}

fn size(setting: &'static str, value: &str, least: u64, most: u64) -> Result<usize, Invalid> {
    let number = number(setting, value, least, most)?;
    usize::try_from(number).map_err(|_| invalid(setting, value, "a smaller number"))
}

fn rate(setting: &'static str, value: &str) -> Result<u32, Invalid> {
    let number = number(setting, value, 1, 1_000_000)?;
    u32::try_from(number).map_err(|_| invalid(setting, value, "a smaller number"))
}

fn millis(setting: &'static str, value: &str, least: u64, most: u64) -> Result<Duration, Invalid> {
    number(setting, value, least, most).map(Duration::from_millis)
}
