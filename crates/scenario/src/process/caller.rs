//! Callers, each of which sends one request on its own thread.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};

use fleet::RequestId;
use serde_json::{Value, json};
use smol_str::SmolStr;
use ureq::http::Response;

use super::MAX_WAIT;
use super::answer::Answer;
use crate::Error;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Chat completion.
    Chat,
    /// Text completion.
    Text,
    /// Call of the booking service.
    Booking,
}

/// Request to a node.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) kind: Kind,
    pub(crate) model: SmolStr,
    pub(crate) organisation: SmolStr,
    pub(crate) key: Option<SmolStr>,
    pub(crate) max_tokens: u32,
    pub(crate) stream: bool,
    pub(crate) content: String,
}

impl Request {
    fn path(&self) -> &'static str {
        match self.kind {
            Kind::Chat => "/v1/chat/completions",
            Kind::Text => "/v1/completions",
            Kind::Booking => "/services/booking/book",
        }
    }

    fn body(&self) -> String {
        let mut body = match self.kind {
            Kind::Booking => return self.content.clone(),
            Kind::Chat => json!({"messages": [{"role": "user", "content": self.content}]}),
            Kind::Text => json!({"prompt": self.content}),
        };
        body["model"] = json!(self.model);
        body["max_tokens"] = json!(self.max_tokens);
        body["stream"] = json!(self.stream);
        body.to_string()
    }
}

/// Request in progress; dropping it waits for the end of the answer.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) request: Request,
    pub(crate) answer: Answer,
    thread: Option<JoinHandle<()>>,
}

impl Caller {
    /// Sends `request` to a node. With `last_event_id`, asks for the events that follow it.
    pub(crate) fn send(
        node: SocketAddr,
        request: Request,
        last_event_id: Option<SmolStr>,
    ) -> Result<Self, Error> {
        let answer = Answer::default();
        let (sent, received) = (request.clone(), answer.clone());
        let work = move || {
            receive(node, &sent, last_event_id, &received);
            received.lock().ended = true;
        };
        let thread = thread::Builder::new().name("caller".to_owned()).spawn(work);
        Ok(Self { request, answer, thread: Some(thread.map_err(Error::environment)?) })
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        if let Some(thread) = self.thread.take() {
            // The panic message has been printed, and the script fails because the answer is never
            // marked as ended.
            let _ = thread.join();
        }
    }
}

/// Returns an HTTP client that does not treat error statuses as failures.
pub(crate) fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(MAX_WAIT))
        .build();
    ureq::Agent::new_with_config(config)
}

fn receive(node: SocketAddr, request: &Request, last_event_id: Option<SmolStr>, answer: &Answer) {
    let mut call = agent()
        .post(format!("http://{node}{}", request.path()))
        .header("OpenAI-Organization", request.organisation.as_str())
        .header("Content-Type", "application/json");
    if let Some(key) = &request.key {
        call = call.header("Idempotency-Key", key.as_str());
    }
    if let Some(last_event_id) = last_event_id {
        call = call.header("Last-Event-ID", last_event_id.as_str());
    }
    let Ok(response) = call.send(request.body()) else {
        return;
    };
    read_head(&response, answer);
    let is_stream = header(&response, "content-type").starts_with("text/event-stream");
    let reader = BufReader::new(response.into_body().into_reader());
    if is_stream { read_stream(reader, answer) } else { read_body(reader, request, answer) }
}

fn header(response: &Response<ureq::Body>, name: &str) -> SmolStr {
    let value = response.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().into()
}

fn read_head(response: &Response<ureq::Body>, answer: &Answer) {
    let mut received = answer.lock();
    received.status = response.status().as_u16();
    received.run = header(response, "magnolia-run");
    received.request = RequestId::from_str_radix(&header(response, "magnolia-request"), 16).ok();
    received.retry_after = response.headers().contains_key("retry-after");
}

fn read_stream(reader: impl BufRead, answer: &Answer) {
    for line in reader.lines() {
        let Ok(line) = line else {
            return;
        };
        answer.lock().record_line(&line);
    }
}

fn read_body(mut reader: impl Read, request: &Request, answer: &Answer) {
    let mut body = String::new();
    if reader.read_to_string(&mut body).is_err() {
        return;
    }
    let mut received = answer.lock();
    received.closed = true;
    if let Ok(value) = serde_json::from_str::<Value>(&body) {
        received.record_value(&value);
    }
    if request.kind == Kind::Booking && received.error.is_none() {
        received.finish = Some("answer".into());
        received.text = body;
    }
}
