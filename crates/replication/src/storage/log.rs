//! A check of `SQLite`'s write-ahead log before the database is opened.
//!
//! `SQLite` reads the log up to the first frame whose checksum does not match, as it must after a power loss. A bit
//! that has changed in the middle of the log would therefore drop all later writes, including promises, without an
//! error.

use std::fs;
use std::io;
use std::path::Path;

const HEADER_BYTES: usize = 32;
const FRAME_HEADER_BYTES: usize = 24;
/// Offset of the page size in the header of the log.
const PAGE_SIZE_OFFSET: usize = 8;
const SALTS_OFFSET: usize = 16;
const CHECKSUM_OFFSET: usize = 24;
/// Offset of the database size in pages in the header of a frame; the size is 0 unless the frame commits a transaction.
const DATABASE_PAGES_OFFSET: usize = 4;
const FRAME_SALTS_OFFSET: usize = 8;
const FRAME_CHECKSUM_OFFSET: usize = 16;
const SALTS_BYTES: usize = 8;
/// Number of bytes of a frame's header that its checksum covers.
const FRAME_CHECKED_BYTES: usize = 8;
/// Page sizes that `SQLite` supports.
const PAGE_SIZES: std::ops::RangeInclusive<usize> = 512..=65_536;
/// Number of commits behind a broken frame that prove damage. Each write is synced before the next one begins, so a
/// power loss leaves at most the frames of one write behind a broken frame.
const COMMITS_PROVING_DAMAGE: usize = 2;

/// Returns true if synced writes in the log at `path` cannot be read any more.
pub(super) fn has_lost_writes(path: &Path) -> io::Result<bool> {
    match fs::read(path) {
        Ok(log) => Ok(Log::parse(&log).is_some_and(Log::has_lost_writes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(false),
        Err(error) => Err(error),
    }
}

/// The header of the log and the frames that follow it.
struct Log<'a> {
    header: &'a [u8],
    frames: std::slice::ChunksExact<'a, u8>,
    is_big_endian: bool,
}

impl<'a> Log<'a> {
    /// Parses the log; returns `None` if the header is incomplete, in which case no frame has been written, or if its
    /// page size is invalid.
    fn parse(bytes: &'a [u8]) -> Option<Log<'a>> {
        let (header, frame_bytes) = bytes.split_at_checked(HEADER_BYTES)?;
        let page_size = big_endian_u32(header, PAGE_SIZE_OFFSET)? as usize;
        let is_page_size = PAGE_SIZES.contains(&page_size) && page_size.is_power_of_two();
        let frames = frame_bytes.chunks_exact(FRAME_HEADER_BYTES + page_size);
        is_page_size.then(|| Log {
            header,
            frames,
            is_big_endian: header[3] & 1 == 1,
        })
    }

    fn has_lost_writes(self) -> bool {
        let salts = &self.header[SALTS_OFFSET..SALTS_OFFSET + SALTS_BYTES];
        let Some(mut previous_checksum) = Checksum::read(self.header, CHECKSUM_OFFSET) else {
            return false;
        };
        let (mut is_broken, mut commits_after_damage) = (false, 0);
        let has_salts = |frame: &&[u8]| frame[FRAME_SALTS_OFFSET..].starts_with(salts);
        for frame in self.frames.filter(has_salts) {
            // Each checksum continues from the one stored in the frame before, so frames behind a broken one can still
            // be verified.
            let checksum = previous_checksum
                .add(&frame[..FRAME_CHECKED_BYTES], self.is_big_endian)
                .add(&frame[FRAME_HEADER_BYTES..], self.is_big_endian);
            let Some(stored_checksum) = Checksum::read(frame, FRAME_CHECKSUM_OFFSET) else {
                return false;
            };
            let is_valid = checksum == stored_checksum;
            let is_commit = big_endian_u32(frame, DATABASE_PAGES_OFFSET) != Some(0);
            commits_after_damage += usize::from(is_broken && is_valid && is_commit);
            is_broken |= !is_valid;
            previous_checksum = stored_checksum;
        }
        commits_after_damage >= COMMITS_PROVING_DAMAGE
    }
}

/// `SQLite`'s running checksum over pairs of four-byte words (file format, "WAL checksum algorithm").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Checksum {
    first: u32,
    second: u32,
}

impl Checksum {
    /// Reads the checksum stored at `offset`.
    fn read(bytes: &[u8], offset: usize) -> Option<Checksum> {
        Some(Checksum {
            first: big_endian_u32(bytes, offset)?,
            second: big_endian_u32(bytes, offset + 4)?,
        })
    }

    /// Continues the checksum over `bytes`.
    fn add(mut self, bytes: &[u8], is_big_endian: bool) -> Checksum {
        let number = |bytes: [u8; 4]| match is_big_endian {
            true => u32::from_be_bytes(bytes),
            false => u32::from_le_bytes(bytes),
        };
        let (values, _) = bytes.as_chunks::<4>();
        let (pairs, _) = values.as_chunks::<2>();
        for [first, second] in pairs {
            self.first = self
                .first
                .wrapping_add(number(*first))
                .wrapping_add(self.second);
            self.second = self
                .second
                .wrapping_add(number(*second))
                .wrapping_add(self.first);
        }
        self
    }
}

/// Reads the big-endian number at `offset`; `None` beyond the end.
fn big_endian_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    Some(u32::from_be_bytes(
        bytes.get(offset..)?.first_chunk().copied()?,
    ))
}
