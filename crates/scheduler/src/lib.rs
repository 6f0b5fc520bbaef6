//! The scheduler of the cluster, driven by the acting head of the core: accepts jobs, places their tasks on workers and
//! follows their runs. A state machine without I/O: time and events go in; writes, replies and orders come out. It reads
//! no clock and draws from a seeded generator, so that the same events give the same decisions.
//!
//! The modules in layers; each imports only modules above it in this list, or earlier in its own line.
//!
//! - Values: `latency`, `api` (inputs and outputs), `run_result`, `queue` (order of admission), `value`, `definition`,
//!   `step_traits`.
//! - Parts with state of their own: `clock`, `timers`, `health`, `unexpected_runs`, `worker`, `workers` (registry
//!   of instances and connections), `kinds` (hybrid SQ(d)), `jobs` (lifecycle of jobs, their tasks and runs), `demand`,
//!   `reservations`, `recent_demand`, `backlog_cache`, `services` (queues), `rows` (stored forms), `outbox` (changed rows
//!   and what waits for their commit).
//! - `cluster_view`: what decisions read. Decisions: `estimates`, `straggler`, `headroom`, `backlog`, `outlook`.
//! - `cluster`: the parts together; what one event means for several of them. `jobs` tells it by typed events what
//!   follows for queues, rows and runs.
//! - What acts on the cluster: `placement` (with gangs, reservations, speculative runs), `preemption`, `run_checks`,
//!   `reports`, `client_calls`, `takeover`.
//! - `scheduler`, which routes each event and collects the effects.
//!
//! Whatever rests on a write (replies, start orders, acknowledged ends) waits in the outbox until it is committed.

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
