//! The way to the array `log.entries` of a HAR document.

/// What is kept of a key: enough to distinguish `log` and `entries` from others.
const MAX_KEY_BYTES: usize = 16;

/// Finds the `[` of `log.entries`, byte by byte.
#[derive(Debug, Default)]
pub(super) struct ArrayFinder {
    /// Open brackets.
    depth: u32,
    /// In a string.
    quoted: bool,
    /// Behind a backslash in a string.
    escaped: bool,
    /// Keys of the open objects at depth 1 and 2.
    keys: [Vec<u8>; 2],
    /// The last string; the `:` behind it says whether it is a key.
    text: Vec<u8>,
}

impl ArrayFinder {
    /// Takes a byte. `true`: it is the bracket.
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
