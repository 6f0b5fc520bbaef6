//! The scheduler of the cluster, driven by the acting head of the core: accepts jobs, places their tasks on workers and
//! follows their runs. A state machine without I/O: time and events go in; writes, replies and orders come out. It reads
//! no clock and draws from a seeded generator, so that the same events give the same decisions.
//!
//! The modules in layers; each imports only modules above it in this list, or earlier in its own line. Ends of runs and
//! progress of jobs follow from each other, so `lifecycle` and `runs` call each other's transitions of the state.
//!
//! - Values: `latency`, `api` (inputs and outputs), `run_result`, `queue` (order of admission), `value`, `definition`.
//! - Parts with state of their own: `clock`, `timers`, `rng`, `health`, `unexpected_runs`, `worker`, `workers` (registry
//!   of instances and connections), `kinds` (hybrid SQ(d)), `task`, `job`, `step_traits`, `job_table`, `admission_load`,
//!   `due_jobs`, `demand`, `reservations`, `recent_demand`, `backlog_cache`, `services`, `rows` (stored forms), `outbox`
//!   (changed rows and what waits for their commit).
//! - `view`: what decisions read; `state`: all parts, which transitions change.
//! - Decisions: `estimates`, `straggler`, `headroom`, `backlog`, `outlook` (reservations).
//! - Transitions: `late_ends`, `queue_order`, `learning`, `instance_rows`, `checkpoints`, `lifecycle` (tasks and jobs),
//!   `runs`, `placement`, `gang`, `preemption`, `speculation`, `run_checks`, `reports`, `client_calls`, `takeover`,
//!   `writes`.
//! - `scheduler`, which routes each event and collects the effects.
//!
//! Whatever rests on a write (replies, start orders, acknowledged ends) waits in the outbox until it is committed.

#![forbid(unsafe_code)]

mod admission_load;
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
mod learning;
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
