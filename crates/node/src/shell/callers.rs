//! The port for callers: HTTP/1.1 with bounded connections, heads and bodies.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use edge::{MAX_ROOM_WAIT, RETRY_INTERVAL};
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::{Method, Response};
use smol_str::SmolStr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::connection;
use super::intake::{self, Caller, Rejection, reject};
use super::relay::{self, Call, Params};
use super::reply::{Payload, Reply};
use super::shared::{Input, Shared};
use crate::api::Form;
use crate::{Arrival, event};

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Response to a connection above the connection limit.
const BUSY_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\
retry-after: 1\r\nmagnolia-run: attempt-not-run\r\ncontent-type: application/json\r\n\
content-length: 74\r\n\r\n\
{\"error\":{\"type\":\"connections\",\"message\":\"too many connections are open\"}}";

/// Serves callers until `stop` changes, then closes idle connections and waits for the others to
/// finish.
pub(crate) async fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    agent: ureq::Agent,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(shared.settings.connections));
    let rejections = Arc::new(Semaphore::new(shared.settings.connections));
    let mut connections = JoinSet::new();
    loop {
        // Connections that wait to be accepted when a stop begins are accepted: they would be reset.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stop.changed() => break,
        };
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (shared, agent, stop) = (Arc::clone(&shared), agent.clone(), stop.clone());
        let permit = Arc::clone(&permits).try_acquire_owned().ok();
        let (permits, rejections) = (Arc::clone(&permits), Arc::clone(&rejections));
        connections.spawn(async move {
            let permit = match permit {
                Some(permit) => permit,
                None => {
                    let rejection = rejections.try_acquire_owned().ok();
                    let permit = match &rejection {
                        Some(_) => await_room(&shared, permits).await,
                        None => None,
                    };
                    let Some(permit) = permit else {
                        return reject_connection(stream, &shared, rejection).await;
                    };
                    permit
                }
            };
            shared.connections.fetch_add(1, Ordering::Relaxed);
            serve_connection(stream, &shared, agent, stop).await;
            shared.connections.fetch_sub(1, Ordering::Relaxed);
            drop(permit);
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Answers a connection above the limit. The request on it is dropped only while `permit` is there,
/// so that the number of these connections is limited too.
async fn reject_connection(
    mut stream: TcpStream,
    shared: &Shared,
    permit: Option<OwnedSemaphorePermit>,
) {
    record_rejection(shared, "connections");
    let limit = shared.settings.peer_timeout;
    match timeout(limit, stream.write_all(BUSY_RESPONSE)).await {
        Err(_) => log::debug!("a rejected connection did not accept its response in time"),
        Ok(Err(error)) => log::debug!("a rejected connection was lost: {error}"),
        Ok(Ok(())) if permit.is_some() => connection::end(stream).await,
        Ok(Ok(())) => {}
    }
    drop(permit);
}

/// Closes connections on which no request has come for a while, until there is room for another one.
/// Returns its permit; `None` if no such connection is left, or none ends in time.
async fn await_room(shared: &Shared, permits: Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
    let waiting = async {
        while !shared.unused.is_empty() {
            shared.unused.evict();
            let acquired = timeout(RETRY_INTERVAL, Arc::clone(&permits).acquire_owned()).await;
            if let Ok(Ok(permit)) = acquired {
                return Some(permit);
            }
        }
        None
    };
    timeout(MAX_ROOM_WAIT, waiting).await.ok().flatten()
}

async fn serve_connection(
    stream: TcpStream,
    shared: &Arc<Shared>,
    agent: ureq::Agent,
    stop: watch::Receiver<bool>,
) {
    let respond = |request| respond(request, Arc::clone(shared), agent.clone());
    connection::serve(stream, shared, stop, respond).await;
}

fn record_rejection(shared: &Shared, reason: &str) {
    metrics::counter!("magnolia_rejected", "reason" => reason.to_owned()).increment(1);
    let event = fleet::Event::new(&event::REQUEST_REJECTED).with("reason", reason);
    shared.inbox.send(Input::Log(event));
}

async fn respond(
    request: hyper::Request<Incoming>,
    shared: Arc<Shared>,
    agent: ureq::Agent,
) -> Response<Payload> {
    let has_key = request.headers().contains_key("idempotency-key");
    match handle(request, &shared, agent).await {
        Ok(reply) => reply.into_response(),
        Err(rejection) => {
            record_rejection(&shared, rejection.kind);
            let mut reply =
                Reply::error(rejection.status, rejection.kind, &rejection.message, None)
                    .run(if has_key { "attempt-not-run" } else { "not-run" });
            if rejection.status == 503 {
                reply = reply.retry_after(Duration::from_secs(1));
            }
            let mut response = reply.into_response();
            if rejection.is_unread {
                // The rest of the body is not read, so the connection cannot be reused.
                connection::set_last(&mut response);
            }
            response
        }
    }
}

/// What a request calls.
enum Target {
    Model(Form),
    Service(SmolStr),
}

/// Returns what a request calls and who sends it, by its head.
fn check_head(head: &Parts, shared: &Shared) -> Result<(Target, Caller), Rejection> {
    let path = head.uri.path();
    let form = [Form::Chat, Form::Text].into_iter().find(|form| form.path() == path);
    let service = path.strip_prefix("/services/").map(|rest| {
        let (name, _) = rest.split_once('/').unwrap_or((rest, ""));
        SmolStr::new(name)
    });
    let target = match (form, service) {
        (Some(form), _) => Target::Model(form),
        (None, Some(service)) if !service.is_empty() => Target::Service(service),
        (None, _) => {
            let message = "no such path; docs/PROTOCOLS.md lists the calls";
            return Err(reject(404, "no_such_path", message));
        }
    };
    if form.is_some() && head.method != Method::POST {
        return Err(reject(405, "method", "model calls must use POST"));
    }
    Ok((target, intake::parse_caller(&head.headers, shared)?))
}

async fn handle(
    request: hyper::Request<Incoming>,
    shared: &Arc<Shared>,
    agent: ureq::Agent,
) -> Result<Reply, Rejection> {
    let (head, body) = request.into_parts();
    let has_body = !body.is_end_stream();
    let (target, caller) = check_head(&head, shared).map_err(|rejection| {
        // A rejection because of the head is sent before the body is read.
        Rejection { is_unread: has_body, ..rejection }
    })?;
    let body = intake::read_body(body, &head.headers, shared)
        .await
        .map_err(|rejection| Rejection { is_unread: true, ..rejection })?;
    let (call, arrival, reply_key) = match target {
        Target::Model(form) => intake::model_call(form, caller, body, shared)?,
        Target::Service(service) => intake::service_call(service, caller, head, body, shared)?,
    };
    let reply = relay_call(call, arrival, shared, agent).await;
    Ok(match reply_key {
        Some(key) => reply.key(&key),
        None => reply,
    })
}

/// Starts the relay of a request and waits for the head of its reply.
async fn relay_call(
    call: Call,
    arrival: Arrival,
    shared: &Arc<Shared>,
    agent: ureq::Agent,
) -> Reply {
    let (caller, head) = oneshot::channel();
    let (commands, received) = mpsc::unbounded_channel();
    let request = arrival.request.id;
    let run = if arrival.claim.is_some() { "unknown" } else { "incomplete" };
    let params = Params { shared: Arc::clone(shared), agent, request, call, caller };
    tokio::spawn(relay::run(params, received));
    shared.inbox.send(Input::Arrive { arrival: Box::new(arrival), commands });
    // The relay drops its sender without a reply only when the process stops, and the call may
    // have run.
    head.await.unwrap_or_else(|_| {
        Reply::error(503, "stopped", "the node has stopped", Some(request))
            .run(run)
            .retry_after(Duration::from_secs(1))
    })
}
