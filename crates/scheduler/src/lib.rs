//! The scheduler of the cluster, held by the acting head of the core: takes jobs, places their tasks on workers,
//! follows their runs. A state machine: time and events go in; writes, replies and orders come out. It does no I/O,
//! reads no clock and draws from a seeded generator.
//!
//! One event passes through [`Scheduler::handle`]: it changes jobs (`steps`), runs (`runs`) and workers
//! (`reports`); then waiting tasks are placed in the order of the queue (`placing`, `draw`, `gang`); then all
//! rows that have changed leave as one write (`rows`). Whatever rests on the write (replies, start orders,
//! acknowledged ends) waits in the `outbox` until it is committed.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod api;
mod backlog;
mod calls;
mod checks;
mod clock;
mod delays;
mod dragging;
mod draw;
mod gang;
mod headroom;
mod health;
mod job;
mod life_rows;
mod need;
mod order;
mod outbox;
mod outcomes;
mod placing;
mod preemption;
mod queue;
mod reports;
mod reservation;
mod rng;
mod rows;
mod runs;
mod saving;
mod scheduler;
mod speculation;
mod steps;
mod takeover;
mod workers;

pub use api::{AgentId, Bounds, CallerId, Effect, Event, RowChange, WriteId};
pub use delays::{Cause, Delays, LateEnd};
pub use draw::{PlacementTrace, Reason};
pub use rows::RowError;
pub use scheduler::Scheduler;
