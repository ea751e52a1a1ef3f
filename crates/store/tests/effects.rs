//! Effects reported by failed calls, tested against a server with scripted answers.

use std::io::{BufRead, BufReader, Read, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use store::{
    Budget, Cause, Client, Commit, Effect, Health, Purpose, Rates, Settings, State, Write,
};
use yare::parameterized;

/// Response of the server to one call.
#[derive(Clone)]
enum Response {
    Answer(u16, String),
    /// Reads the call and closes the connection.
    Break,
    /// Reads the call and sends nothing until the client closes the connection.
    Silence,
}

/// Starts a server that handles one call for each entry of the script, each on its own connection.
fn serve(script: Vec<Response>) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let answer = move |response| {
        let (mut stream, _) = listener.accept().expect("a call");
        read_call(&stream);
        match response {
            Response::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                stream.write_all(head.as_bytes()).expect("written");
                stream.write_all(body.as_bytes()).expect("written");
            }
            Response::Break => {}
            Response::Silence => {
                let _ = stream.read(&mut [0; 1]);
            }
        }
    };
    (address, thread::spawn(move || script.into_iter().for_each(answer)))
}

fn read_call(stream: &TcpStream) {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a line");
        let line = line.trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a number");
        }
        if line.is_empty() {
            break;
        }
    }
    reader.read_exact(&mut vec![0; length]).expect("a body");
}

fn client(address: SocketAddr) -> Client {
    let settings =
        Settings::builder(&address.to_string()).timeout(Duration::from_millis(200)).build();
    Client::new(settings)
}

const WRITE: Write<'_> =
    Write { key: "k", expected: 0, value: Some(b"v"), lease: None, guard: None };

#[parameterized(
    rate = { Response::Answer(429, "{}".into()), Effect::None, Cause::RateLimited },
    wrong = {
        Response::Answer(400, r#"{"message": "no"}"#.into()),
        Effect::None,
        Cause::Refused { status: 400, message: "no".into() }
    },
    outage = {
        Response::Answer(503, r#"{"message": "down"}"#.into()),
        Effect::Possible,
        Cause::Failed { status: 503, message: "down".into() }
    },
    silence = { Response::Silence, Effect::Possible, Cause::Timeout },
)]
fn failed_write_reports_its_effect(response: Response, effect: Effect, cause: Cause) {
    let (address, server) = serve(vec![response]);
    let error = client(address).cas(Purpose::Ledger, WRITE).expect_err("a failure");
    server.join().expect("no panic");
    assert_eq!((error.effect, error.cause), (effect, cause));
}

#[parameterized(
    broken = { Response::Break },
    malformed = { Response::Answer(200, "{".into()) },
)]
fn write_without_a_complete_answer_may_have_taken_effect(response: Response) {
    let (address, server) = serve(vec![response]);
    let error = client(address).cas(Purpose::Ledger, WRITE).expect_err("a failure");
    server.join().expect("no panic");
    assert_eq!(error.effect, Effect::Possible, "{error}");
}

/// The answer to the write is lost. `readback` holds revision, version and value of the answers to
/// the reads that follow.
#[parameterized(
    overwritten = { &[(9, 3, "b3RoZXI="), (7, 2, "bm9uY2U=")], Some(7) },
    superseded = { &[(9, 3, "b3RoZXI="), (7, 2, "b3RoZXI="), (5, 1, "b2xk")], None },
)]
fn lost_write_is_searched_for_in_the_history(readback: &[(u64, u64, &str)], revision: Option<u64>) {
    let mut script = vec![Response::Break];
    for (revision, version, value) in readback {
        let entry = format!(
            r#"{{"key": "aw==", "value": "{value}", "create_revision": "5", "mod_revision": "{revision}", "version": "{version}"}}"#
        );
        script.push(Response::Answer(200, format!(r#"{{"kvs": [{entry}]}}"#)));
    }
    let (address, server) = serve(script);
    let write = Write { expected: 5, value: Some(b"nonce"), ..WRITE };
    let commit = client(address).commit(Purpose::Preset, write, b"nonce").expect("a known outcome");
    server.join().expect("no panic");
    match revision {
        Some(revision) => assert_eq!(commit, Commit::Written { revision }),
        None => assert!(matches!(commit, Commit::Conflict { .. }), "{commit:?}"),
    }
}

// Guards against a key of another writer hiding those of this system.
#[test]
fn key_that_is_no_text_leaves_the_others() {
    let row = |key: &str| format!(r#"{{"key": "{key}", "value": "dg==", "mod_revision": "5"}}"#);
    let rows = [row("//79"), row("aw==")].join(",");
    let answer = Response::Answer(200, format!(r#"{{"kvs": [{rows}]}}"#));
    let (address, server) = serve(vec![answer]);
    let listing = client(address).list(Purpose::Order, "k").expect("a listing");
    server.join().expect("no panic");
    let keys: Vec<&str> = listing.entries.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!(keys, ["k"]);
}

#[test]
fn write_without_a_connection_did_not_take_effect() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let error = client(address).cas(Purpose::Ledger, WRITE).expect_err("a failure");
    assert_eq!(error.effect, Effect::None, "{error}");
    assert!(matches!(error.cause, Cause::Connect(_)), "{error}");
}

#[parameterized(
    ledger = { Purpose::Ledger, 10 },
    preset = { Purpose::Preset, 10 },
    order = { Purpose::Order, 7 },
    member = { Purpose::Member, 5 },
)]
fn less_important_purposes_leave_calls_to_others(purpose: Purpose, taken: usize) {
    let mut budget = Budget::new(Rates { writes: 10.0, reads: 10.0 });
    let writes = (0..20).filter(|_| budget.take_write(Duration::ZERO, purpose)).count();
    assert_eq!(writes, taken);
    assert!(budget.take_read(Duration::ZERO, purpose), "reads have a separate budget");
    let later = Duration::from_millis(100);
    assert!(budget.take_write(later, Purpose::Ledger), "one call is added in 100 ms");
}

#[test]
fn outage_starts_after_three_failures_and_ends_with_an_answer() {
    let (min, max) = (Duration::from_millis(50), Duration::from_secs(2));
    let mut health = Health::new(min, max, 1);
    let now = Duration::from_secs(9);
    let started: Vec<bool> = (0..4).map(|_| health.record_failure(now)).collect();
    assert_eq!(started, [false, false, true, false]);
    assert_eq!((health.state(), health.failing_since()), (State::Down, Some(now)));
    assert!(health.retry_at() > now && health.retry_at() <= now + max);
    assert!(health.record_success(), "the outage ends");
    assert_eq!((health.state(), health.failing_since()), (State::Up, None));
}
