//! The scheduler of the cluster, driven by the acting head of the core: accepts jobs, places their tasks on workers and
//! follows their runs. A state machine without I/O: time and events go in; writes, replies and orders come out. It reads
//! no clock and draws from a seeded generator, so that the same events give the same decisions.
//!
//! The modules in layers; each uses those above it in this list:
//!
//! - Values: `api` (inputs and outputs), `queue` (order of admission), `latency`, `definition`, `run_result`.
//! - Parts with state of their own: `clock`, `rng`, `health`, `worker`, `unexpected_runs`, `workers` (registry of
//!   instances and connections), `kinds`
//!   (hybrid SQ(d)), `task`, `job`, `job_table`, `admission` (load), `due_jobs`, `recent_demand`, `reservations`,
//!   `services`, `outbox` (rows and what waits for their commit).
//! - Decisions, which read a `view` of the parts: `demand`, `estimates`, `straggler`, `headroom`, `backlog`, `outlook`.
//! - Transitions of the cluster's `state`: `runs` and `lifecycle` (runs, tasks, jobs), `placement` and `gang`,
//!   `preemption`, `speculation`, `run_checks`, `run_results`, `reports`, `client_calls`, `takeover`, `writes`.
//! - `scheduler`, which routes each event and collects the effects.
//!
//! Whatever rests on a write (replies, start orders, acknowledged ends) waits in the outbox until it is committed.

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
mod unexpected_runs;
mod value;
mod view;
mod worker;
mod workers;
mod writes;

pub use api::{AgentId, Bounds, CallerId, Effect, Event, RowChange, WriteId};
pub use kinds::{PlacementTrace, Reason, SampledWorker};
pub use latency::{Cause, LateEnd, LatencyBreakdown};
pub use rows::RowError;
pub use scheduler::Scheduler;
