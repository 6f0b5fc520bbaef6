//! Listeners of the fronts: opened here, or inherited from the process that serves now.

use crate::handover::{self, Inherited};
use async_io::{Async, Timer};
use std::error::Error;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long an address is tried for at which another process listens without answering.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(4);
/// Between two attempts to listen at an address in use.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Listens at an address of a configuration.
pub(super) fn bind(address: &str) -> Result<Async<TcpListener>, Box<dyn Error>> {
    let parsed: SocketAddr = address
        .parse()
        .map_err(|e| format!("listen {address:?}: {e}"))?;
    Ok(crate::net::listen(parsed).map_err(|e| format!("listen {address:?}: {e}"))?)
}

/// Takes one of the old process's listeners.
pub(super) fn take_listener(old: &mut Inherited, name: &str) -> Option<TcpListener> {
    let at = old.listeners.iter().position(|(of, _)| of == name)?;
    Some(old.listeners.swap_remove(at).1)
}

/// The listener of the process that serves now, if there is one and it answers; else one of our own. Where somebody
/// listens who does not answer (it is about to end, or about to be asked), that is tried again for a while.
pub(super) async fn listen_or_inherit(
    path: Option<&Path>,
    address: &str,
    old: &mut Option<Inherited>,
) -> Result<Rc<Async<TcpListener>>, Box<dyn Error>> {
    let begin = Instant::now();
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
                    && begin.elapsed() < LISTEN_TIMEOUT =>
            {
                Timer::after(RETRY_INTERVAL).await;
            }
            Err(e) => return Err(format!("listen {address:?}: {e}").into()),
        }
    }
}
