//! Errors that end a process of the data plane.

use indigofold_net::NetError;
use snafu::Snafu;

/// A failure that ends the process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ServeError {
    /// The settings name no role that this program plays.
    #[snafu(display(
        "`serves` of role `{role}` names neither `edge` nor `side`: one of them is expected"
    ))]
    NoRole {
        /// The role.
        role: String,
    },
    /// An address that the role needs is missing from the settings.
    #[snafu(display(
        "`bind_addrs.{field}` is missing: role `{role}` needs an address there, IP:PORT"
    ))]
    NoAddress {
        /// The missing field.
        field: &'static str,
        /// The role.
        role: String,
    },
    /// A socket, the signals or the runtime have failed.
    #[snafu(context(false), display("{source}"))]
    Net {
        /// Why.
        source: NetError,
    },
}

impl ServeError {
    /// Whether the settings are at fault.
    pub fn is_about_settings(&self) -> bool {
        matches!(
            self,
            ServeError::NoRole { .. } | ServeError::NoAddress { .. }
        )
    }
}
