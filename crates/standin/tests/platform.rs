//! Tests of the platform over HTTP: lost responses, outages, watches, leases, rate limits,
//! counters and the list of VMs.

mod common;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use common::{agent, get, post};
use fleet::{Role, Standing, Vm};
use serde_json::{Value, json};
use standin::platform::{Builder, Command, Operation, Outage, Platform};
use yare::parameterized;

fn encode(text: &str) -> String {
    BASE64_STANDARD.encode(text)
}

fn start_platform(set: impl FnOnce(Builder) -> Builder) -> Platform {
    set(Platform::builder().lag(Duration::ZERO)).start().expect("the platform starts")
}

/// Writes a key. Returns an error when the connection closes or the write is rejected.
fn put(address: SocketAddr, key: &str, value: &str) -> Result<(), ureq::Error> {
    let body = json!({"key": encode(key), "value": encode(value)});
    let response = agent().post(format!("http://{address}/v3/kv/put")).send_json(body)?;
    match response.status().as_u16() {
        200 => Ok(()),
        status => Err(ureq::Error::StatusCode(status)),
    }
}

fn read_value(address: SocketAddr, key: &str) -> Option<String> {
    let (_, answer) = post(address, "/v3/kv/range", &json!({"key": encode(key)}));
    let value = answer["kvs"][0]["value"].as_str()?.to_owned();
    Some(String::from_utf8(BASE64_STANDARD.decode(value).expect("base64")).expect("text"))
}

struct Watch {
    lines: std::io::Lines<BufReader<ureq::BodyReader<'static>>>,
}

impl Watch {
    fn open(address: SocketAddr, key: &str, from: i64) -> Self {
        let create = json!({"key": encode(key), "start_revision": from.to_string()});
        let url = format!("http://{address}/v3/watch");
        let body = json!({"create_request": create});
        let response = agent().post(url).send_json(body).expect("a stream");
        Self { lines: BufReader::new(response.into_body().into_reader()).lines() }
    }

    fn next_response(&mut self) -> Option<Value> {
        let line = self.lines.next()?.ok()?;
        Some(serde_json::from_str::<Value>(&line).expect("JSON")["result"].take())
    }

    fn revisions(&mut self, count: usize) -> Vec<String> {
        let mut revisions = Vec::new();
        while revisions.len() < count {
            let line = self.next_response().expect("the watch stays open");
            for event in line["events"].as_array().into_iter().flatten() {
                revisions.push(event["kv"]["mod_revision"].as_str().expect("text").to_owned());
            }
        }
        revisions
    }
}

#[parameterized(
    write_applied = { true, Some("x") },
    write_dropped = { false, None },
)]
fn lost_write_response_closes_the_connection(applied: bool, expected: Option<&str>) {
    let platform = start_platform(|builder| builder);
    let address = platform.address();
    platform.command(Command::Lose { prefix: "m/".into(), count: 1, applied });
    assert!(put(address, "other", "x").is_ok());
    assert!(put(address, "m/a", "x").is_err());
    assert_eq!(read_value(address, "m/a").as_deref(), expected);
    assert!(put(address, "m/a", "y").is_ok());
}

