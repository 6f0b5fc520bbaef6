//! Decoding of each log format and of HAR documents.

use indigofold_traffic::access_log::LogFormat;
use indigofold_traffic::har::{self, Element, Splitter};
use indigofold_traffic::raw::RawRecord;
use indigofold_traffic::tally::Reason;
use indigofold_traffic::timestamp::Reader;
use jiff::tz::TimeZone;

fn timestamps() -> Reader {
    Reader::new(TimeZone::UTC)
}

/// Returns a summary of the decoded record, or the reason why it is rejected.
fn read(format: &str, record: &str) -> String {
    let format = LogFormat::named(format).expect("the format is valid");
    let read = format
        .read(record, &mut timestamps())
        .map(|raw| summary(&raw));
    read.unwrap_or_else(|reason| format!("{reason:?}"))
}

/// Formats the fields of a record that the tests compare.
fn summary(raw: &RawRecord<'_>) -> String {
    let text = |t: &Option<std::borrow::Cow<'_, str>>| t.as_deref().unwrap_or("-").to_string();
    let time = raw.time.map_or("no time".into(), |time| {
        format!(
            "{}.{:06}{}",
            time.at / 1_000_000,
            time.at % 1_000_000,
            if time.is_end { " end" } else { "" }
        )
    });
    let headers: Vec<String> = raw
        .headers
        .iter()
        .map(|field| format!("{}={}", field.name, field.value))
        .collect();
    format!(
        "{time} | {} {} | {} {} | {:?} {:?} | {}",
        text(&raw.peer),
        text(&raw.user),
        text(&raw.method),
        text(&raw.target),
        raw.status,
        raw.took,
        headers.join(" ")
    )
}

#[test]
fn common_and_combined_formats_are_decoded() {
    let record = r#"192.0.2.1 - anna [10/Oct/2026:13:55:36 +0100] "POST /reserve-stock/kit-7 HTTP/1.1" 200 2326"#;
    let expected =
        "1791636936.000000 | 192.0.2.1 anna | POST /reserve-stock/kit-7 | Some(200) None | ";
    assert_eq!(read("common", record), expected);
    let combined_record = r#"192.0.2.1 - anna [10/Oct/2026:13:55:36 +0100] "POST /reserve-stock/kit-7 HTTP/1.1" 200 2326 "-" "a \"b\" c""#;
    assert_eq!(
        read("combined", combined_record),
        format!("{expected}user-agent=a \"b\" c")
    );
    assert_eq!(
        read("combined", record),
        "Malformed",
        "the quoted fields are missing"
    );
    assert!(
        read("common", combined_record).starts_with(&expected[..60]),
        "the rest of the line is read as the byte count, which is not used"
    );
}

#[test]
fn malformed_records_are_rejected_with_a_reason() {
    let outcome_of = |from: &str, to: &str| {
        let record =
            r#"192.0.2.1 - - [10/Oct/2026:13:55:36 +0100] "POST /a/b HTTP/1.1" 200 2 "-" "-""#;
        assert!(record.contains(from));
        read("combined", &record.replace(from, to))
    };
    assert_eq!(outcome_of("13:55:36", "13:65:36"), "BadTime");
    assert_eq!(outcome_of("10/Oct/2026:13:55:36 +0100", "-"), "NoTime");
    assert_eq!(outcome_of(" 200 ", " 2000 "), "BadStatus");
    assert_eq!(outcome_of(" 200 ", " ok "), "BadStatus");
    assert_eq!(
        outcome_of("POST /a/b HTTP/1.1", "\\x16\\x03\\x01"),
        "BadRequest"
    );
    assert_eq!(outcome_of("POST /a/b HTTP/1.1", "-"), "BadRequest");
    assert_eq!(outcome_of(" \"-\" \"-\"", ""), "Malformed");
    assert_eq!(outcome_of("[", ""), "Malformed");
    assert!(
        outcome_of(" 200 ", " - ").contains("| None None |"),
        "a missing status is not an error: the client disconnected"
    );
}

#[test]
fn apache_formats_with_durations_headers_and_fractions() {
    let format = r#"apache:%a %{X-Forwarded-For}i %{%d/%b/%Y %T}t.%{msec_frac}t %{%z}t "%r" %>s %D %{session}C %{ms}T"#;
    assert!(LogFormat::named(format).is_ok());
    let format =
        r#"apache:%a [%{sec}t.%{usec_frac}t] "%m %U%q %H" %>s %b %{us}T "%{X-Customer}i" %{who}C"#;
    let record =
        r#"2001:db8::7 [1791636936.250000] "POST /a/b?x=1 HTTP/2.0" 503 - 1500 "gualtar" anna"#;
    let expected = "1791636936.250000 | 2001:db8::7 - | POST /a/b?x=1 | Some(503) Some(1500) | x-customer=gualtar cookie.who=anna";
    assert_eq!(read(format, record), expected);
    let end_format = r#"apache:%h %{end:usec}t "%r" %s %{ms}T"#;
    let record = r#"h 1791636936250000 "POST /a HTTP/1.1" 200 12"#;
    assert_eq!(
        read(end_format, record),
        "1791636936.250000 end | h - | POST /a | Some(200) Some(12000) | "
    );
}

