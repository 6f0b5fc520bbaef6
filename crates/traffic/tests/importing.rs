//! Whole imports: difficult cases in real logs, and the consistency of the counts.

use indigofold_traffic::access_log::LogFormat;
use indigofold_traffic::import::{ImportError, Imported, Options, import};
use indigofold_traffic::mapping::Mapping;
use indigofold_traffic::recording::Reader;
use indigofold_traffic::{Evidence, Job, Reason, Remark, detect::Kind};
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;

const MAPPING: &str = r#"{"version":1,"zone":"Europe/Lisbon","trusted":["10.0.0.0/8"],
    "networks":{"real":["192.0.2.0/24"],"gualtar":["198.51.100.0/25","2001:db8::/32"]},
    "class":[{"from":{"segment":0},"names":{"reserve":"reserve-stock","book":"book-delivery"}}],
    "subject":[{"from":{"segment":1}}],"parish":[{"from":{"header":"X-Customer"}},{"from":"network"}],
    "key":[{"from":{"header":"Idempotency-Key"}}],"id":[{"from":{"header":"X-Trace-Id"}}],
    "retry-mark":[{"from":{"header":"X-Second-Try"}}],"deadline-of":{"reserve-stock":5000},"guess":{"unmarked-too":true}}"#;
const HEADERS: &str = r#"apache:%h %l %u %t "%r" %>s %b %D "%{X-Trace-Id}i" "%{Idempotency-Key}i" "%{X-Second-Try}i""#;

struct TestDir(tempfile::TempDir);

impl TestDir {
    fn new() -> Self {
        TestDir(tempfile::tempdir().expect("the temporary directory is created"))
    }

    fn file(&self, name: &str, bytes: &[u8]) -> PathBuf {
        let path = self.0.path().join(name);
        std::fs::write(&path, bytes).expect("the file is created");
        path
    }
}

fn options(format: Option<&str>) -> Options {
    let format = format.map(|f| Kind::AccessLog(LogFormat::named(f).expect("the format is valid")));
    Options {
        format,
        mapping: Mapping::read(MAPPING).expect("the mapping is valid"),
        strict: false,
        max_bad: 1.0,
        seed: 1,
    }
}

fn import_jobs(paths: &[PathBuf], options: &Options) -> Result<(Imported, Vec<Job>), ImportError> {
    let mut bytes = Vec::new();
    let imported = import(paths, options, &mut bytes, &Arc::default())?;
    assert!(imported.tally.adds_up(), "{:?}", imported.tally);
    let mut reader = Reader::new(&bytes[..]).expect("the recording is valid");
    let jobs: Vec<Job> = reader
        .by_ref()
        .map(|j| j.expect("the line is a valid job"))
        .collect();
    assert_eq!(reader.end.as_ref(), Some(&imported.end));
    let retries: usize = jobs.iter().map(|j| j.retries.len()).sum();
    assert_eq!(
        (jobs.len() as u64, retries as u64),
        (imported.tally.taken, imported.tally.folded)
    );
    Ok((imported, jobs))
}

fn log_record(second: u32, path: &str, status_and_size: &str) -> String {
    format!(
        "192.0.2.7 - - [10/Oct/2026:13:{:02}:{:02} +0000] \"POST {path} HTTP/1.1\" {status_and_size}\n",
        second / 60,
        second % 60
    )
}

fn rejected_count(imported: &Imported, reason: Reason) -> u64 {
    imported.tally.rejected.get(&reason).map_or(0, |c| c.count)
}

fn remark_count(imported: &Imported, remark: Remark) -> u64 {
    imported.tally.remarks.get(&remark).map_or(0, |c| c.count)
}

/// Returns a log of eleven records: two jobs, and one record for each of nine rejection reasons.
fn log_with_rejected_records() -> Vec<u8> {
    let mut text = Vec::new();
    for bytes in [
        log_record(1, "/reserve/kit-1", "200 5").as_bytes(),
        b"\r\n# a comment\nthis is no log line\n",
        log_record(2, "/reserve/kit-2", "200 5").replace("POST", "GET").as_bytes(),
        log_record(3, "/other/kit-2", "200 5").as_bytes(),
        log_record(4, "/reserve/kit-3", "abc 5").as_bytes(),
        log_record(5, "/reserve/\0\0\0\0", "200 5").as_bytes(),
        log_record(6, &format!("/reserve/{}", "k".repeat(70_000)), "200 5").as_bytes(),
        &[&b"192.0.2.7 - S\xe3o [10/Oct/2026:13:00:07 +0000] \"POST /reserve/kit-4 HTTP/1.1\" 200 5\r\n"[..], &[]].concat(),
        &log_record(8, "/reserve/kit-5", "200 5").as_bytes()[..60],
    ] {
        text.extend(bytes);
    }
    text
}

