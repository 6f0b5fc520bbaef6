//! Signals: termination and reload of the settings.

use super::role::Role;
use super::role_process::RoleProcess;
use indigofold_net::runtime;
use indigofold_net::signals::{Signal, Signals};
use indigofold_settings::Settings;
use std::time::Duration;

/// The settings are reloaded at this interval while no head is connected.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Waits for SIGTERM. Reloads the settings at SIGHUP, and at intervals while no head is connected, as the file may change
/// without a signal.
pub(super) async fn until_terminated<R: Role>(signals: &mut Signals, node: &RoleProcess<R>) {
    loop {
        match runtime::timeout(RELOAD_INTERVAL, signals.next()).await {
            Some(Signal::Terminate) => return,
            Some(Signal::Reload) => reload_settings(node),
            None if !node.has_head() => reload_settings(node),
            None => {}
        }
    }
}

/// Takes over the seeds of the settings file. Settings that cannot be used change nothing.
fn reload_settings<R: Role>(node: &RoleProcess<R>) {
    match Settings::from_env() {
        Ok(settings) => {
            node.set_seeds(&settings);
            log::info!("settings reloaded seeds={}", settings.seed_nodes.len());
        }
        Err(error) => log::error!("settings not reloaded, the former ones stay in force: {error}"),
    }
}
