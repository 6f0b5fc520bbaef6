//! Environment, configuration and memberships, parsed once into the values that are used.

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

/// A parsed value, or what was expected and not found.
pub type Parse<T> = Result<T, ConfigError>;

/// Memory that the process may use by default, in megabytes.
pub const MEMORY_MB: usize = 192;

/// Brackets that may stand within each other in a document.
const DEPTH: usize = 64;

/// Parses JSON text in place. A text nested too deeply is rejected first: the parser recurses at each level, and a few
/// thousand levels would overflow the stack.
///
/// # Errors
///
/// Where the text is nested too deeply, is no JSON, or has not the form of `T`.
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
        if depth > DEPTH {
            return TooDeepSnafu.fail();
        }
    }
    simd_json::serde::from_slice(text).context(JsonSnafu)
}

/// As [`decode`]; an error begins with the name of the document.
fn decode_document<T: for<'a> Deserialize<'a>>(
    text: &mut [u8],
    document: &'static str,
) -> Parse<T> {
    decode(text)
        .map_err(Box::new)
        .context(DocumentSnafu { document })
}

/// The number that stands for what a job says it is about, whatever its length and bytes; nothing: `None`. Two that
/// share a number share an order of workers, no more.
pub fn subject(text: &str) -> Option<u64> {
    (!text.is_empty()).then(|| hash(text))
}

/// A machine's number made of its name, the same in every scheduler unless it is taken there.
pub fn number(name: &str) -> u32 {
    let h = hash(name);
    (h ^ (h >> 32)) as u32
}

/// This number, or the first behind it that is not taken.
pub fn untaken(mut number: u32, taken: impl Fn(u32) -> bool) -> u32 {
    while taken(number) {
        number = number.wrapping_add(1);
    }
    number
}

/// A number for a name that is the same in every scheduler (FNV-1a).
pub fn hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}
