//! The file format of recordings, version 1: JSON lines, plain or compressed with zstd.
//!
//! The first line is the header, `{"format":"indigofold-recording","version":1,...}`. Then follows one line per job, in
//! the order of the first attempts. The last line is `{"end":{"jobs":N,"tries":M}}`; a file without it is truncated. All
//! times and durations are in microseconds. The fields of a job:
//!
//! | field | meaning | if missing |
//! | --- | --- | --- |
//! | `t` | time at which the first attempt was sent, since 1970 | (required) |
//! | `c` | class | (required) |
//! | `p` | parish (tenant) | unknown |
//! | `s` | subject | unknown |
//! | `k` | idempotency key | none |
//! | `d` | deadline: how long the client waits | unknown |
//! | `b` | size of the request body in bytes | 0 |
//! | `w` | slots | unknown |
//! | `u` | client number | 0: unknown |
//! | `a` | HTTP status of the first attempt | 0: no response |
//! | `l` | response time of the first attempt | unknown |
//! | `r` | retries, each `[time after t, status, response time, evidence, confidence]` | none |

mod error;
mod job_line;
mod reader;
mod writer;

pub use error::RecordingError;
pub use reader::Reader;
pub use writer::Writer;

use crate::tally::Tally;
use serde::{Deserialize, Serialize};

/// Version of the format that is written, and the newest that can be read.
pub const VERSION: u32 = 1;
/// Format name in the header, which identifies a file as a recording.
pub const FORMAT: &str = "indigofold-recording";

/// The first line of a recording.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Format name, always [`FORMAT`].
    pub format: String,
    /// Version of the format, see [`VERSION`].
    pub version: u32,
    /// Names of the files that the recording was made from; informational only.
    #[serde(default)]
    pub made_of: Vec<String>,
    /// Seed of the random number generator when the recording was made.
    #[serde(default)]
    pub seed: u64,
}

impl Header {
    /// Creates a header with the current format version.
    pub fn new(made_of: Vec<String>, seed: u64) -> Self {
        Header {
            format: FORMAT.into(),
            version: VERSION,
            made_of,
            seed,
        }
    }
}

/// The contents of the last line.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Number of jobs (first attempts).
    pub jobs: u64,
    /// Number of retries of all jobs.
    #[serde(rename = "tries")]
    pub retries: u64,
    /// Counts of the import that made the recording; `None` if it was not made by an import.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tally: Option<Tally>,
}

/// The last line as written. Error texts of serde contain the name of this struct.
#[derive(Serialize, Deserialize)]
struct Last {
    end: End,
}
