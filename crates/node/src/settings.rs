//! Settings of the process, from flags and environment variables. They are validated at start.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bpaf::Bpaf;
use edge::Prompts;
use fleet::{DomainName, NodeName};
use log::LevelFilter;
use smol_str::SmolStr;

/// Exit code of a planned stop.
pub const EXIT_STOPPED: u8 = 0;
/// Exit code of an internal failure.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of invalid settings.
pub const EXIT_SETTINGS: u8 = 2;
/// Exit code when a port is in use.
pub const EXIT_PORT: u8 = 3;
/// Exit code of a planned stop that had to cut off requests.
pub const EXIT_CUT: u8 = 4;

/// Usage line of the help text.
const USAGE: &str = "Usage: magnoliarun --name NAME --domain NAME [OPTION]...";
/// Text above the options in the help text.
const HEADER: &str = "One process runs on each entry VM; all are equal. Every setting is a flag or \
                      an environment variable; a flag wins. A start for tests: magnoliarun \
                      --name n1 --domain a --platform 127.0.0.1:2379. With `magnoliarun front` the \
                      settings come in the platform's file, whose path MAGNOLIARUN_NODE_FILE \
                      holds; `magnoliarun front --check` reads that file and ends.";
/// Text below the options in the help text.
const FOOTER: &str = "Exit codes: 0 planned stop, 1 internal failure, 2 settings not allowed, \
                      3 port not free, 4 planned stop that had to cut off requests.";

/// magnoliarun front: the entry process on the users' platform, whose settings come in a file
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(front_options))]
pub struct Front {
    /// Reads the settings file and ends
    #[bpaf(long)]
    pub check: bool,
    /// How prompts of different lengths share engines: mean or mixed
    #[bpaf(long, argument("HOW"), fallback(Prompts::Mean), display_fallback)]
    pub prompts: Prompts,
}

