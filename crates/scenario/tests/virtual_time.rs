//! Runs the scripts of `scenarios/virtual` in virtual time.

use std::path::Path;

#[test]
fn scripts_in_virtual_time() {
    let scripts = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/virtual");
    scenario::virtual_time::run(Path::new(scripts));
}
