//! Handling of SIGTERM and SIGHUP. Each handler writes the signal's number as one byte to a pipe that a task reads.

use crate::error::{NetError, RuntimeSnafu, SignalSnafu};
use compio::runtime::fd::PollFd;
use rustix::pipe::{PipeFlags, pipe_with};
use snafu::ResultExt;
use std::io;
use std::os::fd::OwnedFd;
use std::sync::Arc;

/// Number of the signal SIGHUP.
const SIGHUP: i32 = 1;
/// Number of the signal SIGTERM.
const SIGTERM: i32 = 15;

/// A signal that the process handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: the process should shut down.
    Terminate,
    /// SIGHUP: the process should reload its settings file.
    Reload,
}

impl Signal {
    /// Returns the number of the signal.
    fn number(self) -> i32 {
        match self {
            Signal::Terminate => SIGTERM,
            Signal::Reload => SIGHUP,
        }
    }
}

/// Receives the signals of the process.
#[derive(Debug)]
pub struct Signals {
    pipe: PollFd<OwnedFd>,
}

impl Signals {
    /// Installs the signal handlers. They stay installed when the value is dropped.
    ///
    /// # Errors
    ///
    /// [`NetError::Runtime`] if the pipe cannot be created, [`NetError::Signal`] if a handler cannot be installed.
    pub fn register() -> Result<Signals, NetError> {
        let flags = PipeFlags::CLOEXEC | PipeFlags::NONBLOCK;
        let (reader, writer) = pipe_with(flags)
            .map_err(io::Error::from)
            .context(RuntimeSnafu)?;
        let writer = Arc::new(writer);
        catch(Signal::Terminate, &writer)?;
        catch(Signal::Reload, &writer)?;
        Ok(Signals {
            pipe: PollFd::new(reader).context(RuntimeSnafu)?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Signal {
        loop {
            let mut byte = [0_u8];
            match rustix::io::read(&*self.pipe, &mut byte) {
                Ok(1) if i32::from(byte[0]) == SIGTERM => return Signal::Terminate,
                Ok(1) => return Signal::Reload,
                // Both ends of the pipe are open as long as this value exists, so the read can only fail because
                // the pipe is empty.
                _ => {
                    if let Err(error) = self.pipe.read_ready().await {
                        log::warn!("reading the signal pipe failed error={error}");
                        std::future::pending::<()>().await;
                    }
                }
            }
        }
    }
}

/// Installs a handler that writes one byte to the pipe for each `signal`.
#[allow(
    unsafe_code,
    reason = "signal handlers are registered by an unsafe call"
)]
fn catch(signal: Signal, writer: &Arc<OwnedFd>) -> Result<(), NetError> {
    let number = signal.number();
    let writer = writer.clone();
    let handler = move || {
        // A failed write to a full pipe is harmless: unread signals are in the pipe already.
        let _ = rustix::io::write(&*writer, &[number as u8]);
    };
    // SAFETY: the handler calls write(2) only, which may be called in a signal handler.
    unsafe { signal_hook_registry::register(number, handler) }
        .context(SignalSnafu { signal: number })?;
    Ok(())
}
