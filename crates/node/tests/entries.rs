//! Odd values of another writer in the store, and odd numbers in answers: they name nothing to use,
//! and the process follows the store and serves as before.

mod entry;
mod site;

use std::net::SocketAddr;

use platform_standin::{Document, Fault, Platform, Route};
use site::{EVENTS, STATE_TIMEOUT, Site, start_node};

/// Streams of a test.
const STREAMS: usize = 10;

/// Returns the entry of an engine at an address, with `fields` instead of its own.
fn entry(address: SocketAddr, fields: &str) -> String {
    let base = r#""service":"model","zone":"a","version":"1","slots":64,"state":"ready","#;
    let numbers = r#""kind":"card","sequence":1,"born":0"#;
    format!(r#"{{{base}{numbers},"address":"{address}"{fields}}}"#)
}

fn nested() -> String {
    "[".repeat(100_000) + &"]".repeat(100_000)
}

/// Writes one odd entry of each kind among those of the engines.
fn write_odd_entries(platform: &Platform, engines: &[SocketAddr]) {
    let engine = engines[0];
    let nowhere = SocketAddr::new(engine.ip(), 1);
    let entries = [
        ("deep", nested()),
        ("deep-unknown", entry(nowhere, &format!(r#","else":{}"#, nested()))),
        ("deep-layers", entry(nowhere, &format!(r#","layers":{}"#, nested()))),
        ("number", entry(nowhere, r#","cold_remaining_ms":1e400"#)),
        ("slots", entry(nowhere, "").replace("64", "1e400")),
        ("port", entry(nowhere, "").replace(":1\"", ":70000\"")),
        ("no-port", entry(nowhere, "").replace(":1\"", ":0\"")),
        ("beyond", entry(nowhere, r#","layers":{"from":100,"to":200}"#)),
        ("all", entry(nowhere, r#","layers":{"from":0,"to":65535}"#)),
        ("turned", entry(nowhere, r#","layers":{"from":9,"to":3}"#)),
        ("future", entry(engine, "").replace(r#""born":0"#, r#""born":18446744073709551615"#)),
        ("state", entry(nowhere, "").replace("ready", "dancing")),
        ("twice", entry(nowhere, r#","address":"10.0.0.1:80""#)),
        ("empty", String::new()),
        ("i\r\nx: y", entry(nowhere, "")),
        ("", entry(nowhere, "")),
    ];
    for (id, value) in entries {
        platform.write(&format!("servers/{id}"), value.as_bytes());
    }
    // A younger target of a service that no configuration names, at the address of each engine.
    for engine in engines {
        let odd = entry(*engine, "").replace(r#""model""#, r#""other""#);
        let odd = odd.replace(r#""born":0"#, r#""born":9999"#);
        platform.write(&format!("servers/other-{}", engine.port()), odd.as_bytes());
    }
    platform.write("servers/bytes", b"\xff\xfe\x00");
    platform.write(&format!("servers/{}", "\u{1F980}".repeat(40)), b"{}");
    for key in ["nodes/garbage", "nodes/1.2.3.4:99999", "quarantine/zz", "quarantine/12", "else"] {
        platform
            .write(&format!("magnoliarun/{key}"), b"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff");
    }
}

fn serves_all(site: &Site, node: usize, id: &str) {
    for number in 0..STREAMS {
        let reply = site.ask(node, Route::Resumable, &format!("{id}{number}"));
        assert!(reply.is_complete(EVENTS), "{reply:?}");
    }
}

/// Returns whether a node applies a new configuration.
fn follows(site: &Site, node: usize, version: u64) -> bool {
    site.platform.configure(&Document { version, ..Document::default() });
    let line = format!("magnolia_configuration_version {version}");
    site.platform.wait(STATE_TIMEOUT, || site.metrics(node).contains(&line))
}

// Guards against an odd entry ending the process, ending its following of the store, or taking the
// engines beside it out of use.
#[test]
fn odd_entries_disturb_nothing() {
    let mut site = Site::start(188, 1, &Document::default());
    write_odd_entries(&site.platform, &site.engines);
    assert!(follows(&site, 0, 2), "the running node follows the store");
    serves_all(&site, 0, "running");
    site.nodes.push(start_node(&site.platform, 188, 1));
    assert!(site.serves(1, None), "a node serves that starts with them in the store");
    assert!(follows(&site, 1, 3), "it follows the store");
    serves_all(&site, 1, "started");
    for node in &mut site.nodes {
        node.signal("TERM");
        assert_eq!(node.child.wait().expect("it ends").code(), Some(0));
    }
}

// Guards against the time of an idle connection that no clock can reach ending the request.
#[test]
fn odd_times_of_idle_connections_end_nothing() {
    let site = Site::start(189, 1, &Document::default());
    let targets = [&site.engines[..], &site.plain[..]].concat();
    for value in ["timeout=18446744073709551615", "timeout=1e400", "timeout=-1"] {
        site.set_fault(&targets, Fault::Keeps(value));
        serves_all(&site, 0, value);
        for number in 0..STREAMS {
            let reply = site.ask(0, Route::Unsafe, &format!("booking{number}"));
            assert_eq!((reply.status, reply.ended), (Some(200), true), "{value}: {reply:?}");
        }
    }
}
