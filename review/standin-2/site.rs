//! A small deployment: its configuration, its targets and the requests of its callers.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::http::{Message, response};
use crate::target::Answer;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";
/// `max_header_bytes` of the configuration.
pub const MAX_HEADER_BYTES: usize = 16_384;
/// `timeout_ms` of the route of lookups.
pub const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Fields of the entry of a plain target.
pub const DESK: &str = "\"service\":\"desk\",\"zone\":\"a\"";
/// Fields of the entry of an engine that holds all layers.
pub const ENGINE: &str = "\"service\":\"llm\",\"zone\":\"a\",\"kind\":\"h100\",\
    \"layers\":{\"from\":0,\"to\":8,\"version\":1}";

/// Returns the configuration, with more fields that each begin with a comma.
pub fn config(version: u64, more: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u64, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"service\":\"{service}\",\"timeout_ms\":{timeout_ms},\
             \"target_latency_ms\":500,\"priority\":1,\"max_attempts\":2,\"public\":false{more}}}"
        )
    };
    let streams = ",\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":200";
    let routes = [
        route("book", "unsafe", "desk", 1_500, ""),
        route("read", "safe", "desk", LOOKUP_TIMEOUT.as_millis() as u64, ""),
        route("text", "streaming", "llm", 20_000, streams),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":1000,\"slots\":192}},\
         {{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":1128,\"slots\":192,\
         \"engine\":{{\"slots\":192,\"kv_bytes\":320000,\"step_ms\":0.85,\"read_per_s\":196000,\
         \"layers\":8,\"layer_mb\":1750,\"models\":[{{\"name\":\"m\",\"load_s\":1}}],\
         \"usual\":{{\"prompt\":800,\"answer\":100}},\
         \"kinds\":[{{\"name\":\"h100\",\"mb\":72000,\"pace\":1.4,\"read_x\":1}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":{MAX_HEADER_BYTES},\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}{more}}}",
        routes.join(",")
    )
}

/// Returns a request with these further fields, each with its line end.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline: Duration,
    more: &str,
    body: &str,
) -> Vec<u8> {
    let (deadline, length) = (deadline.as_millis(), body.len());
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline}\r\n\
         {more}Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// A plain target that answers each request at once.
pub fn desk() -> Answer {
    Arc::new(|connection, request| connection.send(&success(request, "done")).is_ok())
}

fn success(request: &Message, body: &str) -> Vec<u8> {
    let id = request.field("request-id");
    response("200 OK", &format!("Request-Id: {id}\r\nResponse-Stamp: s.{id}\r\n"), body)
}

/// An engine whose streams have their first event after `first`, and `events` in all.
pub fn engine(first: Duration, events: u64, interval: Duration) -> Answer {
    Arc::new(move |connection, request| {
        match request.word(1) {
            "/report" => {
                let body = "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":0,\
                            \"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":800000,\
                            \"handles\":0,\"pace\":1.0,\
                            \"layers\":{\"from\":0,\"to\":8,\"version\":1}}";
                let fields = "Content-Type: application/json\r\n";
                return connection.send(&response("200 OK", fields, body)).is_ok();
            }
            "/order" => return connection.send(&response("200 OK", "", "")).is_ok(),
            _ => {}
        }
        let id = request.field("request-id");
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if connection.send(head.as_bytes()).is_err() {
            return false;
        }
        sleep(first);
        let last: u64 = request.field("last-event-id").parse().unwrap_or(0);
        for number in last + 1..=events {
            let event = format!("id: {number}\ndata: token {number} of {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if connection.send(chunk.as_bytes()).is_err() {
                return false;
            }
            sleep(interval);
        }
        connection.send(b"0\r\n\r\n").is_ok()
    })
}
