//! Decodes arbitrary JSON lines with each form of time: must not panic.
#![no_main]
use indigofold_traffic::access_log::json::{Fields, TimeForm, Unit};
use indigofold_traffic::timestamp::Reader;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|line: &str| {
    let pointer = |p: &str| Some(p.to_string());
    for time_form in [TimeForm::Iso, TimeForm::Clf, TimeForm::Seconds, TimeForm::Millis, TimeForm::Micros] {
        let fields = Fields {
            time: "/t".into(),
            time_form,
            time_is_end: true,
            target: "/p".into(),
            method: pointer("/m"),
            status: pointer("/s"),
            took: pointer("/d"),
            took_unit: Unit::Ms,
            peer: pointer("/a"),
            user: pointer("/u"),
            received: pointer("/b"),
            headers: [("x".to_string(), "/h/0".to_string())].into(),
        };
        let _ = fields.read(line, &mut Reader::new(jiff::tz::TimeZone::UTC));
    }
});
