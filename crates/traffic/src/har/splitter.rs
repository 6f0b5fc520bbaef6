//! Splits a HAR document into its entries.

use super::array_finder::ArrayFinder;
use super::entry_scanner::EntryScanner;

/// Position of the splitter in the document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ParserState {
    /// Before the `[` of `log.entries`.
    #[default]
    Before,
    /// Between two entries.
    Between,
    /// Within an entry.
    Within,
    /// After the `]` of `log.entries`.
    After,
}

/// An element of the array `log.entries`.
#[derive(Debug, PartialEq, Eq)]
pub enum Element<'a> {
    /// The text of an entry, with long strings truncated.
    Entry(&'a [u8]),
    /// An entry that is too long or nested too deep; holds its beginning.
    TooLong(&'a [u8]),
}

/// The document has no array `log.entries`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the document has no array log.entries, which HAR 1.2 requires")]
pub struct NoEntries;

/// Finds the entries in a document that is received in chunks.
#[derive(Debug, Default)]
pub struct Splitter {
    state: ParserState,
    finder: ArrayFinder,
    scanner: EntryScanner,
}

impl Splitter {
    /// Processes a chunk of the document and passes each entry that ends in it to `emit`.
    pub fn push(&mut self, bytes: &[u8], mut emit: impl FnMut(Element<'_>)) {
        let mut remaining_bytes = bytes;
        while let Some((&byte, following_bytes)) = remaining_bytes.split_first() {
            match self.state {
                ParserState::Before if self.finder.push(byte) => {
                    self.state = ParserState::Between;
                }
                ParserState::Between => self.push_between(byte),
                ParserState::Within => {
                    let plain_length = self.scanner.push_plain(remaining_bytes);
                    if plain_length > 0 {
                        remaining_bytes = &remaining_bytes[plain_length..];
                        continue;
                    }
                    if self.scanner.push(byte) {
                        self.end_entry(&mut emit);
                    }
                }
                ParserState::Before => {}
                ParserState::After => return,
            }
            remaining_bytes = following_bytes;
        }
    }

    /// Passes the completed entry to `emit`.
    fn end_entry(&mut self, emit: &mut impl FnMut(Element<'_>)) {
        self.state = ParserState::Between;
        emit(match self.scanner.is_too_long() {
            false => Element::Entry(self.scanner.text()),
            true => Element::TooLong(self.scanner.text()),
        });
        self.scanner.clear();
    }

    fn push_between(&mut self, byte: u8) {
        match byte {
            b']' => self.state = ParserState::After,
            b'{' => {
                self.state = ParserState::Within;
                self.scanner.begin();
            }
            _ => {}
        }
    }

    /// Ends the document. Returns the text of an incomplete entry, if the document ends within one.
    ///
    /// # Errors
    /// The document has no array `log.entries`.
    pub fn finish(&mut self) -> Result<Option<&[u8]>, NoEntries> {
        match self.state {
            ParserState::Before => Err(NoEntries),
            ParserState::Within => Ok(Some(self.scanner.text())),
            ParserState::Between | ParserState::After => Ok(None),
        }
    }
}
