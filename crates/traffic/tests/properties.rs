//! Properties for arbitrary input: decoders terminate in bounded memory, counts add up, and recordings round-trip.

use indigofold_traffic::access_log::LogFormat;
use indigofold_traffic::har::{self, Element, MAX_ENTRY_BYTES, Splitter};
use indigofold_traffic::import::{Options, import};
use indigofold_traffic::job::{Evidence, Job, Retry};
use indigofold_traffic::mapping::Mapping;
use indigofold_traffic::ops::{Factor, Scaled};
use indigofold_traffic::order::{Attempt, Sorter, Spread};
use indigofold_traffic::recording::{Header, Reader, Writer};
use indigofold_traffic::timestamp;
use jiff::tz::TimeZone;
use proptest::prelude::*;
use std::io::Write;
use std::sync::Arc;

fn job() -> impl Strategy<Value = Job> {
    let retry = (
        0..5_000_000i64,
        0u16..600,
        proptest::option::of(0..9_000_000i64),
        0.0f32..1.0,
    );
    let texts = (
        "[a-z-]{1,12}",
        "[a-z-]{0,12}",
        any::<String>(),
        proptest::option::of(any::<String>()),
    );
    let counts = (
        0..4_000_000_000_000_000i64,
        any::<u64>(),
        any::<u64>(),
        0u16..600,
    );
    (texts, counts, proptest::collection::vec(retry, 0..4)).prop_map(
        |((class, parish, subject, key), (at, bytes, client, status), retries)| Job {
            at,
            class: class.into(),
            parish: parish.into(),
            subject,
            key,
            deadline: (bytes % 3 == 0).then_some(5_000_000),
            bytes,
            slots: (bytes % 5 == 0).then_some(2.0),
            client,
            status,
            took: (status > 0).then_some(i64::from(status)),
            retries: retries
                .into_iter()
                .map(|(d, status, took, confidence)| Retry {
                    at: at + d,
                    status,
                    took,
                    evidence: Evidence::Guess,
                    confidence,
                })
                .collect(),
        },
    )
}

