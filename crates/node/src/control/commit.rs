//! Drives `preset::Commit` against the store and the nodes.

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

/// Runs a change to its end; `tell` hears how it stands.
pub(super) fn run(
    request: Request,
    nodes: &Nodes,
    platform: SocketAddr,
    tell: &mut dyn FnMut(&Outcome),
) {
    let client = Client::new(store::Settings::builder(&platform.to_string()).build());
    let began = Instant::now();
    let mut commit = Commit::new(request);
    let mut steps = VecDeque::from([Input::Start]);
    while let Some(step) = steps.pop_front() {
        let mut wants = Vec::new();
        commit.step(began.elapsed(), step, &mut wants);
        for want in wants {
            if let Output::Report(outcome) = &want {
                tell(outcome);
            }
            steps.extend(perform(want, &client, nodes));
        }
    }
}

fn perform(want: Output, client: &Client, nodes: &Nodes) -> Option<Input> {
    match want {
        Output::Read => Some(match client.range(Purpose::Preset, PRESET_KEY) {
            Ok(Some(entry)) => Input::Read { value: Some(entry.value), revision: entry.revision },
            Ok(None) => Input::Read { value: None, revision: 0 },
            Err(_) => Input::ReadLost,
        }),
        Output::Write { value, expected } => Some(write(client, &value, expected)),
        Output::Status => {
            let version = |status: serde_json::Value| status["preset"]["version"].as_u64();
            let statuses = nodes.statuses().into_iter();
            let told: BTreeMap<SmolStr, _> = statuses
                .map(|(node, status)| (node.into(), status.map(|s| version(s).unwrap_or(0))))
                .collect();
            Some(Input::Status(told))
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
        // A write that surely had no effect is read back like one whose answer was lost.
        Err(_) => Input::WriteLost,
    }
}

/// Exit code of an outcome.
pub(super) fn code(outcome: &Outcome) -> u8 {
    match outcome {
        Outcome::Accepted { settled: true, .. } => EXIT_DONE,
        Outcome::Accepted { settled: false, .. } | Outcome::Unknown => EXIT_UNSETTLED,
        Outcome::Conflict(_) => EXIT_CONFLICT,
        Outcome::Reused { .. } => EXIT_INVALID,
        Outcome::NotMade => super::EXIT_FAILED,
    }
}

/// One line on how a change stands.
pub(super) fn line(outcome: &Outcome, json: bool) -> String {
    if json { as_json(outcome).to_string() } else { as_text(outcome) }
}

fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

fn as_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Accepted { version, in_force, behind, settled, settles_in, .. } => {
            let (there, all) = (in_force.len(), in_force.len() + behind.len());
            let rest = match (settled, behind.is_empty()) {
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
            format!("accepted as version {version}; in force on {there} of {all} nodes: {rest}")
        }
        Outcome::Conflict(conflict) => match &conflict.in_force {
            Some(preset) => format!(
                "not made: another change came first; in force is {} version {} (change {})",
                preset.name, preset.version, preset.change
            ),
            None => "not made: no preset is in force".to_owned(),
        },
        Outcome::Reused { version } => {
            format!("not made: this name was used for the other change to version {version}")
        }
        Outcome::NotMade => "not made: nothing was written; the store does not answer".to_owned(),
        Outcome::Unknown => {
            "not known whether the change was made; repeat with the same --change".to_owned()
        }
    }
}

fn as_json(outcome: &Outcome) -> serde_json::Value {
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
