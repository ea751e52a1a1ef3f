//! The table of measures.
//!
//! Measures of single decision services stand beside them as benchmarks; the ones here
//! run nodes as processes, with stand-ins for the platform and the targets. The node
//! binary is looked for beside the running program, so build it first in the same
//! profile: `cargo build --release -p node`.

mod bench;
mod booking;
mod preset;
mod recovery;
mod throughput;

use std::fmt;

use serde::Serialize;

use crate::Error;

/// Which side of the bound is good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// The value must not be below the bound.
    AtLeast,
    /// The value must not be above the bound.
    AtMost,
}

/// One measure.
#[derive(Clone, Copy, Debug)]
pub struct Measure {
    /// Name on the command line.
    pub name: &'static str,
    /// Unit of value and bound.
    pub unit: &'static str,
    /// The bound.
    pub bound: f64,
    /// Which side of the bound is good.
    pub side: Side,
    /// Where the bound comes from.
    pub source: &'static str,
    /// Measures under a seed.
    pub run: fn(u64) -> Result<f64, Error>,
}

/// One result, as it is printed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Name of the measure.
    pub name: &'static str,
    /// Seed.
    pub seed: u64,
    /// Value.
    pub value: f64,
    /// Unit of value and bound.
    pub unit: &'static str,
    /// The bound.
    pub bound: f64,
    /// Which side of the bound is good.
    pub side: Side,
    /// Whether the value is on that side.
    pub met: bool,
    /// Where the bound comes from.
    pub source: &'static str,
}

/// No measure has this name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unknown {
    /// The name.
    pub name: String,
}

impl fmt::Display for Unknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no measure is named {}; --list lists them", self.name)
    }
}

impl std::error::Error for Unknown {}

impl Measure {
    /// Measures under a seed.
    ///
    /// # Errors
    ///
    /// Fails when the value could not be measured.
    pub fn line(&self, seed: u64) -> Result<Line, Error> {
        let value = (self.run)(seed)?;
        let met = match self.side {
            Side::AtLeast => value >= self.bound,
            Side::AtMost => value <= self.bound,
        };
        let Self { name, unit, bound, side, source, .. } = *self;
        Ok(Line { name, seed, value, unit, bound, side, met, source })
    }
}

/// All measures, by name.
pub const MEASURES: &[Measure] = &[
    Measure {
        name: "stage-killed-gap",
        unit: "ms",
        bound: 500.0,
        side: Side::AtMost,
        source: NUMBERS,
        run: recovery::stage_killed,
    },
    Measure {
        name: "stage-frozen-gap",
        unit: "ms",
        bound: 1_000.0,
        side: Side::AtMost,
        source: NUMBERS,
        run: recovery::stage_frozen,
    },
    Measure {
        name: "leaving-last-work",
        unit: "ms",
        bound: 2_000.0,
        side: Side::AtMost,
        source: NUMBERS,
        run: recovery::leaving_last_work,
    },
    Measure {
        name: "node-killed-bookings",
        unit: "ms",
        bound: 1_000.0,
        side: Side::AtMost,
        source: NUMBERS,
        run: booking::node_killed,
    },
    Measure {
        name: "preset-in-force",
        unit: "ms",
        bound: 2_000.0,
        side: Side::AtMost,
        source: NUMBERS,
        run: preset::in_force,
    },
    Measure {
        name: "throughput-pnw",
        unit: "share of the max-flow bound",
        bound: 0.95,
        side: Side::AtLeast,
        source: NUMBERS,
        run: throughput::pnw,
    },
    Measure {
        name: "throughput-pnw-domain-lost",
        unit: "share of the max-flow bound that remains",
        bound: 0.90,
        side: Side::AtLeast,
        source: NUMBERS,
        run: throughput::pnw_domain_lost,
    },
];

/// Where the bounds stand.
const NUMBERS: &str = "numbers to beat of the architecture";

/// The measure of this name.
///
/// # Errors
///
/// Fails when there is none.
pub fn find(name: &str) -> Result<&'static Measure, Unknown> {
    let found = MEASURES.iter().find(|measure| measure.name == name);
    found.ok_or_else(|| Unknown { name: name.to_owned() })
}
