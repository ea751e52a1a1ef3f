//! Performance measures and their bounds.
//!
//! Single decision services are measured by benchmarks in their own crates. The measures
//! here run nodes as processes, with stand-ins for the platform and the targets. The node
//! program is searched for in the folders above the running program, so it must be built
//! first in the same profile: `cargo build --release -p node`.

mod bench;
mod booking;
mod preset;
mod recovery;
mod throughput;

use std::fmt;

use serde::Serialize;

use crate::Error;

/// Side of the bound on which a value meets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// The value must not be below the bound.
    AtLeast,
    /// The value must not be above the bound.
    AtMost,
}

/// Measure of a deployment, with its bound.
#[derive(Clone, Copy, Debug)]
pub struct Measure {
    /// Name on the command line and in results.
    pub name: &'static str,
    /// Unit of the value and the bound.
    pub unit: &'static str,
    /// Bound on the value.
    pub bound: f64,
    /// Side of the bound on which a value meets it.
    pub side: Side,
    /// Source of the bound.
    pub source: &'static str,
    /// Measures the value with random choices from a seed.
    pub run: fn(u64) -> Result<f64, Error>,
}

/// Result of one measurement, as it is printed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Name of the measure.
    pub name: &'static str,
    /// Seed of the random choices.
    pub seed: u64,
    /// Measured value.
    pub value: f64,
    /// Unit of the value and the bound.
    pub unit: &'static str,
    /// Bound on the value.
    pub bound: f64,
    /// Side of the bound on which a value meets it.
    pub side: Side,
    /// Whether the value meets the bound.
    pub met: bool,
    /// Source of the bound.
    pub source: &'static str,
}

/// Error for a name that no measure has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unknown {
    /// Unknown name.
    pub name: String,
}

impl fmt::Display for Unknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no measure is named {}; --list prints all names", self.name)
    }
}

impl std::error::Error for Unknown {}

impl Measure {
    /// Measures the value with random choices from a seed, and compares it with the bound.
    ///
    /// # Errors
    ///
    /// Fails if the value could not be measured.
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

/// All measures.
pub const MEASURES: &[Measure] = &[
    Measure {
        name: "stage-killed-gap",
        unit: "ms",
        bound: 500.0,
        side: Side::AtMost,
        source: BOUND_SOURCE,
        run: recovery::stage_killed,
    },
    Measure {
        name: "stage-frozen-gap",
        unit: "ms",
        bound: 1_000.0,
        side: Side::AtMost,
        source: BOUND_SOURCE,
        run: recovery::stage_frozen,
    },
    Measure {
        name: "leaving-last-work",
        unit: "ms",
        bound: 2_000.0,
        side: Side::AtMost,
        source: BOUND_SOURCE,
        run: recovery::leaving_last_work,
    },
    Measure {
        name: "node-killed-bookings",
        unit: "ms",
        bound: 1_000.0,
        side: Side::AtMost,
        source: BOUND_SOURCE,
        run: booking::node_killed,
    },
    Measure {
        name: "preset-in-force",
        unit: "ms",
        bound: 2_000.0,
        side: Side::AtMost,
        source: BOUND_SOURCE,
        run: preset::in_force,
    },
    Measure {
        name: "throughput-pnw",
        unit: "share of the max-flow bound",
        bound: 0.95,
        side: Side::AtLeast,
        source: BOUND_SOURCE,
        run: throughput::pnw,
    },
    Measure {
        name: "throughput-pnw-domain-lost",
        unit: "share of the max-flow bound that remains",
        bound: 0.90,
        side: Side::AtLeast,
        source: BOUND_SOURCE,
        run: throughput::pnw_domain_lost,
    },
];

/// Source of the bounds.
const BOUND_SOURCE: &str = "numbers to beat of the architecture";

/// Returns the measure of this name.
///
/// # Errors
///
/// Fails if there is none.
pub fn find(name: &str) -> Result<&'static Measure, Unknown> {
    let found = MEASURES.iter().find(|measure| measure.name == name);
    found.ok_or_else(|| Unknown { name: name.to_owned() })
}
