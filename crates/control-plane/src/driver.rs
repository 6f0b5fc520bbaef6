//! Connects a [`Node`] with sockets, disk, clocks and signals: one thread for all but the disk.

mod error;
mod links;
mod start;

pub use error::DriverError;

use crate::head::Clocks;
use crate::inbox::Inbox;
use crate::node::{Input, Node, Output};
use crate::operator::{OperatorAnswer, OperatorCall};
use crate::storage_thread::StorageRequest;
use futures_channel::oneshot;
use indigofold_net::http::HttpServer;
use indigofold_net::signals::Signal;
use indigofold_net::{runtime, steady_ms, wall_ms};
use indigofold_settings::Settings;
use links::Links;
use std::collections::HashMap;
use std::sync::mpsc::Sender;
use std::time::Duration;

/// Longest time between two looks at the node's timers.
const WAIT_LONGEST_MS: u64 = 1_000;
/// A member that is told to stop has this time to hand its role over and to leave the chain.
const HAND_OVER_MS: u64 = 1_000;
/// While no head is known the settings are read again after this time: their seeds may have changed without a signal.
const SETTINGS_RETRY_MS: u64 = 2_000;
/// After that, connections without a call are closed after this time.
const IDLE_GRACE: Duration = Duration::from_millis(100);
/// Calls at work have this time to be answered.
const ANSWERS_LIMIT: Duration = Duration::from_millis(400);

/// What the tasks on sockets, storage and signals tell the driver.
#[expect(
    clippy::large_enum_variant,
    reason = "most events are frames: a box for each would cost more"
)]
enum Event {
    /// Something for the node.
    Node(Input),
    /// A call of the operator; the answer goes to `reply`.
    Operator {
        request: OperatorCall,
        reply: oneshot::Sender<OperatorAnswer>,
    },
    /// A signal.
    Signal(Signal),
}

/// Runs the member that the settings describe, until SIGTERM.
pub async fn run(settings: Settings) -> Result<(), DriverError> {
    let inbox = Inbox::default();
    // First, as opening the database takes a while: a member told to end meanwhile ends as any other does.
    start::watch_signals(&inbox)?;
    let (node, requests) = start::node(&settings, &inbox).await?;
    let links = Links::listen(settings.internal_address(), inbox.clone()).await?;
    let http = start::serve_operator(&settings, &inbox).await?;
    log::info!(
        "{} is up at {}",
        settings.node_name,
        settings.internal_address()
    );
    let settings_due_ms = steady_ms() + SETTINGS_RETRY_MS;
    let driver = Driver {
        node,
        inbox,
        links,
        requests,
        calls: HashMap::new(),
        next_call: 0,
        stop_ms: None,
        settings_due_ms,
    };
    driver.serve(http).await
}

/// The running member.
struct Driver {
    node: Node,
    inbox: Inbox<Event>,
    links: Links,
    requests: Sender<StorageRequest>,
    calls: HashMap<u64, oneshot::Sender<OperatorAnswer>>,
    next_call: u64,
    stop_ms: Option<u64>,
    settings_due_ms: u64,
}

impl Driver {
    async fn serve(mut self, http: HttpServer) -> Result<(), DriverError> {
        while !self.has_stopped() {
            self.wait().await;
            let clocks = clocks();
            self.node.tick(clocks);
            self.look_for_seeds(clocks);
            while let Some(event) = self.inbox.pop() {
                self.event(clocks, event);
            }
            for output in self.node.finish(steady_ms()) {
                self.carry_out(output)?;
            }
        }
        http.shutdown(IDLE_GRACE, ANSWERS_LIMIT).await;
        log::info!("stopped");
        Ok(())
    }

    /// Waits for events, or for the next timer of the node.
    async fn wait(&self) {
        let now = clocks();
        let due_ms = self
            .node
            .next_tick_ms(now)
            .min(self.stop_ms.unwrap_or(u64::MAX));
        let wait_ms = due_ms
            .saturating_sub(now.steady_ms)
            .clamp(1, WAIT_LONGEST_MS);
        runtime::timeout(Duration::from_millis(wait_ms), self.inbox.filled()).await;
    }

    /// Told to stop, and no longer needed (or out of time).
    fn has_stopped(&self) -> bool {
        let Some(stop_ms) = self.stop_ms else {
            return false;
        };
        (!self.node.is_needed() && self.calls.is_empty()) || steady_ms() >= stop_ms
    }

    /// Looks for other seeds while no head is known.
    fn look_for_seeds(&mut self, clocks: Clocks) {
        if self.node.knows_head() {
            self.settings_due_ms = clocks.steady_ms + SETTINGS_RETRY_MS;
        } else if self.settings_due_ms <= clocks.steady_ms {
            self.settings_due_ms = clocks.steady_ms + SETTINGS_RETRY_MS;
            self.read_seeds(clocks);
        }
    }

    fn read_seeds(&mut self, clocks: Clocks) {
        match Settings::from_env() {
            Ok(settings) => self
                .node
                .handle(clocks, Input::Seeds(start::seeds(&settings))),
            Err(error) => log::error!("the seeds stay as they were: {error}"),
        }
    }

    fn event(&mut self, clocks: Clocks, event: Event) {
        match event {
            Event::Node(input) => self.node.handle(clocks, input),
            Event::Operator { request, reply } => {
                let call = self.next_call;
                self.next_call += 1;
                self.calls.insert(call, reply);
                self.node.handle(clocks, Input::Operator { call, request });
            }
            Event::Signal(Signal::Terminate) => {
                log::info!("SIGTERM: hands over and stops");
                self.stop_ms.get_or_insert(clocks.steady_ms + HAND_OVER_MS);
                self.node.handle(clocks, Input::StepDown);
            }
            Event::Signal(Signal::Reload) => {
                log::info!("SIGHUP: reads the seeds again");
                self.read_seeds(clocks);
            }
        }
    }

    fn carry_out(&mut self, output: Output) -> Result<(), DriverError> {
        match output {
            Output::Send { connection, frame } => self.links.send(connection, &frame),
            Output::Close { connection } => self.links.close(connection),
            Output::Dial { address } => self.links.dial(address),
            Output::Answer { call, answer } => {
                // The operator may have gone in the meantime.
                let _ = self.calls.remove(&call).map(|reply| reply.send(answer));
            }
            Output::Storage(request) => {
                self.requests
                    .send(request)
                    .map_err(|_| DriverError::StorageGone)?;
            }
            Output::Damaged { reason } => return Err(DriverError::Damaged { reason }),
        }
        Ok(())
    }
}

fn clocks() -> Clocks {
    Clocks {
        steady_ms: steady_ms(),
        wall_ms: wall_ms(),
    }
}
