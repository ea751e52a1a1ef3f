//! Division of capacity between organisations.

/// What one organisation asks of the capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Its weight, above 0.
    pub weight: f64,
    /// What it asks for, in the unit of the capacity.
    pub demand: f64,
}

/// Divides `capacity` so that nobody gets more than it asks for, and those that get
/// less get equal parts per weight (weighted max-min fairness).
///
/// Returns a part for each claim, in order. What nobody asks for is not given.
pub fn divide(capacity: f64, claims: &[Claim]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    // Those that ask least per weight are satisfied first.
    order.sort_by(|&a, &b| level(&claims[a]).total_cmp(&level(&claims[b])));
    let mut left = capacity.max(0.0);
    let mut weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    let mut parts = vec![0.0; claims.len()];
    for index in order {
        let claim = &claims[index];
        let fair = if weight > 0.0 { left * claim.weight / weight } else { 0.0 };
        parts[index] = claim.demand.min(fair).max(0.0);
        left -= parts[index];
        weight -= claim.weight;
    }
    debug_assert!(parts.iter().sum::<f64>() <= capacity.max(0.0) * 1.000_001 + 1e-9);
    parts
}

fn level(claim: &Claim) -> f64 {
    claim.demand / claim.weight
}