#[test]
fn retried_transaction_reads_the_value_of_the_lost_one() {
    let platform = start_platform(|builder| builder);
    let address = platform.address();
    platform.command(Command::Lose { prefix: "m/".into(), count: 1, applied: true });
    let body = json!({
        "compare": [{"target": "CREATE", "key": encode("m/a"), "create_revision": "0"}],
        "success": [{"request_put": {"key": encode("m/a"), "value": encode("mine")}}],
        "failure": [{"request_range": {"key": encode("m/a")}}],
    });
    let url = format!("http://{address}/v3/kv/txn");
    assert!(agent().post(url).send_json(&body).is_err());
    let (status, answer) = post(address, "/v3/kv/txn", &body);
    assert_eq!((status, &answer["succeeded"]), (200, &Value::Null));
    let found = &answer["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(found["value"], encode("mine"));
    assert_eq!(found["version"], "1");
}

#[test]
fn reopened_watch_misses_no_revision() {
    let platform = start_platform(|builder| builder);
    let address = platform.address();
    for value in ["1", "2", "3"] {
        put(address, "a", value).expect("a write");
    }
    let mut watch = Watch::open(address, "a", 2);
    assert_eq!(watch.revisions(3), ["2", "3", "4"]);
    platform.command(Command::CutWatches);
    assert_eq!(watch.next_response(), None);
    put(address, "a", "4").expect("a write");
    put(address, "b", "not watched").expect("a write");
    put(address, "a", "5").expect("a write");
    assert_eq!(Watch::open(address, "a", 5).revisions(2), ["5", "7"]);
}

#[test]
fn watch_from_a_compacted_revision_is_cancelled() {
    let platform = start_platform(|builder| builder);
    put(platform.address(), "a", "1").expect("a write");
    put(platform.address(), "a", "2").expect("a write");
    platform.command(Command::Compact);
    let mut watch = Watch::open(platform.address(), "a", 2);
    assert_eq!(watch.next_response().expect("a line")["created"], true);
    let last = watch.next_response().expect("a line");
    assert_eq!((&last["canceled"], &last["compact_revision"]), (&json!(true), &json!("3")));
}

#[test]
fn outage_rejects_calls_and_disconnects_watches() {
    let platform = start_platform(|builder| builder);
    let address = platform.address();
    let mut watch = Watch::open(address, "a", 0);
    assert_eq!(watch.next_response().expect("a line")["created"], true);
    platform.command(Command::Outage(Outage::Refuse));
    let (status, _) = post(address, "/v3/kv/put", &json!({"key": encode("a")}));
    assert_eq!(status, 503);
    assert_eq!(watch.next_response(), None);
    platform.command(Command::Outage(Outage::Off));
    assert_eq!(read_value(address, "a"), None);
}

#[test]
fn hanging_outage_disconnects_calls_at_its_end_without_effect() {
    let platform = start_platform(|builder| builder);
    let address = platform.address();
    platform.command(Command::Outage(Outage::Hang));
    let writer = std::thread::spawn(move || put(address, "a", "x").is_ok());
    let hangs = || platform.counters().iter().any(|counter| counter.refused > 0);
    common::wait_until("the write hangs", hangs);
    platform.command(Command::Outage(Outage::Off));
    assert!(!writer.join().expect("the writer ends"));
    assert_eq!(read_value(address, "a"), None);
}

#[test]
fn calls_above_the_rate_limit_are_rejected_and_counted() {
    // The bucket starts with one write and refills only after 1,000 s, longer than the test.
    let platform = start_platform(|builder| builder.rates(1_000.0, 0.001));
    let address = platform.address();
    let writes = [1, 2, 3].map(|_| put(address, "magnolia/ledger/7", "x").is_ok());
    assert_eq!(writes, [true, false, false]);
    let counters = platform.counters();
    let counter = counters.iter().find(|counter| counter.operation == Operation::Put);
    let counter = counter.expect("writes are counted");
    assert_eq!((counter.prefix.as_str(), counter.calls), ("magnolia/ledger", 3));
    assert_eq!(counter.refused, 2);
}

#[test]
fn keepalive_reports_a_revoked_lease_as_expired() {
    let platform = start_platform(|builder| builder);
    let address = platform.address();
    let (_, lease) = post(address, "/v3/lease/grant", &json!({"TTL": "60"}));
    let renewed = post(address, "/v3/lease/keepalive", &json!({"ID": lease["ID"]})).1;
    assert_eq!(renewed["result"]["TTL"], "60");
    assert_eq!(post(address, "/v3/lease/revoke", &json!({"ID": lease["ID"]})).0, 200);
    let lapsed = post(address, "/v3/lease/keepalive", &json!({"ID": lease["ID"]})).1;
    assert_eq!(lapsed["result"]["TTL"], Value::Null);
}

#[test]
fn list_of_vms_applies_edits_with_its_lag() {
    let vm = |name: &str| Vm {
        name: name.into(),
        domain: "a".into(),
        standing: Standing::Live,
        role: Role::Entry { peer: "127.0.0.1:1".parse().expect("constant address") },
    };
    let platform = start_platform(|builder| builder.vms(vec![vm("n1")]));
    let list = || {
        let text = get(platform.address(), "/vms");
        let value: Value = serde_json::from_str(&text).expect("JSON");
        let row = |vm: &Value| format!("{}:{}", vm["name"], vm["standing"]).replace('"', "");
        value["vms"].as_array().expect("a list").iter().map(row).collect::<Vec<_>>().join(" ")
    };
    platform.command(Command::Join(Box::new(vm("n2"))));
    platform.command(Command::Leaving("n1".into()));
    assert_eq!(list(), "n1:leaving n2:live");
    platform.command(Command::Remove("n1".into()));
    assert_eq!(list(), "n2:live");
    platform.command(Command::LagMs(60_000));
    platform.command(Command::Remove("n2".into()));
    assert_eq!(list(), "n2:live");
    platform.command(Command::LagMs(0));
    assert_eq!(list(), "");
}
