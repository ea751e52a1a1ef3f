//! Findings about documents in the format of the product's own preset.

use ::preset::Preset;
use check::{Bounds, Cause, check, preset};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
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
keys = ["secret-one"]

[[organisations]]
name = "fair"
weight = 1.0

[[links]]
from = "a"
to = "b"
delay = { secs = 0, nanos = 300000 }
tokens_per_second = 1e6
"#;

fn replaced(changes: &[(&str, &str)]) -> String {
    changes.iter().fold(DOCUMENT.to_owned(), |text, (from, to)| {
        let changed = text.replacen(from, to, 1);
        assert_ne!(changed, text, "{from}");
        changed
    })
}

fn lines(text: &str) -> Vec<String> {
    let findings = check(&preset::decode(text), None, &Bounds::default());
    findings.iter().map(ToString::to_string).collect()
}

// Guards against an error that is not found, has no place, or hides the errors after it.
#[parameterized(
    none = { &[], &[] },
    syntax = { &[("attempts = 3", "attempts = = 3")], &["error [syntax]: line 5: extra `=`", "error [syntax]: line 5: unexpected key"] },
    unknown = { &[("queue = 100", "queue = 100\nquue = 3")], &["error [field]: line 3, quue: is unknown"] },
    missing = { &[("queue = 100\n", "")], &["error [field]: line 1, queue: is missing"] },
    missing_in_a_row = { &[("weight = 1.0\n", "")], &["error [field]: line 13, organisations[1].weight: is missing"] },
    type_ = { &[("= 3", "= \"many\"")], &["error [field]: line 5, attempts: invalid type"] },
    list = { &[("queue = 100", "queue = [1]")], &["error [field]: line 2, queue: is a list"] },
    duration = { &[("\"2s\"", "\"soon\"")], &["error [field]: line 3, wait: `soon` is no duration"] },
    key_of_another_type = { &[("[\"secret-one\"]", "\"secret-one\"")], &["error [field]: line 11, organisations[0].keys: is not a list"] },
    key_in_another_field = { &[("2.0", "\"secret\"")], &["error [field]: line 10, organisations[0].weight: cannot be of type string"] },
    link = { &[("to = \"b\"\n", "")], &["error [field]: line 17, links[0]: missing field `to`"] },
    value = { &[("queue = 100", "queue = 0")], &["error [value]: queue: 0: allowed is 1 to 1000000"] },
    version = { &[("queue", "version = 3\nqueue")], &["error [value]: version: 3: allowed is absent"] },
    shared_key = {
        &[("weight = 1.0", "weight = 1.0\nkeys = [\"secret-one\"]")],
        &["error [value]: organisations[1].keys: (not shown): allowed is a non-empty key that no other"],
    },
    key_with_a_line_end = {
        &[("secret-one", "secret\\n-one")],
        &["warning [unused-key]: organisations[0].keys[0]: no route accepts key"],
    },
    several = {
        &[("queue = 100", "queue = \"x\""), ("attempts = 3", "attempts = 0"), ("weight = 1.0", "weight = -1"), ("\"plank\"", "7")],
        &[
            "error [field]: line 2, queue: invalid type",
            "error [field]: line 9, organisations[0].name: cannot be of type integer",
            "error [value]: attempts: 0: allowed",
            "error [value]: organisations[1].weight: -1: allowed",
        ],
    },
)]
fn all_findings_have_place_and_reason(changes: &[(&str, &str)], expected: &[&str]) {
    let found = lines(&replaced(changes));
    assert_eq!(found.len(), expected.len(), "{found:#?}");
    for (line, start) in found.iter().zip(expected) {
        assert!(line.starts_with(start), "{line}");
        assert!(!line.contains("secret"), "{line}");
    }
}

#[test]
fn each_error_of_syntax_is_found() {
    let found = lines(&replaced(&[("queue = 100", "queue = = 1"), ("attempts = 3", "attempts 3")]));
    for line in ["line 2:", "line 5:"] {
        assert!(found.iter().any(|finding| finding.contains(line)), "{found:#?}");
    }
}

