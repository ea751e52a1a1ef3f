//! Measures the tokens that nodes deliver to callers of an entire deployment, relative to the
//! maximum flow through its engines.
//!
//! `cargo run --release -p scenario --example saturate` starts the stand-ins of a
//! deployment in this process and the nodes as separate processes, and prints one JSON line.
//! The node must be built first: `cargo build --release -p node`.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use bpaf::Bpaf;
use fleet::{DomainName, Kind, Role};
use route::flow::{Network, Supply};
use serde_json::json;
use standin::deployment::{self, Deployment};

mod support;

use support::{Load, Node};

/// Measures delivered tokens relative to the maximum flow
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Settings {
    /// Deployment: pnw or dar
    #[bpaf(argument("NAME"), fallback("pnw".to_owned()))]
    deployment: String,
    /// Number of nodes
    #[bpaf(argument("NUMBER"), fallback(4))]
    nodes: usize,
    /// Concurrent streams
    #[bpaf(argument("NUMBER"), fallback(400))]
    streams: usize,
    /// Maximum tokens of an answer
    #[bpaf(argument("NUMBER"), fallback(200))]
    tokens: u32,
    /// Seconds of load before the measurement
    #[bpaf(argument("SECONDS"), fallback(5))]
    warm_up: u64,
    /// Seconds of measurement
    #[bpaf(argument("SECONDS"), fallback(20))]
    seconds: u64,
}

fn main() {
    let settings = settings().run();
    let (builder, model) = match settings.deployment.as_str() {
        "dar" => (deployment::dar(), "maonesho"),
        _ => (deployment::pnw(), "plank"),
    };
    let deployment = builder.start().expect("the stand-ins start");
    let platform = deployment.platform.address();
    let organisations: Vec<&str> =
        deployment.organisations.iter().map(|organisation| organisation.name.as_str()).collect();
    support::put_preset(platform, &organisations);
    let nodes: Vec<Node> = (0..settings.nodes)
        .map(|number| {
            let node = Node::start(&format!("n{number}"), "a", platform);
            deployment.join_node(format!("n{number}"), "a", node.peer_address);
            node
        })
        .collect();
    nodes.iter().for_each(Node::await_ready);
    let load = Load {
        nodes: nodes.iter().map(|node| node.caller_address).collect(),
        organisations: organisations.iter().map(|name| (*name).to_owned()).collect(),
        model,
        streams: settings.streams,
        tokens: settings.tokens,
        warm_up: Duration::from_secs(settings.warm_up),
        length: Duration::from_secs(settings.seconds),
    };
    let result = support::run(&load, || thread::sleep(load.length));
    let bound = flow_bound(&deployment);
    let mut line = result.json();
    line["name"] = json!("saturate");
    line["deployment"] = json!(settings.deployment);
    line["streams"] = json!(settings.streams);
    line["bound_tokens_per_second"] = json!(bound);
    line["share_of_bound"] = json!(result.tokens as f64 / result.seconds / bound);
    println!("{line}");
}

/// Returns the maximum flow through the deployment's engines, in tokens per second.
fn flow_bound(deployment: &Deployment) -> f64 {
    let mut domains: BTreeMap<DomainName, u16> = BTreeMap::new();
    let mut supplies = Vec::new();
    for engine in &deployment.engines {
        let Role::Target(target) = &engine.vm().role else { continue };
        let Kind::Engine(kind) = &target.kind else { continue };
        let next = domains.len() as u16;
        let domain = *domains.entry(target.domain.clone()).or_insert(next);
        let (layers, rate) = (kind.layers, kind.tokens_per_second);
        supplies.push(Supply { domain, layers, rate, targets: 1 });
    }
    let network = Network { depth: deployment.depth, supplies, links: Vec::new() };
    route::flow::solve(&network).bound
}
