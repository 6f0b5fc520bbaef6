//! The ground on sockets.
use crate::{load::Arrival, scenario::Scenario, virt::{Retries, Run}};
/// Plays.
/// # Errors
/// Not yet.
pub fn play(_: &Scenario, _: u64, _: Retries, _: &std::path::Path, _: impl Iterator<Item = Result<Arrival, String>>) -> Result<Run, String> { Err("not yet".into()) }
