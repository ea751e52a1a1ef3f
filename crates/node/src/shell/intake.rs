//! Parses and validates a caller's HTTP call and converts it to a request.

use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use edge::{Holding, MAX_ROOM_WAIT, Share};
use fleet::OrganisationName;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, HeaderMap, HeaderName};
use smol_str::SmolStr;
use tokio::time::timeout;

use super::relay::{Call, Model, Service};
use super::shared::{Input, Shared, hex};
use crate::api::{self, Form, Header};
use crate::identity::{self, EventId};
use crate::{Arrival, event};

/// Maximum number of prefix hashes of one prompt that are passed to routing.
const MAX_PREFIXES: usize = 64;
/// Maximum length of `Idempotency-Key`, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Headers of a plain call that are not forwarded: those of the connection and those that the
/// node itself interprets or sets.
const EXCLUDED_HEADERS: &[&str] = &[
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

/// A call that is rejected before it reaches the decision thread.
pub(crate) struct Rejection {
    pub(crate) status: u16,
    pub(crate) kind: &'static str,
    pub(crate) message: String,
    /// Whether a part of the body has not been read.
    pub(crate) is_unread: bool,
}

pub(crate) fn reject(status: u16, kind: &'static str, message: impl Into<String>) -> Rejection {
    Rejection { status, kind, message: message.into(), is_unread: false }
}

/// Values of the headers that the node interprets.
pub(crate) struct Caller {
    organisation: OrganisationName,
    key: Option<SmolStr>,
    last: Option<EventId>,
}

fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, Rejection> {
    match headers.get(name) {
        None => Ok(None),
        Some(value) => match value.to_str() {
            Ok(value) => Ok(Some(value)),
            Err(_) => Err(reject(400, "bad_header", format!("header `{name}` is not ASCII text"))),
        },
    }
}

pub(crate) fn parse_caller(headers: &HeaderMap, shared: &Shared) -> Result<Caller, Rejection> {
    if shared.active_preset().is_none() {
        return Err(reject(503, "no_preset", "no preset is in force yet"));
    }
    let directory = shared.directory();
    let named = header_text(headers, "openai-organization")?;
    let bearer = header_text(headers, AUTHORIZATION.as_str())?
        .map(|value| value.strip_prefix("Bearer ").unwrap_or(value).trim());
    let by_key = bearer.and_then(|key| directory.by_key(key));
    let organisation = match (named, bearer) {
        (None, None) => {
            let message = "the organisation must be given by OpenAI-Organization or a bearer key";
            return Err(reject(401, "no_organisation", message));
        }
        (Some(name), _) => directory.by_name(name),
        (None, Some(_)) => by_key.clone(),
    };
    let Some(organisation) = organisation else {
        return Err(reject(
            403,
            "unknown_organisation",
            "the preset in force does not contain this organisation",
        ));
    };
    if by_key.is_some_and(|other| other != organisation) {
        return Err(reject(
            403,
            "unknown_organisation",
            "the bearer key belongs to another organisation",
        ));
    }
    let key = header_text(headers, "idempotency-key")?;
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        return Err(reject(400, "bad_key", "Idempotency-Key must have 1 to 255 bytes"));
    }
    let last = match header_text(headers, "last-event-id")? {
        None => None,
        Some(id) => match id.parse::<EventId>() {
            Ok(id) => Some(id),
            Err(error) => return Err(reject(400, "bad_last_event_id", error.to_string())),
        },
    };
    Ok(Caller { organisation, key: key.map(SmolStr::new), last })
}

/// Reads the body of a request, and takes room for what has arrived. Returns it with what it holds.
pub(crate) async fn read_body(
    body: Incoming,
    headers: &HeaderMap,
    shared: &Shared,
) -> Result<(Bytes, Share), Rejection> {
    let limit = shared.settings.body_bytes;
    let too_large =
        || reject(413, "body_too_large", format!("the body exceeds the limit of {limit} bytes"));
    let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let stated = length.and_then(|value| value.parse::<u64>().ok());
    if stated.is_some_and(|stated| stated > limit as u64) {
        return Err(too_large());
    }
    let stated = stated.and_then(|stated| usize::try_from(stated).ok());
    let mut holding = shared.uploads.begin(shared.settings.callers);
    match timeout(shared.settings.body_timeout, collect(body, stated, limit, &mut holding)).await {
        Err(_) => Err(reject(408, "body_too_slow", "the body was not received in time")),
        Ok(Err(Unread::TooLarge)) => Err(too_large()),
        Ok(Err(Unread::NoRoom)) => {
            Err(reject(503, "bodies", "the bodies of other requests fill the memory"))
        }
        Ok(Err(Unread::Broken)) => {
            Err(reject(400, "body_broken", "the body could not be read completely"))
        }
        Ok(Ok(body)) => {
            let share = holding.split(body.len());
            Ok((body, share))
        }
    }
}

