//! Starts an entry process for a test and sends it signals and requests.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use platform_standin::Settings;

/// Longest wait until a process listens.
const START_LIMIT: Duration = Duration::from_secs(10);

/// An entry process, which is killed when the value is dropped.
pub(crate) struct Entry {
    /// Handle of the process.
    pub(crate) child: Child,
    /// Address that callers connect to.
    pub(crate) front: SocketAddr,
    /// Address at which the platform checks readiness.
    pub(crate) ready: SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        // Errors are ignored because the process may have ended already.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Entry {
    /// Starts a process and waits until its readiness port listens.
    pub(crate) fn start(name: &str, settings: &Settings) -> Self {
        Self::start_command(command(name, &settings.text).stdout(log(name)), settings)
    }

    /// Starts a process that appends its log to a file, and waits until its readiness port listens.
    pub(crate) fn start_logged(name: &str, settings: &Settings, log: &Path) -> Self {
        let file = fs::OpenOptions::new().create(true).append(true).open(log);
        let file = file.expect("a log file");
        Self::start_command(command(name, &settings.text).stdout(file), settings)
    }

    /// Starts a process that may have this number of open files, and waits until its readiness port
    /// listens.
    pub(crate) fn start_limited(name: &str, settings: &Settings, max_fds: usize) -> Self {
        let command = command(name, &settings.text);
        let mut limited = Command::new("sh");
        limited.arg("-c").arg(format!("ulimit -n {max_fds}; exec \"$0\" \"$@\""));
        limited.arg(command.get_program()).args(command.get_args());
        limited.envs(command.get_envs().filter_map(|(name, value)| Some((name, value?))));
        Self::start_command(limited.stdout(log(name)), settings)
    }

    /// Starts a process by a command with these settings and waits until its readiness port
    /// listens.
    pub(crate) fn start_command(command: &mut Command, settings: &Settings) -> Self {
        let child = platform_standin::spawn(command).expect("the process starts");
        let entry = Self { child, front: settings.front, ready: settings.ready };
        let limit = Instant::now() + START_LIMIT;
        while status(entry.ready, "/ready").is_none() {
            assert!(Instant::now() < limit, "the entry process does not listen");
            sleep(Duration::from_millis(20));
        }
        entry
    }

    /// Sends the signal with this name, such as `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let signal = format!("-{name}");
        let sent = platform_standin::spawn(Command::new("kill").args([&signal, &pid]));
        let sent = sent.and_then(|mut kill| kill.wait()).expect("a signal is sent");
        assert!(sent.success());
    }
}

/// Folder that keeps the logs of processes, for tracing a test that fails.
pub(crate) const LOGS_VARIABLE: &str = "MAGNOLIA_TEST_LOGS";

/// Returns where the process `name` writes its log: to a file if [`LOGS_VARIABLE`] is set.
fn log(name: &str) -> Stdio {
    let Some(folder) = std::env::var_os(LOGS_VARIABLE) else { return Stdio::null() };
    let file = fs::File::create(Path::new(&folder).join(format!("{name}.log")));
    Stdio::from(file.expect("a log file"))
}

/// Writes the settings to a temporary file and returns the command that runs a process with it.
pub(crate) fn command(name: &str, text: &str) -> Command {
    command_of(Path::new(env!("CARGO_BIN_EXE_magnoliarun")), name, text)
}

/// Writes the settings to a temporary file and returns the command that runs this program with it.
pub(crate) fn command_of(program: &Path, name: &str, text: &str) -> Command {
    let file = std::env::temp_dir().join(format!("magnolia-{}-{name}.conf", std::process::id()));
    fs::write(&file, text).expect("a settings file");
    let mut command = Command::new(program);
    command.arg("front").env("MAGNOLIARUN_NODE_FILE", file);
    command
}

/// Sends a request on a new connection and returns the status of the answer; `None` if the
/// connection fails.
pub(crate) fn status(address: SocketAddr, path: &str) -> Option<u16> {
    let text = text(address, path)?;
    text.split(' ').nth(1)?.parse().ok()
}

/// Sends a request on a new connection and returns the answer with its head; `None` if the
/// connection fails.
pub(crate) fn text(address: SocketAddr, path: &str) -> Option<String> {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(address).ok()?;
    let request =
        format!("GET {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// Returns the sum of the counters in `metrics` whose line starts with `name`.
pub(crate) fn sum_of_counters(metrics: &str, name: &str) -> u64 {
    let lines = metrics.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}
