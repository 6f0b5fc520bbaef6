//! Throughput of decoding each format and of whole imports: `cargo bench -p indigofold-traffic`.

use divan::counter::{BytesCount, ItemsCount};
use divan::{Bencher, black_box};
use indigofold_traffic::access_log::LogFormat;
use indigofold_traffic::detect::Kind;
use indigofold_traffic::har::{self, Element, Splitter};
use indigofold_traffic::import::{Options, import};
use indigofold_traffic::mapping::{Mapping, NameInterner};
use indigofold_traffic::timestamp::Reader;
use jiff::tz::TimeZone;
use std::io::Write;
use std::sync::Arc;

fn main() {
    divan::main();
}

const RECORDS: usize = 20_000;
const MAPPING: &str = r#"{"version":1,"networks":{"real":["10.0.0.0/8"]},"parish":[{"from":"network"}],
    "class":[{"from":{"segment":0}}],"subject":[{"from":{"segment":1}}],"deadline-of":{"reserve-stock":5000}}"#;
const JSON: &str = r#"{"time":"/ts","time-form":"seconds","target":"/path","method":"/method","status":"/status","took":"/took",
    "peer":"/ip","headers":{"x-customer":"/customer"}}"#;

/// Returns the text of a log or HAR document with [`RECORDS`] records.
fn log_text(format: &str) -> String {
    let mut out = String::new();
    for n in 0..RECORDS {
        let (s, kit, ip) = (n / 300, n % 977, n % 250);
        let (m, s) = (s / 60, s % 60);
        let record = match format {
            "combined" | "common" | "nginx" => {
                let suffix = if format == "common" {
                    ""
                } else {
                    " \"-\" \"office/1.0 (parish till; build 2026.11)\""
                };
                format!(
                    "10.0.0.{ip} - - [10/Oct/2026:13:{m:02}:{s:02} +0000] \"POST /reserve-stock/kit-{kit} HTTP/1.1\" 200 64{suffix}"
                )
            }
            "envoy" => format!(
                "[2026-10-10T13:{m:02}:{s:02}.250Z] \"POST /reserve-stock/kit-{kit} HTTP/1.1\" 200 - via_upstream - \"-\" 128 64 \
                 120 118 \"10.0.0.{ip}\" \"office/1.0\" \"id-{n}\" \"jobs.internal\" \"127.0.0.1:8443\""
            ),
            "json" => format!(
                "{{\"ts\":{}.250,\"ip\":\"10.0.0.{ip}\",\"method\":\"POST\",\"path\":\"/reserve-stock/kit-{kit}\",\"status\":200,\
                 \"took\":0.12,\"customer\":\"real\"}}",
                1_791_637_000 + n / 300
            ),
            _ => format!(
                "{{\"startedDateTime\":\"2026-10-10T13:{m:02}:{s:02}.250Z\",\"time\":12.5,\"request\":{{\"method\":\"POST\",\
                 \"url\":\"http://jobs.internal/reserve-stock/kit-{kit}\",\"httpVersion\":\"HTTP/1.1\",\"headers\":[{{\"name\":\
                 \"X-Customer\",\"value\":\"real\"}}],\"cookies\":[],\"bodySize\":2}},\"response\":{{\"status\":200,\"content\":\
                 {{\"size\":64,\"text\":\"{}\"}}}}}},",
                "made ".repeat(40)
            ),
        };
        out.push_str(&record);
        out.push('\n');
    }
    match format {
        "har" => format!("{{\"log\":{{\"version\":\"1.2\",\"entries\":[{out}{{}}]}}}}"),
        _ => out,
    }
}

fn log_format(name: &str) -> LogFormat {
    match name {
        "json" => LogFormat::Json(Box::new(
            serde_json::from_str(JSON).expect("the field map is valid"),
        )),
        name => LogFormat::named(name).expect("the format is valid"),
    }
}

/// Decodes lines into records, without mapping them.
#[divan::bench(args = ["common", "combined", "nginx", "envoy", "json"])]
fn decode(bencher: Bencher<'_, '_>, name: &str) {
    let (text, format) = (log_text(name), log_format(name));
    bencher
        .counter(BytesCount::new(text.len()))
        .counter(ItemsCount::new(RECORDS))
        .bench_local(|| {
            let mut timestamps = Reader::new(TimeZone::UTC);
            text.lines()
                .filter(|line| black_box(format.read(line, &mut timestamps)).is_ok())
                .count()
        });
}

/// Decodes a HAR document into records.
#[divan::bench]
fn decode_har(bencher: Bencher<'_, '_>) {
    let text = log_text("har");
    bencher
        .counter(BytesCount::new(text.len()))
        .counter(ItemsCount::new(RECORDS))
        .bench_local(|| {
            let (mut splitter, mut timestamps, mut decoded) =
                (Splitter::default(), Reader::new(TimeZone::UTC), 0);
            for chunk in text.as_bytes().chunks(64 * 1024) {
                splitter.push(chunk, |element| {
                    if let Element::Entry(text) = element {
                        decoded += usize::from(black_box(har::read(text, &mut timestamps)).is_ok());
                    }
                });
            }
            decoded
        });
}

/// Maps decoded records to jobs.
#[divan::bench]
fn map_record(bencher: Bencher<'_, '_>) {
    let (text, format) = (log_text("combined"), log_format("combined"));
    let mapping = Mapping::read(MAPPING).expect("the mapping is valid");
    let mut timestamps = Reader::new(TimeZone::UTC);
    let raws: Vec<_> = text
        .lines()
        .filter_map(|line| format.read(line, &mut timestamps).ok())
        .collect();
    bencher.counter(ItemsCount::new(RECORDS)).bench_local(|| {
        let mut names = NameInterner::default();
        raws.iter()
            .filter(|raw| black_box(mapping.map_record(raw, &mut names)).is_ok())
            .count()
    });
}

/// Imports a whole file; the recording is discarded.
#[divan::bench(args = ["common", "combined", "nginx", "envoy", "json", "har"])]
fn full_import(bencher: Bencher<'_, '_>, name: &str) {
    let text = log_text(name);
    let mut file = tempfile::NamedTempFile::new().expect("the file is created");
    file.write_all(text.as_bytes()).expect("the write succeeds");
    let format = match name {
        "har" => Kind::Har,
        name => Kind::AccessLog(log_format(name)),
    };
    let mapping = Mapping::read(MAPPING).expect("the mapping is valid");
    let options = Options {
        format: Some(format),
        mapping,
        strict: false,
        max_bad: 1.0,
        seed: 1,
    };
    let paths = [file.path().to_path_buf()];
    bencher
        .counter(BytesCount::new(text.len()))
        .counter(ItemsCount::new(RECORDS))
        .bench_local(|| {
            import(&paths, &options, std::io::sink(), &Arc::default())
                .expect("the import succeeds")
                .tally
                .taken
        });
}
