//! The processes around the state machines: sockets, timers, signals.

mod agent_role;
mod alarm;
mod edge_role;
mod error;
mod node;

pub use error::ServeError;

use indigofold_net::runtime;
use indigofold_net::signals::{Signal, Signals};
use indigofold_settings::{Serves, Settings};
use node::{Node, Role};
use std::time::Duration;

/// The settings are read again so often while no head can be found.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the role that the settings name until the platform stops it.
pub async fn serve(settings: Settings) -> Result<(), ServeError> {
    if settings.serves(Serves::Edge) {
        edge_role::serve(settings).await
    } else if settings.serves(Serves::Side) {
        agent_role::serve(settings).await
    } else {
        error::NoRoleSnafu {
            role: settings.role,
        }
        .fail()
    }
}

/// Waits for SIGTERM. The settings are read again at SIGHUP, and now and then while no head can be found: the file may
/// change without a signal.
async fn until_terminated<R: Role>(signals: &mut Signals, node: &Node<R>) {
    loop {
        match runtime::timeout(SETTINGS_INTERVAL, signals.next()).await {
            Some(Signal::Terminate) => return,
            Some(Signal::Reload) => reload_settings(node),
            None if !node.has_head() => reload_settings(node),
            None => {}
        }
    }
}

/// Takes the seeds of the settings as they are now. Settings that cannot be used are left.
fn reload_settings<R: Role>(node: &Node<R>) {
    match Settings::from_env() {
        Ok(settings) => {
            node.set_seeds(&settings);
            log::info!("settings read again: {} seeds", settings.seed_nodes.len());
        }
        Err(error) => log::error!("settings not read again, the former ones stay: {error}"),
    }
}
