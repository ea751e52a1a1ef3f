//! Weighted max-min fair division of capacity.

/// One organisation's claim to the capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Weight, above 0.
    pub weight: f64,
    /// Demand, in the unit of the capacity.
    pub demand: f64,
}

/// Divides `capacity` by weighted max-min fairness: no claim gets more than its demand, and
/// claims that get less than their demand get equal shares per weight.
///
/// Returns a share for each claim, in order. Capacity beyond the total demand is not
/// distributed.
pub fn max_min_shares(capacity: f64, claims: &[Claim]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    // Claims with the lowest demand per weight are satisfied first.
    order.sort_by(|&a, &b| demand_per_weight(&claims[a]).total_cmp(&demand_per_weight(&claims[b])));
    let mut remaining = capacity.max(0.0);
    let mut remaining_weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    let mut shares = vec![0.0; claims.len()];
    for index in order {
        let claim = &claims[index];
        let fair =
            if remaining_weight > 0.0 { remaining * claim.weight / remaining_weight } else { 0.0 };
        shares[index] = claim.demand.min(fair).max(0.0);
        remaining -= shares[index];
        remaining_weight -= claim.weight;
    }
    debug_assert!(shares.iter().sum::<f64>() <= capacity.max(0.0) * 1.000_001 + 1e-9);
    shares
}

fn demand_per_weight(claim: &Claim) -> f64 {
    claim.demand / claim.weight
}
