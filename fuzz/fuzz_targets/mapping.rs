//! Reads arbitrary mapping files: must not panic.
#![no_main]
use indigofold_traffic::mapping::Mapping;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|text: &str| {
    let _ = Mapping::read(text);
});
