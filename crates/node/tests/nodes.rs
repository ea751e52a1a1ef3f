//! Several nodes: facts reach all of them, and the loss of one loses nothing for callers.

mod common;

use std::io::{BufRead, BufReader};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{Answer, Scripted, agent, engine, put, service, text, wait_for};
use node::shell::Process;
use serde_json::{Value, json};
use standin::platform::{Command, Outage, Platform};

/// Three nodes that know each other.
struct Group {
    platform: Platform,
    nodes: Vec<Process>,
}

impl Group {
    fn start(vms: Vec<Value>) -> Self {
        let vms = vms.into_iter().map(|vm| serde_json::from_value(vm).expect("vm")).collect();
        let platform = Platform::builder().lag(Duration::ZERO).vms(vms).start().expect("platform");
        put(platform.address(), &common::preset("ordinary"), 1);
        let nodes: Vec<Process> = ["n1", "n2", "n3"]
            .iter()
            .map(|name| {
                let node = common::node(platform.address(), name, |_| {});
                let peer = node.ports().peers;
                let vm = json!({"name": name, "domain": "a", "standing": "live",
                                "role": {"entry": {"peer": peer}}});
                let vm = serde_json::from_value(vm).expect("vm");
                platform.command(Command::Join(Box::new(vm)));
                node
            })
            .collect();
        let group = Self { platform, nodes };
        wait_for("readiness", || group.nodes.iter().all(Process::ready));
        wait_for("a full view", || {
            (0..3).all(|node| {
                let status = group.status(node);
                let others = status["nodes"].as_array().cloned().unwrap_or_default();
                others.iter().filter(|other| other["state"] == "alive").count() >= 2
            })
        });
        group
    }

    fn status(&self, node: usize) -> Value {
        let url = format!("http://{}/status", self.nodes[node].ports().operators);
        Answer::read(agent().get(url).call().expect("status")).json()
    }

    fn post(&self, node: usize, path: &str, body: &str, headers: &[(&str, &str)]) -> Answer {
        let url = format!("http://{}{path}", self.nodes[node].ports().callers);
        let mut request = agent().post(url).header("openai-organization", "cascade");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        Answer::read(request.send(body).expect("an answer"))
    }

    fn version(&self, node: usize) -> u64 {
        self.status(node)["preset"]["version"].as_u64().unwrap_or_default()
    }
}

fn chat() -> String {
    json!({"model": "plank", "messages": [{"role": "user", "content": "x"}], "stream": true})
        .to_string()
}

fn whole_engine() -> Scripted {
    Scripted::start(|call, back| {
        back.open();
        back.tokens(call, call.from(), 6, true);
    })
}

#[test]
fn a_preset_is_in_force_on_all_nodes_and_stays() {
    let target = whole_engine();
    let group = Group::start(vec![engine("e1", target.address, [0, 8], 8)]);
    put(group.platform.address(), &common::preset("peak"), 2);
    wait_for("version 2 everywhere", || (0..3).all(|node| group.version(node) == 2));
    // A store that was restored to an older state does not bring the old preset back.
    put(group.platform.address(), &common::preset("ordinary"), 1);
    put(group.platform.address(), &common::preset("peak"), 3);
    wait_for("version 3 everywhere", || {
        let versions: Vec<u64> = (0..3).map(|node| group.version(node)).collect();
        assert!(versions.iter().all(|version| *version >= 2), "{versions:?}");
        versions == [3, 3, 3]
    });
}

#[test]
fn a_target_drained_at_one_node_gets_nothing_new_from_any() {
    let (one, two) = (whole_engine(), whole_engine());
    let group = Group::start(vec![
        engine("e1", one.address, [0, 8], 8),
        engine("e2", two.address, [0, 8], 8),
    ]);
    let url = format!("http://{}/drain/e1", group.nodes[0].ports().operators);
    assert_eq!(agent().post(url).send_empty().expect("an answer").status().as_u16(), 200);
    wait_for("the news everywhere", || {
        (0..3).all(|node| {
            let targets = group.status(node)["targets"].as_array().cloned().unwrap_or_default();
            targets.iter().any(|one| one["name"] == "e1" && one["standing"] == "leaving")
        })
    });
    let before = one.calls("/v1").len();
    for round in 0..12 {
        let answer = group.post(round % 3, "/v1/chat/completions", &chat(), &[]);
        assert!(answer.whole(), "{}", answer.body);
    }
    assert_eq!(one.calls("/v1").len(), before);
}

