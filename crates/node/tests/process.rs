//! The scripts of `scenarios/process`, against the node as a process.

use std::path::Path;

#[test]
fn scripts_against_processes() {
    let scripts = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/process");
    scenario::process::run(Path::new(scripts), Path::new(env!("CARGO_BIN_EXE_magnoliarun")));
}
