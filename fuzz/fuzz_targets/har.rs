//! Splits arbitrary HAR documents: must not panic, must limit the size of entries, and the number of entries must not depend
//! on the chunk size.
#![no_main]
use indigofold_traffic::har::{self, Element, MAX_ENTRY_BYTES, Splitter};
use indigofold_traffic::timestamp::Reader;
use libfuzzer_sys::fuzz_target;

/// Decodes all entries of a document that is pushed in chunks of `chunk_size` bytes, and returns their number.
fn count_entries(data: &[u8], chunk_size: usize) -> usize {
    let (mut splitter, mut timestamps, mut count) = (Splitter::default(), Reader::new(jiff::tz::TimeZone::UTC), 0);
    for chunk in data.chunks(chunk_size) {
        splitter.push(chunk, |element| {
            count += 1;
            match element {
                Element::Entry(text) => {
                    assert!(text.len() <= MAX_ENTRY_BYTES);
                    let _ = har::read(text, &mut timestamps);
                }
                Element::TooLong(text) => assert!(text.len() <= MAX_ENTRY_BYTES),
            }
        });
    }
    let _ = splitter.finish();
    count
}

fuzz_target!(|data: &[u8]| {
    let document = [b"{\"log\":{\"entries\":[", data].concat();
    assert_eq!(count_entries(&document, document.len()), count_entries(&document, 7));
    count_entries(data, 64);
});