#[test]
fn rejected_records_are_counted_by_reason_with_their_position() {
    let dir = TestDir::new();
    let path = dir.file("access.log", &log_with_rejected_records());
    let (imported, jobs) =
        import_jobs(&[path], &options(Some("common"))).expect("the import succeeds");
    let count_of = |reason| rejected_count(&imported, reason);
    assert_eq!((imported.tally.read, imported.tally.taken), (11, 2));
    let reasons = [
        Reason::Blank,
        Reason::Comment,
        Reason::Malformed,
        Reason::NotAJob,
        Reason::NoClass,
        Reason::BadStatus,
        Reason::Binary,
        Reason::TooLong,
        Reason::Truncated,
    ];
    assert_eq!(reasons.map(count_of), [1; 9], "{:?}", imported.tally);
    let example = &imported.tally.rejected[&Reason::Malformed].examples[0];
    assert_eq!(
        (example.file.as_str(), example.line, example.text.as_str()),
        ("access.log", 4, "this is no log line")
    );
    assert_eq!(remark_count(&imported, Remark::Latin1), 1);
    assert_eq!(remark_count(&imported, Remark::Spread), 2);
    assert_eq!(
        (&*jobs[0].class, &*jobs[0].parish, jobs[0].subject.as_str()),
        ("reserve-stock", "real", "kit-1")
    );
    assert_eq!((jobs[0].deadline, jobs[0].status), (Some(5_000_000), 200));
}

#[test]
fn a_strict_import_fails_at_the_first_bad_record() {
    let dir = TestDir::new();
    let path = dir.file("access.log", &log_with_rejected_records());
    let strict = Options {
        strict: true,
        ..options(Some("common"))
    };
    assert!(matches!(
        import_jobs(&[path], &strict),
        Err(ImportError::Strict {
            line: 4,
            reason: Reason::Malformed,
            ..
        })
    ));
}

#[test]
fn an_import_fails_when_too_many_records_are_bad() {
    let dir = TestDir::new();
    let path = dir.file("access.log", &log_with_rejected_records());
    let limited = Options {
        max_bad: 0.1,
        ..options(Some("common"))
    };
    assert!(matches!(
        import_jobs(&[path], &limited),
        Err(ImportError::TooManyBad {
            bad: 6,
            records: 11,
            ..
        })
    ));
}

#[test]
fn compressed_and_rotated_files_are_detected_by_content_and_read_in_time_order() {
    let dir = TestDir::new();
    let log_records = |from: u32, to: u32| {
        (from..to)
            .map(|s| log_record(s, &format!("/reserve/kit-{s}"), "200 5"))
            .collect::<String>()
    };
    let mut gz = flate2::write::GzEncoder::new(Vec::new(), flate2::Compression::fast());
    gz.write_all(log_records(0, 60).as_bytes())
        .expect("the write succeeds");
    let gz = gz.finish().expect("gzip compression succeeds");
    let zst =
        zstd::encode_all(log_records(60, 120).as_bytes(), 1).expect("zstd compression succeeds");
    // The newest file was rotated by copying: its first lines are in the older file as well.
    let newest = log_records(110, 180);
    let paths = [
        dir.file("a.log", newest.as_bytes()),
        dir.file("b.txt", &zst),
        dir.file("c", &gz),
    ];
    let (imported, jobs) = import_jobs(&paths, &options(None)).expect("the import succeeds");
    assert_eq!(
        (jobs.len(), rejected_count(&imported, Reason::Duplicate)),
        (180, 10)
    );
    let subjects: Vec<String> = (0..180).map(|s| format!("kit-{s}")).collect();
    assert!(jobs.iter().map(|j| &j.subject).eq(subjects.iter()));
    // From a file that ends in the middle of compressed data, the records before that are imported.
    let half_file = dir.file("half.gz", &gz[..gz.len() / 2]);
    let (imported, jobs) =
        import_jobs(&[half_file], &options(Some("common"))).expect("the import succeeds");
    assert!(
        !jobs.is_empty() && jobs.len() < 60 && rejected_count(&imported, Reason::Truncated) == 1,
        "{}",
        jobs.len()
    );
}

