//! The data plane: the edge, which takes clients' requests, and the node agent, which runs beside a worker. State
//! machines without I/O ([`agent`], [`core_link`], [`edge`]) and the processes around them ([`serve`],
//! [`program`]).

pub mod agent;
pub mod core_link;
pub mod edge;
pub mod program;
pub mod serve;
