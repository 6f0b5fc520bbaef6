//! Collects the text of one entry, truncating long strings so that memory is bounded for any document.

use memchr::memchr2;

/// Strings in an entry are truncated after this many bytes.
const MAX_TEXT_BYTES: usize = 8 * 1024;
/// Maximum length of an entry in bytes, after its strings are truncated.
pub const MAX_ENTRY_BYTES: usize = 1 << 20;
/// Maximum nesting of brackets in an entry.
const MAX_DEPTH: u32 = 64;
/// Buffer capacity that is kept from one entry to the next.
const KEPT_CAPACITY_BYTES: usize = 64 * 1024;

/// Collects the text of an entry.
#[derive(Debug, Default)]
pub(super) struct EntryScanner {
    /// Number of open brackets.
    depth: u32,
    /// Whether the current byte is inside a string.
    quoted: bool,
    /// Whether the previous byte is a backslash that escapes the current one.
    escaped: bool,
    /// Number of hexadecimal digits of a `\u` escape still expected.
    hex: u8,
    /// Whether the rest of the current string is dropped.
    truncated: bool,
    /// Number of bytes of the current string so far.
    text_bytes: usize,
    /// Text of the entry so far.
    entry: Vec<u8>,
    /// Whether the entry is too long or nested too deep.
    too_long: bool,
}

impl EntryScanner {
    /// Starts a new entry, whose `{` was read.
    pub(super) fn begin(&mut self) {
        (self.depth, self.quoted, self.escaped) = (1, false, false);
        self.too_long = false;
        self.entry.clear();
        self.entry.push(b'{');
    }

    /// Returns the text of the entry so far.
    pub(super) fn text(&self) -> &[u8] {
        &self.entry
    }

    /// Returns true if the entry is too long or nested too deep, so that its text is not complete.
    pub(super) fn is_too_long(&self) -> bool {
        self.too_long
    }

    /// Clears the entry and releases the memory of a long one.
    pub(super) fn clear(&mut self) {
        self.entry.clear();
        self.entry.shrink_to(KEPT_CAPACITY_BYTES);
    }

    /// Appends the plain bytes of a string up to the next quote or backslash, as far as the limits of string and entry
    /// allow, and returns their number. This is the fast path, as most of a document consists of such bytes;
    /// [`Self::push`] processes the others.
    pub(super) fn push_plain(&mut self, bytes: &[u8]) -> usize {
        if !self.quoted || self.escaped || self.hex > 0 || self.truncated {
            return 0;
        }
        let max_length = MAX_TEXT_BYTES
            .saturating_sub(self.text_bytes)
            .min(MAX_ENTRY_BYTES - self.entry.len());
        let bytes = &bytes[..bytes.len().min(max_length)];
        let plain_length = memchr2(b'"', b'\\', bytes).unwrap_or(bytes.len());
        self.entry.extend_from_slice(&bytes[..plain_length]);
        self.text_bytes += plain_length;
        plain_length
    }

    /// Processes a byte. Returns true if it ends the entry.
    pub(super) fn push(&mut self, byte: u8) -> bool {
        let is_kept = match self.quoted {
            true => self.push_quoted(byte),
            false => self.push_unquoted(byte),
        };
        self.too_long |= self.depth > MAX_DEPTH;
        if is_kept && self.entry.len() < MAX_ENTRY_BYTES {
            self.entry.push(byte);
        } else if is_kept {
            self.too_long = true;
        }
        self.depth == 0
    }

    /// Processes a byte of a string. Returns true if it is kept.
    fn push_quoted(&mut self, byte: u8) -> bool {
        self.text_bytes += 1;
        let ends_string = byte == b'"' && !self.escaped && self.hex == 0;
        // Truncates only before a plain character: never within a multi-byte character, an escape, or the two escapes of
        // a surrogate pair.
        let is_plain = !self.escaped && self.hex == 0 && byte != b'\\' && byte & 0xc0 != 0x80;
        self.truncated |= self.text_bytes > MAX_TEXT_BYTES && is_plain;
        self.hex = match byte {
            b'u' if self.escaped => 4,
            _ => self.hex.saturating_sub(1),
        };
        self.escaped = byte == b'\\' && !self.escaped;
        self.quoted = !ends_string;
        ends_string || !self.truncated
    }

    /// Processes a byte outside strings. Returns true if it is kept; whitespace is not.
    fn push_unquoted(&mut self, byte: u8) -> bool {
        match byte {
            b'"' => {
                (self.quoted, self.truncated) = (true, false);
                (self.hex, self.text_bytes) = (0, 0);
            }
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            b' ' | b'\t' | b'\r' | b'\n' => return false,
            _ => {}
        }
        true
    }
}
