//! Detection of records that were read before.

use rustc_hash::FxHashMap;

/// Maximum number of hashes in each of the two generations; bounds the memory.
const MAX_RECENT_RECORDS: usize = 200_000;

/// Hashes of recent records, each with the index of its file. There are two generations: when the newer one is full, the
/// older one is discarded.
#[derive(Default)]
pub(super) struct RecentRecords([FxHashMap<u64, u32>; 2]);

impl RecentRecords {
    /// Returns true if a record with this hash was read before; otherwise remembers it. Unless `in_same_file` is set, only
    /// records of other files count as duplicates.
    pub(super) fn is_duplicate(&mut self, hash: u64, file: u32, in_same_file: bool) -> bool {
        if let Some(first_file) = self.0.iter().find_map(|generation| generation.get(&hash)) {
            return in_same_file || *first_file != file;
        }
        if self.0[0].len() >= MAX_RECENT_RECORDS {
            self.0.swap(0, 1);
            self.0[0].clear();
        }
        self.0[0].insert(hash, file);
        false
    }
}
