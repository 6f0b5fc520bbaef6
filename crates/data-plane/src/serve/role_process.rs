//! A process of the data plane: runs a role, its link to the core, and the timer that drives both.

use super::role::{HeadStatus, Role};
use super::timer::Timer;
use crate::core_link::{CONNECT_TIMEOUT_MS, ConnectionId, CoreLink, Head, LinkAction};
use indigofold_net::framed::{self, FrameSender};
use indigofold_net::{NetError, runtime, steady_ms};
use indigofold_protocol::internal::{Frame, Hello, ProcessKind};
use indigofold_settings::Settings;
use std::cell::{RefCell, RefMut};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

struct State<R> {
    role: R,
    link: CoreLink,
    /// The greeting sent on each new connection.
    hello: Hello,
    /// The sending halves of the open connections.
    senders: HashMap<ConnectionId, FrameSender>,
}

/// A role and its link to the core; clones share the same state.
pub(super) struct RoleProcess<R> {
    state: Rc<RefCell<State<R>>>,
    timer: Rc<Timer>,
}

impl<R> Clone for RoleProcess<R> {
    fn clone(&self) -> Self {
        RoleProcess {
            state: Rc::clone(&self.state),
            timer: Rc::clone(&self.timer),
        }
    }
}

impl<R: Role> RoleProcess<R> {
    /// Creates a process that is not connected yet.
    pub(super) fn new(settings: &Settings, kind: ProcessKind, role: R) -> Self {
        let incarnation = fastrand::u64(..);
        let (node_name, zone) = (settings.node_name.clone(), settings.zone.clone());
        let hello = Hello {
            node_name,
            kind,
            zone,
            incarnation,
            ip: Some(settings.ip),
        };
        let link = CoreLink::new(&seeds(settings), incarnation);
        let link = if role.liveness_probe().is_some() {
            link.with_idle_probing()
        } else {
            link
        };
        let state = State {
            role,
            link,
            hello,
            senders: HashMap::new(),
        };
        RoleProcess {
            state: Rc::new(RefCell::new(state)),
            timer: Rc::new(Timer::default()),
        }
    }

    /// Starts the timer task, which begins the search for the head.
    pub(super) fn start(&self) {
        let process = self.clone();
        runtime::spawn(async move { process.timer.run(|| process.process_due()).await });
    }

    /// Replaces the seeds by those of reloaded settings.
    pub(super) fn set_seeds(&self, settings: &Settings) {
        self.state.borrow_mut().link.set_seeds(&seeds(settings));
        self.process_due_and_set_timer();
    }

    /// Whether an acting head is connected.
    pub(super) fn has_head(&self) -> bool {
        self.state.borrow().link.attached().is_some()
    }

    /// Calls `operation` with the role, then sends the frames that are due.
    pub(super) fn with_role<T>(&self, operation: impl FnOnce(&mut R) -> T) -> T {
        let result = operation(&mut self.updated_state().role);
        self.process_due_and_set_timer();
        result
    }

    /// Performs everything that is due and sets the timer.
    fn process_due_and_set_timer(&self) {
        let next_due_ms = self.process_due();
        self.timer.set_if_earlier(next_due_ms);
    }

