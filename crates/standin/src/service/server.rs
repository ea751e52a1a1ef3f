//! Request handling of a plain service.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use fleet::{AttemptId, Event, RequestId};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;

use super::command::Command;
use crate::engine::{Crash, hex};
use crate::event::{COMMANDED, CRASHED};
use crate::http::{Call, Cut, Gate, Handler, Reply, ReplyFuture, Stop};

/// Record of one call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Request identifier; 0 when the call has none.
    #[serde(with = "hex")]
    pub request: RequestId,
    /// Attempt identifier; 0 when the call has none.
    pub attempt: AttemptId,
    /// HTTP method.
    pub method: SmolStr,
    /// URL path.
    pub path: SmolStr,
    /// Request body; invalid UTF-8 is replaced by U+FFFD.
    pub body: SmolStr,
}

/// Mutable state of a service, protected by one mutex.
#[derive(Debug, Default)]
pub(super) struct State {
    runs: Vec<Run>,
    running: u32,
    leaving: bool,
    delay: Duration,
    crash_marker: Option<SmolStr>,
    lose_next: u32,
    cut_next: u32,
    fail_next: (u32, u16),
}

/// State shared by all connections.
pub(super) struct Shared {
    pub(super) name: SmolStr,
    pub(super) slots: u32,
    pub(super) state: Mutex<State>,
    pub(super) gate: Gate,
    pub(super) stop: Stop,
    pub(super) crash: Crash,
}

/// Response to a call that ran.
#[derive(Serialize)]
struct Booking<'a> {
    service: &'a str,
    booking: String,
    run: usize,
}

impl Shared {
    /// Locks the state. Panics when the mutex is poisoned.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Returns all runs in order.
    pub(super) fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Sets the duration of each call.
    pub(super) fn set_delay(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// Executes a control command.
    pub(super) fn command(&self, command: Command) {
        log::info!("{}", Event::new(&COMMANDED).with("command", format_args!("{command:?}")));
        let mut state = self.state();
        match command {
            Command::LoseNext { count } => state.lose_next = count,
            Command::CutNext { count } => state.cut_next = count,
            Command::FailNext { count, status } => state.fail_next = (count, status),
            Command::DelayMs(delay) => state.delay = Duration::from_millis(delay),
            Command::CrashOn { mark } => state.crash_marker = Some(mark),
            Command::Crash => self.crash(),
            Command::Freeze => self.gate.freeze(true),
            Command::Thaw => self.gate.freeze(false),
            Command::Leaving(leaving) => state.leaving = leaving,
        }
    }

    fn crash(&self) {
        log::warn!("{}", Event::new(&CRASHED).with("target", &self.name));
        match self.crash {
            Crash::Abort => std::process::abort(),
            Crash::Stop => self.stop.stop(),
        }
    }

    async fn route(self: Arc<Self>, call: Call) -> Result<Reply, Cut> {
        if call.path.starts_with("/control") {
            return Ok(self.control(&call));
        }
        self.gate.pass().await;
        if (&call.method, call.path.as_str()) == (&Method::GET, "/load") {
            let running = self.state().running;
            let load = json!({"running": running, "queued": 0, "slots": self.slots,
                "tokens_per_second": 0.0, "age_ms": 0});
            return Ok(Reply::json(StatusCode::OK, &load));
        }
        self.run(&call).await
    }

    async fn run(&self, call: &Call) -> Result<Reply, Cut> {
        if let Some(refusal) = self.acquire_slot()? {
            return Ok(refusal);
        }
        // A run stays recorded when its caller disconnects, but its slot is released.
        let slot = Slot(self);
        let run = self.record_run(call)?;
        let delay = self.state().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        self.gate.pass().await;
        drop(slot);
        let mut state = self.state();
        if state.lose_next > 0 {
            state.lose_next -= 1;
            return Err(Cut);
        }
        if state.fail_next.0 > 0 {
            state.fail_next.0 -= 1;
            let status = StatusCode::from_u16(state.fail_next.1);
            let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            return Ok(Reply::error(status, "failed", "failed by control command"));
        }
        let booking = format!("{}-{run}", self.name);
        Ok(Reply::json(StatusCode::OK, &Booking { service: &self.name, booking, run }))
    }

    /// Acquires a slot. Returns a rejection when the service is leaving or has no free slot,
    /// and `Cut` when a pending fault closes the connection.
    fn acquire_slot(&self) -> Result<Option<Reply>, Cut> {
        let mut state = self.state();
        if state.leaving {
            let message = "service is leaving and accepts no new calls";
            return Ok(Some(refusal(StatusCode::SERVICE_UNAVAILABLE, "leaving", message)));
        }
        if state.running >= self.slots {
            return Ok(Some(refusal(StatusCode::TOO_MANY_REQUESTS, "full", "no slot is free")));
        }
        if state.cut_next > 0 {
            state.cut_next -= 1;
            return Err(Cut);
        }
        state.running += 1;
        Ok(None)
    }

    /// Records the run and returns its number, counted from 1. Crashes when the body contains
    /// the crash marker.
    fn record_run(&self, call: &Call) -> Result<usize, Cut> {
        let body = SmolStr::from(String::from_utf8_lossy(&call.body));
        let mut state = self.state();
        let crashes = state.crash_marker.as_ref().is_some_and(|mark| body.contains(mark.as_str()));
        state.runs.push(Run {
            request: RequestId::from_str_radix(call.header("magnolia-request"), 16).unwrap_or(0),
            attempt: call.header("magnolia-attempt").parse().unwrap_or(0),
            method: call.method.as_str().into(),
            path: call.path.as_str().into(),
            body,
        });
        let number = state.runs.len();
        drop(state);
        if crashes {
            self.crash();
            return Err(Cut);
        }
        Ok(number)
    }

    fn control(&self, call: &Call) -> Reply {
        if call.method == Method::GET {
            let lines = self.runs().iter().map(json_line).collect::<String>();
            return Reply::whole(StatusCode::OK, "application/jsonl", lines);
        }
        match call.json() {
            Ok(command) => {
                self.command(command);
                Reply::json(StatusCode::OK, &json!({}))
            }
            Err(error) => Reply::error(StatusCode::BAD_REQUEST, "invalid", &error.to_string()),
        }
    }
}

/// An acquired slot, released on drop.
struct Slot<'a>(&'a Shared);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.state().running -= 1;
    }
}

impl Handler for Shared {
    fn call(self: Arc<Self>, call: Call) -> ReplyFuture {
        Box::pin(self.route(call))
    }
}

fn json_line(run: &Run) -> String {
    let mut line = serde_json::to_string(run).unwrap_or_default();
    line.push('\n');
    line
}

fn refusal(status: StatusCode, kind: &str, message: &str) -> Reply {
    let mut reply = Reply::not_run(status, kind, message);
    reply.headers.push(("retry-after", "1".to_owned()));
    reply
}