#[test]
fn timestamps_of_one_second_are_spread_in_log_order() {
    let dir = TestDir::new();
    let text: String = (0..400)
        .map(|n| log_record(n / 100, &format!("/reserve/kit-{n}"), "200 5"))
        .collect();
    let path = dir.file("a.log", text.as_bytes());
    let jobs = import_jobs(std::slice::from_ref(&path), &options(None))
        .expect("the import succeeds")
        .1;
    let subjects: Vec<String> = (0..400).map(|n| format!("kit-{n}")).collect();
    assert!(
        jobs.iter().map(|j| &j.subject).eq(subjects.iter()),
        "the order of the log is kept"
    );
    let first_second = jobs[0].at / 1_000_000;
    for (n, job) in jobs.iter().enumerate() {
        assert_eq!(
            job.at / 1_000_000 - first_second,
            n as i64 / 100,
            "job {n} stays within its second"
        );
    }
    let offsets: Vec<i64> = jobs.iter().map(|j| j.at % 1_000_000).collect();
    let mean = offsets.iter().sum::<i64>() / 400;
    assert!((400_000..600_000).contains(&mean), "{mean}");
    assert_eq!(
        jobs,
        import_jobs(std::slice::from_ref(&path), &options(None))
            .expect("the import succeeds")
            .1,
        "the same seed gives the same times"
    );
    let other_seed = Options {
        seed: 2,
        ..options(None)
    };
    assert_ne!(
        jobs,
        import_jobs(&[path], &other_seed)
            .expect("the import succeeds")
            .1
    );
}

#[test]
fn clock_steps_gaps_and_reordering_are_remarked_and_the_import_continues() {
    let dir = TestDir::new();
    let at = |s: u32| log_record(s, &format!("/reserve/kit-{s}"), "200 5");
    let text = [at(200), at(201), at(199), at(20), at(21), at(3500)].concat();
    let (imported, jobs) = import_jobs(&[dir.file("a.log", text.as_bytes())], &options(None))
        .expect("the import succeeds");
    let seconds: Vec<String> = jobs.iter().map(|j| j.subject.replace("kit-", "")).collect();
    assert_eq!(seconds, ["20", "21", "199", "200", "201", "3500"]);
    assert_eq!(
        [Remark::ClockBack, Remark::Reordered, Remark::Gap].map(|r| remark_count(&imported, r)),
        [1, 1, 1]
    );
}

/// Returns a log of failed attempts and retries, with and without key and marker. The times are in seconds.
fn log_with_retries() -> String {
    let at = |s: u32, path: &str, status: u32, us: u32, id: &str, key: &str, retry_marker: &str| {
        log_record(
            s,
            path,
            &format!("{status} 0 {us} \"{id}\" \"{key}\" \"{retry_marker}\""),
        )
    };
    [
        at(1, "/book/kit-1", 503, 1000, "a1", "k1", "-"),
        at(2, "/book/kit-1", 503, 1000, "a2", "k1", "1"),
        at(3, "/book/kit-1", 200, 1000, "a3", "k1", "-"), // retry by its key, although not marked
        at(4, "/book/kit-1", 200, 1000, "a4", "k2", "-"), // another key: another job
        at(10, "/reserve/kit-2", 503, 1000, "b1", "-", "-"),
        at(12, "/reserve/kit-2", 200, 1000, "b2", "-", "1"),
        at(20, "/reserve/kit-3", 500, 1000, "c1", "-", "-"),
        at(22, "/reserve/kit-3", 200, 1000, "c2", "-", "-"), // guessed retry
        at(30, "/reserve/kit-4", 200, 1000, "d1", "-", "-"),
        at(32, "/reserve/kit-4", 200, 1000, "d2", "-", "-"), // the earlier attempt succeeded: another job
        at(40, "/reserve/kit-5", 503, 1000, "e1", "-", "-"),
        at(50, "/reserve/kit-5", 200, 1000, "e2", "-", "-"), // too late to be guessed as a retry
        at(60, "/reserve/kit-6", 200, 1000, "f1", "-", "1"), // marked, but its first attempt is missing
    ]
    .concat()
}

