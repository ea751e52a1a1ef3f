//! Targets whose responses have heads that are not valid by the rules of HTTP, on the product's own
//! interface.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;

use common::{Bench, Scripted, engine, service};
use yare::parameterized;

const TEXT: &str = "twenty bytes of text";
const CHUNK: &str = "14\r\ntwenty bytes of text\r\n0\r\n\r\n";
/// States that a target has not run a call.
const NOT_RUN: &str = "magnolia-run: not-run\r\n";

/// Returns the status of the only response among all bytes of a connection; `None` if they are
/// anything else than one valid response with a length or in chunks.
fn status(bytes: &[u8]) -> Option<u16> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.split("\r\n");
    let status = lines.next()?.strip_prefix("HTTP/1.1 ")?.split(' ').next()?;
    let status = status.parse().ok().filter(|code| (200..600).contains(code))?;
    let fields: Vec<String> = lines.map(str::to_lowercase).collect();
    let length = fields.iter().find_map(|field| field.strip_prefix("content-length: "));
    let is_whole = match length {
        Some(length) => length.parse() == Ok(body.len()),
        None => matches!(status, 204 | 304) && body.is_empty() || body.ends_with("0\r\n\r\n"),
    };
    is_whole.then_some(status)
}

/// Sends a call on a connection of its own and returns all bytes that come back.
fn exchange(bench: &Bench, path: &str, body: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(bench.node.ports().callers).expect("a connection");
    let length = body.len();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\nOpenAI-Organization: cascade\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).expect("it is sent");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok();
    bytes
}

fn first_line(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).lines().next().unwrap_or("nothing").to_owned()
}

/// Path of a call to a service that may run only once, and of one that may be repeated.
const SERVICES: [(&str, bool); 2] = [("booking", false), ("lookup", true)];
const MODEL_BODY: &str = r#"{"model":"plank","messages":[{"role":"user","content":"draft"}],"max_tokens":8,"stream":false}"#;

