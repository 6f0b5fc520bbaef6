//! Timestamp formats, resolutions and daylight saving changes.

use indigofold_traffic::timestamp::{InvalidTimestamp, Reader, SECOND, TimeFormat};
use jiff::tz::TimeZone;

fn reader() -> Reader {
    Reader::new(TimeZone::get("Europe/Lisbon").expect("the time zone is known"))
}

#[test]
fn common_log_timestamps_match_the_calendar() {
    let mut r = reader();
    let at = |r: &mut Reader, text: &str| r.read(&TimeFormat::Clf, text).map(|s| s.at / SECOND);
    assert_eq!(at(&mut r, "10/Oct/2000:13:55:36 -0700"), Ok(971_211_336));
    assert_eq!(at(&mut r, "10/Oct/2000:13:55:59 -0700"), Ok(971_211_359));
    assert_eq!(
        at(&mut r, "10/Oct/2000:13:55:36 +0130"),
        Ok(971_211_336 - 30_600)
    );
    for bad in [
        "",
        "10/Oct/2000:13:55:36",
        "10/Okt/2000:13:55:36 -0700",
        "31/Feb/2000:13:55:36 -0700",
        "10/Oct/2000:13:55:61 -0700",
        "10/Oct/2000:24:55:36 -0700",
        "10/Oct/1970:13:55:36 -0700",
    ] {
        assert_eq!(at(&mut r, bad), Err(InvalidTimestamp), "{bad}");
    }
}

#[test]
fn fraction_digits_set_the_resolution() {
    let mut r = reader();
    let mut read =
        |format: &TimeFormat, text: &str| r.read(format, text).map(|s| (s.at, s.resolution));
    let second = 1_700_000_000 * SECOND;
    assert_eq!(
        read(&TimeFormat::Seconds, "1700000000"),
        Ok((second, SECOND))
    );
    assert_eq!(
        read(&TimeFormat::Seconds, "1700000000.125"),
        Ok((second + 125_000, 1_000))
    );
    assert_eq!(
        read(&TimeFormat::Millis, "1700000000125"),
        Ok((second + 125_000, 1_000))
    );
    assert_eq!(
        read(&TimeFormat::Iso, "2023-11-14T22:13:20.5Z"),
        Ok((second + 500_000, 100_000))
    );
    assert_eq!(
        read(&TimeFormat::Iso, "2023-11-14T22:13:20"),
        Ok((second, SECOND)),
        "Lisbon is at UTC in winter"
    );
    let pattern = TimeFormat::Pattern("%Y/%m/%d %H:%M:%S%.3f %z".into());
    assert_eq!(
        read(&pattern, "2023/11/14 23:13:20.125 +0100"),
        Ok((second + 125_000, 1_000))
    );
}

/// Guards against times that jump back by an hour when clocks are set back: within the repeated hour, an ambiguous time is
/// read so that it continues from the preceding record.
#[test]
fn an_ambiguous_local_time_is_resolved_by_the_preceding_records() {
    let mut r = reader();
    let mut at = |text: &str| {
        let at = r
            .read(&TimeFormat::Iso, text)
            .expect("the timestamp is valid")
            .at
            / SECOND;
        (at, r.was_dst())
    };
    let (first, dst) = at("2026-10-25T01:10:00");
    assert!(dst);
    assert_eq!(at("2026-10-25T01:59:59"), (first + 2_999, true));
    assert_eq!(
        at("2026-10-25T01:00:01"),
        (first + 3_001, true),
        "the second pass through the repeated hour"
    );
    assert_eq!(at("2026-10-25T02:00:00"), (first + 6_600, false));
    assert!(
        at("2026-03-29T01:30:00").1,
        "a nonexistent local time is reported as well"
    );
}
