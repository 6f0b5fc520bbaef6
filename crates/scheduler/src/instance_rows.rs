//! Rows `life/INSTANCE`, which store the machine on which a worker instance was reported. From them a new head knows that
//! an instance has ended as soon as another instance registers on the same machine.

const INSTANCE_PREFIX: &str = "life/";

/// Key of the row of a worker instance.
pub(crate) fn instance_key(instance: &str) -> Vec<u8> {
    format!("{INSTANCE_PREFIX}{instance}").into_bytes()
}

/// The worker instance named by a key; `None` if it is not the key of an instance's row.
pub(crate) fn parse_instance_key(key: &[u8]) -> Option<&str> {
    std::str::from_utf8(key).ok()?.strip_prefix(INSTANCE_PREFIX)
}
