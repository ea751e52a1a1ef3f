//! Setup steps that scripts and measures share: writing a preset and starting nodes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ::node::settings::EXIT_PORT;
use fleet::{DomainName, Version};
use preset::{Organisation, Preset, Stored};
use smol_str::{SmolStr, format_smolstr};
use standin::deployment::{self, Deployment};

use super::condition;
use super::environment::{Environment, poll};
use super::node::Node;
use crate::Error;

/// Maximum attempts to write a preset, since another write may conflict.
const MAX_PUT_ATTEMPTS: u32 = 100;
/// Maximum starts of a node, since another process may take its ports.
const MAX_START_ATTEMPTS: u32 = 5;

/// Writes a preset for the deployment's organisations, and returns its version.
pub(crate) fn put_preset(environment: &mut Environment, name: SmolStr) -> Result<Version, Error> {
    let deployment = environment.deployment()?;
    let document = new_preset(deployment, name);
    let address = deployment.platform.address().to_string();
    let client = store::Client::new(store::Settings::builder(&address).build());
    let key = ::node::shell::PRESET_KEY;
    for _ in 0..MAX_PUT_ATTEMPTS {
        let entry = client.range(store::Purpose::Preset, key).map_err(Error::environment)?;
        let before = entry.as_ref().and_then(|entry| Stored::decode(&entry.value).ok());
        let version = before.as_ref().map_or(1, |stored| stored.preset.version + 1);
        let change = format_smolstr!("change-{version}");
        let value = Stored::following(before.as_ref(), &document, &change, version).encode();
        let expected = entry.map_or(0, |entry| entry.revision);
        let write = store::Write { key, expected, value: Some(&value), lease: None, guard: None };
        if client.cas(store::Purpose::Preset, write).is_ok() {
            environment.preset_version = version;
            return Ok(version);
        }
    }
    Err(Error::environment("preset not written: each attempt failed or met a conflict"))
}

/// Starts `count` more nodes, and waits until all are ready.
pub(crate) fn start_nodes(environment: &mut Environment, count: usize) -> Result<(), Error> {
    let first = environment.started_nodes + 1;
    environment.started_nodes += count;
    let domains: Vec<DomainName> = domains(environment.deployment()?);
    let platform = environment.deployment()?.platform.address();
    for number in first..first + count {
        let name = format_smolstr!("n{number}");
        let domain = &domains[number % domains.len()];
        let node = start_node(&environment.binary, &name, domain, platform)?;
        environment.deployment()?.join_node(name.clone(), domain, node.peer_address);
        environment.nodes.insert(name, node);
    }
    condition::await_ready(environment)
}

/// Starts a node. Another process may take one of its ports after they were found free and
/// before the node binds them; the node is then started again on other ports.
fn start_node(
    binary: &Path,
    name: &str,
    domain: &str,
    platform: SocketAddr,
) -> Result<Node, Error> {
    for _ in 0..MAX_START_ATTEMPTS {
        let mut node = Node::start(binary, name, domain, platform)?;
        let mut exit = None;
        poll("the start of a node", || {
            exit = node.exit_code();
            if exit.is_some() { Ok(()) } else { node.check_live() }
        })?;
        match exit {
            None => return Ok(node),
            Some(code) if code == i32::from(EXIT_PORT) => {}
            Some(code) => {
                return Err(Error::environment(format_smolstr!(
                    "{name} ended with exit code {code}"
                )));
            }
        }
    }
    Err(Error::environment(format_smolstr!(
        "{name} found its ports taken in {MAX_START_ATTEMPTS} starts"
    )))
}

fn new_preset(deployment: &Deployment, name: SmolStr) -> Preset {
    let organisation = |organisation: &deployment::Organisation| Organisation {
        name: organisation.name.clone(),
        weight: organisation.share * 10.0,
        keys: Vec::new(),
    };
    Preset {
        version: 0,
        change: SmolStr::default(),
        name,
        queue: 1_000,
        wait: Duration::from_secs(20),
        retry_share: 0.5,
        attempts: 8,
        quarantine: Duration::from_secs(60),
        organisations: deployment.organisations.iter().map(organisation).collect(),
        links: Vec::new(),
    }
}

fn domains(deployment: &Deployment) -> Vec<DomainName> {
    let mut domains: Vec<DomainName> =
        deployment.engines.iter().map(|engine| engine.vm().domain.clone()).collect();
    domains.sort();
    domains.dedup();
    domains
}
