//! The format of mapping files. The doc comments of these types are part of the published JSON Schema.

use crate::access_log::json::Fields;
use crate::document;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A mapping file: the rules that turn records into jobs.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct File {
    /// Version of the file format, always 1.
    #[schemars(range(min = 1, max = 1))]
    pub version: u32,
    /// IANA name of the time zone of timestamps without an offset.
    #[serde(default = "utc")]
    pub zone: String,
    /// Networks of proxies whose X-Forwarded-For header is trusted.
    #[serde(default)]
    pub trusted: Vec<String>,
    /// Networks of clients by name. If several contain an address, the longest prefix applies.
    #[serde(default)]
    pub networks: BTreeMap<String, Vec<String>>,
    /// Locations of the fields in JSON lines.
    pub json: Option<Fields>,
    /// Which records are jobs. By default, all POST requests are.
    #[serde(default)]
    pub jobs: Jobs,
    /// Rules for the class. As for all rules, the first one that yields a value applies.
    #[schemars(length(min = 1))]
    pub class: Vec<Rule>,
    /// Rules for the parish (tenant). It is optional unless `parish-required` is set.
    #[serde(default)]
    pub parish: Vec<Rule>,
    /// Whether records without a parish are rejected.
    #[serde(default)]
    pub parish_required: bool,
    /// Rules for the subject: the object that the job is about.
    #[serde(default)]
    pub subject: Vec<Rule>,
    /// Rules for the idempotency key.
    #[serde(default)]
    pub key: Vec<Rule>,
    /// Rules for the request id. Records read twice are recognised by it, and with `id-kept` retries as well.
    #[serde(default)]
    pub id: Vec<Rule>,
    /// Whether clients send the same id with their retries.
    #[serde(default)]
    pub id_kept: bool,
    /// Rules for the mark of retries: any value except "", "0" and "false" marks a request as a retry.
    #[serde(default, rename = "retry-mark")]
    pub retry_marker: Vec<Rule>,
    /// Rules for the deadline: how long the client waits, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Vec<Rule>,
    /// Default deadlines by class, in milliseconds, for requests without one.
    #[serde(default)]
    pub deadline_of: BTreeMap<String, u64>,
    /// Rules for the number of slots that the job occupies.
    #[serde(default)]
    pub slots: Vec<Rule>,
    /// How retries with neither mark nor key are recognised.
    #[serde(default)]
    pub guess: Guess,
}

fn utc() -> String {
    "UTC".into()
}

/// Which records are jobs.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Jobs {
    /// HTTP methods of jobs; empty: all methods.
    #[serde(default = "post")]
    pub methods: Vec<String>,
    /// Path prefixes of jobs; empty: all paths.
    #[serde(default)]
    pub paths: Vec<String>,
    /// Path prefixes of requests that are not jobs, even if they match `paths`.
    #[serde(default)]
    pub not_paths: Vec<String>,
}

fn post() -> Vec<String> {
    vec!["POST".into()]
}

impl Default for Jobs {
    fn default() -> Self {
        Jobs {
            methods: post(),
            paths: Vec::new(),
            not_paths: Vec::new(),
        }
    }
}

/// How retries without mark and key are recognised: the same client sends a request of the same class about the same subject
/// after an attempt that failed.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Guess {
    /// Maximum time between the end of the failed attempt and the retry, in milliseconds. 0: no retries are guessed.
    #[serde(default = "within")]
    pub within_ms: u64,
    /// Maximum number of attempts of one job, including the first.
    #[serde(default = "max_attempts", rename = "tries")]
    pub max_attempts: u32,
    /// Whether requests without a mark can be retries even if `retry-mark` has rules.
    #[serde(default)]
    pub unmarked_too: bool,
}

fn within() -> u64 {
    2_500
}

fn max_attempts() -> u32 {
    8
}

impl Default for Guess {
    fn default() -> Self {
        Guess {
            within_ms: within(),
            max_attempts: max_attempts(),
            unmarked_too: false,
        }
    }
}

/// A rule that extracts a value from a record.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Rule {
    /// Source of the value.
    pub from: From,
    /// Replacements for values. If given, values that are not listed are ignored unless `others` is set.
    #[serde(default)]
    pub names: BTreeMap<String, String>,
    /// Whether values that are not listed in `names` are used unchanged.
    #[serde(default)]
    pub others: bool,
}

/// The source of a value.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum From {
    /// A segment of the path: 0 is the first, -1 the last.
    Segment(i32),
    /// The first group of a regular expression matched against the path, or the whole match if it has no group.
    Path(String),
    /// A query parameter.
    Query(String),
    /// A request header; its name is case-insensitive.
    Header(String),
    /// A value from a header that contains `name=value` pairs separated by commas: the header, then the name.
    Pair(String, String),
    /// A cookie.
    Cookie(String),
    /// The authenticated user.
    User,
    /// The name of the client's network, from `networks`.
    Network,
    /// The client's address.
    Address,
    /// A fixed value.
    Always(String),
}

/// Returns the published JSON Schema of mapping files.
pub fn schema() -> serde_json::Value {
    document::schema::<File>()
}
