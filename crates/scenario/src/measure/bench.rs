//! Setup, load and statistics that the measures share.

use std::env;
use std::path::PathBuf;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::{SmolStr, format_smolstr};
use standin::deployment::Builder;

use crate::Error;
use crate::process::caller::{Caller, Kind, Request};
use crate::process::environment::Environment;
use crate::process::start;

/// File name of the node program.
const BINARY: &str = "magnoliarun";
/// Nodes started for a measurement.
pub(super) const NODES: usize = 4;
/// Delay with which changes show in the platform's list of VMs.
pub(super) const LIST_LAG: Duration = Duration::from_millis(200);

/// Starts a deployment, writes a preset, and starts [`NODES`] nodes and waits until they are
/// ready.
pub(super) fn start(builder: Builder) -> Result<Environment, Error> {
    let mut environment = Environment::new(&find_binary()?);
    environment.deployment = Some(builder.lag(LIST_LAG).start().map_err(Error::environment)?);
    start::put_preset(&mut environment, "ordinary".into())?;
    start::start_nodes(&mut environment, NODES)?;
    Ok(environment)
}

/// Returns the random number generator of a measurement.
pub(super) fn rng(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}

/// Returns a streamed chat request whose key is `name` and whose content contains it.
pub(super) fn chat_request(
    environment: &Environment,
    name: &str,
    max_tokens: u32,
) -> Result<Request, Error> {
    let deployment = environment.deployment()?;
    let organisation = deployment.organisations.first();
    Ok(Request {
        kind: Kind::Chat,
        model: deployment.model.clone(),
        organisation: organisation
            .map(|organisation| organisation.name.clone())
            .unwrap_or_default(),
        key: Some(name.into()),
        max_tokens,
        stream: true,
        content: format!("Refinish notes for {name}."),
    })
}

/// Sends `count` streamed chat requests, distributed evenly over the nodes, and returns the
/// names of their callers: `PREFIX-0`, ...
pub(super) fn send_streams(
    environment: &mut Environment,
    prefix: &str,
    count: usize,
    max_tokens: u32,
) -> Result<Vec<SmolStr>, Error> {
    let nodes: Vec<_> = environment.nodes.values().map(|node| node.caller_address).collect();
    let mut names = Vec::with_capacity(count);
    for number in 0..count {
        let name = format_smolstr!("{prefix}-{number}");
        let request = chat_request(environment, &name, max_tokens)?;
        let caller = Caller::send(nodes[number % nodes.len()], request, None)?;
        environment.callers.insert(name.clone(), caller);
        names.push(name);
    }
    Ok(names)
}

/// Returns the 95th percentile by nearest rank, in milliseconds.
///
/// # Errors
///
/// Fails if `gaps` is empty.
pub(super) fn percentile_95(mut gaps: Vec<Duration>) -> Result<f64, Error> {
    gaps.sort();
    let rank = (gaps.len() * 95).div_ceil(100);
    let value = gaps.get(rank.saturating_sub(1));
    value.map(|gap| millis(*gap)).ok_or_else(|| Error::environment("no samples were measured"))
}

/// Converts a duration to milliseconds.
pub(super) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Returns the path of the node program, from the three folders above the running program.
fn find_binary() -> Result<PathBuf, Error> {
    let program = env::current_exe().map_err(Error::environment)?;
    let places = program.ancestors().skip(1).take(3).map(|folder| folder.join(BINARY));
    let mut found = places.filter(|path| path.is_file());
    found.next().ok_or_else(|| Error::environment("node not built: cargo build --release -p node"))
}
