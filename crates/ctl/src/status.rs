//! `status`: the state of the core members and of the work.

mod cluster;
mod findings;
mod gather;
mod text;

pub use cluster::{ClusterStatus, UnresponsiveMember};
pub use findings::findings;

use crate::query::{self, QueryError};
use crate::report::Report;
use std::net::SocketAddr;

/// Queries the members at these internal addresses, and the peers that they name.
///
/// # Errors
///
/// [`QueryError`] if no member answers, or the runtime cannot be started.
pub fn run(addresses: Vec<SocketAddr>) -> Result<Report, QueryError> {
    query::run(gather::gather(addresses)).map(|status| report(&status))
}

/// The report on a cluster: its status as text and JSON, and the findings.
pub fn report(status: &ClusterStatus) -> Report {
    Report::new(text::text(status), status, findings(status))
}
