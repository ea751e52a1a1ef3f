//! Tables for people.

use std::fmt;

use serde_json::Value;

/// Rows of text under column names.
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(super) fn new(columns: &[&str]) -> Self {
        Self { rows: vec![columns.iter().map(|column| column.to_uppercase()).collect()] }
    }

    pub(super) fn row<const N: usize>(&mut self, cells: [String; N]) {
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

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Tables of the nodes, and of the targets as the first node that answers sees them.
pub(super) fn status(statuses: &[(String, Option<Value>)]) -> String {
    let mut nodes = Table::new(&["node", "domain", "ready", "preset", "version", "in flight"]);
    for (node, status) in statuses {
        let status = status.clone().unwrap_or_default();
        nodes.row([
            node.clone(),
            text(&status["domain"]),
            if status.is_null() { "no answer".to_owned() } else { text(&status["ready"]) },
            text(&status["preset"]["name"]),
            text(&status["preset"]["version"]),
            text(&status["in_flight"]),
        ]);
    }
    let mut targets = Table::new(&["target", "domain", "standing", "service", "layers", "address"]);
    let first = statuses.iter().find_map(|(_, status)| status.as_ref());
    for target in first.and_then(|status| status["targets"].as_array()).into_iter().flatten() {
        targets.row([
            text(&target["name"]),
            text(&target["domain"]),
            text(&target["standing"]),
            text(&target["service"]),
            text(&target["layers"]),
            text(&target["address"]),
        ]);
    }
    format!("{nodes}\n{targets}")
}
