//! The port for callers.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fleet::Event;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONNECTION, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Version};
use site::{Config, Kind, Model, Organisation, Route};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::answer::{Answer, retry_later, text};
use crate::body;
use crate::call::{self, Call};
use crate::connection::{self, Guard, State};
use crate::event::{ANSWERED, REFUSED};
use crate::execution::Execution;
use crate::forward::{Origin, Statement};
use crate::node::Node;
use crate::pool::KEEP_ALIVE;
use crate::receipt::Receipt;
use crate::reply::Reply;
use crate::upload::{self, Rest, Upload};
use crate::used::Used;
use crate::{stream, unary};

/// Maximum wait for the first configuration: callers give up a connection after a second.
const MAX_CONFIG_WAIT: Duration = Duration::from_millis(700);
/// Interval of checks for the first configuration.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Retry delay of a request whose route has no known service.
const UNKNOWN_SERVICE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Bytes that the separator and the end of a field take in a head.
const FIELD_BYTES: usize = 4;

/// Accepts callers until the node takes no more. Waits for the first configuration, so that early
/// callers are delayed for a moment rather than refused.
pub(crate) async fn serve_callers(node: Rc<Node>, listener: TcpListener) {
    let started = node.now();
    while node.config().is_none() && node.now().saturating_sub(started) < MAX_CONFIG_WAIT {
        tokio::time::sleep(CONFIG_POLL_INTERVAL).await;
    }
    serve(node, listener, Origin::Caller).await;
}

/// Accepts other nodes, which forward requests of their callers, until the node takes no more.
pub(crate) async fn serve_nodes(node: Rc<Node>, listener: TcpListener) {
    serve(node, listener, Origin::Node).await;
}

async fn serve(node: Rc<Node>, listener: TcpListener, origin: Origin) {
    while !node.closed.get() {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = node.close_requested.notified() => break,
        };
        tokio::select! {
            () = node.port(origin).await_room(&node, origin) => {}
            () = node.close_requested.notified() => {}
        }
        tokio::task::spawn_local(connection::serve(Guard::new(&node, origin), stream));
    }
    // Closing the port resets the connections that wait to be accepted.
    while !node.port(origin).is_full() {
        let Ok(stream) = timeout(Duration::ZERO, accept(&listener)).await else { break };
        tokio::task::spawn_local(connection::serve(Guard::new(&node, origin), stream));
    }
}

/// Returns the next connection. Retries after a pause if none can be accepted, for example without
/// a file descriptor left: descriptors are freed as callers disconnect.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            return stream;
        }
        metrics::counter!("magnolia_accepts_failed").increment(1);
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
}

