//! The edge: parses clients' requests, forwards them as calls to the acting head and maps its replies to responses.
//! State machines without I/O; `now_ms` is a reading of the machine's monotonic clock in milliseconds.

mod answer;
mod calls;
mod readiness;
mod request;

pub use answer::{Answer, Body, RETRY_DEFAULT_MS};
pub use calls::{BegunCall, CallEffect, CallLimits, Calls, ClientCallId, NewCall, liveness_probe};
pub use readiness::{HEAD_LOSS_GRACE_MS, Readiness};
pub use request::{DEADLINE_DEFAULT_MS, DEADLINE_HEADER, Method, ParsedRequest, parse_request};
