//! What a failed call says about its effect, against a server that answers as scripted.

use std::io::{BufRead, BufReader, Read, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use store::{
    Budget, Cause, Client, Commit, Effect, Health, Purpose, Rates, Settings, State, Write,
};
use yare::parameterized;

/// What the server does with one call.
#[derive(Clone)]
enum Say {
    Answer(u16, String),
    /// Reads the call and closes the connection.
    Break,
    /// Reads the call and says nothing until the client has gone.
    Silence,
}

/// Answers as many calls as the script has, each on a connection of its own.
fn serve(script: Vec<Say>) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let answer = move |say| {
        let (mut stream, _) = listener.accept().expect("a call");
        read_call(&stream);
        match say {
            Say::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                stream.write_all(head.as_bytes()).expect("written");
                stream.write_all(body.as_bytes()).expect("written");
            }
            Say::Break => {}
            Say::Silence => {
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
    rate = { Say::Answer(429, "{}".into()), Effect::None, Cause::RateLimited },
    wrong = {
        Say::Answer(400, r#"{"message": "no"}"#.into()),
        Effect::None,
        Cause::Refused { status: 400, message: "no".into() }
    },
    outage = {
        Say::Answer(503, r#"{"message": "down"}"#.into()),
        Effect::Possible,
        Cause::Failed { status: 503, message: "down".into() }
    },
    silence = { Say::Silence, Effect::Possible, Cause::Timeout },
)]
fn a_write_says_what_became_of_it(say: Say, effect: Effect, cause: Cause) {
    let (address, server) = serve(vec![say]);
    let error = client(address).cas(Purpose::Ledger, WRITE).expect_err("a failure");
    server.join().expect("no panic");
    assert_eq!((error.effect, error.cause), (effect, cause));
}

#[parameterized(
    broken = { Say::Break },
    malformed = { Say::Answer(200, "{".into()) },
)]
fn a_write_without_a_whole_answer_may_have_taken_effect(say: Say) {
    let (address, server) = serve(vec![say]);
    let error = client(address).cas(Purpose::Ledger, WRITE).expect_err("a failure");
    server.join().expect("no panic");
    assert_eq!(error.effect, Effect::Possible, "{error}");
}

/// The write is lost; `readback` are the answers to the reads that follow.
#[parameterized(
    under_a_later_write = { &[(9, 3, "b3RoZXI="), (7, 2, "bm9uY2U=")], Some(7) },
    replaced_by_another = { &[(9, 3, "b3RoZXI="), (7, 2, "b3RoZXI="), (5, 1, "b2xk")], None },
)]
fn a_lost_write_is_looked_for_in_the_history(readback: &[(u64, u64, &str)], revision: Option<u64>) {
    let mut script = vec![Say::Break];
    for (revision, version, value) in readback {
        let entry = format!(
            r#"{{"key": "aw==", "value": "{value}", "create_revision": "5", "mod_revision": "{revision}", "version": "{version}"}}"#
        );
        script.push(Say::Answer(200, format!(r#"{{"kvs": [{entry}]}}"#)));
    }
    let (address, server) = serve(script);
    let write = Write { expected: 5, value: Some(b"nonce"), ..WRITE };
    let commit = client(address).commit(Purpose::Preset, write, b"nonce").expect("settled");
    server.join().expect("no panic");
    match revision {
        Some(revision) => assert_eq!(commit, Commit::Written { revision }),
        None => assert!(matches!(commit, Commit::Conflict { .. }), "{commit:?}"),
    }
}

#[test]
fn a_write_without_a_connection_did_not_take_effect() {
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
fn later_purposes_leave_calls_to_earlier_ones(purpose: Purpose, taken: usize) {
    let mut budget = Budget::new(Rates { writes: 10.0, reads: 10.0 });
    let writes = (0..20).filter(|_| budget.take_write(Duration::ZERO, purpose)).count();
    assert_eq!(writes, taken);
    assert!(budget.take_read(Duration::ZERO, purpose), "reads have a budget of their own");
    let later = Duration::from_millis(100);
    assert!(budget.take_write(later, Purpose::Ledger), "a tenth of a second brings one call");
}

#[test]
fn an_outage_begins_after_three_failures_and_ends_with_an_answer() {
    let (first, most) = (Duration::from_millis(50), Duration::from_secs(2));
    let mut health = Health::new(first, most, 1);
    let now = Duration::from_secs(9);
    let begun: Vec<bool> = (0..4).map(|_| health.record_failure(now)).collect();
    assert_eq!(begun, [false, false, true, false]);
    assert_eq!((health.state(), health.failing_since()), (State::Down, Some(now)));
    assert!(health.retry_at() > now && health.retry_at() <= now + most);
    assert!(health.record_success(), "it ends");
    assert_eq!((health.state(), health.failing_since()), (State::Up, None));
}
