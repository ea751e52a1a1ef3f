//! Runs a preset change: performs the outputs of `preset::Commit` on the store and the nodes.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use preset::{Commit, Input, Outcome, Output, Request};
use serde_json::json;
use smol_str::SmolStr;
use store::{Cas, Client, Purpose, Write};

use super::nodes::Nodes;
use super::{EXIT_CONFLICT, EXIT_DONE, EXIT_INVALID, EXIT_UNSETTLED};
use crate::shell::PRESET_KEY;

/// Runs a change to its end and passes each reported outcome to `report`.
pub(super) fn run(
    request: Request,
    nodes: &Nodes,
    platform: SocketAddr,
    report: &mut dyn FnMut(&Outcome),
) {
    let client = Client::new(store::Settings::builder(&platform.to_string()).build());
    let started = Instant::now();
    let mut commit = Commit::new(request);
    let mut inputs = VecDeque::from([Input::Start]);
    while let Some(input) = inputs.pop_front() {
        let mut outputs = Vec::new();
        commit.step(started.elapsed(), input, &mut outputs);
        for output in outputs {
            if let Output::Report(outcome) = &output {
                report(outcome);
            }
            inputs.extend(perform(output, &client, nodes));
        }
    }
}

fn perform(output: Output, client: &Client, nodes: &Nodes) -> Option<Input> {
    match output {
        Output::Read => Some(match client.range(Purpose::Preset, PRESET_KEY) {
            Ok(Some(entry)) => Input::Read { value: Some(entry.value), revision: entry.revision },
            Ok(None) => Input::Read { value: None, revision: 0 },
            Err(_) => Input::ReadLost,
        }),
        Output::Write { value, expected } => Some(write(client, &value, expected)),
        Output::Status => {
            let version = |status: serde_json::Value| status["preset"]["version"].as_u64();
            let statuses = nodes.statuses().into_iter();
            let versions: BTreeMap<SmolStr, _> = statuses
                .map(|(node, status)| (node.into(), status.map(|s| version(s).unwrap_or(0))))
                .collect();
            Some(Input::Status(versions))
        }
        Output::Wake(after) => {
            std::thread::sleep(after);
            Some(Input::Wake)
        }
        Output::Report(_) => None,
    }
}

fn write(client: &Client, value: &[u8], expected: u64) -> Input {
    let write = Write { key: PRESET_KEY, expected, value: Some(value), lease: None, guard: None };
    match client.cas(Purpose::Preset, write) {
        Ok(Cas::Written { .. }) => Input::Written,
        Ok(Cas::Conflict { .. }) => Input::WriteRefused,
        // The commit reads the key back after any failed write, also one that had no effect.
        Err(_) => Input::WriteLost,
    }
}

/// Returns the exit code of an outcome.
pub(super) fn exit_code(outcome: &Outcome) -> u8 {
    match outcome {
        Outcome::Accepted { settled: true, .. } => EXIT_DONE,
        Outcome::Accepted { settled: false, .. } | Outcome::Unknown => EXIT_UNSETTLED,
        Outcome::Conflict(_) => EXIT_CONFLICT,
        Outcome::Reused { .. } => EXIT_INVALID,
        Outcome::NotMade => super::EXIT_FAILED,
    }
}

/// Formats an outcome as one line of text or JSON.
pub(super) fn format(outcome: &Outcome, json: bool) -> String {
    if json { format_json(outcome).to_string() } else { format_text(outcome) }
}

fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

fn format_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Accepted { version, in_force, behind, settled, settles_in, .. } => {
            let (done, all) = (in_force.len(), in_force.len() + behind.len());
            let remainder = match (settled, behind.is_empty()) {
                (true, true) => "everywhere".to_owned(),
                (true, false) => {
                    format!("{} take no new work until they have it", behind.join(", "))
                }
                (false, _) => {
                    format!(
                        "not yet on {}; at most {:.1} s",
                        behind.join(", "),
                        seconds(*settles_in)
                    )
                }
            };
            format!("accepted as version {version}; in force on {done} of {all} nodes: {remainder}")
        }
        Outcome::Conflict(conflict) => match &conflict.in_force {
            Some(preset) => format!(
                "not made: another change came first; {} version {} (change {}) is in force",
                preset.name, preset.version, preset.change
            ),
            None => "not made: no preset is in force".to_owned(),
        },
        Outcome::Reused { version } => {
            format!("not made: this change name was already used for version {version}")
        }
        Outcome::NotMade => "not made: nothing was written; the store does not answer".to_owned(),
        Outcome::Unknown => {
            "it is not known whether the change was made; repeat it with the same --change"
                .to_owned()
        }
    }
}

fn format_json(outcome: &Outcome) -> serde_json::Value {
    match outcome {
        Outcome::Accepted { version, stored, in_force, behind, settled, settles_in } => json!({
            "outcome": "accepted", "version": version, "stored": stored, "in_force": in_force,
            "behind": behind, "settled": settled, "until_seconds": seconds(*settles_in),
        }),
        Outcome::Conflict(conflict) => json!({
            "outcome": "conflict", "base": conflict.base, "in_force": conflict.in_force,
        }),
        Outcome::Reused { version } => json!({"outcome": "reused", "version": version}),
        Outcome::NotMade => json!({"outcome": "not-made"}),
        Outcome::Unknown => json!({"outcome": "unknown"}),
    }
}
