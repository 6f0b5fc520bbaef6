//! Events of the agent for the log.

/// Events for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEvent {
    /// An instance of the worker sent its first heartbeat.
    Registered {
        /// Id of the instance.
        instance: String,
    },
    /// An instance sent `DELETE`.
    Deregistered {
        /// Id of the instance.
        instance: String,
    },
    /// All leases of an instance expired without a heartbeat.
    Unresponsive {
        /// Id of the instance.
        instance: String,
    },
    /// An unresponsive instance sent a heartbeat again.
    Returned {
        /// Id of the instance.
        instance: String,
    },
}