#[test]
fn nginx_timestamps_mark_the_end_of_the_request() {
    let format = concat!(
        r#"nginx:$remote_addr [$time_local] "$request" $status $msec rt=$request_time ut="$upstream_response_time" "#,
        r#"${http_x_customer} "$http_user_agent" $unknown_thing"#
    );
    let record = r#"10.0.0.1 [10/Oct/2026:13:55:36 +0100] "POST /a/\x22b HTTP/1.1" 200 1791636936.125 rt=0.050 ut="0.01, 0.02" real "x" ?"#;
    let expected = "1791636936.125000 end | 10.0.0.1 - | POST /a/\"b | Some(200) Some(50000) | x-customer=real user-agent=x";
    assert_eq!(
        read(format, record),
        expected,
        "of two times, the one with the finer resolution is used"
    );
    let plain_record =
        r#"10.0.0.1 - - [10/Oct/2026:13:55:36 +0100] "POST /a HTTP/1.1" 499 0 "-" "-""#;
    assert_eq!(
        read("nginx", plain_record),
        "1791636936.000000 end | 10.0.0.1 - | POST /a | Some(499) None | "
    );
}

#[test]
fn envoy_default_and_custom_formats_are_decoded() {
    let record = concat!(
        r#"[2026-10-10T12:55:36.250Z] "POST /book-delivery/7 HTTP/1.1" 0 DC downstream_remote_disconnect - "-" 128 0 412 - "#,
        r#""10.4.0.9" "office/1.0" "id-1" "jobs.internal" "127.0.0.1:8443""#
    );
    let expected = "1791636936.250000 | - - | POST /book-delivery/7 | None Some(412000) | x-forwarded-for=10.4.0.9 \
                user-agent=office/1.0 x-request-id=id-1 :authority=jobs.internal";
    assert_eq!(read("envoy", record), expected);
    let custom_format = "envoy:%START_TIME(%s.%3f)% %DOWNSTREAM_REMOTE_ADDRESS% %REQ(:METHOD)% %REQ(:PATH)% %RESPONSE_CODE% %DURATION%";
    let record = "1791636936.250 10.0.0.1:4711 POST /a 200 7";
    assert_eq!(
        read(custom_format, record),
        "1791636936.250000 | 10.0.0.1:4711 - | POST /a | Some(200) Some(7000) | "
    );
}

#[test]
fn invalid_format_strings_are_rejected_with_the_reason() {
    for (format, expected_reason) in [
        ("apache:%h %r", "no time"),
        ("apache:%h %t %Q", "%Q is no directive"),
        ("apache:%t %{x", "never closed"),
        ("apache:%t %h%r", "side by side"),
        ("apache:%t %b", "no request"),
        ("apache:%t \"%r\" %{weeks}T", "must be s, ms or us"),
        ("nginx:$time_local $", "no variable"),
        ("nginx:$time_local ${request", "never closed"),
        ("envoy:[%START_TIME%] %REQ(:PATH", "never closed"),
        ("envoy:[%START_TIME%] 5% %REQ(:PATH)%", "stands alone"),
        ("iis", "allowed are common"),
    ] {
        let error = LogFormat::named(format).expect_err(format);
        assert!(
            error.to_string().contains(expected_reason),
            "{format}: {error}"
        );
    }
}

