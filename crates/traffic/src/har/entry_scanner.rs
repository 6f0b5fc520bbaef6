//! The text of one entry, with long strings truncated so that memory is bounded whatever the document holds.

use memchr::memchr2;

/// What is kept of a string in an entry, in bytes.
const MAX_TEXT_BYTES: usize = 8 * 1024;
/// The longest entry once its strings are truncated.
pub const MAX_ENTRY_BYTES: usize = 1 << 20;
/// The deepest nesting of brackets in an entry.
const MAX_DEPTH: u32 = 64;
/// Memory that is kept from one entry to the next.
const KEPT_CAPACITY_BYTES: usize = 64 * 1024;

/// Collects an entry, byte by byte.
#[derive(Debug, Default)]
pub(super) struct EntryScanner {
    /// Open brackets.
    depth: u32,
    /// In a string.
    quoted: bool,
    /// Behind a backslash in a string.
    escaped: bool,
    /// Digits of a `\u` escape still to come.
    hex: u8,
    /// The rest of this string is left out.
    truncated: bool,
    /// Bytes of this string so far.
    text_bytes: usize,
    entry: Vec<u8>,
    too_long: bool,
}

impl EntryScanner {
    /// Begins an entry with its `{`.
    pub(super) fn begin(&mut self) {
        (self.depth, self.quoted, self.escaped) = (1, false, false);
        self.too_long = false;
        self.entry.clear();
        self.entry.push(b'{');
    }

    /// The entry so far.
    pub(super) fn text(&self) -> &[u8] {
        &self.entry
    }

    /// Is it too long or nested too deep, so that its text is not complete?
    pub(super) fn is_too_long(&self) -> bool {
        self.too_long
    }

    /// Gives back memory that a long entry took.
    pub(super) fn clear(&mut self) {
        self.entry.clear();
        self.entry.shrink_to(KEPT_CAPACITY_BYTES);
    }

    /// Takes the plain bytes of a string up to the next quote or backslash, as far as the limits of string and entry
    /// allow, and returns how many: most of a document is such bytes. [`Self::push`] takes the others.
    pub(super) fn push_plain(&mut self, bytes: &[u8]) -> usize {
        if !self.quoted || self.escaped || self.hex > 0 || self.truncated {
            return 0;
        }
        let allowed = MAX_TEXT_BYTES
            .saturating_sub(self.text_bytes)
            .min(MAX_ENTRY_BYTES - self.entry.len());
        let bytes = &bytes[..bytes.len().min(allowed)];
        let plain = memchr2(b'"', b'\\', bytes).unwrap_or(bytes.len());
        self.entry.extend_from_slice(&bytes[..plain]);
        self.text_bytes += plain;
        plain
    }

    /// Takes a byte. `true`: it ends the entry.
    pub(super) fn push(&mut self, byte: u8) -> bool {
        let keep = match self.quoted {
            true => self.push_quoted(byte),
            false => self.push_unquoted(byte),
        };
        self.too_long |= self.depth > MAX_DEPTH;
        if keep && self.entry.len() < MAX_ENTRY_BYTES {
            self.entry.push(byte);
        } else if keep {
            self.too_long = true;
        }
        self.depth == 0
    }

    /// Takes a byte of a string. `true`: it is kept.
    fn push_quoted(&mut self, byte: u8) -> bool {
        self.text_bytes += 1;
        let ends = byte == b'"' && !self.escaped && self.hex == 0;
        // Truncated before a plain character only: never within one of several bytes, an escape, or the two escapes of
        // one character.
        let plain = !self.escaped && self.hex == 0 && byte != b'\\' && byte & 0xc0 != 0x80;
        self.truncated |= self.text_bytes > MAX_TEXT_BYTES && plain;
        self.hex = match byte {
            b'u' if self.escaped => 4,
            _ => self.hex.saturating_sub(1),
        };
        self.escaped = byte == b'\\' && !self.escaped;
        self.quoted = !ends;
        ends || !self.truncated
    }

    /// Takes a byte outside strings. `true`: it is kept.
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
