//! Reload of the platform's configuration at SIGHUP.

use crate::config;
use crate::front::platform::Platform;
use crate::net::log;
use async_signal::Signals;
use futures_lite::StreamExt;
use std::net::SocketAddr;
use std::rc::Rc;

/// Reloads the configuration at each SIGHUP, also while the program shuts down. The complete file is validated first; then
/// its settings and its discovery address take effect without interrupting jobs or connections. An invalid file changes
/// nothing.
pub(super) async fn reload(mut hangups: Signals, front: Rc<Platform>, mut used: config::Platform) {
    while hangups.next().await.is_some() {
        let (applied, rejected) = front.metrics().config_files.get();
        match reread(&used) {
            Err(why) => {
                front.metrics().config_files.set((applied, rejected + 1));
                log(format_args!("reload failed, all stays as it was: {why}"));
            }
            Ok((discovery, new)) => {
                apply(&front, &used, &new, discovery).await;
                front.metrics().config_files.set((applied + 1, rejected));
                used = new;
            }
        }
    }
}

/// Reads and validates the file as it is now, and returns it with the discovery address in it.
fn reread(used: &config::Platform) -> Result<(SocketAddr, config::Platform), String> {
    let path = std::env::var_os("GW_CONFIG").unwrap_or_default();
    let text = std::fs::read(path).map_err(|e| e.to_string())?;
    let new = used.reread(text).map_err(|e| e.to_string())?;
    let discovery = new.discovery_in_file.parse::<SocketAddr>();
    let discovery = discovery.map_err(|e| format!("discovery {:?}: {e}", new.discovery_in_file))?;
    Ok((discovery, new))
}

async fn apply(
    front: &Platform,
    used: &config::Platform,
    new: &config::Platform,
    discovery: SocketAddr,
) {
    front.reconfigure(new.site.clone()).await;
    let settings = &new.site.settings;
    log(format_args!(
        "reload: settings taken classes={} attempts={}",
        settings.classes.len(),
        settings.limits.attempts
    ));
    if new.discovery_in_file == used.discovery_in_file {
        log("reload: discovery is where it was");
    } else {
        front.move_discovery(discovery).await;
        log(format_args!(
            "reload: discovery is at {discovery} from now on"
        ));
    }
}
