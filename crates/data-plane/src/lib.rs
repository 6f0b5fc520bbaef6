//! The data plane: the edge, which forwards clients' requests to the acting head, and the node agent, which connects a
//! worker to it. [`agent`], [`core_link`] and [`edge`] are state machines without I/O; [`serve`] and [`program`] run
//! them as processes.

pub mod agent;
pub mod core_link;
pub mod edge;
pub mod program;
pub mod serve;