#[test]
fn retries_are_folded_by_key_marker_and_guess() {
    let dir = TestDir::new();
    let (imported, jobs) = import_jobs(
        &[dir.file("a.log", log_with_retries().as_bytes())],
        &options(Some(HEADERS)),
    )
    .expect("the import succeeds");
    let actual_jobs: Vec<(String, Vec<Evidence>)> = jobs
        .iter()
        .map(|j| {
            (
                j.subject.clone(),
                j.retries.iter().map(|a| a.evidence).collect(),
            )
        })
        .collect();
    let expected_jobs = [
        ("kit-1", vec![Evidence::Key, Evidence::Key]),
        ("kit-1", vec![]),
        ("kit-2", vec![Evidence::Marker]),
        ("kit-3", vec![Evidence::Guess]),
        ("kit-4", vec![]),
        ("kit-4", vec![]),
        ("kit-5", vec![]),
        ("kit-5", vec![]),
        ("kit-6", vec![]),
    ];
    assert_eq!(actual_jobs, expected_jobs.map(|(s, t)| (s.to_string(), t)));
    assert_eq!(remark_count(&imported, Remark::Orphan), 1);
    let confidence = |n: usize| jobs[n].retries[0].confidence;
    assert!(
        confidence(0) > 0.99
            && confidence(2) > 0.99
            && confidence(3) > 0.5
            && confidence(3) < confidence(2),
        "a guessed retry has a lower confidence than a marked one"
    );
}

#[test]
fn a_truncated_har_sorted_by_page_is_imported_in_time_order() {
    let dir = TestDir::new();
    let entry = |s: u32, status: u32| {
        format!(
            r#"{{"startedDateTime":"2026-10-10T13:00:{s:02}.000Z","time":5,"request":{{"method":"POST","url":"http://x/reserve/kit-{s}",
            "headers":[{{"name":"x-customer","value":"palmeira"}}]}},"response":{{"status":{status}}}}}"#
        )
    };
    let order = [30, 10, 20, 50, 40];
    let entries: Vec<String> = order
        .iter()
        .map(|s| entry(*s, if *s == 20 { 0 } else { 200 }))
        .collect();
    let text = format!(
        r#"{{"log":{{"version":"1.2","entries":[{},{}"#,
        entries.join(","),
        &entry(59, 200)[..40]
    );
    let (imported, jobs) = import_jobs(&[dir.file("x.har", text.as_bytes())], &options(None))
        .expect("the import succeeds");
    let subjects: Vec<&str> = jobs.iter().map(|j| j.subject.as_str()).collect();
    assert_eq!(subjects, ["kit-10", "kit-20", "kit-30", "kit-40", "kit-50"]);
    assert!(jobs.iter().all(|j| &*j.parish == "palmeira"));
    assert_eq!((jobs[1].status, jobs[1].took), (0, None));
    assert_eq!(
        (
            rejected_count(&imported, Reason::Truncated),
            remark_count(&imported, Remark::NoAnswer)
        ),
        (1, 1)
    );
    let document_without_entries = dir.file("y.har", br#"{"log":{"pages":[]}}"#);
    assert!(matches!(
        import_jobs(&[document_without_entries], &options(None)),
        Err(ImportError::Format { .. })
    ));
}

#[test]
fn local_times_stay_monotonic_across_a_daylight_saving_change() {
    let dir = TestDir::new();
    let fields = r#""json":{"time":"/t","target":"/p","method":"/m"}"#;
    let mapping = MAPPING.replacen("\"version\":1,", &format!("\"version\":1,{fields},"), 1);
    let times = [
        "00:59:59", "01:30:00", "01:59:59", "01:00:00", "01:30:00", "02:00:00",
    ];
    let text: String = times
        .iter()
        .map(|t| format!("{{\"t\":\"2026-10-25T{t}\",\"p\":\"/reserve/a\",\"m\":\"POST\"}}\n"))
        .collect();
    let options = Options {
        mapping: Mapping::read(&mapping).expect("the mapping is valid"),
        ..options(None)
    };
    let (imported, jobs) =
        import_jobs(&[dir.file("a.json", text.as_bytes())], &options).expect("the import succeeds");
    let minutes: Vec<i64> = jobs
        .windows(2)
        .map(|w| (w[1].at / 1_000_000 + 1) / 60 - (w[0].at / 1_000_000 + 1) / 60)
        .collect();
    assert_eq!(
        minutes.iter().sum::<i64>(),
        120,
        "two hours pass between 00:59:59 and 02:00:00: {minutes:?}"
    );
    assert!(minutes.iter().all(|m| *m >= 0));
    assert_eq!(remark_count(&imported, Remark::Dst), 4);
}

