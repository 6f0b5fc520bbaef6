//! The configuration files, environment variables and memberships, parsed into typed values.

mod discovery;
mod error;
mod faktory;
mod json;
mod platform;
mod settings;
mod site;

pub use discovery::{JobReport, Machine, MembershipUpdate};
pub use error::ConfigError;
use error::{DocumentSnafu, JsonSnafu, TooDeepSnafu};
pub use faktory::{Faktory, FaktoryMachine};
pub use platform::Platform;
use serde::Deserialize;
pub use site::{Names, Site};
use snafu::ResultExt;

/// A parsed value, or the reason why the document cannot be used.
pub type Parse<T> = Result<T, ConfigError>;

/// Memory that the process may use by default, in MiB.
pub const MEMORY_MB: usize = 192;

/// Maximum nesting depth of objects and arrays in a document.
const MAX_DEPTH: usize = 64;

/// Parses JSON text in place. Text that is nested too deeply is rejected first: the parser recurses at each level, and a
/// few thousand levels would overflow the stack.
///
/// # Errors
///
/// The text is nested too deeply, is not JSON, or does not have the form of `T`.
pub fn decode<T: for<'a> Deserialize<'a>>(text: &mut [u8]) -> Parse<T> {
    let (mut depth, mut quoted, mut escaped) = (0usize, false, false);
    for byte in text.iter() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'[' | b'{' if !quoted => depth += 1,
            b']' | b'}' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return TooDeepSnafu.fail();
        }
    }
    simd_json::serde::from_slice(text).context(JsonSnafu)
}

/// Like [`decode`], but the error message begins with `document`.
fn decode_document<T: for<'a> Deserialize<'a>>(
    text: &mut [u8],
    document: &'static str,
) -> Parse<T> {
    decode(text)
        .map_err(Box::new)
        .context(DocumentSnafu { document })
}

/// Hashes the subject that a job names, a text of any length; `None` if it is empty. Two subjects with the same hash only
/// share their preferred order of workers.
pub fn subject(text: &str) -> Option<u64> {
    (!text.is_empty()).then(|| hash(text))
}

/// Derives a machine's id from its name. The id is the same in every scheduler unless another machine there has it.
pub fn machine_id(name: &str) -> u32 {
    let h = hash(name);
    (h ^ (h >> 32)) as u32
}

/// Returns `number`, or the next higher one that is not taken, with wrap-around.
pub fn next_free_id(mut number: u32, taken: impl Fn(u32) -> bool) -> u32 {
    while taken(number) {
        number = number.wrapping_add(1);
    }
    number
}

/// Hashes a name with FNV-1a, so that the result is the same in every scheduler.
pub fn hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}
