//! The `import` command: converts HAR files and access logs into a recording.

use crate::Bad;
use crate::cli::Import;
use crate::files::{bar, create_temporary, read_text};
use indicatif::ProgressBar;
use indigofold_traffic::Tally;
use indigofold_traffic::access_log::LogFormat;
use indigofold_traffic::detect::Kind;
use indigofold_traffic::import::{ImportError, Options, import};
use indigofold_traffic::mapping::Mapping;
use serde_json::{Value, json};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time between two updates of the progress bar.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

pub(crate) fn import_files(args: &Import, json: bool) -> Result<ExitCode, Bad> {
    let text = read_text(&args.mapping)?;
    let mapping = Mapping::read(&text).map_err(|e| format!("{}:\n{e}", args.mapping.display()))?;
    let options = Options {
        format: log_format(args.format.as_deref(), &mapping)?,
        mapping,
        strict: args.strict,
        max_bad: args.max_bad,
        seed: args.seed,
    };
    let read = Arc::new(AtomicU64::new(0));
    let progress = Progress::start(&args.files, read.clone());
    let (out, unfinished) = create_temporary(&args.out)?;
    let begin = Instant::now();
    let imported = import(&args.files, &options, out, &read);
    progress.finish();
    let imported = match imported {
        Ok(imported) => imported,
        Err(error) => {
            let _ = std::fs::remove_file(&unfinished);
            if let ImportError::NoJobs { tally, .. } = &error {
                print_tally(tally, json)?;
            }
            return Err(error.into());
        }
    };
    std::fs::rename(&unfinished, &args.out)?;
    let seconds = begin.elapsed().as_secs_f64();
    let bytes = read.load(Ordering::Relaxed) as f64;
    tracing::info!(seconds, mb_per_s = bytes / 1e6 / seconds, out = %args.out.display(), "imported");
    print_tally(&imported.tally, json)?;
    Ok(ExitCode::SUCCESS)
}

/// Parses the format argument; `None` means that the format of each file is detected.
fn log_format(name: Option<&str>, mapping: &Mapping) -> Result<Option<Kind>, Bad> {
    Ok(match name {
        None => None,
        Some("har") => Some(Kind::Har),
        Some("recording") => Some(Kind::Recording),
        Some("json") => {
            let fields = mapping.file.json.clone();
            let fields =
                fields.ok_or("format json requires the key 'json' in the mapping file, which states the names of the fields")?;
            Some(Kind::AccessLog(LogFormat::Json(Box::new(fields))))
        }
        Some(name) => Some(Kind::AccessLog(LogFormat::named(name)?)),
    })
}

/// The progress bar of an import, and the thread that updates it.
struct Progress {
    bar: ProgressBar,
    done: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Progress {
    /// Starts the progress bar; `read` is the number of bytes of the files read so far.
    fn start(files: &[PathBuf], read: Arc<AtomicU64>) -> Self {
        let sizes = files.iter().filter_map(|file| file.metadata().ok());
        let bar = bar(sizes.map(|m| m.len()).sum(), "reading");
        let done = Arc::new(AtomicBool::new(false));
        let thread = (!bar.is_hidden()).then(|| {
            let (done, bar) = (done.clone(), bar.clone());
            std::thread::spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    bar.set_position(read.load(Ordering::Relaxed));
                    std::thread::sleep(PROGRESS_INTERVAL);
                }
            })
        });
        Progress { bar, done, thread }
    }

    fn finish(self) {
        self.done.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread {
            let _ = thread.join();
        }
        self.bar.finish_and_clear();
    }
}

fn print_tally(tally: &Tally, json: bool) -> Result<(), Bad> {
    if json {
        say!("{}", serde_json::to_string(tally)?);
        return Ok(());
    }
    say!(
        "read {} = taken {} + folded {} + rejected {}",
        tally.read,
        tally.taken,
        tally.folded,
        tally.rejected()
    );
    let name = |v: Value| v.as_str().unwrap_or("").to_string();
    for (what, list) in [
        ("rejected", json!(tally.rejected)),
        ("remarked", json!(tally.remarks)),
    ] {
        for (reason, count) in list.as_object().into_iter().flatten() {
            say!("{what} {reason}: {}", count["count"]);
            for e in count["examples"].as_array().into_iter().flatten() {
                say!(
                    "    {}:{}: {}",
                    name(e["file"].clone()),
                    e["line"],
                    name(e["text"].clone())
                );
            }
        }
    }
    Ok(())
}
