//! Weighted sampling by cumulative sums.

/// Returns the cumulative sums of the weights.
pub(crate) fn sums(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    weights
        .scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        })
        .collect()
}

/// Returns the index whose interval contains a point in `[0, 1)`.
pub(crate) fn pick(sums: &[f64], point: f64) -> usize {
    let total = sums.last().copied().unwrap_or(0.0);
    let index = sums.partition_point(|&sum| sum <= point * total);
    index.min(sums.len().saturating_sub(1))
}
