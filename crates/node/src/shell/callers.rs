//! The port for callers: HTTP/1.1 by hyper, within bounds.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use fleet::OrganisationName;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, HeaderMap, HeaderName};
use hyper::service::service_fn;
use hyper::{Method, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use smol_str::SmolStr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::relay::{self, Call, Model, Parts, Service};
use super::reply::{Payload, Reply};
use super::shared::{Input, Shared, hex};
use crate::api::{self, Form, Header};
use crate::identity::{self, EventId};
use crate::{Arrival, event};

/// Most prefixes of one prompt that count in routing.
const PREFIXES: usize = 64;
/// Longest `Idempotency-Key`, in bytes.
const KEY_BYTES: usize = 255;
/// Wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// When a caller turned away for the number of connections may come back, in seconds.
const BUSY_ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\
retry-after: 1\r\nmagnolia-run: attempt-not-run\r\ncontent-type: application/json\r\n\
content-length: 74\r\n\r\n\
{\"error\":{\"type\":\"connections\",\"message\":\"too many connections are open\"}}";
/// Headers of a plain call that are not handed on: those of the connection and the node's own.
const NOT_HANDED_ON: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
    "authorization",
    "openai-organization",
    "last-event-id",
    "magnolia-request",
    "magnolia-attempt",
    "accept-encoding",
];

/// Serves callers until `stop` says so, then ends idle connections and waits for the others.
pub(crate) async fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    agent: ureq::Agent,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(shared.settings.connections));
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.changed() => break,
        };
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            turn_away(stream, &shared, &mut connections);
            continue;
        };
        let (shared, agent, stop) = (Arc::clone(&shared), agent.clone(), stop.clone());
        connections.spawn(async move {
            shared.connections.fetch_add(1, Ordering::Relaxed);
            connection(stream, &shared, agent, stop).await;
            shared.connections.fetch_sub(1, Ordering::Relaxed);
            drop(permit);
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

fn turn_away(mut stream: TcpStream, shared: &Arc<Shared>, connections: &mut JoinSet<()>) {
    reject_event(shared, "connections");
    let limit = shared.settings.peer;
    connections.spawn(async move {
        if timeout(limit, stream.write_all(BUSY_ANSWER)).await.is_err() {
            log::debug!("a connection turned away did not take its answer");
        }
    });
}

async fn connection(
    stream: TcpStream,
    shared: &Arc<Shared>,
    agent: ureq::Agent,
    mut stop: watch::Receiver<bool>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| {
        let (shared, agent) = (Arc::clone(shared), agent.clone());
        async move { Ok::<_, Infallible>(answer(request, shared, agent).await) }
    });
    let serving = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.settings.head)
        .max_buf_size(shared.settings.head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let served = tokio::select! {
        served = &mut serving => served,
        _ = stop.changed() => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = served {
        log::debug!("a caller's connection ended: {error}");
    }
}

fn reject_event(shared: &Shared, reason: &str) {
    metrics::counter!("magnolia_rejected", "reason" => reason.to_owned()).increment(1);
    let event = fleet::Event::new(&event::REJECTED).with("reason", reason);
    shared.inbox.send(Input::Log(event));
}

/// A call that is turned away before any decision.
struct Rejection {
    status: u16,
    kind: &'static str,
    message: String,
}

fn reject(status: u16, kind: &'static str, message: impl Into<String>) -> Rejection {
    Rejection { status, kind, message: message.into() }
}

/// Header values that the node itself reads.
struct Caller {
    organisation: OrganisationName,
    key: Option<SmolStr>,
    last: Option<EventId>,
}

async fn answer(
    request: hyper::Request<Incoming>,
    shared: Arc<Shared>,
    agent: ureq::Agent,
) -> Response<Payload> {
    let keyed = request.headers().contains_key("idempotency-key");
    match handle(request, &shared, agent).await {
        Ok(reply) => reply.into_response(),
        Err(rejection) => {
            reject_event(&shared, rejection.kind);
            let mut reply =
                Reply::error(rejection.status, rejection.kind, &rejection.message, None)
                    .run(if keyed { "attempt-not-run" } else { "not-run" });
            if rejection.status == 503 {
                reply = reply.retry_after(Duration::from_secs(1));
            }
            let mut response = reply.into_response();
            if matches!(rejection.status, 408 | 413) {
                // The rest of the body is not read, so the connection cannot go on.
                let close = hyper::header::HeaderValue::from_static("close");
                response.headers_mut().insert(hyper::header::CONNECTION, close);
            }
            response
        }
    }
}

async fn handle(
    request: hyper::Request<Incoming>,
    shared: &Arc<Shared>,
    agent: ureq::Agent,
) -> Result<Reply, Rejection> {
    let path = request.uri().path();
    let form = [Form::Chat, Form::Text].into_iter().find(|form| form.path() == path);
    let plain = path.strip_prefix("/services/").map(|rest| {
        let (name, _) = rest.split_once('/').unwrap_or((rest, ""));
        SmolStr::new(name)
    });
    if form.is_none() && plain.as_ref().is_none_or(SmolStr::is_empty) {
        return Err(reject(404, "no_such_path", "no such path; docs/PROTOCOLS.md lists the calls"));
    }
    if form.is_some() && request.method() != Method::POST {
        return Err(reject(405, "method", "model calls are sent with POST"));
    }
    let caller = caller(request.headers(), shared)?;
    let (head, body) = request.into_parts();
    let body = read_body(body, &head.headers, shared).await?;
    let (parts, arrival, given) = match (form, plain) {
        (Some(form), _) => model(form, caller, &body, shared)?,
        (None, Some(service)) => service_call(service, caller, head, body, shared)?,
        (None, None) => return Err(reject(404, "no_such_path", "no such path")),
    };
    let reply = run(parts, arrival, shared, agent).await;
    Ok(match given {
        Some(key) => reply.key(&key),
        None => reply,
    })
}

/// Starts the relay of a request and waits for the head of its answer.
async fn run(call: Call, arrival: Arrival, shared: &Arc<Shared>, agent: ureq::Agent) -> Reply {
    let (caller, head) = oneshot::channel();
    let (commands, received) = mpsc::unbounded_channel();
    let request = arrival.request.id;
    let run = if arrival.claim.is_some() { "unknown" } else { "incomplete" };
    let parts = Parts { shared: Arc::clone(shared), agent, request, call, caller };
    tokio::spawn(relay::run(parts, received));
    shared.inbox.send(Input::Arrive { arrival: Box::new(arrival), commands });
    // The relay ends without an answer only when the process does; the call may have run.
    head.await.unwrap_or_else(|_| {
        Reply::error(503, "stopped", "the node has stopped", Some(request))
            .run(run)
            .retry_after(Duration::from_secs(1))
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Rejection> {
    match headers.get(name) {
        None => Ok(None),
        Some(value) => match value.to_str() {
            Ok(value) => Ok(Some(value)),
            Err(_) => Err(reject(400, "bad_header", format!("header `{name}` is not text"))),
        },
    }
}

fn caller(headers: &HeaderMap, shared: &Shared) -> Result<Caller, Rejection> {
    if shared.in_force().is_none() {
        return Err(reject(503, "no_preset", "no preset is in force yet"));
    }
    let directory = shared.directory();
    let named = text(headers, "openai-organization")?;
    let bearer = text(headers, AUTHORIZATION.as_str())?
        .map(|value| value.strip_prefix("Bearer ").unwrap_or(value).trim());
    let by_key = bearer.and_then(|key| directory.by_key(key));
    let organisation = match (named, bearer) {
        (None, None) => {
            let message = "name the organisation by OpenAI-Organization or a bearer key";
            return Err(reject(401, "no_organisation", message));
        }
        (Some(name), _) => directory.by_name(name),
        (None, Some(_)) => by_key.clone(),
    };
    let Some(organisation) = organisation else {
        return Err(reject(403, "unknown_organisation", "no such organisation in the preset"));
    };
    if by_key.is_some_and(|other| other != organisation) {
        return Err(reject(403, "unknown_organisation", "the key is of another organisation"));
    }
    let key = text(headers, "idempotency-key")?;
    if key.is_some_and(|key| key.is_empty() || key.len() > KEY_BYTES) {
        return Err(reject(400, "bad_key", "Idempotency-Key must have 1 to 255 bytes"));
    }
    let last = match text(headers, "last-event-id")? {
        None => None,
        Some(id) => match id.parse::<EventId>() {
            Ok(id) => Some(id),
            Err(error) => return Err(reject(400, "bad_last_event_id", error.to_string())),
        },
    };
    Ok(Caller { organisation, key: key.map(SmolStr::new), last })
}

async fn read_body(
    body: Incoming,
    headers: &HeaderMap,
    shared: &Shared,
) -> Result<Bytes, Rejection> {
    let limit = shared.settings.body_bytes;
    let too_large = || reject(413, "body_too_large", format!("at most {limit} bytes are taken"));
    let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    if length.and_then(|value| value.parse::<u64>().ok()).is_some_and(|l| l > limit as u64) {
        return Err(too_large());
    }
    match timeout(shared.settings.body, Limited::new(body, limit).collect()).await {
        Err(_) => Err(reject(408, "body_too_slow", "the body did not come in time")),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(reject(400, "body_broken", "the body did not come whole")),
        Ok(Ok(body)) => Ok(body.to_bytes()),
    }
}

/// A new identifier for one sending.
fn request_id() -> u128 {
    rand::random()
}

type Prepared = (Call, Arrival, Option<SmolStr>);

fn model(form: Form, caller: Caller, body: &[u8], shared: &Shared) -> Result<Prepared, Rejection> {
    let completion =
        api::parse(form, body).map_err(|error| reject(400, "bad_request", error.to_string()))?;
    if caller.last.is_some() && (!completion.shape.stream || caller.key.is_none()) {
        let message = "Last-Event-ID needs a streamed call and its Idempotency-Key";
        return Err(reject(400, "bad_last_event_id", message));
    }
    let keyed = caller.key.is_some();
    let key = caller.key.unwrap_or_else(|| hex(request_id()).into());
    let organisation = caller.organisation;
    let parts = [organisation.as_bytes(), key.as_bytes(), form.path().as_bytes(), body];
    let answer = shared.secret.hash128(identity::ANSWER, &parts);
    if caller.last.is_some_and(|last| last.answer != answer) {
        let message = "Last-Event-ID is of another request: organisation, key and body must be \
                       the same";
        return Err(reject(409, "last_event_mismatch", message));
    }
    let fingerprint = shared.secret.hash64(identity::FINGERPRINT, &[organisation.as_bytes(), body]);
    let request = fleet::Request {
        id: request_id(),
        organisation,
        service: completion.model.clone(),
        shape: completion.shape,
        fingerprint,
        idempotent: true,
    };
    log_arrival(shared, &request, answer);
    let created = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
    let header = Header { form, answer, model: completion.model.clone(), created };
    let mut prefixes = fleet::prefixes(&completion.prompt);
    prefixes.truncate(PREFIXES);
    // Seeds stay within what every JSON reader takes as a whole number.
    let seed = (answer as u64) >> 11;
    let last = caller.last;
    let call = Call::Model(Box::new(Model { completion, header, seed, last, keyed }));
    Ok((call, Arrival { request, prefixes, claim: None }, None))
}

fn log_arrival(shared: &Shared, request: &fleet::Request, answer: u128) {
    let event = fleet::Event::new(&event::ARRIVED)
        .with("request", hex(request.id))
        .with("answer", hex(answer))
        .with("organisation", &request.organisation)
        .with("service", &request.service)
        .with("idempotent", request.idempotent);
    shared.inbox.send(Input::Log(event));
}

fn service_call(
    service: SmolStr,
    caller: Caller,
    head: hyper::http::request::Parts,
    body: Bytes,
    shared: &Shared,
) -> Result<Prepared, Rejection> {
    if caller.last.is_some() {
        let message = "Last-Event-ID is for streamed model calls";
        return Err(reject(400, "bad_last_event_id", message));
    }
    let prefix = "/services/".len() + service.len();
    let whole = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let rest = whole.get(prefix..).unwrap_or_default();
    let path = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    let keyed = caller.key.is_some();
    // A service that no list has named yet is taken for one whose calls may not be repeated:
    // a repeat of a call that ran must not hear that it did not run.
    let known = shared.offers().services.get(&service).copied();
    let repeatable = head.method.is_safe() || known.unwrap_or(!keyed);
    let key = caller.key.unwrap_or_else(|| hex(request_id()).into());
    let organisation = caller.organisation;
    let method = head.method.as_str().as_bytes();
    let fingerprint = shared
        .secret
        .hash64(identity::FINGERPRINT, &[organisation.as_bytes(), method, path.as_bytes(), &body]);
    let digest = shared.secret.hash64(identity::CLAIM, &[method, path.as_bytes(), &body]);
    let request = fleet::Request {
        id: request_id(),
        organisation: organisation.clone(),
        service: service.clone(),
        shape: fleet::Shape { prompt_tokens: 0, max_tokens: 0, stream: false },
        fingerprint,
        idempotent: repeatable,
    };
    log_arrival(shared, &request, request.id);
    let claim =
        (!repeatable).then(|| (ledger::Key { organisation, service, text: key.clone() }, digest));
    let given = claim.is_some().then_some(key);
    let headers = handed_on(&head.headers);
    let call = Service { method: head.method, path, headers, body, repeatable, keyed };
    let arrival = Arrival { request, prefixes: Vec::new(), claim };
    Ok((Call::Plain(Box::new(call)), arrival, given))
}

fn handed_on(headers: &HeaderMap) -> Vec<(HeaderName, hyper::header::HeaderValue)> {
    headers
        .iter()
        .filter(|(name, _)| !NOT_HANDED_ON.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
