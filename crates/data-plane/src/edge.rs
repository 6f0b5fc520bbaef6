//! The edge: takes clients' calls, carries them to the acting head and answers them. It decides nothing itself.

mod answer;
mod calls;
mod readiness;
mod request;

pub use answer::{Answer, Body, RETRY_MS};
pub use calls::{CallId, CallLimits, Calls, Effect, liveness_probe};
pub use readiness::{BRIEF_LOSS_MS, Readiness};
pub use request::{DEADLINE_DEFAULT_MS, DEADLINE_HEADER, Method, ReadRequest, read_request};
