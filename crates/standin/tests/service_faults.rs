//! Tests of the faults of a plain service.

mod common;

use std::net::SocketAddr;
use std::thread;

use common::{agent, wait_until};
use standin::service::{Builder, Command, Service};
use yare::parameterized;

fn start() -> Service {
    Builder::new("b1").start().expect("the service starts")
}

/// Sends a booking. Returns the status and the `Magnolia-Run` header, or `None` when the
/// connection closes without a response.
fn book(address: SocketAddr, request: u128, body: &str) -> Option<(u16, Option<String>)> {
    let response = agent()
        .post(format!("http://{address}/book"))
        .header("Magnolia-Request", format!("{request:032x}"))
        .header("Magnolia-Attempt", "1")
        .send(body)
        .ok()?;
    let run = response.headers().get("magnolia-run").and_then(|value| value.to_str().ok());
    Some((response.status().as_u16(), run.map(str::to_owned)))
}

#[test]
fn each_run_is_recorded_with_its_request() {
    let service = start();
    for _ in 0..2 {
        assert_eq!(book(service.address(), 7, "stand 4"), Some((200, None)));
    }
    let runs = service.runs();
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().all(|run| run.request == 7 && run.attempt == 1 && run.path == "/book"));
}

#[parameterized(
    response_lost_after_run = { Command::LoseNext { count: 1 }, None, 1 },
    connection_closed_before_run = { Command::CutNext { count: 1 }, None, 0 },
    failed_after_run = { Command::FailNext { count: 1, status: 500 }, Some((500, None)), 1 },
    leaving = { Command::Leaving(true), Some((503, Some("not-run".to_owned()))), 0 },
    crash_after_run_started = { Command::CrashOn { mark: "stand".into() }, None, 1 },
)]
fn fault_determines_response_and_recorded_runs(
    command: Command,
    seen: Option<(u16, Option<String>)>,
    runs: usize,
) {
    let service = start();
    service.command(command.clone());
    assert_eq!(book(service.address(), 1, "stand 4"), seen);
    assert_eq!(service.runs().len(), runs);
    if matches!(command, Command::CrashOn { .. }) {
        wait_until("the service ends", || !service.is_running());
    }
}

#[test]
fn frozen_service_resumes_after_thaw() {
    let service = start();
    service.command(Command::Freeze);
    let address = service.address();
    let caller = thread::spawn(move || book(address, 1, "stand 4"));
    service.command(Command::Thaw);
    assert_eq!(caller.join().expect("the caller ends"), Some((200, None)));
}

#[test]
fn service_without_a_free_slot_rejects_as_not_run() {
    let service = Builder::new("b1").slots(1).start().expect("the service starts");
    service.command(Command::DelayMs(3_600_000));
    let address = service.address();
    let caller = thread::spawn(move || book(address, 1, "stand 4"));
    wait_until("the first call runs", || service.runs().len() == 1);
    assert_eq!(book(address, 2, "stand 5"), Some((429, Some("not-run".to_owned()))));
    service.command(Command::Crash);
    assert_eq!(caller.join().expect("the caller ends"), None);
}
