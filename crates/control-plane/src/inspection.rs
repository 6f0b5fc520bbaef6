//! Reports for the command line tool, made from the stored rows ([`table_summary`]) and from the workers that node agents
//! report ([`capacity`]). Nothing here changes the state of the cluster.

pub mod capacity;
pub mod job_report;
pub mod rows;
pub mod table_summary;

pub use capacity::{ClusterCapacity, WorkerProfile};
pub use job_report::job_report;
pub use table_summary::TableSummary;
