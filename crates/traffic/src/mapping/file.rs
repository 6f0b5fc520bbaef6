//! The format of mapping files. The doc comments of these types are part of the published JSON Schema.

use crate::access_log::json::Fields;
use crate::document;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The mapping file.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct File {
    /// The form of this file: 1.
    #[schemars(range(min = 1, max = 1))]
    pub version: u32,
    /// The time zone of times without an offset, by its IANA name.
    #[serde(default = "utc")]
    pub zone: String,
    /// Networks of proxies whose X-Forwarded-For is believed.
    #[serde(default)]
    pub trusted: Vec<String>,
    /// Networks by name; the longest prefix counts.
    #[serde(default)]
    pub networks: BTreeMap<String, Vec<String>>,
    /// Where the fields stand in JSON lines.
    pub json: Option<Fields>,
    /// Which records are jobs at all; without one, all that come by POST.
    #[serde(default)]
    pub jobs: Jobs,
    /// What names the class. The first rule that yields a name counts.
    #[schemars(length(min = 1))]
    pub class: Vec<Rule>,
    /// What names the parish. None need be found.
    #[serde(default)]
    pub parish: Vec<Rule>,
    /// A record without a parish is rejected.
    #[serde(default)]
    pub parish_required: bool,
    /// What the job is about.
    #[serde(default)]
    pub subject: Vec<Rule>,
    /// The idempotency key.
    #[serde(default)]
    pub key: Vec<Rule>,
    /// A request's id. A record read twice is known by it; where clients keep it, so are retries.
    #[serde(default)]
    pub id: Vec<Rule>,
    /// Clients keep the id over their retries.
    #[serde(default)]
    pub id_kept: bool,
    /// What a client marks its retries with: any value but "", "0" and "false" is a mark.
    #[serde(default, rename = "retry-mark")]
    pub retry_marker: Vec<Rule>,
    /// How long the client says that it waits, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Vec<Rule>,
    /// ... where it does not say: by class.
    #[serde(default)]
    pub deadline_of: BTreeMap<String, u64>,
    /// Slots that the job takes.
    #[serde(default)]
    pub slots: Vec<Rule>,
    /// Retries that carry neither mark nor key.
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
    /// Methods; empty: all.
    #[serde(default = "post")]
    pub methods: Vec<String>,
    /// Beginnings of paths; empty: all.
    #[serde(default)]
    pub paths: Vec<String>,
    /// Beginnings of paths that are none after all.
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

/// How retries without mark and key are known: the same client asks for the same after a try that was not served.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Guess {
    /// ... so long after that try's end, in milliseconds. 0: nothing is guessed.
    #[serde(default = "within")]
    pub within_ms: u64,
    /// Tries of one job at the most, the first included.
    #[serde(default = "max_attempts", rename = "tries")]
    pub max_attempts: u32,
    /// Where `retry-mark` has rules, what has no mark is taken for no retry. With this, it may be one all the same.
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

/// One way to a value.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Rule {
    /// Where the value is taken from.
    pub from: From,
    /// Other names for values. With it, a value that it lacks yields nothing, unless `others` is set.
    #[serde(default)]
    pub names: BTreeMap<String, String>,
    /// With `names`: values that it lacks are taken as they are.
    #[serde(default)]
    pub others: bool,
}

/// Where a value is taken from.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum From {
    /// A segment of the path, from 0; from -1 backwards.
    Segment(i32),
    /// The first group of a regular expression on the path, or all that it matches.
    Path(String),
    /// A parameter of the query.
    Query(String),
    /// A header, whose name may be written in any case.
    Header(String),
    /// One of the `name=value` pairs in a header, divided by commas: the header, then the name.
    Pair(String, String),
    /// A cookie.
    Cookie(String),
    /// The authenticated user.
    User,
    /// The name of the client's network, among `networks`.
    Network,
    /// The client's address.
    Address,
    /// Always this.
    Always(String),
}

/// Returns the published JSON Schema of mapping files.
pub fn schema() -> serde_json::Value {
    document::schema::<File>()
}