/// magnoliarun: routes callers' requests to model pipelines and plain services
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(options), usage(USAGE), header(HEADER), footer(FOOTER))]
pub struct Arguments {
    /// Name of this node, unique in the deployment
    #[bpaf(long, env("MAGNOLIA_NAME"), argument("NAME"))]
    pub name: String,
    /// Failure domain of this VM
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
    /// Secret text that keys all hashes; the same on all nodes of a deployment
    #[bpaf(long, env("MAGNOLIA_SECRET"), argument("TEXT"), fallback("magnoliarun".into()))]
    pub secret: String,
    /// Least severe log level: error, warn, info, debug or off
    #[bpaf(long("log-level"), env("MAGNOLIA_LOG_LEVEL"), argument("LEVEL"), fallback("info".into()), display_fallback)]
    pub log_level: String,
    /// Seed of the random numbers of the decisions; 0 for a random seed
    #[bpaf(long, env("MAGNOLIA_SEED"), argument("NUMBER"), fallback("0".into()), display_fallback)]
    pub seed: String,
    /// Maximum number of open connections of callers
    #[bpaf(long, env("MAGNOLIA_CONNECTIONS"), argument("NUMBER"), fallback("4096".into()), display_fallback)]
    pub connections: String,
    /// Maximum size of a request head, in bytes
    #[bpaf(long("head-bytes"), env("MAGNOLIA_HEAD_BYTES"), argument("BYTES"), fallback("16384".into()), display_fallback)]
    pub head_bytes: String,
    /// Maximum size of a request body, in bytes
    #[bpaf(long("body-bytes"), env("MAGNOLIA_BODY_BYTES"), argument("BYTES"), fallback("1048576".into()), display_fallback)]
    pub body_bytes: String,
    /// Timeout for a caller to send a request head, in milliseconds; also for idle connections
    #[bpaf(long("head-ms"), env("MAGNOLIA_HEAD_MS"), argument("MS"), fallback("30000".into()), display_fallback)]
    pub head_ms: String,
    /// Timeout for a caller to send a request body, in milliseconds
    #[bpaf(long("body-ms"), env("MAGNOLIA_BODY_MS"), argument("MS"), fallback("10000".into()), display_fallback)]
    pub body_ms: String,
    /// Timeout for a caller to read one piece of its answer, in milliseconds
    #[bpaf(long("write-ms"), env("MAGNOLIA_WRITE_MS"), argument("MS"), fallback("30000".into()), display_fallback)]
    pub write_ms: String,
    /// Maximum size of a plain service's answer, in bytes
    #[bpaf(long("answer-bytes"), env("MAGNOLIA_ANSWER_BYTES"), argument("BYTES"), fallback("1048576".into()), display_fallback)]
    pub answer_bytes: String,
    /// Maximum size of what is held at a time of the answers of targets, in bytes; half as much of
    /// the bodies of requests
    #[bpaf(long("memory-bytes"), env("MAGNOLIA_MEMORY_BYTES"), argument("BYTES"), fallback("134217728".into()), display_fallback)]
    pub memory_bytes: String,
    /// Timeout for connecting to a target, in milliseconds
    #[bpaf(long("connect-ms"), env("MAGNOLIA_CONNECT_MS"), argument("MS"), fallback("500".into()), display_fallback)]
    pub connect_ms: String,
    /// Timeout of one call to the platform, in milliseconds
    #[bpaf(long("platform-ms"), env("MAGNOLIA_PLATFORM_MS"), argument("MS"), fallback("1000".into()), display_fallback)]
    pub platform_ms: String,
    /// Interval between reads of the platform's VM list, in milliseconds
    #[bpaf(long("list-ms"), env("MAGNOLIA_LIST_MS"), argument("MS"), fallback("1000".into()), display_fallback)]
    pub list_ms: String,
    /// Interval between reads of a target's load, in milliseconds
    #[bpaf(long("load-ms"), env("MAGNOLIA_LOAD_MS"), argument("MS"), fallback("1000".into()), display_fallback)]
    pub load_ms: String,
    /// Timeout for a reply from another node, in milliseconds
    #[bpaf(long("peer-ms"), env("MAGNOLIA_PEER_MS"), argument("MS"), fallback("500".into()), display_fallback)]
    pub peer_ms: String,
    /// Time in a planned stop until the balancer sends nothing more, in milliseconds
    #[bpaf(long("stop-lag-ms"), env("MAGNOLIA_STOP_LAG_MS"), argument("MS"), fallback("5000".into()), display_fallback)]
    pub stop_lag_ms: String,
    /// Time limit of a planned stop for the requests in progress, in milliseconds
    #[bpaf(long("stop-limit-ms"), env("MAGNOLIA_STOP_LIMIT_MS"), argument("MS"), fallback("600000".into()), display_fallback)]
    pub stop_limit_ms: String,
    /// Threads that call the platform's store
    #[bpaf(long("store-threads"), env("MAGNOLIA_STORE_THREADS"), argument("NUMBER"), fallback("4".into()), display_fallback)]
    pub store_threads: String,
    /// Maximum rate of writes to the store by all nodes together, per second
    #[bpaf(long("store-writes"), env("MAGNOLIA_STORE_WRITES"), argument("NUMBER"), fallback("300".into()), display_fallback)]
    pub store_writes: String,
    /// Maximum rate of reads from the store by all nodes together, per second
    #[bpaf(long("store-reads"), env("MAGNOLIA_STORE_READS"), argument("NUMBER"), fallback("2000".into()), display_fallback)]
    pub store_reads: String,
    /// Threads that read the answers of targets, one for each running attempt
    #[bpaf(long("target-threads"), env("MAGNOLIA_TARGET_THREADS"), argument("NUMBER"), fallback("2048".into()), display_fallback)]
    pub target_threads: String,
    /// Number of requests whose decisions are kept for `magnoliactl explain`
    #[bpaf(long("explained"), env("MAGNOLIA_EXPLAINED"), argument("NUMBER"), fallback("2000".into()), display_fallback)]
    pub explained: String,
}

