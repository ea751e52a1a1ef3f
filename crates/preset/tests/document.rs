//! Parsing and validation of documents, and the texts of the errors.

use preset::{Error, Preset, Stored};
use yare::parameterized;

const DOCUMENT: &str = r#"name = "ordinary"
queue = 100
wait = "2s"
retry_share = 0.1
attempts = 3
quarantine = "10m"

[[organisations]]
name = "plank"
weight = 2.0
keys = ["k1"]

[[organisations]]
name = "fair"
weight = 1.0
"#;

#[test]
fn document_and_stored_value_round_trip() {
    let preset = Preset::parse(DOCUMENT).unwrap();
    assert_eq!(
        Preset::parse(&preset.document().unwrap().replace("version = 0\n", "")).unwrap(),
        preset
    );
    let stored = Stored::following(None, &preset, &"c1".into(), 7);
    let back = Stored::decode(&stored.encode()).unwrap();
    assert_eq!(back, stored);
    assert_eq!((back.preset.version, back.preset.change.as_str()), (7, "c1"));
}

#[parameterized(
    unknown_key = { "queue = 100", "queue = 100\nquue = 3", "line 3: unknown field `quue`" },
    wrong_type = { "attempts = 3", "attempts = \"many\"", "line 5: invalid type" },
    no_toml = { "attempts = 3", "attempts = = 3", "line 5: " },
    bare_duration = { "wait = \"2s\"", "wait = \"soon\"", "line 3: `soon` is no duration" },
    queue = { "queue = 100", "queue = 0", "queue = 0: allowed is 1 to 1000000 requests" },
    wait = { "\"2s\"", "\"0s\"", "wait = 0ms: allowed is more than 0 and at most 1h" },
    share = { "0.1", "1.5", "retry_share = 1.5: allowed is 0 to 1" },
    attempts = { "attempts = 3", "attempts = 0", "attempts = 0: allowed is 1 to 20" },
    weight = { "2.0", "0.0", "organisations[0].weight = 0: allowed is more than 0" },
    not_a_number = { "2.0", "nan", "organisations[0].weight = NaN: allowed" },
    reused = { "\"fair\"", "\"plank\"", "organisations[1].name = plank: allowed is a name or key" },
    key_is_a_name = { "\"k1\"", "\"fair\"", "organisations[1].name = fair: allowed is a name" },
    spaces = { "\"ordinary\"", "\"or dinary\"", "name = \"or dinary\": allowed is 1 to 64 bytes" },
    version = { "queue = 100", "version = 3\nqueue = 100", "version = 3: allowed is absent" },
)]
fn errors_name_place_value_and_allowed_values(from: &str, to: &str, expected: &str) {
    let text = DOCUMENT.replacen(from, to, 1);
    assert_ne!(text, DOCUMENT);
    let report = Preset::parse(&text).unwrap_err();
    let message = report.current_context().to_string();
    assert!(message.contains(expected), "{message}");
}

#[test]
fn all_violations_are_reported_and_keys_are_not_shown() {
    let text = DOCUMENT
        .replace("queue = 100", "queue = 0")
        .replace("weight = 1.0", "weight = -1.0\nkeys = [\"k1\"]");
    let report = Preset::parse(&text).unwrap_err();
    let Error::Invalid(violations) = report.current_context() else { panic!("{report:?}") };
    assert_eq!(violations.len(), 3);
    assert!(!report.current_context().to_string().contains("k1"));
}
