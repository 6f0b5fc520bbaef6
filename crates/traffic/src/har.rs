//! HAR 1.2: the entries of a document that may be far larger than memory, one after another.
//!
//! [`Splitter`] takes the document in pieces, finds the array `log.entries` and hands out each element's text. Of long
//! texts (bodies) only the beginning is kept, so that memory is bounded whatever the document holds.

use crate::job::Micros;
use crate::raw::RawRecord;
use crate::tally::Reason;
use crate::timestamp::{Reader, TimeFormat};
use serde::Deserialize;
use std::borrow::Cow;

/// What is kept of a text in an entry, in bytes.
const MAX_TEXT_BYTES: usize = 8 * 1024;
/// The longest entry once its texts are cut.
pub const MAX_ENTRY_BYTES: usize = 1 << 20;
/// Brackets that may stand within each other in an entry.
const MAX_DEPTH: u32 = 64;

/// Where in the document the splitter is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ParserState {
    /// Before the `[` of `log.entries`.
    Before,
    /// Between two entries.
    Between,
    /// In an entry.
    Within,
    /// Behind the `]`.
    After,
}

/// An element of the array `log.entries`.
#[derive(Debug, PartialEq, Eq)]
pub enum Element<'a> {
    /// Its whole text, long texts in it cut.
    Entry(&'a [u8]),
    /// It is too long or too deep; its beginning.
    TooLong(&'a [u8]),
}

/// The document has no array `log.entries`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the document has no array log.entries, as HAR 1.2 wants it")]
pub struct NoEntries;

/// Finds the entries in a document that comes in pieces.
#[derive(Debug)]
pub struct Splitter {
    state: ParserState,
    depth: u32,
    quoted: bool,
    escaped: bool,
    hex: u8,         // digits of an escape still to come
    truncated: bool, // the rest of this text is left out
    /// Keys of the open objects, as far as they are needed: those at depth 1 and 2.
    keys: [Vec<u8>; 2],
    /// The text being read, while looking for the array; then whether it was a key is known by the `:` behind it.
    text: Vec<u8>,
    text_bytes: usize, // bytes of the text being read in an entry
    entry: Vec<u8>,
    too_long: bool,
}

impl Default for Splitter {
    fn default() -> Self {
        let (keys, text, entry) = Default::default();
        Splitter {
            state: ParserState::Before,
            depth: 0,
            quoted: false,
            escaped: false,
            hex: 0,
            truncated: false,
            keys,
            text,
            text_bytes: 0,
            entry,
            too_long: false,
        }
    }
}

impl Splitter {
    /// Takes a piece of the document and hands out the entries that end in it.
    pub fn push(&mut self, bytes: &[u8], mut each: impl FnMut(Element<'_>)) {
        for byte in bytes {
            match self.state {
                ParserState::Before => self.before(*byte),
                ParserState::After => return,
                _ => self.entries(*byte, &mut each),
            }
        }
    }

    /// The document has ended. An entry that was not whole is handed back; an error if no entries were ever found.
    ///
    /// # Errors
    /// The document has no array `log.entries`.
    pub fn finish(&mut self) -> Result<Option<&[u8]>, NoEntries> {
        match self.state {
            ParserState::Before => Err(NoEntries),
            ParserState::Within => Ok(Some(&self.entry)),
            ParserState::Between | ParserState::After => Ok(None),
        }
    }

    fn before(&mut self, byte: u8) {
        if self.quoted {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = true,
                b'"' => self.quoted = false,
                _ if self.text.len() < 16 => self.text.push(byte),
                _ => {}
            }
            return;
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
                self.state = ParserState::Between;
                self.depth = 0;
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
    }

    fn entries(&mut self, byte: u8, each: &mut impl FnMut(Element<'_>)) {
        if self.state == ParserState::Between {
            match byte {
                b']' => self.state = ParserState::After,
                b'{' => {
                    self.state = ParserState::Within;
                    (self.depth, self.quoted, self.escaped, self.too_long) =
                        (1, false, false, false);
                    self.entry.clear();
                    self.entry.push(byte);
                }
                _ => {}
            }
            return;
        }
        let mut keep = true;
        if self.quoted {
            self.text_bytes += 1;
            let ends = byte == b'"' && !self.escaped && self.hex == 0;
            // A text is cut before a plain character only: never within one of several bytes, an escape, or the two
            // escapes of one character.
            let plain = !self.escaped && self.hex == 0 && byte != b'\\' && byte & 0xc0 != 0x80;
            self.truncated |= self.text_bytes > MAX_TEXT_BYTES && plain;
            keep = ends || !self.truncated;
            self.hex = match byte {
                b'u' if self.escaped => 4,
                _ => self.hex.saturating_sub(1),
            };
            self.escaped = byte == b'\\' && !self.escaped;
            if ends {
                self.quoted = false;
            }
        } else {
            match byte {
                b'"' => {
                    (self.quoted, self.truncated, self.hex, self.text_bytes) = (true, false, 0, 0)
                }
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth -= 1,
                b' ' | b'\t' | b'\r' | b'\n' => keep = false,
                _ => {}
            }
        }
        self.too_long |= self.depth > MAX_DEPTH;
        if keep && self.entry.len() < MAX_ENTRY_BYTES {
            self.entry.push(byte);
        } else if keep {
            self.too_long = true;
        }
        if self.depth == 0 {
            self.state = ParserState::Between;
            match self.too_long {
                false => each(Element::Entry(&self.entry)),
                true => each(Element::TooLong(&self.entry)),
            }
            self.entry.clear();
            self.entry.shrink_to(64 * 1024);
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry {
    started_date_time: Option<String>,
    time: Option<f64>,
    request: Option<Request>,
    response: Option<Response>,
    /// Some tools write who asked; the standard has no field for it.
    #[serde(alias = "_clientIPAddress", alias = "clientIPAddress")]
    client: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Request {
    method: Option<String>,
    url: Option<String>,
    #[serde(default)]
    headers: Vec<Pair>,
    #[serde(default)]
    cookies: Vec<Pair>,
    body_size: Option<f64>,
}

#[derive(Deserialize)]
struct Response {
    status: Option<f64>,
}

#[derive(Deserialize)]
struct Pair {
    #[serde(default)]
    name: String,
    #[serde(default)]
    value: String,
}

/// Reads one entry. In one of an aborted session the time is -1 and the status 0: it was sent, and has no answer.
///
/// # Errors
/// Why it cannot be read.
pub fn read(text: &[u8], timestamps: &mut Reader) -> Result<RawRecord<'static>, Reason> {
    let entry: Entry = serde_json::from_slice(text).map_err(|_| Reason::Malformed)?;
    let started = entry
        .started_date_time
        .filter(|t| !t.is_empty())
        .ok_or(Reason::NoTime)?;
    let time = timestamps
        .read(&TimeFormat::Iso, &started)
        .map_err(|_| Reason::BadTime)?;
    let request = entry.request.ok_or(Reason::BadRequest)?;
    let url = request
        .url
        .filter(|u| !u.is_empty())
        .ok_or(Reason::BadRequest)?;
    let status = match entry.response.and_then(|r| r.status) {
        None => None,
        Some(none) if none <= 0.0 => None,
        Some(status) if (100.0..600.0).contains(&status) => Some(status as u16),
        Some(_) => return Err(Reason::BadStatus),
    };
    let took = entry
        .time
        .filter(|ms| ms.is_finite() && *ms >= 0.0 && *ms < 1e9);
    let own = |p: Pair, name: String| (Cow::Owned(name), Cow::Owned(p.value));
    let mut headers: Vec<_> = request
        .headers
        .into_iter()
        .map(|p| {
            let name = p.name.to_ascii_lowercase();
            own(p, name)
        })
        .collect();
    headers.extend(request.cookies.into_iter().map(|p| {
        let name = format!("cookie.{}", p.name);
        own(p, name)
    }));
    Ok(RawRecord {
        time: Some(time),
        peer: entry.client.map(Cow::Owned),
        method: request.method.map(Cow::Owned),
        target: Some(Cow::Owned(url)),
        status,
        // Without an answer there is no telling how long it would have taken.
        took: took
            .filter(|_| status.is_some())
            .map(|ms| (ms * 1000.0).round() as Micros),
        received: request.body_size.filter(|b| *b >= 0.0).map(|b| b as u64),
        headers,
        ..RawRecord::default()
    })
}
