//! Compiles arbitrary format strings of Apache, nginx and Envoy and decodes a line with each: must not panic.
#![no_main]
use indigofold_traffic::access_log::LogFormat;
use indigofold_traffic::timestamp::Reader;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|data: (&str, &str)| {
    for server in ["apache", "nginx", "envoy"] {
        if let Ok(format) = LogFormat::named(&format!("{server}:{}", data.0)) {
            let _ = format.read(data.1, &mut Reader::new(jiff::tz::TimeZone::UTC));
        }
    }
});
