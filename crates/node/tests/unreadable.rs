//! A configuration that this build cannot read: requests are not handled by the one before it.

mod entry;
mod site;

use std::thread::sleep;
use std::time::Duration;

use platform_standin::{Call, Document, Platform, Reply, Route, send_call};
use site::{STATE_TIMEOUT, Site, start_node};
use yare::parameterized;

/// `bounds.config_deadline_ms` of the users' sites.
const CONFIG_DEADLINE: Duration = Duration::from_secs(2);
/// How long requests are tried after it.
const TRIED: Duration = Duration::from_secs(8);
/// Pause between them.
const PAUSE: Duration = Duration::from_millis(250);
/// Key of the operators' configuration.
const CONFIG: &str = "op/config";

/// Returns a configuration with these keys.
fn document(version: u64, keys: &[&'static str]) -> Document {
    Document { version, keys: keys.to_vec(), ..Document::default() }
}

/// Writes a configuration that no build can read, which is made from a readable one.
fn write_unreadable(platform: &Platform, document: &Document, (find, replace): (&str, &str)) {
    let scratch = Platform::start("127.82.189.254");
    scratch.configure(document);
    let (_, text) = scratch.items(CONFIG).pop().expect("a configuration");
    let text = String::from_utf8(text).expect("text");
    let changed = text.replacen(find, replace, 1);
    assert_ne!(text, changed);
    platform.write(CONFIG, changed.as_bytes());
}

fn ask(site: &Site, route: Route, id: &str, key: Option<&'static str>) -> Reply {
    send_call(site.nodes[0].front, &Call { key, ..Call::new(route, id) })
}

/// What of the document cannot be read: a text in it, and what stands in its place.
struct Case {
    change: (&'static str, &'static str),
}

// Guards against a node that goes on with the configuration before, and honours the keys of it,
// because the newest one cannot be read.
#[parameterized(
    kind_that_is_not_known = { 180, Case { change: ("streaming", "dancing") } },
    field_of_another_type = { 181, Case { change: (r#""kv_bytes":8000.0"#, r#""kv_bytes":"8 KB""#) } },
    keys_of_another_type = { 182, Case { change: (r#""api_keys":["#, r#""api_keys":[7,"#) } },
    version_that_is_not_a_number = { 183, Case { change: (r#""version":8"#, r#""version":"v8""#) } },
    number_beyond_any = { 184, Case { change: (r#""slots":64"#, r#""slots":1e400"#) } },
    bytes_that_are_no_document = { 185, Case { change: ("{", "\u{1}") } },
)]
fn key_taken_away_by_an_unreadable_configuration_is_refused(number: u8, case: Case) {
    let site = Site::start(number, 1, &document(3, &["kept", "taken"]));
    assert_eq!(ask(&site, Route::Safe, "before", Some("taken")).status, Some(200));
    write_unreadable(&site.platform, &document(8, &["kept"]), case.change);
    sleep(CONFIG_DEADLINE);
    for number in 0..TRIED.div_duration_f64(PAUSE) as u32 {
        for (key, route) in [("taken", Route::Safe), ("kept", Route::Unsafe)] {
            let reply = ask(&site, route, &format!("late-{number}-{key}"), Some(key));
            assert_eq!(reply.status, Some(503), "{reply:?}");
            assert!(reply.retry_after.is_some(), "{reply:?}");
        }
        sleep(PAUSE);
    }
    assert!(site.runs("late-").is_empty(), "a refused request has not run");
    assert_eq!(entry::status(site.nodes[0].ready, "/ready"), Some(503));
    assert!(site.metrics(0).contains("magnolia_configuration_unreadable 1"));
    site.platform.configure(&document(9, &["kept"]));
    let serves = || ask(&site, Route::Safe, "after", Some("kept")).status == Some(200);
    assert!(site.platform.wait(STATE_TIMEOUT, serves), "the next configuration is in force");
    assert_eq!(ask(&site, Route::Safe, "after", Some("taken")).status, Some(401));
    assert_eq!(entry::status(site.nodes[0].ready, "/ready"), Some(200));
    assert!(site.metrics(0).contains("magnolia_configuration_unreadable 0"));
}

// Guards against a node that starts with an unreadable configuration only and takes callers.
#[test]
fn node_that_starts_with_an_unreadable_configuration_refuses() {
    let mut site = Site::start(186, 1, &document(3, &["k"]));
    write_unreadable(&site.platform, &document(8, &["k"]), ("streaming", "dancing"));
    site.nodes.clear();
    let node = start_node(&site.platform, 186, 0);
    site.nodes.push(node);
    sleep(CONFIG_DEADLINE);
    let reply = ask(&site, Route::Safe, "r", Some("k"));
    assert!(reply.status == Some(503) && reply.retry_after.is_some(), "{reply:?}");
    assert_eq!(entry::status(site.nodes[0].ready, "/ready"), Some(503));
    site.platform.configure(&document(9, &["k"]));
    assert!(site.serves(0, Some("k")), "it serves by the next one");
}

// Guards against refusals for an unreadable document that is older than the one in force, as a copy
// of the store may hold.
#[test]
fn older_unreadable_configuration_changes_nothing() {
    let site = Site::start(187, 1, &document(9, &["k"]));
    write_unreadable(&site.platform, &document(8, &["k"]), ("streaming", "dancing"));
    sleep(CONFIG_DEADLINE);
    let reply = ask(&site, Route::Safe, "r", Some("k"));
    assert_eq!(reply.status, Some(200), "{reply:?}");
    assert!(site.metrics(0).contains("magnolia_configuration_unreadable 0"));
}
