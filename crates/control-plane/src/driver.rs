//! Runs a [`CoreMember`]: connects it to sockets, the storage thread, clocks and signals. One thread serves everything except
//! the disk.

mod clock;
mod connections;
mod error;
mod event;
mod operator_api;
mod start;
mod turn;

pub use error::DriverError;

use crate::clocks::Clocks;
use crate::config_authority::OperatorCallId;
use crate::core_member::{CoreMember, Input, Output};
use crate::inbox::Inbox;
use crate::operator::OperatorResponse;
use crate::storage_thread::StorageRequest;
use connections::Connections;
use event::Event;
use futures_channel::oneshot;
use indigofold_net::http::HttpServer;
use indigofold_net::signals::Signal;
use indigofold_net::{build, runtime, steady_ms};
use indigofold_settings::Settings;
use std::collections::HashMap;
use std::sync::mpsc::Sender;
use std::time::Duration;
use turn::Turn;

/// Longest wait for an event before the member's timers are checked, in milliseconds.
const WAIT_MAX_MS: u64 = 1_000;
/// Longest time from SIGTERM to the end of the process, in milliseconds. In this time a head hands over its role and the
/// member leaves the chain.
const STEP_DOWN_LIMIT_MS: u64 = 1_000;
/// Interval between reads of the settings while no head is known, in milliseconds. The seeds may have changed without a
/// SIGHUP.
const SETTINGS_RETRY_MS: u64 = 2_000;
/// How long idle connections stay open once the HTTP server stops.
const IDLE_GRACE: Duration = Duration::from_millis(100);
/// How long open requests may still be answered once the HTTP server stops.
const DRAIN_LIMIT: Duration = Duration::from_millis(400);

/// Runs the member that the settings describe, until SIGTERM.
///
/// # Errors
///
/// A setting is missing, a socket or the storage thread cannot be used, or the database is damaged.
pub async fn run(settings: Settings) -> Result<(), DriverError> {
    let inbox = Inbox::default();
    // Signals are caught before the database is opened: that takes a while, and SIGTERM in the meantime must still stop the
    // member in the normal way.
    start::watch_signals(&inbox)?;
    let (member, storage) = start::core_member(&settings, &inbox).await?;
    let connections = Connections::listen(settings.internal_address(), inbox.clone()).await?;
    let http = operator_api::serve(&settings, &inbox).await?;
    log::info!(
        "started member={} address={} sources={}",
        settings.node_name,
        settings.internal_address(),
        build::SOURCES
    );
    let settings_due_ms = steady_ms() + SETTINGS_RETRY_MS;
    let driver = Driver {
        member,
        inbox,
        connections,
        storage,
        calls: HashMap::new(),
        next_call: OperatorCallId(0),
        stop_deadline_ms: None,
        settings_due_ms,
    };
    driver.serve(http).await
}

/// The running member.
struct Driver {
    member: CoreMember,
    inbox: Inbox<Event>,
    connections: Connections,
    storage: Sender<StorageRequest>,
    /// Operator requests without a response yet, with the channel for the response.
    calls: HashMap<OperatorCallId, oneshot::Sender<OperatorResponse>>,
    next_call: OperatorCallId,
    /// When the process ends at the latest, on the monotonic clock; set by the first SIGTERM.
    stop_deadline_ms: Option<u64>,
    /// When the seeds are next read from the settings if no head is known by then, on the monotonic clock.
    settings_due_ms: u64,
}

impl Driver {
    async fn serve(mut self, http: HttpServer) -> Result<(), DriverError> {
        while !self.has_stopped() {
            self.wait().await;
            let mut turn = Turn::start();
            let clocks = clock::now();
            self.member.handle_timeout(clocks);
            self.refresh_seeds(clocks);
            turn.record("timers");
            self.handle_events(&mut turn);
            for output in self.member.poll_outputs(steady_ms()) {
                self.execute(output)?;
            }
            turn.record("outputs");
            turn.finish();
        }
        http.shutdown(IDLE_GRACE, DRAIN_LIMIT).await;
        log::info!("stopped");
        Ok(())
    }

    /// Handles the events that wait. Each is handled with a reading of the clocks of its own: the lease may have expired while
    /// the earlier ones were handled.
    fn handle_events(&mut self, turn: &mut Turn) {
        while let Some(event) = self.inbox.pop() {
            let kind = event.kind();
            self.handle_event(clock::now(), event);
            turn.record(kind);
        }
    }

    /// Waits for an event or the member's next timer, but for at most [`WAIT_MAX_MS`].
    async fn wait(&self) {
        let now = clock::now();
        let due_ms = self
            .member
            .next_timeout_ms(now)
            .min(self.stop_deadline_ms.unwrap_or(u64::MAX));
        let wait_ms = due_ms.saturating_sub(now.steady_ms).clamp(1, WAIT_MAX_MS);
        runtime::timeout(Duration::from_millis(wait_ms), self.inbox.wait_non_empty()).await;
    }

    /// Whether SIGTERM was received and either the member is no longer needed and has answered all operator requests, or the
    /// deadline has passed.
    fn has_stopped(&self) -> bool {
        let Some(deadline_ms) = self.stop_deadline_ms else {
            return false;
        };
        (!self.member.is_needed() && self.calls.is_empty()) || steady_ms() >= deadline_ms
    }

    /// Reads the seeds from the settings every [`SETTINGS_RETRY_MS`] while no head is known.
    fn refresh_seeds(&mut self, clocks: Clocks) {
        if self.member.knows_head() {
            self.settings_due_ms = clocks.steady_ms + SETTINGS_RETRY_MS;
        } else if self.settings_due_ms <= clocks.steady_ms {
            self.settings_due_ms = clocks.steady_ms + SETTINGS_RETRY_MS;
            self.reload_seeds(clocks);
        }
    }

    fn reload_seeds(&mut self, clocks: Clocks) {
        match Settings::from_env() {
            Ok(settings) => self
                .member
                .handle(clocks, Input::Seeds(start::seeds(&settings))),
            Err(error) => log::error!("seeds not updated error={error}"),
        }
    }

    fn handle_event(&mut self, clocks: Clocks, event: Event) {
        match event {
            Event::CoreMember(input) => self.member.handle(clocks, input),
            Event::Operator { request, reply } => {
                let call = self.next_call;
                self.next_call = OperatorCallId(call.0 + 1);
                self.calls.insert(call, reply);
                self.member
                    .handle(clocks, Input::Operator { call, request });
            }
            Event::Signal(Signal::Terminate) => {
                log::info!("SIGTERM received, handing over");
                self.stop_deadline_ms
                    .get_or_insert(clocks.steady_ms + STEP_DOWN_LIMIT_MS);
                self.member.handle(clocks, Input::StepDown);
            }
            Event::Signal(Signal::Reload) => {
                log::info!("SIGHUP received, reading the seeds");
                self.reload_seeds(clocks);
            }
        }
    }

    fn execute(&mut self, output: Output) -> Result<(), DriverError> {
        match output {
            Output::Send { connection, frame } => self.connections.send(connection, &frame),
            Output::Close { connection } => self.connections.close(connection),
            Output::Dial { address } => self.connections.dial(address),
            Output::Respond { call, response } => {
                // The operator may have disconnected in the meantime.
                let _ = self.calls.remove(&call).map(|reply| reply.send(response));
            }
            Output::Storage(request) => {
                self.storage
                    .send(request)
                    .map_err(|_| DriverError::StorageEnded)?;
            }
            Output::Damaged { error } => return Err(DriverError::Damaged { source: error }),
        }
        Ok(())
    }
}
