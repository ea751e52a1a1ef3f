//! A running entry process.

use std::fs;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use platform_standin::Settings;

/// Longest wait for a process to listen.
const START_LIMIT: Duration = Duration::from_secs(10);

/// A process; ended with the test.
pub(crate) struct Entry {
    /// The process.
    pub(crate) child: Child,
    /// Where callers connect.
    pub(crate) front: SocketAddr,
    /// Where the platform asks whether it takes callers.
    pub(crate) ready: SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        // It may have ended already.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Entry {
    /// Starts a process, and waits until it listens.
    pub(crate) fn start(name: &str, settings: &Settings) -> Self {
        let mut command = command(name, &settings.text);
        let child = command.stdout(Stdio::null()).spawn().expect("the process starts");
        let entry = Self { child, front: settings.front, ready: settings.ready };
        let limit = Instant::now() + START_LIMIT;
        while status(entry.ready, "/ready").is_none() {
            assert!(Instant::now() < limit, "it listens");
            sleep(Duration::from_millis(20));
        }
        entry
    }

    /// Sends a signal, by its name.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let signal = format!("-{name}");
        let sent = Command::new("kill").args([&signal, &pid]).status().expect("a signal is sent");
        assert!(sent.success());
    }
}

/// The command that runs a process with these settings.
pub(crate) fn command(name: &str, text: &str) -> Command {
    let file = std::env::temp_dir().join(format!("magnolia-{}-{name}.conf", std::process::id()));
    fs::write(&file, text).expect("a settings file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_magnoliarun"));
    command.arg("front").env("MAGNOLIARUN_NODE_FILE", file);
    command
}

/// Status of the answer to a request on a new connection; `None` when nobody listens.
pub(crate) fn status(address: SocketAddr, path: &str) -> Option<u16> {
    let text = text(address, path)?;
    text.split(' ').nth(1)?.parse().ok()
}

/// The whole answer to a request on a new connection; `None` when nobody listens.
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