#[test]
fn json_records_are_decoded_by_a_field_map() {
    let fields = r#"{"time":"/ts","time-form":"millis","target":"/req/path","method":"/req/m","status":"/status",
        "took":"/ms","took-unit":"ms","peer":"/ip","headers":{"X-Customer":"/h/0"}}"#;
    let format = LogFormat::Json(Box::new(
        serde_json::from_str(fields).expect("the field map is valid"),
    ));
    let read = |record: &str| match format.read(record, &mut timestamps()) {
        Ok(raw) => summary(&raw),
        Err(reason) => format!("{reason:?}"),
    };
    let record = r#"{"ts":1791636936250,"req":{"path":"/a/b","m":"POST"},"status":"200","ms":1.5,"ip":"10.0.0.1","h":["real"]}"#;
    assert_eq!(
        read(record),
        "1791636936.250000 | 10.0.0.1 - | POST /a/b | Some(200) Some(1500) | x-customer=real"
    );
    assert_eq!(read(r#"{"req":{"path":"/a"}}"#), "NoTime");
    assert_eq!(read(r#"{"ts":"soon","req":{"path":"/a"}}"#), "BadTime");
    assert_eq!(
        read(r#"{"ts":1791636936250,"status":700,"req":{"path":"/a"}}"#),
        "BadStatus"
    );
    assert_eq!(read(r#"{"ts":1791636936250}"#), "BadRequest");
    assert_eq!(read(r#"[1]"#), "Malformed");
    assert_eq!(read(r#"{"ts":17916369"#), "Malformed");
}

/// Decodes the entries of a document that is pushed in chunks of `size` bytes.
fn entries(text: &str, size: usize) -> Vec<Result<String, Reason>> {
    let (mut splitter, mut out) = (Splitter::default(), Vec::new());
    for chunk in text.as_bytes().chunks(size) {
        splitter.push(chunk, |element| {
            out.push(match element {
                Element::Entry(text) => har::read(text, &mut timestamps()).map(|raw| summary(&raw)),
                Element::TooLong(_) => Err(Reason::TooLong),
            });
        });
    }
    if let Ok(Some(_)) = splitter.finish() {
        out.push(Err(Reason::Truncated));
    }
    out
}

#[test]
fn har_entries_of_an_aborted_session_are_decoded() {
    let entry = |further_fields: &str| {
        format!(
            r#"{{"startedDateTime":"2026-10-10T13:55:36.250+01:00","request":{{"method":"POST","url":"https://x.org/a/b?q=1",
            "headers":[{{"name":"X-Customer","value":"real"}}],"cookies":[{{"name":"who","value":"anna"}}],"bodySize":12}}{further_fields}}}"#
        )
    };
    let text = format!(
        r#"{{ "other" : {{"entries":[{{"no":1}}]}}, "log":{{"pages":[{{"entries":[1]}}],"entries" : [{},{},{},{},{{"time":1}}"#,
        entry(r#","time":12.5,"response":{"status":200,"content":{"text":"}]\\\"{"}}"#),
        entry(r#","time":-1,"response":{"status":0}"#),
        entry(""),
        entry(r#","time":5,"response":{"status":9999}"#),
    );
    let expected = |status: &str| {
        Ok(format!(
            "1791636936.250000 | - - | POST https://x.org/a/b?q=1 | {status} | x-customer=real cookie.who=anna"
        ))
    };
    let expected_entries = [
        expected("Some(200) Some(12500)"),
        expected("None None"),
        expected("None None"),
        Err(Reason::BadStatus),
        Err(Reason::NoTime),
    ];
    for size in [1, 2, 7, 64, 100_000] {
        assert_eq!(
            entries(&text, size),
            expected_entries,
            "in chunks of {size} bytes"
        );
    }
    let truncated_text = &text[..text.len() - 5];
    assert_eq!(
        entries(truncated_text, 64).last(),
        Some(&Err(Reason::Truncated))
    );
    assert!(
        Splitter::default().finish().is_err(),
        "a document without an array of entries is an error"
    );
}

/// Guards against memory use that grows with the bodies in a document, and against truncation that makes the JSON text of
/// an entry invalid.
#[test]
fn long_strings_in_an_entry_are_truncated_to_valid_json() {
    let body = |unit: &str| unit.repeat(60_000);
    for unit in ["x", "é", "\\u00e9x", "\\\"y", "a\\\\", "😀"] {
        let text = format!(
            r#"{{"log":{{"entries":[{{"startedDateTime":"2026-10-10T12:55:36Z","request":{{"url":"/a"}},"response":{{"status":200,"content":{{"text":"{}"}}}}}}]}}}}"#,
            body(unit)
        );
        let mut sizes = Vec::new();
        let mut splitter = Splitter::default();
        for chunk in text.as_bytes().chunks(1000) {
            splitter.push(chunk, |element| match element {
                Element::Entry(text) => {
                    assert!(
                        har::read(text, &mut timestamps()).is_ok(),
                        "{unit}: {:?}",
                        String::from_utf8_lossy(&text[text.len() - 60..])
                    );
                    sizes.push(text.len());
                }
                Element::TooLong(_) => panic!("the entry is too long, with a text of {unit}"),
            });
        }
        assert!(sizes.len() == 1 && sizes[0] < 10_000, "{unit}: {sizes:?}");
    }
    // A string of escapes only cannot be truncated: the entry is too long, and the next one is still read.
    let escapes = format!(
        r#"{{"log":{{"entries":[{{"a":"{}"}},{{"startedDateTime":"x"}}]}}}}"#,
        body(&"\\\\".repeat(20))
    );
    assert_eq!(
        entries(&escapes, 4096),
        [Err(Reason::TooLong), Err(Reason::BadTime)]
    );
}
