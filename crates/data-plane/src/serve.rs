//! The processes that run the state machines: sockets, timers and signals.

mod agent_role;
mod agent_server;
mod edge_role;
mod edge_server;
mod error;
mod lifecycle;
mod role;
mod role_process;
mod timer;

pub use error::ServeError;

use indigofold_settings::{CallerKind, Settings};

/// Runs the role that the settings name until the platform stops it.
///
/// # Errors
///
/// The settings name neither the edge nor the node agent or lack an address, or a socket or the signals cannot be set
/// up.
pub async fn serve(settings: Settings) -> Result<(), ServeError> {
    if settings.serves(CallerKind::Edge) {
        edge_server::serve(settings).await
    } else if settings.serves(CallerKind::Side) {
        agent_server::serve(settings).await
    } else {
        error::NoRoleSnafu {
            role: settings.role,
        }
        .fail()
    }
}
