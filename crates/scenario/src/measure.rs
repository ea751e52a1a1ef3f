//! The table of measures.

use std::fmt;

use serde::Serialize;

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
    pub run: fn(u64) -> f64,
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
    pub fn line(&self, seed: u64) -> Line {
        let value = (self.run)(seed);
        let met = match self.side {
            Side::AtLeast => value >= self.bound,
            Side::AtMost => value <= self.bound,
        };
        let Self { name, unit, bound, side, source, .. } = *self;
        Line { name, seed, value, unit, bound, side, met, source }
    }
}

/// All measures, by name.
pub const MEASURES: &[Measure] = &[];

/// The measure of this name.
///
/// # Errors
///
/// Fails when there is none.
pub fn find(name: &str) -> Result<&'static Measure, Unknown> {
    let found = MEASURES.iter().find(|measure| measure.name == name);
    found.ok_or_else(|| Unknown { name: name.to_owned() })
}
