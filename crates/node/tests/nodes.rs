//! Clusters of several nodes: facts reach all nodes, and callers can recover from the loss of a
//! node.

mod common;

use std::io::{BufRead, BufReader};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{Answer, Scripted, agent, engine, put_preset, service, text, wait_for};
use node::shell::Process;
use serde_json::{Value, json};
use standin::platform::{Command, Outage, Platform};

/// Three nodes that see each other as alive.
struct Cluster {
    platform: Platform,
    nodes: Vec<Process>,
}

impl Cluster {
    fn start(vms: Vec<Value>) -> Self {
        let vms = vms.into_iter().map(|vm| serde_json::from_value(vm).expect("vm")).collect();
        let platform = Platform::builder().lag(Duration::ZERO).vms(vms).start().expect("platform");
        put_preset(platform.address(), &common::preset("ordinary"), 1);
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
        let cluster = Self { platform, nodes };
        wait_for("readiness", || cluster.nodes.iter().all(Process::ready));
        wait_for("a full view", || {
            (0..3).all(|node| {
                let status = cluster.status(node);
                let others = status["nodes"].as_array().cloned().unwrap_or_default();
                others.iter().filter(|other| other["state"] == "alive").count() >= 2
            })
        });
        cluster
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

fn full_engine() -> Scripted {
    Scripted::start(|call, back| {
        back.start_events();
        back.tokens(call, call.first_token(), 6, true);
    })
}

#[test]
fn a_preset_takes_effect_on_all_nodes_and_is_not_rolled_back() {
    let target = full_engine();
    let cluster = Cluster::start(vec![engine("e1", target.address, [0, 8], 8)]);
    put_preset(cluster.platform.address(), &common::preset("peak"), 2);
    wait_for("version 2 everywhere", || (0..3).all(|node| cluster.version(node) == 2));
    // A store restored to an older state must not roll the nodes back to the old preset.
    put_preset(cluster.platform.address(), &common::preset("ordinary"), 1);
    put_preset(cluster.platform.address(), &common::preset("peak"), 3);
    wait_for("version 3 everywhere", || {
        let versions: Vec<u64> = (0..3).map(|node| cluster.version(node)).collect();
        assert!(versions.iter().all(|version| *version >= 2), "{versions:?}");
        versions == [3, 3, 3]
    });
}

#[test]
fn a_target_drained_at_one_node_gets_no_requests_from_any_node() {
    let (one, two) = (full_engine(), full_engine());
    let cluster = Cluster::start(vec![
        engine("e1", one.address, [0, 8], 8),
        engine("e2", two.address, [0, 8], 8),
    ]);
    let url = format!("http://{}/drain/e1", cluster.nodes[0].ports().operators);
    assert_eq!(agent().post(url).send_empty().expect("an answer").status().as_u16(), 200);
    wait_for("the drain on all nodes", || {
        (0..3).all(|node| {
            let targets = cluster.status(node)["targets"].as_array().cloned().unwrap_or_default();
            targets.iter().any(|one| one["name"] == "e1" && one["standing"] == "leaving")
        })
    });
    let before = one.calls("/v1").len();
    for round in 0..12 {
        let answer = cluster.post(round % 3, "/v1/chat/completions", &chat(), &[]);
        assert!(answer.is_complete(), "{}", answer.body);
    }
    assert_eq!(one.calls("/v1").len(), before);
}

/// The node is killed during a stream, and the caller fetches the rest through another node.
#[test]
fn a_stream_survives_the_loss_of_its_node() {
    let stall = Arc::new(AtomicBool::new(true));
    let stalled = Arc::clone(&stall);
    let target = Scripted::start(move |call, back| {
        back.start_events();
        if stalled.load(Ordering::SeqCst) {
            back.tokens(call, 0, 3, false);
            back.wait_until_closed();
            return;
        }
        back.tokens(call, call.first_token(), 6, true);
    });
    let mut cluster = Cluster::start(vec![engine("e1", target.address, [0, 8], 8)]);
    let key = ("idempotency-key", "k");
    let url = format!("http://{}/v1/chat/completions", cluster.nodes[0].ports().callers);
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
    stall.store(false, Ordering::SeqCst);
    cluster.nodes.remove(0).kill();
    assert!(!lines.map_while(Result::ok).any(|line| line.contains("[DONE]")));
    let headers = [key, ("last-event-id", last.as_str())];
    let mut rest = cluster.post(0, "/v1/chat/completions", &chat(), &headers);
    wait_for("the rest", || {
        if !rest.is_complete() {
            rest = cluster.post(0, "/v1/chat/completions", &chat(), &headers);
        }
        rest.is_complete()
    });
    assert_eq!(rest.text(), text(6)[text(3).len()..], "{}", rest.body);
}

/// The node is killed while its booking runs. The other nodes report the outcome as unknown and
/// never run the booking again, but still serve other bookings.
#[test]
fn a_booking_in_flight_at_the_loss_of_its_node_never_runs_again() {
    let target = Scripted::start(|call, back| {
        if call.body == b"slow" {
            back.wait_until_closed();
            return;
        }
        back.answer(200, "", r#"{"booked":1}"#);
    });
    let mut cluster = Cluster::start(vec![service("b1", target.address, "booking", false)]);
    let callers = cluster.nodes[0].ports().callers;
    let caller = std::thread::spawn(move || {
        let request = agent().post(format!("http://{callers}/services/booking/book"));
        let request = request.header("openai-organization", "cascade");
        request.header("idempotency-key", "k").send("slow").map(Answer::read)
    });
    wait_for("the call", || !target.calls("/book").is_empty());
    cluster.nodes.remove(0).kill();
    if let Ok(answer) = caller.join().expect("caller") {
        assert_ne!(answer.header("magnolia-run"), "not-run", "{}", answer.body);
    }
    let path = "/services/booking/book";
    for node in 0..2 {
        let again = cluster.post(node, path, "slow", &[("idempotency-key", "k")]);
        assert_eq!((again.status, again.header("magnolia-run")), (502, "unknown"));
        let other = cluster.post(node, path, "quick", &[]);
        assert_eq!(other.status, 200, "{}", other.body);
    }
    let slow = target.calls("/book").iter().filter(|call| call.body == b"slow").count();
    assert_eq!(slow, 1);
}

/// Calls with the same key sent through all nodes concurrently run once in total.
#[test]
fn a_key_sent_through_all_nodes_at_once_runs_once() {
    let target = Scripted::start(|_, back| back.answer(200, "", r#"{"booked":1}"#));
    let cluster = Cluster::start(vec![service("b1", target.address, "booking", false)]);
    for round in 0..10 {
        let key = format!("k{round}");
        let answers: Vec<Answer> = std::thread::scope(|scope| {
            let send = |node| {
                let (cluster, key) = (&cluster, key.as_str());
                let headers = [("idempotency-key", key)];
                scope.spawn(move || cluster.post(node, "/services/booking/book", key, &headers))
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

/// During an outage of the whole platform, nodes that know each other still serve model requests.
/// Calls that may not be repeated need the store and are not run.
#[test]
fn model_requests_are_served_while_the_platform_is_down() {
    let target = full_engine();
    let cluster = Cluster::start(vec![engine("e1", target.address, [0, 8], 8)]);
    cluster.platform.command(Command::Outage(Outage::Refuse));
    cluster.platform.command(Command::ListOutage(Outage::Refuse));
    for round in 0..30 {
        let answer = cluster.post(round % 3, "/v1/chat/completions", &chat(), &[]);
        assert!(answer.is_complete(), "{}", answer.body);
        std::thread::sleep(Duration::from_millis(300));
    }
    let booking = cluster.post(0, "/services/booking/book", "x", &[("idempotency-key", "k")]);
    assert_eq!((booking.status, booking.header("magnolia-run")), (503, "attempt-not-run"));
}
