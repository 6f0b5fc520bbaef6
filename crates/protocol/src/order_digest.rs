//! Recognition of requests that the operator sends again.

use sha2::{Digest, Sha256};
use std::fmt;

/// Bytes of a digest: enough that collisions are out of the question.
const DIGEST_BYTES: usize = 16;

/// Digest of an operator's request. The same request has the same digest, on all machines and in all versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderDigest(pub [u8; DIGEST_BYTES]);

impl OrderDigest {
    /// The digest of a request with this method, `If-Match` header and body.
    pub fn of(method: &str, if_match: Option<&str>, body: &[u8]) -> OrderDigest {
        let mut hasher = Sha256::new();
        add(&mut hasher, method.as_bytes());
        add(&mut hasher, if_match.unwrap_or_default().trim().as_bytes());
        add(&mut hasher, body);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
        OrderDigest(digest)
    }
}

/// Adds a field after its length, so that the boundary between two fields is unambiguous.
fn add(hasher: &mut Sha256, field: &[u8]) {
    hasher.update((field.len() as u64).to_be_bytes());
    hasher.update(field);
}

impl fmt::Display for OrderDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