fn attempt_of(job: Job, seq: u64, resolution: i64) -> Attempt {
    Attempt {
        job,
        resolution,
        seq,
        id: 0,
        marked: false,
        file: 0,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn access_log_decoders_terminate_on_any_input(text in any::<String>(), line in "[ -~]{0,200}", n in 0usize..5) {
        let name = ["common", "combined", "nginx", "envoy", "apache:%{%s}t %{X}i %U%q %D \"%r\" %{ms}T"][n];
        let format = LogFormat::named(name).expect("the format is valid");
        let mut timestamps = timestamp::Reader::new(TimeZone::UTC);
        let _ = format.read(&text, &mut timestamps);
        let _ = format.read(&line, &mut timestamps);
    }

    #[test]
    fn format_strings_compile_or_are_rejected(text in "[%$(){}\\\\a-zA-Z:!,<> \"?.-]{0,60}") {
        for server in ["apache", "nginx", "envoy"] {
            let _ = LogFormat::named(&format!("{server}:{text}"));
        }
    }

    /// Bytes of a valid log are changed, removed or inserted: each line is still either accepted or rejected, and counted.
    #[test]
    fn every_record_of_a_damaged_log_is_counted(edits in proptest::collection::vec((0usize..4000, 0usize..3, any::<u8>()), 0..12)) {
        let mut bytes: Vec<u8> = (0..24).flat_map(|n| {
            format!("192.0.2.{n} - - [10/Oct/2026:13:55:{n:02} +0000] \"POST /reserve/kit-{n} HTTP/1.1\" 200 5 \"-\" \"é\"\n").into_bytes()
        }).collect();
        for (position, kind, byte) in edits {
            let position = position % bytes.len();
            match kind {
                0 => bytes[position] = byte,
                1 => _ = bytes.remove(position),
                _ => bytes.insert(position, byte),
            }
        }
        let mut file = tempfile::NamedTempFile::new().expect("the file is created");
        file.write_all(&bytes).expect("the write succeeds");
        let mapping = Mapping::read(r#"{"version":1,"class":[{"from":{"segment":0}}],"subject":[{"from":{"segment":1}}]}"#).expect("the mapping is valid");
        let format = Some(indigofold_traffic::detect::Kind::AccessLog(LogFormat::named("combined").expect("the format is valid")));
        let options = Options { format, mapping, strict: false, max_bad: 1.0, seed: 1 };
        let imported = import(&[file.path().to_path_buf()], &options, std::io::sink(), &Arc::default()).expect("at least one line is undamaged");
        prop_assert!(imported.tally.adds_up());
        let lines = bytes.split(|b| *b == b'\n').count() as u64 - u64::from(bytes.ends_with(b"\n"));
        prop_assert_eq!(imported.tally.read, lines);
    }

    #[test]
    fn har_entries_do_not_depend_on_the_chunk_size(text in any::<String>(), tail in any::<Vec<u8>>(), size in 1usize..50) {
        let body = serde_json::to_string(&text).expect("the string is serialized");
        let mut bytes = format!("{{\"log\":{{\"entries\":[{{\"a\":{body}}},{{\"b\":[{body}]}}]}}}}").into_bytes();
        bytes.extend(tail);
        let read = |size: usize| {
            let (mut splitter, mut all) = (Splitter::default(), Vec::new());
            for chunk in bytes.chunks(size) {
                splitter.push(chunk, |element| if let Element::Entry(text) = element { all.push(text.to_vec()) });
            }
            all
        };
        let complete = read(bytes.len());
        prop_assert_eq!(complete.len(), 2);
        prop_assert_eq!(read(size), complete);
    }

    #[test]
    fn har_decoder_terminates_on_any_input_in_bounded_memory(bytes in any::<Vec<u8>>(), opening in "[\\[{\"a:,\\\\]{0,300}") {
        let mut splitter = Splitter::default();
        let mut timestamps = timestamp::Reader::new(TimeZone::UTC);
        for chunk in [&b"{\"log\":{\"entries\":["[..], opening.as_bytes(), &bytes] {
            splitter.push(chunk, |element| match element {
                Element::Entry(text) => {
                    assert!(text.len() <= MAX_ENTRY_BYTES);
                    let _ = har::read(text, &mut timestamps);
                }
                Element::TooLong(text) => assert!(text.len() <= MAX_ENTRY_BYTES),
            });
        }
        let _ = splitter.finish();
    }

    #[test]
    fn recordings_round_trip_and_truncation_is_detected(mut jobs in proptest::collection::vec(job(), 0..20)) {
        jobs.sort_by_key(|j| j.at);
        let mut writer = Writer::new(Vec::new(), &Header::new(vec!["x".into()], 3)).expect("the header is written");
        jobs.iter().for_each(|j| writer.write(j).expect("the write succeeds"));
        let (bytes, end) = writer.finish(None).expect("the write succeeds");
        let mut reader = Reader::new(&bytes[..]).expect("the recording is valid");
        let read_jobs: Vec<Job> = reader.by_ref().map(|j| j.expect("the line is a valid job")).collect();
        prop_assert_eq!(reader.end, Some(end));
        prop_assert_eq!(&read_jobs, &jobs);
        // Truncation at any length is detected.
        for length in (0..bytes.len() - 1).step_by(97) {
            let read_jobs = Reader::new(&bytes[..length]).map(Iterator::collect::<Result<Vec<Job>, _>>);
            prop_assert!(!matches!(read_jobs, Ok(Ok(_))), "truncated to {length} bytes without an error");
        }
    }

    #[test]
    fn arbitrary_recordings_are_rejected(bytes in any::<Vec<u8>>()) {
        let text = [&b"{\"format\":\"indigofold-recording\",\"version\":1}\n"[..], &bytes].concat();
        if let Ok(reader) = Reader::new(&text[..]) {
            prop_assert!(reader.last().is_none_or(|last| last.is_err()));
        }
    }

    /// Attempts are ordered by time whatever their input order and however small the capacity in memory.
    #[test]
    fn sorting_with_spilled_runs_orders_by_time(jobs in proptest::collection::vec(job(), 0..60), capacity in 1usize..8) {
        let mut sorter = Sorter::new(capacity);
        let mut expected_order: Vec<(i64, u64)> = Vec::new();
        for (n, job) in jobs.into_iter().enumerate() {
            expected_order.push((job.at, n as u64));
            sorter.push(attempt_of(job, n as u64, 1)).expect("the temporary file is accessible");
        }
        expected_order.sort_unstable();
        let actual_order: Vec<(i64, u64)> = sorter.finish().expect("the temporary file is accessible").map(|attempt| attempt.map(|a| (a.job.at, a.seq)).expect("the run is readable")).collect();
        prop_assert_eq!(actual_order, expected_order);
    }

    #[test]
    fn spreading_keeps_the_order_within_the_resolution(timestamps in proptest::collection::vec((0i64..20, 0usize..3), 1..80), seed in any::<u64>()) {
        let widths = [1, 1_000, 1_000_000];
        let mut attempts: Vec<Attempt> = timestamps.iter().enumerate().map(|(n, (s, w))| {
            let (at, resolution) = (s * 1_000_000, widths[*w]);
            let job = Job { at, class: "c".into(), parish: "".into(), subject: String::new(), key: None, deadline: None, bytes: at as u64,
                slots: None, client: 0, status: 0, took: None, retries: Vec::new() };
            attempt_of(job, n as u64, resolution)
        }).collect();
        attempts.sort_by_key(|a| (a.job.at, a.seq));
        let spread: Vec<Attempt> = Spread::new(attempts.into_iter().map(Ok), seed).map(|a| a.expect("the input has no errors")).collect();
        prop_assert_eq!(spread.len(), timestamps.len());
        prop_assert!(spread.windows(2).all(|w| w[0].job.at <= w[1].job.at));
        for attempt in &spread {
            let offset = attempt.job.at - attempt.job.bytes as i64; // `bytes` holds the original time
            prop_assert!((0..attempt.resolution).contains(&offset));
        }
    }

    #[test]
    fn scaling_keeps_order_retries_and_rate_profile(mut jobs in proptest::collection::vec(job(), 1..60), factor in 0.1f64..4.0, seed in any::<u64>()) {
        jobs.iter_mut().for_each(|j| j.at %= 60_000_000);
        jobs.sort_by_key(|j| j.at);
        let scaled: Vec<Job> = Scaled::new(jobs.iter().cloned(), Factor::Always(factor), 1_000_000, seed).collect();
        prop_assert!(scaled.windows(2).all(|w| w[0].at <= w[1].at));
        prop_assert!(scaled.len() <= jobs.len() * factor.ceil() as usize);
        if factor >= 1.0 {
            prop_assert!(scaled.len() >= jobs.len());
        }
        for j in &scaled {
            // Each scaled job is derived from a job of the same second, with its retries at the same distances.
            let is_original = |o: &&Job| {
                o.at / 1_000_000 == j.at / 1_000_000 && o.client == j.client && o.retries.len() == j.retries.len()
                    && o.retries.iter().zip(&j.retries).all(|(a, b)| a.at - o.at == b.at - j.at)
            };
            prop_assert!(jobs.iter().find(is_original).is_some());
        }
    }
}