#[test]
fn an_invalid_mapping_is_rejected_with_all_its_errors() {
    let error = |text: &str| {
        Mapping::read(text)
            .expect_err("the mapping is invalid")
            .to_string()
    };
    let e = error(r#"{"version":1,"clas":[],"class":[{"from":"network"}]}"#);
    assert!(e.contains("clas"), "{e}");
    let e = error(
        r#"{"version":1,"zone":"Braga","trusted":["10.0.0.1/8"],"networks":{"a":["1.2.3.0/24"],"b":["1.2.3.0/24"]},
        "class":[{"from":{"path":"("}}],"parish":[{"from":"network"}],"id-kept":true}"#,
    );
    for expected in [
        "/zone",
        "/trusted/0",
        "/networks/b/0",
        "named both",
        "/class/0",
        "/id-kept",
    ] {
        assert!(e.contains(expected), "{expected}: {e}");
    }
    assert!(error(r#"{"version":2,"class":[{"from":"user"}]}"#).contains("/version"));
    assert!(error(r#"{"version":1,"class":[]}"#).contains("/class"));
    assert!(error(r#"{"version":1,"class":[{"from":"network"}]}"#).contains("no 'networks'"));
    assert!(error("{").contains("no JSON"));
}

/// Guards against placing all records of one file before those of the other within each second, which creates bursts that
/// did not exist.
#[test]
fn records_of_two_files_in_one_second_are_interleaved() {
    let dir = TestDir::new();
    let log_records = |name: &str| {
        (0..200)
            .map(|n| log_record(5, &format!("/reserve/{name}-{n}"), "200 5"))
            .collect::<String>()
    };
    let paths = [
        dir.file("a.log", log_records("a").as_bytes()),
        dir.file("b.log", log_records("b").as_bytes()),
    ];
    let jobs = import_jobs(&paths, &options(None))
        .expect("the import succeeds")
        .1;
    for name in ["a-", "b-"] {
        let offsets: Vec<i64> = jobs
            .iter()
            .filter(|j| j.subject.starts_with(name))
            .map(|j| j.at % 1_000_000)
            .collect();
        assert_eq!(offsets.len(), 200);
        let mean = offsets.iter().sum::<i64>() / 200;
        assert!(
            (400_000..600_000).contains(&mean),
            "mean offset of {name}: {mean}"
        );
    }
}

/// Guards against counting a remark for a rejected record, or for the record after it.
#[test]
fn remarks_are_counted_only_for_accepted_records() {
    let dir = TestDir::new();
    let latin = [
        b"192.0.2.7 - S\xe3o [10/Oct/2026:13:00:07 +0000] \"GET /reserve/kit-4 HTTP/1.1\" 200 5\n",
        log_record(8, "/reserve/kit-5", "200 5").as_bytes(),
    ]
    .concat();
    let (imported, _) = import_jobs(&[dir.file("a.log", &latin)], &options(Some("common")))
        .expect("the import succeeds");
    assert_eq!(
        (
            remark_count(&imported, Remark::Latin1),
            rejected_count(&imported, Reason::NotAJob)
        ),
        (0, 1)
    );
    let fields = r#""json":{"time":"/t","target":"/p","method":"/m"}"#;
    let mapping = MAPPING.replacen("\"version\":1,", &format!("\"version\":1,{fields},"), 1);
    let text = concat!(
        r#"{"t":"2026-10-25T01:30:00","p":"/reserve/a","m":"GET"}"#,
        "\n",
        r#"{"t":"2026-10-25T03:30:00","p":"/reserve/a","m":"POST"}"#,
        "\n"
    );
    let options = Options {
        mapping: Mapping::read(&mapping).expect("the mapping is valid"),
        ..options(None)
    };
    let (imported, jobs) =
        import_jobs(&[dir.file("a.json", text.as_bytes())], &options).expect("the import succeeds");
    assert_eq!((jobs.len(), remark_count(&imported, Remark::Dst)), (1, 0));
}
