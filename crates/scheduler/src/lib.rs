//! The scheduler of the cluster, held by the acting head of the core: takes jobs, places their tasks on workers,
//! follows their runs. A state machine: time and events go in; writes, replies and orders come out. It does no I/O,
//! reads no clock and draws from a seeded generator.
//!
//! One event passes through [`Scheduler::handle`]: it changes jobs (`lifecycle`), runs (`runs`) and workers
//! (`reports`); then waiting tasks are placed in the order of the queue (`placement`, `kinds`, `gang`); then all
//! rows that have changed leave as one write (`rows`). Whatever rests on the write (replies, start orders,
//! acknowledged ends) waits in the `outbox` until it is committed.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod api;
mod backlog;
mod backlog_cache;
mod checkpoints;
mod client_calls;
mod clock;
mod definition;
mod demand;
mod due_jobs;
mod estimates;
mod gang;
mod headroom;
mod health;
mod instance_rows;
mod job;
mod job_table;
mod kinds;
mod late_ends;
mod latency;
mod lifecycle;
mod outbox;
mod outlook;
mod placement;
mod preemption;
mod queue;
mod queue_order;
mod recent_demand;
mod reports;
mod reservations;
mod rng;
mod rows;
mod run_checks;
mod run_result;
mod run_results;
mod runs;
mod scheduler;
mod services;
mod speculation;
mod state;
mod step_traits;
mod straggler;
mod takeover;
mod task;
mod timers;
mod value;
mod view;
mod workers;
mod writes;

pub use api::{AgentId, Bounds, CallerId, Effect, Event, RowChange, WriteId};
pub use kinds::{PlacementTrace, Reason};
pub use latency::{Cause, LateEnd, LatencyBreakdown};
pub use rows::RowError;
pub use scheduler::Scheduler;
