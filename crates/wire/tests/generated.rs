//! The committed code is what the generator makes of the protocol file.
//!
//! `MAGNOLIA_WRITE=1 cargo test -p wire` writes it anew.

use std::path::{Path, PathBuf};
use std::{env, fs};

const GENERATED: &str = "magnoliarun.peer.v1.rs";

fn generate(out: &Path) {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let descriptors = protox::compile([root.join("proto/peer.proto")], [root.join("proto")])
        .expect("protocol file compiles");
    tonic_prost_build::configure()
        .out_dir(out)
        .build_transport(true)
        .compile_fds(descriptors)
        .expect("code generation");
}

#[test]
fn generated_code_is_current() {
    let out = env::temp_dir().join(format!("magnolia-wire-{}", std::process::id()));
    fs::create_dir_all(&out).expect("temporary folder");
    generate(&out);
    let fresh = fs::read_to_string(out.join(GENERATED)).expect("generated file");
    fs::remove_dir_all(&out).expect("temporary folder removed");
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("src").join("generated.rs");
    if env::var_os("MAGNOLIA_WRITE").is_some() {
        fs::write(&committed, &fresh).expect("generated file written");
    }
    let current = fs::read_to_string(&committed).unwrap_or_default();
    assert!(current == fresh, "run MAGNOLIA_WRITE=1 cargo test -p wire");
}
