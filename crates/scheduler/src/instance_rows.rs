//! Rows `life/INSTANCE`: on which machine a worker instance was reported. A successor learns from them that an instance
//! has ended as soon as another one registers on that machine.

const INSTANCE_PREFIX: &str = "life/";

/// Key of the row of an instance.
pub(crate) fn instance_key(instance: &str) -> Vec<u8> {
    format!("{INSTANCE_PREFIX}{instance}").into_bytes()
}

/// The instance that a key names, if it is the key of such a row.
pub(crate) fn instance_of(key: &[u8]) -> Option<&str> {
    std::str::from_utf8(key).ok()?.strip_prefix(INSTANCE_PREFIX)
}
