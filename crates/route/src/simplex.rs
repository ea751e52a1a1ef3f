//! Revised simplex method for packing linear programmes with column generation.
//!
//! The programme maximises the total value of `x` subject to `A x <= 1` and `x >= 0`, where `A`
//! has no negative entry. The slack basis is therefore feasible, and no first phase is needed.

/// Entries of the entering direction up to this are not accepted as pivots.
const PIVOT_TOLERANCE: f64 = 1e-9;
/// A slack column enters the basis only if its price is below the negative of this.
const PRICE_TOLERANCE: f64 = 1e-9;
/// Perturbation of the right-hand sides: no two rows tie in the ratio test, so the method cannot
/// cycle.
const PERTURBATION: f64 = 1e-7;

/// A column that enters the basis.
pub(crate) enum Column {
    /// The slack column of a row.
    Slack(usize),
    /// The column of a chain.
    Chain {
        /// Number of the chain.
        chain: usize,
        /// Objective value of one unit of the chain.
        value: f64,
        /// Non-zero entries, each with its row.
        entries: Vec<(usize, f64)>,
    },
}

/// The current basis, stored as a dense inverse.
pub(crate) struct Tableau {
    rows: usize,
    inverse: Vec<f64>,
    values: Vec<f64>,
    /// For each basis position, the chain and its objective value, or `None` for a slack column.
    basis: Vec<Option<(usize, f64)>>,
}

impl Tableau {
    /// Starts from the slack basis.
    pub(crate) fn new(rows: usize) -> Self {
        let mut inverse = vec![0.0; rows * rows];
        for row in 0..rows {
            inverse[row * rows + row] = 1.0;
        }
        let side = |row: usize| 1.0 - PERTURBATION * (row as f64 + 1.0) / (rows as f64 + 1.0);
        Self { rows, inverse, values: (0..rows).map(side).collect(), basis: vec![None; rows] }
    }

    /// Returns the dual price of each row under the current basis.
    pub(crate) fn prices(&self) -> Vec<f64> {
        let mut prices = vec![0.0; self.rows];
        for (position, member) in self.basis.iter().enumerate() {
            let Some((_, value_of)) = member else { continue };
            let row = &self.inverse[position * self.rows..(position + 1) * self.rows];
            for (price, value) in prices.iter_mut().zip(row) {
                *price += value_of * value;
            }
        }
        prices
    }

    /// Returns the row with the most negative price, if any price is negative.
    pub(crate) fn negative_price(&self, prices: &[f64]) -> Option<usize> {
        let lowest = (0..self.rows).min_by(|&a, &b| prices[a].total_cmp(&prices[b]))?;
        (prices[lowest] < -PRICE_TOLERANCE).then_some(lowest)
    }

    /// Pivots a column into the basis. Returns false if no row bounds the column.
    pub(crate) fn enter(&mut self, column: Column) -> bool {
        let (chain, entries) = match column {
            Column::Slack(row) => (None, vec![(row, 1.0)]),
            Column::Chain { chain, value, entries } => (Some((chain, value)), entries),
        };
        let direction = self.direction(&entries);
        let Some(leaving) = self.ratio_test(&direction) else { return false };
        self.pivot(leaving, &direction);
        self.basis[leaving] = chain;
        true
    }

    /// Changes the objective values of the chains. The basis stays feasible.
    pub(crate) fn set_chain_values(&mut self, value_of: impl Fn(usize) -> f64) {
        for (chain, value) in self.basis.iter_mut().flatten() {
            *value = value_of(*chain);
        }
    }

    /// Returns the chains in the basis with their values.
    pub(crate) fn solution(&self) -> impl Iterator<Item = (usize, f64)> {
        let pairs = self.basis.iter().zip(&self.values);
        pairs.filter_map(|(chain, &value)| chain.map(|(chain, _)| (chain, value)))
    }

    fn direction(&self, entries: &[(usize, f64)]) -> Vec<f64> {
        let along = |position: usize| {
            let row = &self.inverse[position * self.rows..(position + 1) * self.rows];
            entries.iter().map(|&(column, value)| row[column] * value).sum()
        };
        (0..self.rows).map(along).collect()
    }

    fn ratio_test(&self, direction: &[f64]) -> Option<usize> {
        let bounding = (0..self.rows).filter(|&row| direction[row] > PIVOT_TOLERANCE);
        let ratio = |row: usize| self.values[row].max(0.0) / direction[row];
        bounding.min_by(|&a, &b| ratio(a).total_cmp(&ratio(b)))
    }

    fn pivot(&mut self, leaving: usize, direction: &[f64]) {
        let rows = self.rows;
        let pivot = direction[leaving];
        let row: Vec<f64> = self.inverse[leaving * rows..(leaving + 1) * rows]
            .iter()
            .map(|value| value / pivot)
            .collect();
        let step = self.values[leaving] / pivot;
        for (position, &factor) in direction.iter().enumerate() {
            if position == leaving || factor == 0.0 {
                continue;
            }
            let other = &mut self.inverse[position * rows..(position + 1) * rows];
            for (value, pivoted) in other.iter_mut().zip(&row) {
                *value -= factor * pivoted;
            }
            self.values[position] -= factor * step;
        }
        self.inverse[leaving * rows..(leaving + 1) * rows].copy_from_slice(&row);
        self.values[leaving] = step;
    }
}