// Guards against a response that is passed to a caller although its head is not valid, against one
// that counts as a refusal, and against a call that runs twice because of it.
#[parameterized(
    status_000 = { "HTTP/1.1 000 X\r\n", "content-length: 20\r\n", TEXT },
    status_099 = { "HTTP/1.1 099 X\r\n", "content-length: 20\r\n", TEXT },
    status_1000 = { "HTTP/1.1 1000 X\r\n", "content-length: 20\r\n", TEXT },
    status_20 = { "HTTP/1.1 20 X\r\n", "content-length: 20\r\n", TEXT },
    status_2oo = { "HTTP/1.1 2oo X\r\n", "content-length: 20\r\n", TEXT },
    status_empty = { "HTTP/1.1  X\r\n", "content-length: 20\r\n", TEXT },
    status_600 = { "HTTP/1.1 600 X\r\n", "content-length: 20\r\n", TEXT },
    status_700 = { "HTTP/1.1 700 X\r\n", "content-length: 20\r\n", TEXT },
    status_999 = { "HTTP/1.1 999 X\r\n", "content-length: 20\r\n", TEXT },
    switching_protocols = {
        "HTTP/1.1 101 Switching Protocols\r\n", "connection: upgrade\r\nupgrade: h2c\r\n", TEXT
    },
    hints_before_600 = {
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 X\r\n", "content-length: 20\r\n", TEXT
    },
    version_09 = { "HTTP/0.9 200 OK\r\n", "content-length: 20\r\n", TEXT },
    version_20 = { "HTTP/2.0 200 OK\r\n", "content-length: 20\r\n", TEXT },
    no_head = { "<html>\r\n", "", TEXT },
    two_status_lines = {
        "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n", "content-length: 20\r\n", TEXT
    },
    two_lengths = {
        "HTTP/1.1 200 OK\r\n", "content-length: 20\r\ncontent-length: 4\r\n", TEXT
    },
    list_of_lengths = { "HTTP/1.1 200 OK\r\n", "content-length: 20, 4\r\n", TEXT },
    negative_length = { "HTTP/1.1 200 OK\r\n", "content-length: -1\r\n", TEXT },
    length_and_chunked = {
        "HTTP/1.1 200 OK\r\n", "content-length: 20\r\ntransfer-encoding: chunked\r\n", CHUNK
    },
    unknown_coding = { "HTTP/1.1 200 OK\r\n", "transfer-encoding: gzip, chunked\r\n", CHUNK },
    no_content_with_a_length = { "HTTP/1.1 204 No Content\r\n", "content-length: 20\r\n", TEXT },
    no_content_in_chunks = {
        "HTTP/1.1 204 No Content\r\n", "transfer-encoding: chunked\r\n", CHUNK
    },
    space_in_a_name = { "HTTP/1.1 200 OK\r\n", "bad name: x\r\ncontent-length: 20\r\n", TEXT },
    space_after_a_name = { "HTTP/1.1 200 OK\r\n", "content-length : 20\r\n", TEXT },
    nul_in_a_name = { "HTTP/1.1 200 OK\r\n", "na\0me: x\r\ncontent-length: 20\r\n", TEXT },
    nul_in_a_value = { "HTTP/1.1 200 OK\r\n", "name: x\0y\r\ncontent-length: 20\r\n", TEXT },
    bare_cr_in_a_name = { "HTTP/1.1 200 OK\r\n", "na\rme: x\r\ncontent-length: 20\r\n", TEXT },
    bare_cr_in_a_value = { "HTTP/1.1 200 OK\r\n", "name: x\ry\r\ncontent-length: 20\r\n", TEXT },
)]
fn malformed_head_reaches_no_caller(start: &str, fields: &str, body: &'static str) {
    for not_run in ["", NOT_RUN] {
        let sent = format!("{start}{not_run}{fields}\r\n{body}");
        let target = || {
            let sent = sent.clone();
            Scripted::start(move |_, back| {
                back.send(&sent);
            })
        };
        for (name, is_repeatable) in SERVICES {
            let (first, second) = (target(), target());
            let bench = Bench::start(vec![
                service("s1", first.address, name, is_repeatable),
                service("s2", second.address, name, is_repeatable),
            ]);
            let path = format!("/services/{name}/x");
            let bytes = exchange(&bench, &path, "x");
            let runs =
                [&first, &second].map(|target| target.calls("/").len()).iter().sum::<usize>();
            println!("{name} {} after {runs} runs: {sent:?}", first_line(&bytes));
            let received = status(&bytes);
            assert!(runs > 0, "the call reaches a target");
            assert!(matches!(received, Some(502 | 504)), "{name} {sent:?}: {received:?}");
            assert!(is_repeatable || runs == 1, "{name} {sent:?}: {runs} runs");
        }
        let target = target();
        let bench = Bench::start(vec![engine("e1", target.address, [0, 16], 16)]);
        let bytes = exchange(&bench, "/v1/chat/completions", MODEL_BODY);
        println!("model {}: {sent:?}", first_line(&bytes));
        assert!(matches!(status(&bytes), Some(502 | 504)), "model {sent:?}: {bytes:?}");
    }
}

// Guards against an informational response that counts as the final one. The connection ends after
// it, as when a call crashes its target, so one that may be repeated counts as such after two.
#[parameterized(
    continue_alone = { "HTTP/1.1 100 Continue\r\n\r\n" },
    hints_alone = { "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n" },
)]
fn informational_response_alone_is_no_answer(sent: &'static str) {
    let target = || {
        Scripted::start(move |_, back| {
            back.send(sent);
        })
    };
    for (name, is_repeatable) in SERVICES {
        let (first, second) = (target(), target());
        let bench = Bench::start(vec![
            service("s1", first.address, name, is_repeatable),
            service("s2", second.address, name, is_repeatable),
        ]);
        let received = status(&exchange(&bench, &format!("/services/{name}/x"), "x"));
        let runs = first.calls("/").len() + second.calls("/").len();
        let expected = if is_repeatable { (Some(422), 2) } else { (Some(502), 1) };
        assert_eq!((received, runs), expected, "{name} {sent:?}");
    }
}

// Guards against a valid response that is rejected.
#[parameterized(
    after_continue = { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" },
    after_hints = { "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n" },
    alone = { "HTTP/1.1 200 OK\r\n" },
)]
fn final_response_is_passed_on(start: &'static str) {
    let sent = format!("{start}content-length: 20\r\n\r\n{TEXT}");
    let target = Scripted::start(move |_, back| {
        back.send(&sent);
    });
    for (name, is_repeatable) in SERVICES {
        let bench = Bench::start(vec![service("s1", target.address, name, is_repeatable)]);
        let bytes = exchange(&bench, &format!("/services/{name}/x"), "x");
        assert_eq!(status(&bytes), Some(200), "{name} {start:?}");
        assert!(bytes.ends_with(TEXT.as_bytes()), "{name} {start:?}");
    }
}
