//! Decodes arbitrary lines with each text format: must not panic.
#![no_main]
use indigofold_traffic::access_log::LogFormat;
use indigofold_traffic::timestamp::Reader;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|data: &[u8]| {
    let Some((format_index, line)) = data.split_first() else { return };
    let name = ["common", "combined", "nginx", "envoy", "apache:%h %{%s}t \"%r\" %>s %D %{X}i"][*format_index as usize % 5];
    let (Ok(format), Ok(line)) = (LogFormat::named(name), std::str::from_utf8(line)) else { return };
    let _ = format.read(line, &mut Reader::new(jiff::tz::TimeZone::UTC));
});
