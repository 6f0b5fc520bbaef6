//! Sets the variable `INDIGOFOLD_SOURCES` for the compiler: a digest of the sources of the cluster's daemons, by which
//! builds of different sources are told apart.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Folders with the crates of the daemons, seen from this crate, and the versions of all dependencies.
const SOURCES: [&str; 9] = [
    "../control-plane/src",
    "../data-plane/src",
    "../net/src",
    "../placement/src",
    "../protocol/src",
    "../replication/src",
    "../scheduler/src",
    "../settings/src",
    "../../Cargo.lock",
];
/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

fn main() -> io::Result<()> {
    let mut digest = FNV_OFFSET;
    for source in SOURCES {
        println!("cargo::rerun-if-changed={source}");
        for file in files(Path::new(source))? {
            add(&mut digest, file.to_string_lossy().as_bytes());
            add(&mut digest, &fs::read(&file)?);
        }
    }
    println!("cargo::rustc-env=INDIGOFOLD_SOURCES={digest:016x}");
    Ok(())
}

/// Returns the files below a folder, or the file itself, in the order of their paths.
fn files(path: &Path) -> io::Result<Vec<PathBuf>> {
    if path.is_file() {
        return Ok(vec![path.to_owned()]);
    }
    let mut found = Vec::new();
    for entry in fs::read_dir(path)? {
        found.extend(files(&entry?.path())?);
    }
    found.sort();
    Ok(found)
}

/// Adds bytes and their number to an FNV-1a hash.
fn add(digest: &mut u64, bytes: &[u8]) {
    for byte in bytes.iter().chain(&(bytes.len() as u64).to_le_bytes()) {
        *digest ^= u64::from(*byte);
        *digest = digest.wrapping_mul(FNV_PRIME);
    }
}
