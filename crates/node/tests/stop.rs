//! A planned stop finishes the requests in flight and rejects new ones. A forced stop reports how
//! many requests it cut off.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::{Bench, Scripted, engine, service, text, wait_for};
use standin::platform::{Command, Outage, Platform};
use yare::parameterized;

/// Starts an engine that sends its first token, waits for `release` and then sends the others.
fn gated_engine(release: &Arc<AtomicBool>) -> Scripted {
    let release = Arc::clone(release);
    Scripted::start(move |call, back| {
        back.start_events();
        back.tokens(call, 0, 1, false);
        wait_for("the rest", || release.load(Ordering::SeqCst));
        for index in 1..4 {
            back.event(&call.token(index));
        }
        back.event(&call.closed(4));
    })
}

fn chat(url: String) -> thread::JoinHandle<common::Answer> {
    thread::spawn(move || {
        let body = r#"{"model":"plank","messages":[{"role":"user","content":"x"}],"stream":true}"#;
        let request = common::agent().post(url).header("openai-organization", "cascade");
        common::Answer::read(request.send(body).expect("an answer"))
    })
}

#[test]
fn requests_in_flight_are_finished_and_new_ones_are_rejected() {
    let release = Arc::new(AtomicBool::new(false));
    let target = gated_engine(&release);
    let vms = vec![engine("e1", target.address, [0, 8], 8)];
    let Bench { platform: _platform, node } = Bench::start(vms);
    let (callers, operators) = (node.ports().callers, node.ports().operators);
    let url = format!("http://{callers}/v1/chat/completions");
    let running = chat(url.clone());
    wait_for("the call", || !target.calls("/v1").is_empty());
    let stopping = thread::spawn(move || node.stop());
    wait_for("unreadiness", || {
        let ready = common::agent().get(format!("http://{operators}/readyz")).call();
        ready.is_ok_and(|answer| answer.status().as_u16() == 503)
    });
    wait_for("refusal", || {
        let answer = chat(url.clone()).join().expect("caller");
        answer.status == 503 && answer.header("magnolia-run") == "not-run"
    });
    assert_eq!(target.calls("/v1").len(), 1);
    release.store(true, Ordering::SeqCst);
    let answer = running.join().expect("caller");
    assert_eq!(answer.text(), text(4));
    assert!(answer.is_complete());
    assert_eq!(stopping.join().expect("stop"), 0);
}

#[test]
fn a_forced_stop_counts_the_requests_it_cut() {
    let release = Arc::new(AtomicBool::new(false));
    let target = gated_engine(&release);
    let vms = vec![engine("e1", target.address, [0, 8], 8)];
    let Bench { platform: _platform, node } = Bench::start(vms);
    let running = chat(format!("http://{}/v1/chat/completions", node.ports().callers));
    wait_for("the call", || !target.calls("/v1").is_empty());
    node.force_stop().store(true, Ordering::SeqCst);
    assert_eq!(node.stop(), 1);
    release.store(true, Ordering::SeqCst);
    assert!(!running.join().expect("caller").is_complete());
}

/// The store fails between claim and outcome, so the caller has its answer before the store has
/// it. The stop must wait until the outcome is stored, so that a repeat through another node gets
/// the same answer.
#[parameterized(
    in_time = { true },
    too_late = { false },
)]
fn a_stop_waits_until_all_outcomes_are_stored(in_time: bool) {
    let platform = Arc::new(Mutex::new(None::<Arc<Platform>>));
    let failing = Arc::clone(&platform);
    let target = Scripted::start(move |_, back| {
        if let Some(platform) = &*failing.lock().expect("platform") {
            platform.command(Command::Outage(Outage::Refuse));
        }
        back.answer(200, "", r#"{"booked":1}"#);
    });
    let vms = vec![service("b1", target.address, "booking", false)];
    let Bench { platform: running, node } = Bench::start_with(vms, |text| {
        text.stop_limit_ms = if in_time { "60000" } else { "0" }.to_owned();
    });
    let running = Arc::new(running);
    *platform.lock().expect("platform") = Some(Arc::clone(&running));
    let book = |callers: std::net::SocketAddr| {
        let request = common::agent().post(format!("http://{callers}/services/booking/book"));
        let request = request.header("openai-organization", "cascade");
        common::Answer::read(request.header("idempotency-key", "k").send("x").expect("an answer"))
    };
    let first = book(node.ports().callers);
    assert_eq!((first.status, first.body.as_str()), (200, r#"{"booked":1}"#));
    if !in_time {
        assert_eq!(node.stop(), 1, "an outcome that is not stored counts as cut");
        return;
    }
    let status = format!("http://{}/status", node.ports().operators);
    let stopping = thread::spawn(move || node.stop());
    wait_for("the stop to begin", || {
        let status = common::agent().get(&status).call().expect("status");
        let status = common::Answer::read(status).json();
        assert_eq!(status["claims_held"], 1, "the store cannot have the outcome");
        status["draining"] == true
    });
    running.command(Command::Outage(Outage::Off));
    assert_eq!(stopping.join().expect("stop"), 0);
    *platform.lock().expect("platform") = None;
    let other = common::node(running.address(), "n2", |_| {});
    wait_for("readiness", || other.ready());
    let again = book(other.ports().callers);
    assert_eq!((again.status, again.body.as_str()), (200, r#"{"booked":1}"#));
    assert_eq!(target.calls("/book").len(), 1);
}
