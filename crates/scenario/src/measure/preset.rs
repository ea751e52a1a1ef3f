//! Time until a preset is in force.

use std::time::{Duration, Instant};

use smol_str::format_smolstr;
use standin::deployment::Builder;

use super::bench;
use crate::Error;
use crate::process::{condition, start};

/// Presets written in one measurement.
const SWITCHES: u32 = 10;

/// Measures the longest time, in ms, from the acceptance of a preset until it is in force on
/// all nodes.
pub(super) fn in_force(_seed: u64) -> Result<f64, Error> {
    let builder = Builder::new("plank", 24).organisation("cascade", 1.0);
    let mut environment = bench::start(builder.chains(1, 1, &["a".into()], |engine| engine))?;
    let mut longest = Duration::ZERO;
    for number in 0..SWITCHES {
        start::put_preset(&mut environment, format_smolstr!("switch-{number}"))?;
        let accepted = Instant::now();
        condition::await_preset(&environment)?;
        longest = longest.max(accepted.elapsed());
    }
    Ok(bench::millis(longest))
}
