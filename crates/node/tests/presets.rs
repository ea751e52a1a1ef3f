//! The presets in `presets/` are valid and list the organisations of their deployments.

use std::fs;
use std::path::Path;

use preset::Preset;
use standin::deployment::{Builder, dar, pnw};
use yare::parameterized;

#[parameterized(
    pnw_ordinary = { pnw, "pnw", "ordinary" },
    pnw_peak = { pnw, "pnw", "peak" },
    pnw_maintenance = { pnw, "pnw", "maintenance" },
    dar_ordinary = { dar, "dar", "ordinary" },
    dar_peak = { dar, "dar", "peak" },
    dar_maintenance = { dar, "dar", "maintenance" },
)]
fn shipped_preset_is_valid(deployment: fn() -> Builder, folder: &str, name: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../presets");
    let file = root.join(folder).join(format!("{name}.toml"));
    let preset = Preset::parse(&fs::read_to_string(file).expect("file")).expect("valid");
    assert_eq!(preset.name, name);
    let started = deployment().start().expect("deployment");
    let names: Vec<_> =
        preset.organisations.iter().map(|organisation| organisation.name.clone()).collect();
    let listed: Vec<_> =
        started.organisations.iter().map(|organisation| organisation.name.clone()).collect();
    assert_eq!(names, listed);
    assert_eq!(names.len(), 10);
}
