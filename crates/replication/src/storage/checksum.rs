//! Checksums of rows and of the record, which detect bits that have changed on disk.

use crc32fast::Hasher;

/// Size of the checksum that follows the record.
const RECORD_CHECKSUM_BYTES: usize = 4;

/// Returns the checksum of a row, computed over its key, its value (or the absence of one) and its sequence number.
pub(super) fn of_row(key: &[u8], value: Option<&[u8]>, seq: u64) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key);
    hasher.update(&[u8::from(value.is_some())]);
    hasher.update(value.unwrap_or_default());
    hasher.update(&seq.to_le_bytes());
    hasher.finalize()
}

/// Appends the checksum to an encoded record.
pub(super) fn seal_record(mut record: Vec<u8>) -> Vec<u8> {
    let checksum = crc32fast::hash(&record);
    record.extend(checksum.to_le_bytes());
    record
}

/// Returns the record without its checksum; `None` if the checksum does not match.
pub(super) fn open_record(sealed: &[u8]) -> Option<&[u8]> {
    let (record, checksum) = sealed.split_last_chunk::<RECORD_CHECKSUM_BYTES>()?;
    (u32::from_le_bytes(*checksum) == crc32fast::hash(record)).then_some(record)
}
