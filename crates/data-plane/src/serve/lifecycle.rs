//! Signal handling: termination and reload of the settings.

use super::role::Role;
use super::role_process::RoleProcess;
use indigofold_net::runtime;
use indigofold_net::signals::{Signal, Signals};
use indigofold_settings::Settings;
use std::time::Duration;

/// Interval at which the settings are reloaded while no head is connected.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Waits for SIGTERM. Meanwhile reloads the settings at SIGHUP and, as the file may change without a signal, at
/// intervals while no head is connected.
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

/// Replaces the seeds by those of the settings file. Unreadable or invalid settings are logged as an error and change
/// nothing.
fn reload_settings<R: Role>(node: &RoleProcess<R>) {
    match Settings::from_env() {
        Ok(settings) => {
            node.set_seeds(&settings);
            log::info!("settings reloaded seeds={}", settings.seed_nodes.len());
        }
        Err(error) => log::error!("settings not reloaded, the former ones stay in force: {error}"),
    }
}