/// Why a request is refused before it is sent to a target.
enum Refusal {
    Status(StatusCode, &'static str),
    /// Carries the delay after which the caller may retry.
    RetryLater(&'static str, Duration),
}

/// Answers a request.
pub(crate) async fn handle(
    node: Rc<Node>,
    connection: &State,
    mut receipt: Receipt,
    request: Request<Incoming>,
    origin: Origin,
) -> Response<Answer> {
    let id = request_id(&request);
    let is_last_request = is_last(&request);
    let (parts, body) = request.into_parts();
    let mut body = Upload::new(&parts, body);
    let is_head = parts.method == Method::HEAD;
    connection.set_uploading(true);
    let prepared = tokio::select! {
        prepared = prepare(&node, parts, &mut body, origin) => prepared,
        // The rest of the request would come too late.
        () = node.ending.notified() => Err(stopping(&node)),
    };
    connection.set_uploading(false);
    let Reply { mut response, execution } = match prepared {
        Ok((call, config)) => answer(&node, call, &config).await,
        Err(refusal) => Reply::refused(refuse(&node, &id, refusal)),
    };
    if origin == Origin::Node {
        execution.write(response.headers_mut());
    }
    let rest = body.into_rest(node.limits().body_bytes);
    let is_last = is_last_request || matches!(rest, Rest::Unread) || node.is_stopping();
    match rest {
        Rest::None => {}
        Rest::Body(body) => connection.leave_rest(&node, body),
        Rest::Unread => connection.leave_unread(),
    }
    connection.set_last(is_last);
    match is_last {
        true => {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        false => announce_time(&node, response.headers_mut()),
    }
    if execution == Execution::NotRun {
        receipt.record_refusal();
    }
    if is_head {
        receipt.record_whole();
    }
    response.body_mut().attach(receipt);
    response
}

/// Announces for how long the caller may use the connection again.
fn announce_time(node: &Node, headers: &mut HeaderMap) {
    let time = node.announced_time(&node.limits()).as_secs();
    // A number is always a valid header value.
    if let Ok(value) = HeaderValue::from_str(&format!("timeout={time}")) {
        headers.insert(KEEP_ALIVE, value);
    }
}

/// Returns the size of the head of a request, bytes.
fn head_size(parts: &Parts) -> usize {
    let target = parts.uri.path_and_query().map_or(0, |target| target.as_str().len());
    let fields = parts.headers.iter();
    let fields: usize =
        fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_BYTES).sum();
    parts.method.as_str().len() + target + fields
}

/// Returns whether the caller uses its connection no more after this request.
fn is_last(request: &Request<Incoming>) -> bool {
    let values = request.headers().get_all(CONNECTION).iter();
    let options = values.filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(','));
    let mut options = options.map(str::trim);
    let is_closed = options.any(|option| option.eq_ignore_ascii_case("close"));
    is_closed || request.version() != Version::HTTP_11
}

/// Returns the answer to a request.
async fn answer(node: &Rc<Node>, call: Call, config: &Config) -> Reply {
    let model = config.service(&call.service).and_then(|service| service.model.clone());
    let call = Rc::new(call);
    let ending = node.ending.notified();
    tokio::select! {
        reply = serve_call(node, call.clone(), model) => reply,
        () = ending => end_call(node, &call),
    }
}

/// Returns the answer to a request that is still in progress when the process ends.
fn end_call(node: &Node, call: &Call) -> Reply {
    if call.used.is_empty() {
        return Reply::refused(refuse(node, &call.id, stopping(node)));
    }
    let reply = Reply::unknown(node, call);
    log_answer(node, call, &reply);
    reply
}

/// Answers a request by its targets.
async fn serve_call(node: &Rc<Node>, call: Rc<Call>, model: Option<Arc<Model>>) -> Reply {
    if let (Kind::Stream { .. }, Some(model)) = (call.kind, model) {
        let reply = stream::forward(node, call.clone(), model).await;
        if reply.response.status() != StatusCode::OK {
            log_answer(node, &call, &reply);
        }
        return reply;
    }
    let reply = unary::forward(node, &call).await;
    log_answer(node, &call, &reply);
    reply
}

fn log_answer(node: &Node, call: &Call, reply: &Reply) {
    let status = reply.response.status();
    let elapsed = node.now().saturating_sub(call.received_at);
    let event = call
        .event(ANSWERED)
        .with("route", &call.route)
        .with("status", status.as_u16())
        .with("ran", reply.execution)
        .with("ms", elapsed.as_millis());
    log::info!("{event}");
    metrics::counter!("magnolia_answers", "status" => status.as_str().to_owned()).increment(1);
    metrics::histogram!("magnolia_answer_seconds").record(elapsed);
}

fn refuse(node: &Node, id: &str, refusal: Refusal) -> Response<Answer> {
    let (response, reason, after) = match refusal {
        Refusal::Status(status, reason) => (text(status, reason), reason, None),
        Refusal::RetryLater(reason, after) => {
            (retry_later(StatusCode::SERVICE_UNAVAILABLE, reason, after), reason, Some(after))
        }
    };
    let mut event = Event::new(REFUSED)
        .with("request", id)
        .with("status", response.status().as_u16())
        .with("reason", reason)
        .with("version", node.config().map_or(0, |config| config.version));
    if let Some(synced) = node.synced.get() {
        let age = node.now().saturating_sub(synced);
        event = event.with("store_age_ms", age.as_millis());
    }
    if let Some(after) = after {
        event = event.with("retry_after_ms", after.as_millis());
    }
    log::info!("{event}");
    metrics::counter!("magnolia_refusals", "reason" => reason).increment(1);
    response
}

/// Returns the id of a request; empty if it has none.
pub(crate) fn request_id(request: &Request<Incoming>) -> SmolStr {
    platform::request_id(request.headers()).unwrap_or_default().into()
}

/// Finds the route, checks the key and reads the body of a request.
async fn prepare(
    node: &Node,
    parts: Parts,
    body: &mut Upload,
    origin: Origin,
) -> Result<(Call, Rc<Config>), Refusal> {
    let received_at = node.now();
    refuse_if_closed(node)?;
    refuse_if_outdated(node)?;
    let config = node
        .config()
        .ok_or(Refusal::RetryLater("no configuration yet", node.other_node_retry_after()))?;
    // The node that forwards a request has checked its head, and added to it.
    if origin == Origin::Caller && head_size(&parts) > config.limits.head_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(Refusal::Status(status, "head too large"));
    }
    let route =
        find_route(&config, &parts).ok_or(Refusal::Status(StatusCode::NOT_FOUND, "no route"))?;
    let service = route
        .backend(node.random_fraction())
        .ok_or(Refusal::RetryLater("no service", UNKNOWN_SERVICE_RETRY_AFTER))?;
    let organisation =
        authenticate(node, &config, route, &parts.headers).inspect_err(|refusal| {
            // A request that could not be authenticated counts for the retry budget of its service,
            // as those that are served do.
            if matches!(refusal, Refusal::RetryLater(..)) {
                node.count_request(service);
            }
        })?;
    let id = platform::request_id(&parts.headers);
    let id = id.ok_or(Refusal::Status(StatusCode::BAD_REQUEST, "no request id"))?;
    let deadline = platform::deadline(&parts.headers);
    let allowed = deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let holding = node.uploads.begin(node.settings.front);
    let body = body.read(config.limits.body_bytes, allowed, holding).await;
    let body = body.map_err(|failure| upload_refusal(node, failure))?;
    // The body may have come late.
    refuse_if_closed(node)?;
    refuse_if_outdated(node)?;
    let size = platform::tokens(&parts.headers);
    let statement = Statement::read(origin, &parts.headers);
    let attempts = statement.attempts.map_or(route.attempts, |left| left.min(route.attempts));
    let priority = organisation.as_ref().and_then(|organisation| organisation.priority);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let caller = organisation.as_ref().map_or("", |organisation| organisation.name.as_str());
    let call = Call {
        id: id.into(),
        fingerprint: suspect::fingerprint(caller, path, &body),
        parts: call::shared_parts(&parts.headers, service),
        has_run: Cell::new(false),
        method: parts.method,
        uri: parts.uri,
        body,
        route: route.name.clone(),
        kind: route.kind,
        service: service.clone(),
        attempts,
        counted: Cell::new(statement.counted),
        authorization: parts.headers.get(AUTHORIZATION).cloned(),
        origin,
        used: Used::default(),
        priority: priority.unwrap_or(route.priority),
        route_priority: route.priority,
        level: Cell::default(),
        organisation: organisation.map(|organisation| organisation.name.clone()),
        received_at,
        deadline: received_at + allowed,
        latency_goal: Some(route.latency_goal).filter(|goal| *goal < route.timeout),
        prompt_tokens: size.prompt,
        tokens: size.prompt + size.answer,
        headers: call::forwarded_headers(parts.headers),
    };
    Ok((call, config))
}

