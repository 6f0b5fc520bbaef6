//! Reports: what a verb returns, and how it is printed.

use crate::exit_code::{EXIT_FINDINGS, EXIT_OK};
use serde::Serialize;
use serde_json::{Value, json};

/// The result of a verb, for people and for programs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Text for people; empty or ends with a newline.
    pub text: String,
    /// Data for programs: the value of `report` in the printed JSON.
    pub data: Value,
    /// The problems that were found, one sentence each. Empty means that nothing is wrong.
    pub findings: Vec<String>,
}

impl Report {
    /// Creates a report. `data` is converted to JSON; the structs that the verbs pass always can be, otherwise the data
    /// would be null.
    pub fn new(text: String, data: &impl Serialize, findings: Vec<String>) -> Self {
        Report {
            text,
            data: serde_json::to_value(data).unwrap_or(Value::Null),
            findings,
        }
    }

    /// [`EXIT_OK`] without findings, else [`EXIT_FINDINGS`].
    pub fn exit_code(&self) -> u8 {
        if self.findings.is_empty() {
            EXIT_OK
        } else {
            EXIT_FINDINGS
        }
    }

    /// The report as printed with `--json`: one line, without the newline.
    pub fn json(&self) -> String {
        let ok = self.findings.is_empty();
        json!({ "ok": ok, "findings": self.findings, "report": self.data }).to_string()
    }

    /// The report as printed without `--json`: the text, then the findings.
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
