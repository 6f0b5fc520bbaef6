//! The scheduler of the cluster. The acting head of the core drives it: it accepts jobs, places their tasks on workers and
//! tracks their runs. It is a state machine without I/O: its inputs are times and events, its outputs writes, replies and
//! orders. It reads no clock and draws from a seeded random generator, so the same events give the same decisions.
//!
//! The modules form layers; each imports only modules that are above it in this list or earlier in the same entry.
//!
//! - Value types: `latency`, `api` (inputs and outputs), `run_result`, `queue` (order of admission), `value`, `definition`,
//!   `step_traits`.
//! - Components with their own state: `clock`, `timers`, `health`, `unexpected_runs`, `worker`, `workers` (registry
//!   of instances and connections), `kinds` (hybrid SQ(d)), `jobs` (lifecycle of jobs, their tasks and runs), `demand`,
//!   `reservations`, `recent_demand`, `backlog_cache`, `services` (queues), `rows` (stored forms), `outbox` (changed rows
//!   and outputs that wait for their commit).
//! - `cluster_view`: the read-only view for decisions. Decisions: `estimates`, `straggler`, `headroom`, `backlog`, `outlook`.
//! - `cluster`: the combined state, and updates that concern several components. `jobs` emits typed events to it for changes
//!   to queues, rows and runs.
//! - Operations on the cluster: `placement` (with gangs, reservations, speculative runs), `preemption`, `run_checks`,
//!   `reports`, `client_calls`, `takeover`.
//! - `scheduler`: dispatches each event and collects the effects.
//!
//! Outputs that depend on a write (replies, start orders, acknowledged ends) wait in the outbox until it is committed.

#![forbid(unsafe_code)]

mod api;
mod backlog;
mod backlog_cache;
mod client_calls;
mod clock;
mod cluster;
mod cluster_view;
mod definition;
mod demand;
mod estimates;
mod headroom;
mod health;
mod instance_rows;
mod jobs;
mod kinds;
mod latency;
mod outbox;
mod outlook;
mod placement;
mod preemption;
mod queue;
mod recent_demand;
mod reports;
mod reservations;
mod rows;
mod run_checks;
mod run_result;
mod scheduler;
mod services;
mod step_traits;
mod straggler;
mod takeover;
mod timers;
mod unexpected_runs;
mod value;
mod worker;
mod workers;

pub use api::{AgentId, Bounds, CallerId, Effect, Epoch, Event, RowChange, WriteId};
pub use kinds::{PlacementTrace, Reason, SampledWorker};
pub use latency::{Cause, LateEnd, LatencyBreakdown};
pub use rows::RowError;
pub use scheduler::Scheduler;
