//! HAR documents in pieces: no panic, bounded memory, and the same entries whatever the pieces.
#![no_main]
use indigofold_traffic::har::{self, ENTRY, Piece, Splitter};
use indigofold_traffic::stamp::Reader;
use libfuzzer_sys::fuzz_target;

fn entries(data: &[u8], size: usize) -> usize {
    let (mut splitter, mut stamps, mut count) = (Splitter::default(), Reader::new(jiff::tz::TimeZone::UTC), 0);
    for piece in data.chunks(size) {
        splitter.push(piece, |piece| {
            count += 1;
            match piece {
                Piece::Entry(text) => {
                    assert!(text.len() <= ENTRY);
                    let _ = har::read(text, &mut stamps);
                }
                Piece::TooLong(text) => assert!(text.len() <= ENTRY),
            }
        });
    }
    let _ = splitter.finish();
    count
}

fuzz_target!(|data: &[u8]| {
    let whole = [b"{\"log\":{\"entries\":[", data].concat();
    assert_eq!(entries(&whole, whole.len()), entries(&whole, 7));
    entries(data, 64);
});
