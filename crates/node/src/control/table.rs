//! Plain-text tables.

use std::fmt;

use serde_json::Value;

/// Table whose first row holds the column names in capitals.
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(super) fn new(columns: &[&str]) -> Self {
        Self { rows: vec![columns.iter().map(|column| column.to_uppercase()).collect()] }
    }

    pub(super) fn add_row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |column: usize| {
            self.rows.iter().map(|row| row[column].chars().count()).max().unwrap_or_default()
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            writeln!(f, "{}", cells.collect::<Vec<_>>().join("  ").trim_end())?;
        }
        Ok(())
    }
}

fn cell_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Formats a table of the nodes and a table of the targets as reported by the first node that
/// answers.
pub(super) fn format_status(statuses: &[(String, Option<Value>)]) -> String {
    let mut nodes = Table::new(&["node", "domain", "ready", "preset", "version", "in flight"]);
    for (node, status) in statuses {
        let status = status.clone().unwrap_or_default();
        nodes.add_row([
            node.clone(),
            cell_text(&status["domain"]),
            if status.is_null() { "no answer".to_owned() } else { cell_text(&status["ready"]) },
            cell_text(&status["preset"]["name"]),
            cell_text(&status["preset"]["version"]),
            cell_text(&status["in_flight"]),
        ]);
    }
    let mut targets = Table::new(&["target", "domain", "standing", "service", "layers", "address"]);
    let first = statuses.iter().find_map(|(_, status)| status.as_ref());
    for target in first.and_then(|status| status["targets"].as_array()).into_iter().flatten() {
        targets.add_row([
            cell_text(&target["name"]),
            cell_text(&target["domain"]),
            cell_text(&target["standing"]),
            cell_text(&target["service"]),
            cell_text(&target["layers"]),
            cell_text(&target["address"]),
        ]);
    }
    format!("{nodes}\n{targets}")
}
