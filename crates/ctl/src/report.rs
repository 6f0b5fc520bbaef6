//! The result of a verb.

use crate::exit_code::{EXIT_FOUND, EXIT_OK};
use serde::Serialize;
use serde_json::{Value, json};

/// The result of a verb.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// For people, with an end of line.
    pub text: String,
    /// For programs: the entry `report` of the printed JSON.
    pub data: Value,
    /// What is wrong, a sentence each.
    pub findings: Vec<String>,
}

impl Report {
    /// A report with these data; they are plain structs, which can always be written as JSON.
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

    /// As it is printed with `--json`: one line, without its end.
    pub fn json(&self) -> String {
        let ok = self.findings.is_empty();
        json!({ "ok": ok, "findings": self.findings, "report": self.data }).to_string()
    }

    /// As it is printed without `--json`.
    pub fn plain(&self) -> String {
        let mut text = self.text.clone();
        if !self.findings.is_empty() {
            text.push_str("wrong:\n");
            for finding in &self.findings {
                text.push_str(&format!("  - {finding}\n"));
            }
        }
        text
    }
}
