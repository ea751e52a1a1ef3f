//! Decoding of desired states and reports that another writer or a faulty engine has written.

use order::{Desired, Report, next_order};
use yare::parameterized;

const DESIRED: &str = r#"{"model":"m","layers":[0,8],"role":"r","adapters":["x"]}"#;

fn nested(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

#[parameterized(
    nested_everywhere = { &nested(100_000) },
    layers_nested = { &DESIRED.replace("[0,8]", &nested(100_000)) },
    layer_too_large = { &DESIRED.replace("8]", "65536]") },
    layer_beyond_any_number = { &DESIRED.replace("8]", "1e400]") },
    negative_layer = { &DESIRED.replace("[0", "[-1") },
    layers_end_before_they_start = { &DESIRED.replace("[0,8]", "[8,1]") },
    without_layers = { &DESIRED.replace(r#""layers":[0,8],"#, "") },
    duplicated_field = { &DESIRED.replacen('{', r#"{"model":"n","#, 1) },
    adapters_of_another_type = { &DESIRED.replace(r#"["x"]"#, "17") },
    empty = { "" },
    no_text = { "\u{0}" },
)]
fn odd_desired_state_is_rejected(text: &str) {
    assert!(Desired::parse(DESIRED.as_bytes()).is_ok());
    assert!(Desired::parse(text.as_bytes()).is_err());
}

#[parameterized(
    beyond_any_engine = { r#"{"model":"m","layers":[0,65535],"fence":18446744073709551615}"# },
    layers_end_before_they_start = { r#"{"model":"m","layers":[9,1]}"# },
    unknown_standing = { r#"{"standing":"dancing"}"# },
)]
fn odd_report_leads_to_the_desired_state(text: &str) {
    let desired = Desired::parse(DESIRED.as_bytes()).expect("a desired state");
    let report: Report = serde_json::from_str(text).expect("a report");
    assert!(next_order(&desired, &report).is_some());
}
