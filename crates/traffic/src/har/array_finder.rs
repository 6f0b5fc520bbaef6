//! Finds the array `log.entries` of a HAR document.

/// Number of bytes kept of a key: enough to distinguish `log` and `entries` from other keys.
const MAX_KEY_BYTES: usize = 16;

/// Finds the `[` of `log.entries`, byte by byte.
#[derive(Debug, Default)]
pub(super) struct ArrayFinder {
    /// Number of open brackets.
    depth: u32,
    /// Whether the current byte is inside a string.
    quoted: bool,
    /// Whether the previous byte is a backslash that escapes the current one.
    escaped: bool,
    /// Current keys of the open objects at depths 1 and 2.
    keys: [Vec<u8>; 2],
    /// The last string; it is a key if a `:` follows.
    text: Vec<u8>,
}

impl ArrayFinder {
    /// Processes a byte. Returns true if it is the `[` of `log.entries`.
    pub(super) fn push(&mut self, byte: u8) -> bool {
        if self.quoted {
            self.push_quoted(byte);
            return false;
        }
        match byte {
            b'"' => {
                self.quoted = true;
                self.text.clear();
            }
            b':' if (1..=2).contains(&self.depth) => {
                self.keys[self.depth as usize - 1] = std::mem::take(&mut self.text);
            }
            b'[' if self.depth == 2 && self.keys[0] == b"log" && self.keys[1] == b"entries" => {
                return true;
            }
            b'{' | b'[' => {
                self.depth += 1;
                if self.depth <= 2 {
                    self.keys[self.depth as usize - 1].clear();
                }
            }
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        false
    }

    fn push_quoted(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.quoted = false,
            _ if self.text.len() < MAX_KEY_BYTES => self.text.push(byte),
            _ => {}
        }
    }
}
