//! What the running program was built from.

/// Digest of the sources of the cluster's daemons and of the versions of their dependencies: 16 hexadecimal digits. Two
/// builds have the same one if their sources are equal.
pub const SOURCES: &str = env!("INDIGOFOLD_SOURCES");
