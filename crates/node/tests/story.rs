//! `magnoliactl explain --logs`: selects the log lines of a request and of its causes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::Value;
use yare::parameterized;

/// Log lines of two nodes as written by a collector: time of arrival, node, line. The last line
/// is truncated, as by a full disk.
const LOG: &str = r#"
 3.1 n1 2026-09-06T03:12:20.100Z [INFO] event=1104 name=configuration-in-force version=5 before=3
 9.0 n1 2026-09-06T03:12:26.000Z [INFO] event=1109 name=target-changed target=e9 state=Ready
 9.4 n1 2026-09-06T03:12:26.390Z [WARN] event=1111 name=target-left-out target=e2 fault=Silent reason="no report while streams pause"
 9.4 n2 2026-09-06T03:12:26.391Z [WARN] event=1111 name=target-left-out target=e2 fault=Silent reason="no report while streams pause"
 9.4 n1 2026-09-06T03:12:26.4Z [INFO] event=1116 name=request-retried request=aa offer=1 after_event=Some(99) target=e3
 9.5 n1 2026-09-06T03:12:26.405Z [INFO] event=1117 name=request-refused request=bb reason=full offers=0 pressure=1.44
not a line of a node
 9.5 n2 2026-09-06T03:12:26.500Z [INFO] event=1121 name=layout gaps="[(\"c\", Layers { start: 29, end: 37 })]"
 9.6 n1 2026-09-06T03:12:26.600Z [INFO] event=1112 name=target-used-again target=e4
 9.7 n1 2026-09-06T03:12:26.700Z [INFO] event=1115 name=request-answered request=aa outcome=complete moves=1 path=e3:0-23,e4:23-80
 9.8 n2 2026-09-06T03:12:26.750Z [WARN] event=1122 name=attempt-failed request=cc target=p1 reason="connection lost" ran=unknown
 9.8 n2 2026-09-06T03:12:26.750Z [INFO] event=1115 name=request-answered request=cc status=502
 9.9 n2 2026-09-06T03:12:26.8"#;

/// Runs `magnoliactl`. Passes the log on standard input if the arguments contain `-`.
fn run(arguments: &[&str]) -> Output {
    let reads_stdin = arguments.contains(&"-");
    let stdin = if reads_stdin { Stdio::piped() } else { Stdio::null() };
    let mut command = Command::new(env!("CARGO_BIN_EXE_magnoliactl"));
    command.args(arguments).stdin(stdin).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("the command starts");
    if let Some(mut input) = child.stdin.take() {
        input.write_all(LOG.as_bytes()).expect("the log is written");
    }
    child.wait_with_output().expect("the command ends")
}

struct Case {
    request: &'static str,
    /// Numbers of the expected events, in their order.
    events: &'static [u64],
}

#[parameterized(
    moved_stream = { Case { request: "aa", events: &[1111, 1116, 1121, 1112, 1115] } },
    refused = { Case { request: "bb", events: &[1111, 1117] } },
    unknown_booking = { Case { request: "cc", events: &[1111, 1121, 1122, 1115] } },
)]
fn timeline_holds_the_request_and_its_causes(case: Case) {
    let output = run(&["--json", "explain", "--logs", "-", case.request]);
    assert_eq!(output.status.code(), Some(0));
    let timeline: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let lines = timeline["lines"].as_array().expect("lines");
    let events: Vec<u64> = lines.iter().filter_map(|line| line["event"].as_u64()).collect();
    assert_eq!(events, case.events);
}

#[test]
fn timeline_shows_the_time_since_the_requests_first_line() {
    let output = run(&["explain", "--logs", "-", "aa"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[1].starts_with("-0.010") && lines[1].contains("no report while"), "{text}");
    assert!(lines[2].starts_with("+0.000") && lines[2].contains("1116 request-retried"), "{text}");
    assert!(lines[5].starts_with("+0.300") && lines[5].contains("path=e3:0-23,e4:23-80"), "{text}");
}

#[test]
fn missing_request_or_log_is_reported() {
    let output = run(&["explain", "--logs", "-", "dd"]);
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(error, "Error: the logs hold no line of request dd\n");
    let output = run(&["explain", "--logs", "/nonexistent/log", "dd"]);
    assert_eq!(output.status.code(), Some(2));
}
