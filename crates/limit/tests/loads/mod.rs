//! Loads for tests and measurements on a fleet of 100 slots.

use std::time::Duration;

use super::fake::Callers;

const SLOTS: f64 = 100.0;
const ORGANISATIONS: [&str; 10] = ["o0", "o1", "o2", "o3", "o4", "o5", "o6", "o7", "o8", "o9"];

fn callers(organisation: &'static str, slots: f64, hold_s: f64, tolerance_s: f64) -> Callers {
    Callers {
        organisation,
        rate: slots / hold_s,
        hold: Duration::from_secs_f64(hold_s),
        tolerance: Duration::from_secs_f64(tolerance_s),
        prompt_tokens: if tolerance_s < 10.0 { 100 } else { 4_000 },
        stream: true,
        retries: false,
    }
}

/// Ten organisations that each offer `load` times a tenth of the capacity: 0.2 times by callers
/// who hang up after 3 s (even indexes), the rest by callers who wait 45 s (odd indexes).
pub(crate) fn urgent_and_patient(load: f64) -> Vec<Callers> {
    let part = SLOTS / ORGANISATIONS.len() as f64;
    let each = ORGANISATIONS.iter().flat_map(|&organisation| {
        let urgent = callers(organisation, part * 0.2, 2.0, 3.0);
        let patient = callers(organisation, part * (load - 0.2), 2.0, 45.0);
        [urgent, patient]
    });
    each.collect()
}

/// The first of ten organisations offers `times` its share, the others 0.8 times theirs.
pub(crate) fn one_greedy(times: f64) -> Vec<Callers> {
    let part = SLOTS / ORGANISATIONS.len() as f64;
    let each = ORGANISATIONS.iter().enumerate().map(|(index, &organisation)| {
        let load = if index == 0 { times } else { 0.8 };
        callers(organisation, part * load, 2.0, 8.0)
    });
    each.collect()
}

/// Ten organisations whose refused callers retry once, at the returned time.
pub(crate) fn returning(load: f64) -> Vec<Callers> {
    let part = SLOTS / ORGANISATIONS.len() as f64;
    let each = ORGANISATIONS.iter().map(|&organisation| Callers {
        retries: true,
        ..callers(organisation, part * load, 2.0, 8.0)
    });
    each.collect()
}
