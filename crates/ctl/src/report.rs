//! What a verb has found.

use crate::exit_code::{EXIT_FOUND, EXIT_OK};
use serde::Serialize;
use serde_json::{Value, json};

/// What a verb has found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// For people, with an end of line.
    pub text: String,
    /// For programs.
    pub data: Value,
    /// What is wrong, a sentence each.
    pub findings: Vec<String>,
}

impl Report {
    /// A report of figures; they are plain data, which can always be written as JSON.
    pub fn new(text: String, data: &impl Serialize, findings: Vec<String>) -> Self {
        Report {
            text,
            data: serde_json::to_value(data).unwrap_or(Value::Null),
            findings,
        }
    }

    /// The exit code for it.
    pub fn exit_code(&self) -> u8 {
        if self.findings.is_empty() {
            EXIT_OK
        } else {
            EXIT_FOUND
        }
    }

    /// As it is printed with `--json`: one line.
    pub fn json(&self) -> String {
        let ok = self.findings.is_empty();
        json!({ "ok": ok, "findings": self.findings, "report": self.data }).to_string()
    }

    /// As it is printed without.
    pub fn plain(&self) -> String {
        let mut text = self.text.clone();
        if !self.findings.is_empty() {
            text.push_str("wrong:\n");
            self.findings
                .iter()
                .for_each(|finding| text.push_str(&format!("  - {finding}\n")));
        }
        text
    }
}

/// Lines up the cells of a table: the first row is its head.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter()
            .filter_map(|row| row.get(column))
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
