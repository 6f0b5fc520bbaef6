//! Reads arbitrary recordings: must not panic, and all lines must be valid exactly if the end line was read.
#![no_main]
use indigofold_traffic::recording::Reader;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|data: &[u8]| {
    let text = [b"{\"format\":\"indigofold-recording\",\"version\":1}\n", data].concat();
    if let Ok(mut reader) = Reader::new(&text[..]) {
        let complete = reader.by_ref().all(|job| job.is_ok());
        assert_eq!(complete, reader.end.is_some());
    }
});
