//! The port for callers: HTTP/1.1 with bounded connections, heads and bodies.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use smol_str::SmolStr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::intake::{self, Rejection, reject};
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
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.changed() => break,
        };
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            reject_connection(stream, &shared, &mut connections);
            continue;
        };
        let (shared, agent, stop) = (Arc::clone(&shared), agent.clone(), stop.clone());
        connections.spawn(async move {
            shared.connections.fetch_add(1, Ordering::Relaxed);
            serve_connection(stream, &shared, agent, stop).await;
            shared.connections.fetch_sub(1, Ordering::Relaxed);
            drop(permit);
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

fn reject_connection(mut stream: TcpStream, shared: &Arc<Shared>, connections: &mut JoinSet<()>) {
    record_rejection(shared, "connections");
    let limit = shared.settings.peer_timeout;
    connections.spawn(async move {
        if timeout(limit, stream.write_all(BUSY_RESPONSE)).await.is_err() {
            log::debug!("a rejected connection did not accept its response in time");
        }
    });
}

async fn serve_connection(
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
        async move { Ok::<_, Infallible>(respond(request, shared, agent).await) }
    });
    let serving = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.settings.head_timeout)
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
        log::debug!("connection to a caller failed: {error}");
    }
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
            if matches!(rejection.status, 408 | 413) {
                // The rest of the body is not read, so the connection cannot be reused.
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
        return Err(reject(405, "method", "model calls must use POST"));
    }
    let caller = intake::parse_caller(request.headers(), shared)?;
    let (head, body) = request.into_parts();
    let body = intake::read_body(body, &head.headers, shared).await?;
    let (call, arrival, reply_key) = match (form, plain) {
        (Some(form), _) => intake::model_call(form, caller, &body, shared)?,
        (None, Some(service)) => intake::service_call(service, caller, head, body, shared)?,
        (None, None) => return Err(reject(404, "no_such_path", "no such path")),
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
