//! Opens input files. Compression (gzip or zstd) is detected by the first bytes of a file, not by its name.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Size of read buffers.
const BUFFER_BYTES: usize = 128 * 1024;

/// A file that counts the bytes read from it, before decompression.
struct CountingFile {
    file: File,
    bytes_read: Arc<AtomicU64>,
}

impl Read for CountingFile {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.file.read(buffer)?;
        self.bytes_read.fetch_add(count as u64, Ordering::Relaxed);
        Ok(count)
    }
}

/// Opens a file, decompressing it if needed. `bytes_read` is increased by the bytes read, before decompression.
///
/// # Errors
/// The file cannot be opened, or is encoded in UTF-16, which no server writes.
pub fn open(path: &Path, bytes_read: Arc<AtomicU64>) -> io::Result<Box<dyn BufRead>> {
    decompress(BufReader::with_capacity(
        BUFFER_BYTES,
        CountingFile {
            file: File::open(path)?,
            bytes_read,
        },
    ))
}

/// Returns the content of a stream that may be compressed with gzip or zstd.
///
/// # Errors
/// The stream cannot be read, or its content is encoded in UTF-16.
pub fn decompress<'a>(mut input: impl BufRead + 'a) -> io::Result<Box<dyn BufRead + 'a>> {
    let head = input.fill_buf()?;
    let head = [0, 1, 2, 3].map(|n| head.get(n).copied().unwrap_or(0));
    Ok(match head {
        [0x1f, 0x8b, ..] => skip_utf8_bom(BufReader::with_capacity(
            BUFFER_BYTES,
            flate2::bufread::MultiGzDecoder::new(input),
        ))?,
        [0x28, 0xb5, 0x2f, 0xfd] => {
            let decoder = zstd::stream::read::Decoder::with_buffer(input)?;
            skip_utf8_bom(BufReader::with_capacity(BUFFER_BYTES, decoder))?
        }
        _ => skip_utf8_bom(input)?,
    })
}

/// Skips a UTF-8 byte order mark, which some editors write.
///
/// # Errors
/// The stream cannot be read, or begins with a UTF-16 byte order mark.
fn skip_utf8_bom<'a>(mut input: impl BufRead + 'a) -> io::Result<Box<dyn BufRead + 'a>> {
    let head = input.fill_buf()?;
    if head.starts_with(&[0xff, 0xfe]) || head.starts_with(&[0xfe, 0xff]) {
        return Err(io::Error::other(
            "the file is encoded in UTF-16; supported are UTF-8 and Latin-1, plain or compressed with gzip or zstd",
        ));
    }
    if head.starts_with(&[0xef, 0xbb, 0xbf]) {
        input.consume(3);
    }
    Ok(Box::new(input))
}