/// The node dies in the middle of a stream; the caller fetches the rest through another.
#[test]
fn a_stream_survives_the_loss_of_its_node() {
    let hold = Arc::new(AtomicBool::new(true));
    let held = Arc::clone(&hold);
    let target = Scripted::start(move |call, back| {
        back.open();
        if held.load(Ordering::SeqCst) {
            back.tokens(call, 0, 3, false);
            back.until_closed();
            return;
        }
        back.tokens(call, call.from(), 6, true);
    });
    let mut group = Group::start(vec![engine("e1", target.address, [0, 8], 8)]);
    let key = ("idempotency-key", "k");
    let url = format!("http://{}/v1/chat/completions", group.nodes[0].ports().callers);
    let request = agent().post(url).header("openai-organization", "cascade");
    let answer = request.header(key.0, key.1).send(chat()).expect("an answer");
    let mut lines = BufReader::new(answer.into_body().into_reader()).lines();
    let mut last = String::new();
    while !last.contains(".3.") {
        let line = lines.next().expect("a line").expect("a line");
        if let Some(id) = line.strip_prefix("id: ") {
            id.clone_into(&mut last);
        }
    }
    hold.store(false, Ordering::SeqCst);
    group.nodes.remove(0).kill();
    assert!(!lines.map_while(Result::ok).any(|line| line.contains("[DONE]")));
    let headers = [key, ("last-event-id", last.as_str())];
    let mut rest = group.post(0, "/v1/chat/completions", &chat(), &headers);
    wait_for("the rest", || {
        if !rest.whole() {
            rest = group.post(0, "/v1/chat/completions", &chat(), &headers);
        }
        rest.whole()
    });
    assert_eq!(rest.text(), text(6)[text(3).len()..], "{}", rest.body);
}

/// The node dies while its booking runs: the outcome is unknown to all, it never runs again,
/// and other bookings go on.
#[test]
fn a_booking_in_flight_at_the_loss_of_its_node_never_runs_again() {
    let target = Scripted::start(|call, back| {
        if call.body == b"slow" {
            back.until_closed();
            return;
        }
        back.answer(200, "", r#"{"booked":1}"#);
    });
    let mut group = Group::start(vec![service("b1", target.address, "booking", false)]);
    let callers = group.nodes[0].ports().callers;
    let caller = std::thread::spawn(move || {
        let request = agent().post(format!("http://{callers}/services/booking/book"));
        let request = request.header("openai-organization", "cascade");
        request.header("idempotency-key", "k").send("slow").map(Answer::read)
    });
    wait_for("the call", || !target.calls("/book").is_empty());
    group.nodes.remove(0).kill();
    if let Ok(answer) = caller.join().expect("caller") {
        assert_ne!(answer.header("magnolia-run"), "not-run", "{}", answer.body);
    }
    let path = "/services/booking/book";
    for node in 0..2 {
        let again = group.post(node, path, "slow", &[("idempotency-key", "k")]);
        assert_eq!((again.status, again.header("magnolia-run")), (502, "unknown"));
        let other = group.post(node, path, "quick", &[]);
        assert_eq!(other.status, 200, "{}", other.body);
    }
    let slow = target.calls("/book").iter().filter(|call| call.body == b"slow").count();
    assert_eq!(slow, 1);
}

/// The same key sent through all nodes at once runs at most once.
#[test]
fn a_key_sent_through_all_nodes_at_once_runs_once() {
    let target = Scripted::start(|_, back| back.answer(200, "", r#"{"booked":1}"#));
    let group = Group::start(vec![service("b1", target.address, "booking", false)]);
    for round in 0..10 {
        let key = format!("k{round}");
        let answers: Vec<Answer> = std::thread::scope(|scope| {
            let send = |node| {
                let (group, key) = (&group, key.as_str());
                let headers = [("idempotency-key", key)];
                scope.spawn(move || group.post(node, "/services/booking/book", key, &headers))
            };
            let callers: Vec<_> = (0..3).map(send).collect();
            callers.into_iter().map(|caller| caller.join().expect("caller")).collect()
        });
        for answer in &answers {
            let run = answer.header("magnolia-run");
            assert!(matches!(run, "complete" | "unknown"), "{run}: {}", answer.body);
        }
        let ran = target.calls("/book").iter().filter(|call| call.body == key.as_bytes()).count();
        assert_eq!(ran, 1, "{answers:?}");
    }
}

/// An outage of the whole platform takes nothing from nodes that know each other.
#[test]
fn model_requests_go_on_while_the_platform_is_down() {
    let target = whole_engine();
    let group = Group::start(vec![engine("e1", target.address, [0, 8], 8)]);
    group.platform.command(Command::Outage(Outage::Refuse));
    group.platform.command(Command::ListOutage(Outage::Refuse));
    for round in 0..30 {
        let answer = group.post(round % 3, "/v1/chat/completions", &chat(), &[]);
        assert!(answer.whole(), "{}", answer.body);
        std::thread::sleep(Duration::from_millis(300));
    }
    let booking = group.post(0, "/services/booking/book", "x", &[("idempotency-key", "k")]);
    assert_eq!((booking.status, booking.header("magnolia-run")), (503, "attempt-not-run"));
}