/// Returns the refusal of a node that stops.
fn stopping(node: &Node) -> Refusal {
    Refusal::RetryLater("stopping", node.other_node_retry_after())
}

/// Refuses a request that could not be completed before the process ends.
fn refuse_if_closed(node: &Node) -> Result<(), Refusal> {
    match node.closed.get() {
        true => Err(stopping(node)),
        false => Ok(()),
    }
}

/// Refuses a request that only the configuration before the newest one could decide on.
fn refuse_if_outdated(node: &Node) -> Result<(), Refusal> {
    match node.is_outdated() {
        true => Err(Refusal::RetryLater("configuration unreadable", node.key_check_retry_after())),
        false => Ok(()),
    }
}

fn find_route<'a>(config: &'a Config, parts: &Parts) -> Option<&'a Route> {
    let host = parts.uri.host().map(str::to_owned).or_else(|| {
        let value = parts.headers.get(HOST)?.to_str().ok()?;
        Some(value.split(':').next().unwrap_or_default().to_ascii_lowercase())
    })?;
    config.route(&host, parts.uri.path())
}

/// Returns the organisation that holds the key of a request; `None` if the route needs no key.
fn authenticate<'a>(
    node: &Node,
    config: &'a Config,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<&'a Organisation>, Refusal> {
    if route.public || !config.requires_keys() {
        return Ok(None);
    }
    if !node.may_honour_keys() {
        return Err(Refusal::RetryLater("keys cannot be checked", node.key_check_retry_after()));
    }
    let key = platform::api_key(headers);
    let holder = key.and_then(|key| config.key_owner(key));
    holder.map(Some).ok_or(Refusal::Status(StatusCode::UNAUTHORIZED, "unknown key"))
}

fn upload_refusal(node: &Node, failure: upload::Failure) -> Refusal {
    match failure {
        upload::Failure::Unread(body::Failure::TooLarge) => {
            Refusal::Status(StatusCode::PAYLOAD_TOO_LARGE, "body too large")
        }
        upload::Failure::Unread(body::Failure::Cut) => {
            Refusal::Status(StatusCode::BAD_REQUEST, "body cut")
        }
        upload::Failure::TooSlow => Refusal::Status(StatusCode::REQUEST_TIMEOUT, "body too slow"),
        upload::Failure::Unread(body::Failure::NoRoom) => {
            Refusal::RetryLater("no memory for the body", node.other_node_retry_after())
        }
    }
}
