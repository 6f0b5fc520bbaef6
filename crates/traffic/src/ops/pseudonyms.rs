//! Pseudonymisation: replaces identifying values by keyed hashes.

use crate::job::Job;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Replaces subjects, idempotency keys and client numbers by keyed hashes (BLAKE3), and parishes as well if `parishes` is
/// set. The same secret gives the same pseudonyms, so recordings remain comparable. Unknown values (an empty subject
/// or parish, no key, client 0) stay as they are.
pub fn pseudonymise<I: Iterator<Item = Job>>(
    jobs: I,
    secret: &str,
    parishes: bool,
) -> impl Iterator<Item = Job> + use<I> {
    let key = blake3::derive_key("indigofold recording pseudonyms 2026", secret.as_bytes());
    let mut names: FxHashMap<Arc<str>, Arc<str>> = FxHashMap::default();
    jobs.map(move |mut job| {
        let hash = |field: &str, text: &str| {
            let mut hasher = blake3::Hasher::new_keyed(&key);
            hasher
                .update(field.as_bytes())
                .update(&[0])
                .update(text.as_bytes());
            hasher.finalize()
        };
        let short_hash = |field: &str, text: &str| hash(field, text).to_hex()[..16].to_string();
        if !job.subject.is_empty() {
            job.subject = short_hash("subject", &job.subject);
        }
        job.key = job.key.as_deref().map(|k| short_hash("key", k));
        if job.client != 0 {
            let bytes = hash("client", &job.client.to_string());
            let hash_prefix = bytes.as_bytes()[..8]
                .iter()
                .fold(0, |n, b| n << 8 | u64::from(*b));
            job.client = hash_prefix.max(1);
        }
        if parishes && !job.parish.is_empty() {
            let parish = names.entry(job.parish.clone());
            job.parish = parish
                .or_insert_with_key(|p| short_hash("parish", p).into())
                .clone();
        }
        job
    })
}
