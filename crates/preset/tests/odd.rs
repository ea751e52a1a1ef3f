//! Decoding of stored presets that another writer has written: they are rejected as a whole, and the
//! one in force stays.

use preset::{Preset, Stored};
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

fn nested(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

/// Returns a stored preset in which `find` is replaced.
fn replaced(find: &str, replace: &str) -> String {
    let stored = Stored { preset: Preset::parse(DOCUMENT).expect("a preset"), past: Vec::new() };
    let text = String::from_utf8(stored.encode()).expect("text");
    assert!(Stored::decode(text.as_bytes()).is_ok(), "{text}");
    let odd = text.replacen(find, replace, 1);
    assert_ne!(odd, text);
    odd
}

#[parameterized(
    deeply_nested = { &nested(100_000) },
    version_nested = { &replaced(r#""version":0"#, &format!(r#""version":{}"#, nested(100_000))) },
    version_too_large = { &replaced(r#""version":0"#, r#""version":18446744073709551616"#) },
    version_beyond_any_number = { &replaced(r#""version":0"#, r#""version":1e400"#) },
    negative_version = { &replaced(r#""version":0"#, r#""version":-1"#) },
    duplicated_field = { &replaced(r#""past":"#, r#""past":[],"past":"#) },
    truncated = { &replaced("}", "") },
    empty = { "" },
    no_text = { "\u{0}" },
)]
fn odd_preset_is_rejected(text: &str) {
    assert!(Stored::decode(text.as_bytes()).is_err());
}