/// Error for a setting whose value is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    /// Name of the flag, without dashes.
    pub setting: &'static str,
    /// Value as given.
    pub value: String,
    /// Description of the values that are allowed.
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

/// Validated settings of the process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this node.
    pub name: NodeName,
    /// Failure domain of this VM.
    pub domain: DomainName,
    /// Address of the port for callers.
    pub callers: SocketAddr,
    /// Address of the port for other nodes.
    pub peers: SocketAddr,
    /// Address of the port for operators.
    pub operators: SocketAddr,
    /// Address of the platform's key-value service and VM list.
    pub platform: SocketAddr,
    /// Secret text that keys all hashes.
    pub secret: SmolStr,
    /// Least severe log level.
    pub log_level: LevelFilter,
    /// Seed of the random numbers of the decisions; 0 for a random seed.
    pub seed: u64,
    /// Maximum number of open connections of callers.
    pub connections: usize,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for a caller to send a request head; also for idle connections.
    pub head_timeout: Duration,
    /// Timeout for a caller to send a request body.
    pub body_timeout: Duration,
    /// Timeout for a caller to read one piece of its answer.
    pub write_timeout: Duration,
    /// Maximum size of a plain service's answer, in bytes.
    pub answer_bytes: usize,
    /// Maximum size of what is held at a time of the answers of targets, in bytes; half as much of
    /// the bodies of requests. At least two of the largest are held.
    pub memory_bytes: usize,
    /// Timeout for connecting to a target.
    pub connect_timeout: Duration,
    /// Timeout of one call to the platform.
    pub platform_timeout: Duration,
    /// Interval between reads of the platform's VM list.
    pub list_interval: Duration,
    /// Interval between reads of a target's load.
    pub load_interval: Duration,
    /// Timeout for a reply from another node.
    pub peer_timeout: Duration,
    /// Time in a planned stop until the balancer sends nothing more.
    pub stop_lag: Duration,
    /// Time limit of a planned stop for the requests in progress.
    pub stop_limit: Duration,
    /// Threads that call the platform's store.
    pub store_threads: usize,
    /// Maximum rate of writes to the store by all nodes together, per second.
    pub store_writes: u32,
    /// Maximum rate of reads from the store by all nodes together, per second.
    pub store_reads: u32,
    /// Threads that read the answers of targets, one for each running attempt.
    pub target_threads: usize,
    /// Number of requests whose decisions are kept for `magnoliactl explain`.
    pub explained: usize,
}

impl Arguments {
    /// Returns arguments with a name and a failure domain; all others have their defaults.
    pub fn new(name: &str, domain: &str) -> Self {
        let arguments = ["--name", name, "--domain", domain];
        options().run_inner(&arguments[..]).expect("defaults are allowed")
    }

