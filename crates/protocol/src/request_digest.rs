//! Digests of operators' requests, by which a repeated request is recognised.

use sha2::{Digest, Sha256};
use std::fmt;

/// Bytes of a digest: 128 bits make an accidental collision negligible.
const DIGEST_BYTES: usize = 16;

/// Digest of an operator's request. Equal requests have equal digests on all machines and in all versions of the
/// program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub [u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Computes the digest of a request from its method, `If-Match` header and body.
    pub fn of(method: &str, if_match: Option<&str>, body: &[u8]) -> RequestDigest {
        let mut hasher = Sha256::new();
        add_field(&mut hasher, method.as_bytes());
        add_field(&mut hasher, if_match.unwrap_or_default().trim().as_bytes());
        add_field(&mut hasher, body);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
        RequestDigest(digest)
    }
}

/// Hashes a field's length and then the field, so that the boundary between two fields is unambiguous.
fn add_field(hasher: &mut Sha256, field: &[u8]) {
    hasher.update((field.len() as u64).to_be_bytes());
    hasher.update(field);
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
