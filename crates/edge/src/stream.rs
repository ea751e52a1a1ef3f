//! Requests whose answer is a series of events, from a model spread over engines.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Response, StatusCode};
use site::Model;
use tokio::sync::mpsc::channel;

use crate::answer::{Answer, later};
use crate::call::{Call, back};
use crate::event::REFUSED;
use crate::node::Node;
use crate::offer::{Closed, NO_PATH, NO_RETRY, Run};
use crate::pump::pump;
use crate::quarantine::QUARANTINED;
use crate::reply::lost;

/// Events that wait for a slow caller.
const EVENTS_WAITING: usize = 32;
/// Time that it takes for memory to become free again: streams last a few seconds.
const OVERLOAD: Duration = Duration::from_millis(1500);

/// Sends a request along a path and passes on the events.
pub(crate) async fn relay(node: &Rc<Node>, call: Rc<Call>, model: Arc<Model>) -> Response<Answer> {
    let mut run = Run::new(node, call, model);
    match run.open(None).await {
        Ok(open) => {
            let mut response = Response::new(());
            *response.headers_mut() = back(open.response.headers());
            let (sender, receiver) = channel(EVENTS_WAITING);
            tokio::task::spawn_local(pump(run, open, sender));
            response.map(|()| Answer::Events(receiver))
        }
        Err(Closed::Failed(response)) => response,
        Err(Closed::NotRun(reason)) => {
            // Other nodes have retries left, and this one leaves out the target by then.
            let after = match reason {
                NO_RETRY => node.elsewhere(),
                QUARANTINED => node.quarantined_for(run.call.fingerprint),
                NO_PATH if let Some(left) = run.path_returns() => node.after_backoff(left),
                _ => node.comeback(&run.call, OVERLOAD),
            };
            let event = run
                .call
                .event(REFUSED)
                .with("reason", reason)
                .with("offers", run.offers)
                .with("left_ms", run.call.ends.saturating_sub(node.now()).as_millis())
                .with("pressure", format_args!("{:.2}", run.pressure))
                .with("retry_after_ms", after.as_millis());
            log::info!("{event}");
            metrics::counter!("magnolia_refusals", "reason" => reason).increment(1);
            later(StatusCode::SERVICE_UNAVAILABLE, reason, after)
        }
        Err(Closed::Unknown) => lost(node, &run.call),
    }
}
