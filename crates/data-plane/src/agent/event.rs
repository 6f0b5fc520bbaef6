//! Events of the agent for the log.

/// Events for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEvent {
    /// A heartbeat of an instance that is not registered was received. Unless another one follows, the instance had
    /// ended before the heartbeat arrived.
    Pending {
        /// Id of the instance.
        instance: String,
        /// Id of the current instance; `None` if there is none, or if it is this one and its leases have expired.
        current: Option<String>,
    },
    /// An instance of the worker was registered.
    Registered {
        /// Id of the instance.
        instance: String,
    },
    /// An instance has ended, because another one was shown to run after it.
    Replaced {
        /// Id of the instance that has ended.
        instance: String,
        /// Id of the instance that runs now.
        successor: String,
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
    /// An unresponsive instance sent heartbeats again.
    Returned {
        /// Id of the instance.
        instance: String,
    },
    /// An instance is not registered before the head has settled the ends of
    /// [`ENDED_INSTANCES_MAX`](super::ENDED_INSTANCES_MAX) former instances.
    RegistrationDeferred {
        /// Id of the instance.
        instance: String,
    },
    /// Orders of the head acknowledge an update that the agent has never reported; the number is ignored.
    UnknownUpdateAcknowledged {
        /// Number in the orders.
        number: u64,
    },
}
