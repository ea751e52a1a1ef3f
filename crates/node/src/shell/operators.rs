//! The port for operators: health, metrics, status, recorded decisions and drains.

use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use fleet::{Event, Standing};
use rouille::{Request, Response};
use serde_json::{Value, json};

use super::shared::{Input, Shared};
use crate::{Message, event};

/// Maximum time to wait for a reply of the decision thread.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles one call of an operator.
pub(crate) fn respond(request: &Request, shared: &Shared) -> Response {
    let url = request.url();
    let path: Vec<&str> = url.trim_matches('/').split('/').collect();
    match (request.method(), path.as_slice()) {
        ("GET", ["livez"]) => Response::text("alive\n"),
        ("GET", ["readyz"]) => ready(shared),
        ("GET", ["metrics"]) => metrics_page(shared),
        ("GET", ["status"]) => Response::json(&status(shared)),
        ("GET", ["preset"]) => preset(shared),
        ("GET", ["explain", request]) => explain(request, shared),
        ("POST", ["drain", target]) => drain(target, shared),
        (_, ["livez" | "readyz" | "metrics" | "status" | "preset"])
        | (_, ["explain" | "drain", _]) => error(405, "method", "this path needs another method"),
        _ => error(404, "no_such_path", "no such path; docs/PROTOCOLS.md lists the calls"),
    }
}

fn error(status: u16, kind: &str, message: &str) -> Response {
    Response::json(&crate::api::error(kind, message, None)).with_status_code(status)
}

fn ready(shared: &Shared) -> Response {
    if shared.ready() {
        return Response::text("ready\n");
    }
    let reason = if shared.draining.load(Ordering::Relaxed) {
        "draining\n"
    } else if shared.active_preset().is_none() {
        "no preset in force\n"
    } else if !shared.fresh.load(Ordering::Relaxed) {
        "the configuration in force is not proved\n"
    } else {
        "no targets known\n"
    };
    Response::text(reason).with_status_code(503)
}

fn metrics_page(shared: &Shared) -> Response {
    metrics::gauge!("magnolia_in_flight").set(shared.in_flight_count() as f64);
    metrics::gauge!("magnolia_connections").set(shared.connections.load(Ordering::Relaxed) as f64);
    metrics::gauge!("magnolia_ready").set(f64::from(u8::from(shared.ready())));
    match super::logging::prometheus() {
        Some(prometheus) => {
            prometheus.run_upkeep();
            Response::from_data("text/plain; version=0.0.4", prometheus.render())
        }
        None => error(503, "no_metrics", "metrics are not installed in this process"),
    }
}

fn status(shared: &Shared) -> Value {
    let catalog = shared.catalog();
    let targets: Vec<Value> = catalog.targets.iter().map(target).collect();
    let nodes: Vec<Value> = shared
        .nodes()
        .iter()
        .map(|node| {
            json!({
                "name": node.name, "address": node.address,
                "state": format!("{:?}", node.state).to_lowercase(), "preset": node.preset,
            })
        })
        .collect();
    let in_force = shared.active_preset().map(|(preset, _)| {
        json!({"name": preset.name, "version": preset.version, "change": preset.change})
    });
    json!({
        "node": shared.settings.name, "domain": shared.settings.domain,
        "ready": shared.ready(), "fresh": shared.fresh.load(Ordering::Relaxed),
        "draining": shared.draining.load(Ordering::Relaxed),
        "in_flight": shared.in_flight_count(),
        "claims_held": shared.held_claims.load(Ordering::Relaxed),
        "connections": shared.connections.load(Ordering::Relaxed),
        "preset": in_force, "nodes": nodes, "targets": targets,
    })
}

fn target(target: &fleet::Target) -> Value {
    let standing = match target.standing {
        Standing::Live => "live",
        Standing::Leaving => "leaving",
    };
    let (service, layers) = match &target.kind {
        fleet::Kind::Engine(engine) => {
            (&engine.model, Some([engine.layers.start, engine.layers.end]))
        }
        fleet::Kind::Service(service) => (&service.name, None),
    };
    json!({
        "name": target.name, "address": target.address, "domain": target.domain,
        "standing": standing, "service": service, "layers": layers,
    })
}

fn preset(shared: &Shared) -> Response {
    match shared.active_preset() {
        Some((preset, _)) => Response::json(&*preset),
        None => error(404, "no_preset", "no preset is in force yet"),
    }
}

fn explain(request: &str, shared: &Shared) -> Response {
    let (reply, replied) = mpsc::channel();
    shared.inbox.send(Input::Explain { request: request.to_owned(), reply });
    match replied.recv_timeout(REPLY_TIMEOUT) {
        Ok(decisions) if decisions.is_empty() => {
            error(404, "no_such_request", "no decisions on this request are recorded on this node")
        }
        Ok(decisions) => Response::json(&json!({"request": request, "decisions": decisions})),
        Err(_) => error(503, "busy", "the decision thread did not reply in time"),
    }
}

fn drain(target: &str, shared: &Shared) -> Response {
    if !shared.catalog().targets.iter().any(|known| known.name == target) {
        return error(404, "no_such_target", "no target of this name is known");
    }
    let event = Event::new(&event::DRAIN_REQUESTED).with("target", target);
    shared.inbox.send(Input::Log(event));
    shared.inbox.post(Message::Member(member::Message::Leaving(target.into())));
    Response::json(&json!({"target": target, "standing": "leaving"}))
}