// Guards against a difference that is not listed, or a key in clear text.
#[parameterized(
    none = { &[], &[] },
    setting = { &[("queue = 100", "queue = 5")], &["difference: setting \"queue\": value: 100 before, 5 now"] },
    weight = { &[("2.0", "3.0")], &["difference: organisation \"plank\": weight: 2 before, 3 now"] },
    link = { &[("1e6", "2e6")], &["difference: setting \"link a to b\": value: delay 300µs, 1000000 tokens/s before, delay 300µs, 2000000 tokens/s now"] },
    key = {
        &[("secret-one", "secret-two")],
        &["difference: key ea77193cc4e6f186: removed from organisation \"plank\"", "difference: key cebdf378f2d2bd60: added to organisation \"plank\""],
    },
)]
fn differences_are_listed(changes: &[(&str, &str)], expected: &[&str]) {
    let text = format!("version = 7\nchange = \"c\"\n{DOCUMENT}");
    let before = preset::decode_in_force(&text);
    assert_eq!(before.findings, []);
    let after = preset::decode(&replaced(changes));
    let found = check(&after, Some(&before), &Bounds::default());
    assert_eq!(found.len(), expected.len(), "{found:#?}");
    for (finding, start) in found.iter().zip(expected) {
        let line = finding.to_string();
        assert!(line.starts_with(start) && !line.contains("secret"), "{line}");
    }
}

#[test]
fn undecodable_version_in_force_is_an_error() {
    let before = preset::decode_in_force("queue = ");
    let found = check(&preset::decode(DOCUMENT), Some(&before), &Bounds::default());
    assert!(!found.is_empty() && found.iter().all(|finding| finding.cause == Cause::InForce));
}

/// Returns a generator of the same cases in each run.
fn runner(seed: u8) -> TestRunner {
    let config = Config { cases: 4_000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

/// Checks a text against the decoder of the nodes, which stops at the first error.
fn check_text(text: &str) -> Result<(), TestCaseError> {
    let decoded = preset::decode(text);
    let is_valid = Preset::parse(text).is_ok();
    prop_assert_eq!(decoded.findings.is_empty(), is_valid, "{:?}: {:?}", text, decoded.findings);
    let in_force = preset::decode_in_force(DOCUMENT);
    for finding in check(&decoded, Some(&in_force), &Bounds::default()) {
        prop_assert!(!finding.place.is_empty() && !finding.reason.is_empty());
    }
    check(&in_force, Some(&decoded), &Bounds::default());
    Ok(())
}

#[test]
fn random_texts_end_with_the_verdict_of_the_nodes() {
    runner(1).run(&".{0,200}", |text| check_text(&text)).expect("no failing text");
}

#[test]
fn mutated_documents_end_with_the_verdict_of_the_nodes() {
    let pieces = proptest::sample::select(vec![
        "",
        "[",
        "]",
        "[[",
        "]]",
        "{",
        "}",
        "\"",
        "'",
        ",",
        "=",
        "\n",
        "-1",
        "1e308",
        "nan",
        "0",
        "18446744073709551615",
        "true",
        "\\ud800",
        "0.5",
        "\u{0}",
        "1979-05-27",
        "#",
    ]);
    let change = (0..DOCUMENT.len(), 0..12_usize, pieces);
    let changes = proptest::collection::vec(change, 1..4);
    let check_changes = |changes: Vec<(usize, usize, &str)>| {
        let mut text = DOCUMENT.to_owned();
        for (at, length, piece) in changes {
            let at = at.min(text.len());
            let end = (at + length).min(text.len());
            // The pieces and the document are ASCII.
            text.replace_range(at..end, piece);
        }
        check_text(&text)
    };
    runner(2).run(&changes, check_changes).expect("no failing text");
}

// Guards against a stack overflow, and against work that grows faster than the text.
#[parameterized(
    nested_lists = { "queue = ".to_owned() + &"[".repeat(50_000) },
    nested_tables = { "a.".repeat(50_000) + "a = 1" },
    organisations = { "[[organisations]]\nname = 1\n".repeat(20_000) },
    keys = { format!("[[organisations]]\nkeys = [{}]", "1,".repeat(50_000)) },
)]
fn large_documents_end(text: String) {
    assert!(!preset::decode(&text).findings.is_empty());
}
