//! Requests answered by a stream of events, from a model distributed over engines.

use std::rc::Rc;
use std::sync::Arc;

use hyper::{Response, StatusCode};
use limit::admission::RETRY_AFTER;
use site::Model;

use crate::answer::{Answer, retry_later};
use crate::call::{Call, returned_headers};
use crate::dispatch::{Dispatch, Failure, NO_PATH, NO_RETRY, Opened};
use crate::event::REFUSED;
use crate::forward::{name_target, state_attempts, whole_answer};
use crate::limited::LIMITED;
use crate::node::Node;
use crate::pump::pump;
use crate::quarantine::QUARANTINED;
use crate::queue::queue;
use crate::reply::Reply;
use crate::room::{STOPPING, ranked};

/// Sends a request to a path and forwards the events of its answer.
pub(crate) async fn forward(node: &Rc<Node>, call: Rc<Call>, model: Arc<Model>) -> Reply {
    let mut dispatch = Dispatch::new(node, call, model);
    match dispatch.open(None).await {
        Ok(Opened::Node(exchange)) if exchange.response.status() != StatusCode::OK => {
            whole_answer(node, &dispatch.call, exchange).await
        }
        Ok(opened) => {
            let (sender, receiver) = queue(node.answers.clone());
            let mut response = Response::new(Answer::events(receiver));
            match &opened {
                Opened::Path(accepted) => {
                    let first = accepted.in_flight.path.first();
                    *response.headers_mut() = returned_headers(accepted.response.headers());
                    name_target(&dispatch.call, first.address, &mut response);
                    state_attempts(&mut dispatch, first, response.headers_mut());
                }
                Opened::Node(exchange) => {
                    *response.headers_mut() = returned_headers(exchange.response.headers());
                }
            }
            tokio::task::spawn_local(pump(dispatch, opened, sender));
            Reply::ran(response)
        }
        Err(Failure::Failed(reply)) => *reply,
        Err(Failure::NotRun(reason)) => {
            // Other nodes have retries left. By the time of the retry, this node no longer uses the
            // failed target.
            let after = match reason {
                NO_RETRY => node.other_node_retry_after(),
                QUARANTINED => node.quarantined_for(&dispatch.call),
                NO_PATH if let Some(left) = dispatch.time_to_path() => node.after_backoff(left),
                LIMITED => node.after_limits(&dispatch.call),
                STOPPING => node.other_node_retry_after(),
                _ => {
                    let after = dispatch.retry_after.unwrap_or(RETRY_AFTER);
                    node.retry_after(&dispatch.call, after)
                }
            };
            let event = ranked(&dispatch.call, dispatch.call.event(REFUSED))
                .with("reason", reason)
                .with("parts", dispatch.call.listed_parts())
                .with("offers", dispatch.offers)
                .with("left_ms", dispatch.call.deadline.saturating_sub(node.now()).as_millis())
                .with("pressure", format_args!("{:.2}", dispatch.pressure))
                .with("threshold", format_args!("{:.2}", dispatch.threshold))
                .with("retry_after_ms", after.as_millis());
            log::info!("{event}");
            metrics::counter!("magnolia_refusals", "reason" => reason).increment(1);
            let rank = dispatch.call.rank().to_string();
            metrics::counter!("magnolia_stream_refusals", "rank" => rank).increment(1);
            Reply::refused(retry_later(StatusCode::SERVICE_UNAVAILABLE, reason, after))
        }
        Err(Failure::Unknown(_)) => Reply::unknown(node, &dispatch.call),
    }
}
