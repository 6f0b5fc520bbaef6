//! Errors that end a process of the data plane.

use indigofold_net::NetError;
use snafu::Snafu;

/// A failure that ends the process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ServeError {
    /// The settings select neither the edge nor the node agent.
    #[snafu(display(
        "`serves` of role `{role}` names neither `edge` nor `side`: one of them is expected"
    ))]
    NoRole {
        /// Name of the role in the settings.
        role: String,
    },
    /// An address that the role needs is missing from the settings.
    #[snafu(display(
        "`bind_addrs.{field}` is missing: role `{role}` needs an address there, IP:PORT"
    ))]
    NoAddress {
        /// The missing field of `bind_addrs`.
        field: &'static str,
        /// Name of the role in the settings.
        role: String,
    },
    /// A socket, the signal handling or the runtime failed.
    #[snafu(context(false), display("{source}"))]
    Net {
        /// The underlying error.
        source: NetError,
    },
}

impl ServeError {
    /// Whether the error is due to the settings rather than the system.
    pub fn is_about_settings(&self) -> bool {
        matches!(
            self,
            ServeError::NoRole { .. } | ServeError::NoAddress { .. }
        )
    }
}
