//! The file format of recordings, version 1: JSON lines, as they are or compressed by zstd.
//!
//! The first line is the header, `{"format":"indigofold-recording","version":1,...}`; then one line a job, in the order
//! of the first attempts; the last line is `{"end":{"jobs":N,"tries":M}}`, without which a file was cut off. Times are
//! microseconds. A job's entries:
//!
//! | entry | meaning | if missing |
//! | --- | --- | --- |
//! | `t` | when its request was sent, since 1970 | (must be there) |
//! | `c` | class | (must be there) |
//! | `p` | parish | unknown |
//! | `s` | subject | unknown |
//! | `k` | idempotency key | none |
//! | `d` | how long the client waits | unknown |
//! | `b` | bytes of the body | 0 |
//! | `w` | slots | unknown |
//! | `u` | a number for the client | 0: unknown |
//! | `a` | status of the recorded answer | 0: none came |
//! | `l` | how long that took | unknown |
//! | `r` | retries, each `[time after t, status, how long, by what, how sure]` | none |

mod error;
mod job_line;
mod reader;
mod writer;

pub use error::RecordingError;
pub use reader::Reader;
pub use writer::Writer;

use crate::tally::Tally;
use serde::{Deserialize, Serialize};

/// The version that is written.
pub const VERSION: u32 = 1;
/// The name in the header.
pub const FORMAT: &str = "indigofold-recording";

/// The first line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// [`FORMAT`].
    pub format: String,
    /// [`VERSION`].
    pub version: u32,
    /// The files that it was made of, for people.
    #[serde(default)]
    pub made_of: Vec<String>,
    /// The seed of the random draws when it was made.
    #[serde(default)]
    pub seed: u64,
}

impl Header {
    /// A header of the version that is written.
    pub fn new(made_of: Vec<String>, seed: u64) -> Self {
        Header {
            format: FORMAT.into(),
            version: VERSION,
            made_of,
            seed,
        }
    }
}

/// The last line.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// First attempts.
    pub jobs: u64,
    /// Retries.
    #[serde(rename = "tries")]
    pub retries: u64,
    /// What became of what was read, where it was imported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tally: Option<Tally>,
}

/// The last line, as it is written.
#[derive(Serialize, Deserialize)]
struct Last {
    end: End,
}
