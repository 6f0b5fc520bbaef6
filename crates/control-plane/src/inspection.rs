//! What a member reports to the command line tool: facts from the stored rows ([`table_summary`]) and about the workers
//! that node agents report ([`capacity`]). Nothing here changes any state.

pub mod capacity;
pub mod job_report;
pub mod rows;
pub mod table_summary;

pub use capacity::{ClusterCapacity, WorkerProfile};
pub use job_report::job_report;
pub use table_summary::TableSummary;