    /// Borrows the state after passing the current state of the head to the role.
    fn updated_state(&self) -> RefMut<'_, State<R>> {
        let mut state = self.state.borrow_mut();
        let State { role, link, .. } = &mut *state;
        role.handle_head_status(head_status(link, steady_ms()));
        state
    }

    /// Performs everything that is due, and returns the time at which something is due next.
    fn process_due(&self) -> Option<u64> {
        let now_ms = steady_ms();
        let mut state = self.updated_state();
        state.link.handle_timeout(now_ms);
        for action in state.link.poll_actions() {
            match action {
                LinkAction::Dial {
                    connection,
                    address,
                } => self.dial(connection, address),
                LinkAction::ProbeHead(connection) => state.probe_head(connection),
                LinkAction::Close(connection) => state.close(connection),
                LinkAction::Attached(_) => state.handle_attached(now_ms),
                LinkAction::Detached => state.handle_detached(now_ms),
            }
        }
        let frames = state.role.poll_frames(now_ms);
        state.send(now_ms, &frames);
        let link_due_ms = state.link.next_timeout_ms(now_ms);
        link_due_ms
            .into_iter()
            .chain(state.role.next_timeout_ms())
            .min()
    }

    fn dial(&self, connection: ConnectionId, address: SocketAddr) {
        let process = self.clone();
        runtime::spawn(async move {
            if let Err(error) = process.run_connection(connection, address).await {
                log::debug!("connection to a core member failed: {error} address={address}");
            }
            let mut state = process.updated_state();
            state.senders.remove(&connection);
            state.link.handle_disconnected(steady_ms(), connection);
            drop(state);
            process.process_due_and_set_timer();
        });
    }

    /// Opens a connection, greets the member, and handles its frames until the connection ends.
    async fn run_connection(
        &self,
        connection: ConnectionId,
        address: SocketAddr,
    ) -> Result<(), NetError> {
        let opened_connection =
            framed::connect(address, Duration::from_millis(CONNECT_TIMEOUT_MS)).await?;
        if !self.greet(connection, opened_connection.sender) {
            return Ok(());
        }
        let mut reader = opened_connection.reader;
        while let Some(frame) = reader.next().await? {
            self.handle_frame(connection, frame);
        }
        Ok(())
    }

    /// Sends the greeting on a new connection. Returns `false` if the connection is closed or no longer in use.
    fn greet(&self, connection: ConnectionId, sender: FrameSender) -> bool {
        let mut state = self.state.borrow_mut();
        if !state.link.is_in_use(connection)
            || sender.send(&Frame::Hello(state.hello.clone())).is_err()
        {
            return false;
        }
        state.senders.insert(connection, sender);
        state.link.handle_connected(steady_ms(), connection);
        true
    }

    fn handle_frame(&self, connection: ConnectionId, frame: Frame) {
        let now_ms = steady_ms();
        let mut state = self.updated_state();
        match frame {
            Frame::Welcome(welcome) => state.link.handle_welcome(now_ms, connection, &welcome),
            reply if state.link.attached() == Some(connection) => {
                state.link.handle_reply(now_ms, connection);
                state.role.handle_frame(now_ms, reply);
            }
            _ => {}
        }
        if state.role.awaits_reply() {
            state.link.handle_request_sent(now_ms);
        }
        drop(state);
        self.process_due_and_set_timer();
    }
}

impl<R: Role> State<R> {
    fn handle_attached(&mut self, now_ms: u64) {
        if let Some(Head { address, view }) = self.link.head() {
            log::info!("connected to the head address={address} view={view}");
        }
        self.role
            .handle_head_status(head_status(&self.link, now_ms));
        let frames = self.role.handle_attached(now_ms);
        self.send(now_ms, &frames);
    }

    fn handle_detached(&mut self, now_ms: u64) {
        log::warn!("connection to the head lost, searching for its successor");
        self.role.handle_detached(now_ms);
    }

    /// Sends frames to the acting head; they are dropped without one. A closed connection is handled by its reader.
    fn send(&mut self, now_ms: u64, frames: &[Rc<Frame>]) {
        if frames.is_empty() {
            return;
        }
        let Some(sender) = self
            .link
            .attached()
            .and_then(|connection| self.senders.get(&connection))
        else {
            return;
        };
        for frame in frames {
            if sender.send(frame).is_err() {
                return;
            }
        }
        self.link.handle_request_sent(now_ms);
    }

    /// Sends a liveness probe to the head. A closed connection is handled by its reader.
    fn probe_head(&self, connection: ConnectionId) {
        if let (Some(sender), Some(frame)) =
            (self.senders.get(&connection), self.role.liveness_probe())
        {
            let _ = sender.send(&frame);
        }
    }

    fn close(&mut self, connection: ConnectionId) {
        if let Some(sender) = self.senders.remove(&connection) {
            sender.close();
        }
    }
}

fn head_status(link: &CoreLink, now_ms: u64) -> HeadStatus<'_> {
    HeadStatus {
        responsive_ms: link.head_responsive_ms(now_ms),
        config_version: link.config_version(),
        limits: link.limits(),
    }
}

fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    settings
        .seed_internal_addresses()
        .iter()
        .map(|seed| seed.internal)
        .collect()
}