    /// Parses and validates all settings.
    ///
    /// # Errors
    ///
    /// Returns an error for the first setting whose value is not allowed.
    pub fn check(&self) -> Result<Settings, Invalid> {
        Ok(Settings {
            name: parse_name("name", &self.name)?,
            domain: parse_name("domain", &self.domain)?,
            callers: parse_address("callers", &self.callers)?,
            peers: parse_address("peers", &self.peers)?,
            operators: parse_address("operators", &self.operators)?,
            platform: parse_address("platform", &self.platform)?,
            secret: parse_secret(&self.secret)?,
            log_level: parse_level(&self.log_level)?,
            seed: parse_number("seed", &self.seed, 0, u64::MAX)?,
            connections: parse_size("connections", &self.connections, 1, 1_000_000)?,
            head_bytes: parse_size("head-bytes", &self.head_bytes, 8_192, 1_048_576)?,
            body_bytes: parse_size("body-bytes", &self.body_bytes, 1_024, 67_108_864)?,
            head_timeout: parse_millis("head-ms", &self.head_ms, 10, 600_000)?,
            body_timeout: parse_millis("body-ms", &self.body_ms, 10, 600_000)?,
            write_timeout: parse_millis("write-ms", &self.write_ms, 10, 600_000)?,
            answer_bytes: parse_size("answer-bytes", &self.answer_bytes, 256, 16_777_216)?,
            memory_bytes: parse_size("memory-bytes", &self.memory_bytes, 1_048_576, 1 << 40)?,
            connect_timeout: parse_millis("connect-ms", &self.connect_ms, 10, 60_000)?,
            platform_timeout: parse_millis("platform-ms", &self.platform_ms, 10, 60_000)?,
            list_interval: parse_millis("list-ms", &self.list_ms, 10, 60_000)?,
            load_interval: parse_millis("load-ms", &self.load_ms, 10, 60_000)?,
            peer_timeout: parse_millis("peer-ms", &self.peer_ms, 10, 60_000)?,
            stop_lag: parse_millis("stop-lag-ms", &self.stop_lag_ms, 0, 600_000)?,
            stop_limit: parse_millis("stop-limit-ms", &self.stop_limit_ms, 0, 86_400_000)?,
            store_threads: parse_size("store-threads", &self.store_threads, 1, 64)?,
            store_writes: parse_rate("store-writes", &self.store_writes)?,
            store_reads: parse_rate("store-reads", &self.store_reads)?,
            target_threads: parse_size("target-threads", &self.target_threads, 1, 32_768)?,
            explained: parse_size("explained", &self.explained, 0, 1_000_000)?,
        })
    }
}

fn invalid(setting: &'static str, value: &str, allowed: impl Into<String>) -> Invalid {
    Invalid { setting, value: value.to_owned(), allowed: allowed.into() }
}

fn parse_name(setting: &'static str, value: &str) -> Result<SmolStr, Invalid> {
    let allowed_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if value.is_empty() || value.len() > 64 || !value.chars().all(allowed_char) {
        return Err(invalid(setting, value, "1 to 64 letters, digits, `-`, `_` and `.`"));
    }
    Ok(value.into())
}

fn parse_secret(value: &str) -> Result<SmolStr, Invalid> {
    if value.len() < 8 {
        return Err(invalid("secret", value, "at least 8 bytes"));
    }
    Ok(value.into())
}

fn parse_address(setting: &'static str, value: &str) -> Result<SocketAddr, Invalid> {
    SocketAddr::from_str(value)
        .map_err(|_| invalid(setting, value, "an IP address and a port, such as 10.0.0.5:8080"))
}

fn parse_level(value: &str) -> Result<LevelFilter, Invalid> {
    let level = LevelFilter::from_str(value);
    level.map_err(|_| invalid("log-level", value, "error, warn, info, debug, trace or off"))
}

fn parse_number(setting: &'static str, value: &str, min: u64, max: u64) -> Result<u64, Invalid> {
    let allowed = || invalid(setting, value, format!("a whole number from {min} to {max}"));
    let number: u64 = value.parse().map_err(|_| allowed())?;
    if (min..=max).contains(&number) { Ok(number) } else { Err(allowed()) }
}

fn parse_size(setting: &'static str, value: &str, min: u64, max: u64) -> Result<usize, Invalid> {
    let number = parse_number(setting, value, min, max)?;
    usize::try_from(number).map_err(|_| invalid(setting, value, "a smaller number"))
}

fn parse_rate(setting: &'static str, value: &str) -> Result<u32, Invalid> {
    let number = parse_number(setting, value, 1, 1_000_000)?;
    u32::try_from(number).map_err(|_| invalid(setting, value, "a smaller number"))
}

fn parse_millis(
    setting: &'static str,
    value: &str,
    min: u64,
    max: u64,
) -> Result<Duration, Invalid> {
    parse_number(setting, value, min, max).map(Duration::from_millis)
}
