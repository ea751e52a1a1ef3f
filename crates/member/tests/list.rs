//! Decoding of the platform's list of VMs.

use member::List;
use yare::parameterized;

const ENGINE: &str = r#"{"name":"vm1","domain":"a","standing":"live","role":{"target":{"name":"e1",
    "address":"10.0.0.1:80","domain":"a","standing":"live","kind":{"engine":{"model":"m","depth":8,
    "layers":[0,8],"tokens_per_second":100.0,"slots":4,"accelerator":"x"}}}}}"#;
const ENTRY: &str =
    r#"{"name":"vm2","domain":"a","standing":"live","role":{"entry":{"peer":"10.0.0.2:80"}}}"#;

fn nested(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

// Guards against one odd row of another writer hiding all others.
#[parameterized(
    deeply_nested = { &nested(100_000) },
    nested_in_a_field = { &ENGINE.replace(r#""m""#, &nested(100_000)) },
    nested_in_an_unknown_field = { &ENGINE.replacen('{', &format!(r#"{{"x":{},"#, nested(100_000)), 1) },
    number_too_large = { &ENGINE.replace("100.0", "1e400") },
    slots_too_large = { &ENGINE.replace(r#""slots":4"#, r#""slots":18446744073709551616"#) },
    layer_too_large = { &ENGINE.replace("[0,8]", "[0,65536]") },
    port_out_of_range = { &ENGINE.replace(":80", ":65536") },
    unknown_standing = { &ENGINE.replacen("live", "dancing", 1) },
    unknown_role = { &ENTRY.replace("entry", "other") },
    without_name = { &ENGINE.replacen(r#""name":"vm1","#, "", 1) },
    duplicated_field = { &ENGINE.replacen('{', r#"{"name":"vm0","#, 1) },
    of_another_type = { "17" },
    nothing = { "null" },
)]
fn odd_row_leaves_the_others(odd: &str) {
    let text = format!(r#"{{"vms":[{ENGINE},{odd},{ENTRY}]}}"#);
    let list = List::decode(text.as_bytes()).expect("a list");
    let names: Vec<&str> = list.vms.iter().map(|vm| vm.name.as_str()).collect();
    assert_eq!(names, ["vm1", "vm2"]);
    assert_eq!(list.rejected.len(), 1);
    assert!(list.rejected[0].starts_with("row 1: "), "{:?}", list.rejected);
}

#[parameterized(
    empty = { "" },
    truncated = { r#"{"vms":["# },
    of_another_type = { "[]" },
)]
fn what_is_no_list_is_rejected(text: &str) {
    assert!(List::decode(text.as_bytes()).is_err());
}
