//! Format strings of the three servers, each then used on a line: no panic.
#![no_main]
use indigofold_traffic::line::LineFormat;
use indigofold_traffic::stamp::Reader;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|data: (&str, &str)| {
    for server in ["apache", "nginx", "envoy"] {
        if let Ok(format) = LineFormat::named(&format!("{server}:{}", data.0)) {
            let _ = format.read(data.1, &mut Reader::new(jiff::tz::TimeZone::UTC));
        }
    }
});