/// Why the body of a request could not be read.
enum Unread {
    TooLarge,
    NoRoom,
    Broken,
}

/// Reads a body of at most `limit` bytes. Takes room for its `stated` length at once, else for what
/// arrives.
async fn collect(
    mut body: Incoming,
    stated: Option<usize>,
    limit: usize,
    holding: &mut Holding,
) -> Result<Bytes, Unread> {
    let mut whole = Vec::new();
    if !holding.reserve_within(stated.unwrap_or(0), MAX_ROOM_WAIT).await {
        return Err(Unread::NoRoom);
    }
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = holding.evicted() => return Err(Unread::NoRoom),
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(|_| Unread::Broken)?.into_data() else { continue };
        let length = whole.len() + data.len();
        if length > limit {
            return Err(Unread::TooLarge);
        }
        holding.record_bytes(data.len());
        if length > whole.capacity() {
            let capacity = (2 * whole.capacity())
                .clamp(length, stated.map_or(limit, |stated| stated.max(length)));
            if !holding.reserve_within(stated.unwrap_or(capacity), MAX_ROOM_WAIT).await {
                return Err(Unread::NoRoom);
            }
            whole.reserve_exact(capacity - whole.len());
        }
        whole.extend_from_slice(&data);
    }
    Ok(Bytes::from(whole))
}

/// Generates the identifier of one sending of a request.
fn request_id() -> u128 {
    rand::random()
}

/// A call, its request for the decision thread, and the idempotency key to return to the caller.
pub(crate) type Prepared = (Call, Arrival, Option<SmolStr>);

pub(crate) fn model_call(
    form: Form,
    caller: Caller,
    (body, share): (Bytes, Share),
    shared: &Shared,
) -> Result<Prepared, Rejection> {
    let completion =
        api::parse(form, &body).map_err(|error| reject(400, "bad_request", error.to_string()))?;
    if caller.last.is_some() && (!completion.shape.stream || caller.key.is_none()) {
        let message = "Last-Event-ID requires a streamed call and its Idempotency-Key";
        return Err(reject(400, "bad_last_event_id", message));
    }
    let keyed = caller.key.is_some();
    let key = caller.key.unwrap_or_else(|| hex(request_id()).into());
    let organisation = caller.organisation;
    let parts = [organisation.as_bytes(), key.as_bytes(), form.path().as_bytes(), &body];
    let answer = shared.secret.hash128(identity::ANSWER, &parts);
    if caller.last.is_some_and(|last| last.answer != answer) {
        let message = "Last-Event-ID belongs to another request: organisation, key and body must \
                       be the same";
        return Err(reject(409, "last_event_mismatch", message));
    }
    let fingerprint =
        shared.secret.hash64(identity::FINGERPRINT, &[organisation.as_bytes(), &body]);
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
    let mut prefixes = fleet::prefix_hashes(&completion.prompt);
    prefixes.truncate(MAX_PREFIXES);
    // 53 bits, so that JSON readers that use doubles represent the seed exactly.
    let seed = (answer as u64) >> 11;
    let last = caller.last;
    let model = Model { completion, header, seed, last, keyed, _share: share };
    let call = Call::Model(Box::new(model));
    Ok((call, Arrival { request, prefixes, claim: None }, None))
}

fn log_arrival(shared: &Shared, request: &fleet::Request, answer: u128) {
    let event = fleet::Event::new(&event::REQUEST_ARRIVED)
        .with("request", hex(request.id))
        .with("answer", hex(answer))
        .with("organisation", &request.organisation)
        .with("service", &request.service)
        .with("idempotent", request.idempotent);
    shared.inbox.send(Input::Log(event));
}

pub(crate) fn service_call(
    service: SmolStr,
    caller: Caller,
    head: hyper::http::request::Parts,
    (body, share): (Bytes, Share),
    shared: &Shared,
) -> Result<Prepared, Rejection> {
    if caller.last.is_some() {
        let message = "Last-Event-ID is allowed only for streamed model calls";
        return Err(reject(400, "bad_last_event_id", message));
    }
    let prefix = "/services/".len() + service.len();
    let whole = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let rest = whole.get(prefix..).unwrap_or_default();
    let path = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    let keyed = caller.key.is_some();
    // Keyed calls to a service that no VM list has contained yet are treated as not repeatable,
    // so that a repeat of a call that ran is not answered with `not-run`.
    let known = shared.catalog().services.get(&service).copied();
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
    let reply_key = claim.is_some().then_some(key);
    let headers = forwarded_headers(&head.headers);
    let body = share.attach(body);
    let call = Service { method: head.method, path, headers, body, repeatable, keyed };
    let arrival = Arrival { request, prefixes: Vec::new(), claim };
    Ok((Call::Service(Box::new(call)), arrival, reply_key))
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<(HeaderName, hyper::header::HeaderValue)> {
    headers
        .iter()
        .filter(|(name, _)| !EXCLUDED_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
