//! `magnoliactl` against a node and the platform stand-in.

mod common;

use std::path::PathBuf;
use std::process::{Command, Output};

use common::{Bench, Scripted, engine, service, wait_for};
use serde_json::{Value, json};

/// Runs `magnoliactl` with a folder of presets. Removes the folder when dropped.
struct Operator {
    nodes: String,
    platform: String,
    folder: PathBuf,
}

impl Operator {
    fn new(bench: &Bench, test: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("magnolia-control-{}-{test}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("folder");
        for name in ["ordinary", "peak"] {
            let text = common::preset(name).document().expect("document");
            std::fs::write(folder.join(format!("{name}.toml")), text).expect("file");
        }
        Self {
            nodes: bench.node.ports().operators.to_string(),
            platform: bench.platform.address().to_string(),
            folder,
        }
    }

    fn file(&self, name: &str) -> String {
        self.folder.join(format!("{name}.toml")).display().to_string()
    }

    fn run(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_magnoliactl"))
            .env_clear()
            .env("MAGNOLIA_NODES", &self.nodes)
            .env("MAGNOLIA_PRESETS", &self.folder)
            .args(["--platform", &self.platform, "--json"])
            .args(arguments)
            .output()
            .expect("the binary runs")
    }

    /// Runs a command with `--json`; returns its exit code and its last line.
    fn json(&self, arguments: &[&str]) -> (i32, Value) {
        let output = self.run(arguments);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let last = text.lines().last().unwrap_or_default();
        let value = serde_json::from_str(last).unwrap_or_default();
        (output.status.code().expect("exit code"), value)
    }
}

impl Drop for Operator {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

fn bench() -> (Bench, Scripted) {
    let target = Scripted::start(|call, back| {
        back.start_events();
        back.tokens(call, call.first_token(), 3, true);
    });
    let vms = vec![
        engine("e1", target.address, [0, 8], 8),
        service("b1", target.address, "booking", false),
    ];
    (Bench::start(vms), target)
}

#[test]
fn repeated_switch_is_accepted_once_and_in_force() {
    let (bench, _target) = bench();
    let operator = Operator::new(&bench, "switch");
    let switch = ["switch", "peak", "--change", "evening"];
    let (code, accepted) = operator.json(&switch);
    assert_eq!((code, &accepted["outcome"]), (0, &json!("accepted")), "{accepted}");
    let version = &accepted["version"];
    assert!(version.as_u64().is_some_and(|version| version > 1), "{accepted}");
    assert_eq!(accepted["in_force"], json!(["n1"]));
    let (_, shown) = operator.json(&["show"]);
    assert_eq!((&shown["name"], &shown["change"]), (&json!("peak"), &json!("evening")));
    let (code, again) = operator.json(&switch);
    assert_eq!((code, &again["version"]), (0, version), "{again}");
    let (code, reused) = operator.json(&["switch", "ordinary", "--change", "evening"]);
    assert_eq!((code, &reused["outcome"]), (2, &json!("reused")));
    let file = operator.file("ordinary");
    let (code, conflict) = operator.json(&["put", "--base", "1", &file]);
    assert_eq!((code, &conflict["outcome"]), (3, &json!("conflict")), "{conflict}");
    assert_eq!(&conflict["in_force"]["version"], version);
    let (code, line) = operator.json(&["watch", "--changes", "1"]);
    assert_eq!((code, &line["preset"]["version"]), (0, version));
}

#[test]
fn invalid_document_is_refused_with_the_allowed_range() {
    let (bench, _target) = bench();
    let operator = Operator::new(&bench, "validate");
    assert_eq!(operator.json(&["validate", &operator.file("peak")]).0, 0);
    let text = common::preset("peak").document().expect("document");
    let bad = text.replace("attempts = 4", "attempts = 400");
    std::fs::write(operator.folder.join("bad.toml"), bad).expect("file");
    for command in ["validate", "put"] {
        let output = operator.run(&[command, &operator.file("bad")]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert!(stderr.contains("attempts") && stderr.contains("1 to 20"), "{stderr}");
    }
    assert_eq!(operator.json(&["show"]).1["version"], 1);
}

#[test]
fn status_drain_and_explain_reach_the_node() {
    let (bench, target) = bench();
    let operator = Operator::new(&bench, "status");
    let answer = bench.chat(true, &[("idempotency-key", "k")]);
    let (code, explained) = operator.json(&["explain", answer.header("magnolia-request")]);
    assert_eq!(code, 0);
    let decisions = explained["explanation"]["decisions"].to_string();
    assert!(decisions.contains("request-arrived") && decisions.contains("e1"), "{decisions}");
    let (answer_id, _) = answer.ids()[0].split_once('.').expect("an event id");
    assert_eq!(operator.json(&["explain", answer_id]).0, 0);
    assert_eq!(operator.json(&["explain", "0"]).0, 1);
    assert_eq!(operator.json(&["drain", "e1"]).0, 0);
    assert_eq!(operator.json(&["drain", "e9"]).0, 1);
    wait_for("the drain", || {
        let (_, status) = operator.json(&["status"]);
        let targets = status["n1"]["targets"].as_array().cloned().unwrap_or_default();
        targets.iter().any(|one| one["name"] == "e1" && one["standing"] == "leaving")
    });
    let before = target.calls("/v1").len();
    assert_eq!(bench.chat(false, &[]).header("magnolia-run"), "not-run");
    assert_eq!(target.calls("/v1").len(), before);
}

#[test]
fn unreachable_node_is_reported() {
    let (bench, _target) = bench();
    let mut operator = Operator::new(&bench, "none");
    operator.nodes = "127.0.0.1:1".to_owned();
    let output = operator.run(&["status"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no node answers"));
}
