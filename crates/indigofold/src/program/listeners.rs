//! Listeners of the fronts: newly opened, or inherited from the process that serves at present.

use crate::handover::{self, Inherited};
use async_io::{Async, Timer};
use std::error::Error;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long to retry an address on which another process listens that does not answer handover requests.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval between two attempts to listen on an address in use.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Listens on an address from the configuration.
pub(super) fn bind(address: &str) -> Result<Async<TcpListener>, Box<dyn Error>> {
    let parsed: SocketAddr = address
        .parse()
        .map_err(|e| format!("listen {address:?}: {e}"))?;
    Ok(crate::net::listen(parsed).map_err(|e| format!("listen {address:?}: {e}"))?)
}

/// Takes the listener of the front called `name` from those of the old process, if it is among them.
pub(super) fn take_listener(old: &mut Inherited, name: &str) -> Option<TcpListener> {
    let at = old.listeners.iter().position(|(of, _)| of == name)?;
    Some(old.listeners.swap_remove(at).1)
}

/// Returns the listener of the process that serves at present if that process answers, or else opens a new one. If another
/// process holds the address but does not answer (it is ending, or not yet ready for requests), both are retried for up to
/// [`LISTEN_TIMEOUT`].
pub(super) async fn listen_or_inherit(
    path: Option<&Path>,
    address: &str,
    old: &mut Option<Inherited>,
) -> Result<Rc<Async<TcpListener>>, Box<dyn Error>> {
    let started = Instant::now();
    loop {
        if let Some(path) = path {
            *old = handover::request_listeners(path).await;
        }
        if let Some(listener) = old.as_mut().and_then(|old| take_listener(old, "platform")) {
            return Ok(Rc::new(Async::new(listener)?));
        }
        let parsed: SocketAddr = address
            .parse()
            .map_err(|e| format!("listen {address:?}: {e}"))?;
        match crate::net::listen(parsed) {
            Ok(listener) => return Ok(Rc::new(listener)),
            Err(e)
                if e.kind() == ErrorKind::AddrInUse
                    && path.is_some()
                    && started.elapsed() < LISTEN_TIMEOUT =>
            {
                Timer::after(RETRY_INTERVAL).await;
            }
            Err(e) => return Err(format!("listen {address:?}: {e}").into()),
        }
    }
}
