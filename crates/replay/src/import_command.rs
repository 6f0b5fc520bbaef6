//! `import`: a recording made of HAR files and access logs.

use crate::Bad;
use crate::cli::Import;
use crate::files::{bar, create, text_of};
use indigofold_traffic::Tally;
use indigofold_traffic::access_log::LogFormat;
use indigofold_traffic::detect::Kind;
use indigofold_traffic::import::{ImportError, Options, import};
use indigofold_traffic::mapping::Mapping;
use serde_json::{Value, json};
use std::io::Write;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

pub fn import_files(args: &Import, json: bool) -> Result<ExitCode, Bad> {
    let text = text_of(&args.mapping)?;
    let mapping = Mapping::read(&text).map_err(|e| format!("{}:\n{e}", args.mapping.display()))?;
    let format = match args.format.as_deref() {
        None => None,
        Some("har") => Some(Kind::Har),
        Some("recording") => Some(Kind::Recording),
        Some("json") => {
            let fields = mapping
                .file
                .json
                .clone()
                .ok_or("the mapping must say under 'json' where the fields stand")?;
            Some(Kind::AccessLog(LogFormat::Json(Box::new(fields))))
        }
        Some(name) => Some(Kind::AccessLog(LogFormat::named(name)?)),
    };
    let size: u64 = args
        .files
        .iter()
        .filter_map(|f| f.metadata().ok())
        .map(|m| m.len())
        .sum();
    let (read, done, bar) = (
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicU64::new(0)),
        bar(size, "reading"),
    );
    let watch = (!bar.is_hidden()).then(|| {
        let (read, done, bar) = (read.clone(), done.clone(), bar.clone());
        std::thread::spawn(move || {
            while done.load(Ordering::Relaxed) == 0 {
                bar.set_position(read.load(Ordering::Relaxed));
                std::thread::sleep(std::time::Duration::from_millis(100));
            }
        })
    });
    let options = Options {
        format,
        mapping,
        strict: args.strict,
        max_bad: args.max_bad,
        seed: args.seed,
    };
    let (out, part) = create(&args.out)?;
    let begin = Instant::now();
    let imported = import(&args.files, &options, out, &read);
    done.store(1, Ordering::Relaxed);
    if let Some(watch) = watch {
        let _ = watch.join();
    }
    bar.finish_and_clear();
    let imported = match imported {
        Ok(imported) => imported,
        Err(error) => {
            let _ = std::fs::remove_file(&part);
            if let ImportError::NoJobs { tally, .. } = &error {
                print_tally(tally, json)?;
            }
            return Err(error.into());
        }
    };
    std::fs::rename(&part, &args.out)?;
    let seconds = begin.elapsed().as_secs_f64();
    let bytes = read.load(Ordering::Relaxed) as f64;
    tracing::info!(seconds, mb_per_s = bytes / 1e6 / seconds, out = %args.out.display(), "imported");
    print_tally(&imported.tally, json)?;
    Ok(ExitCode::SUCCESS)
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
