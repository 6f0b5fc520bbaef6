//! The edge: takes clients' requests, sends them as calls to the acting head and returns its replies. State machines
//! without I/O.

mod answer;
mod calls;
mod readiness;
mod request;

pub use answer::{Answer, Body, RETRY_MS};
pub use calls::{BegunCall, CallEffect, CallLimits, Calls, ClientCallId, NewCall, liveness_probe};
pub use readiness::{BRIEF_LOSS_MS, Readiness};
pub use request::{DEADLINE_DEFAULT_MS, DEADLINE_HEADER, Method, ParsedRequest, parse_request};
