//! A process of the data plane: a role, its link to the core, and the timer of both.

use super::alarm::Alarm;
use crate::core_link::{CONNECT_TIMEOUT_MS, CoreLink, Head, LinkAction, LinkId};
use indigofold_net::framed::{self, FrameSender};
use indigofold_net::{NetError, runtime, steady_ms};
use indigofold_protocol::config::IngressLimits;
use indigofold_protocol::internal::{Frame, Hello, ProcessKind};
use indigofold_settings::Settings;
use std::cell::{RefCell, RefMut};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What a role does with the link to the core. Returned frames are sent to the acting head.
pub trait Role: 'static {
    /// What is known of the head: the configuration's version (0 without a head) and its limits. The head has owed
    /// nothing up to `answered_ms`.
    fn update_head(
        &mut self,
        answered_ms: u64,
        config_version: u64,
        limits: Option<&IngressLimits>,
    );
    /// An acting head is connected.
    fn handle_attached(&mut self, now_ms: u64) -> Vec<Rc<Frame>>;
    /// The acting head is lost.
    fn handle_detached(&mut self, now_ms: u64);
    /// The acting head has sent a frame.
    fn handle_frame(&mut self, now_ms: u64, frame: Frame);
    /// What an acting head answers at once, for a role that is to notice a silent head also while it is idle.
    fn liveness_probe(&self) -> Option<Frame>;
    /// Whether the acting head still owes a reply to something that was sent to it.
    fn awaits_reply(&self) -> bool;
    /// Time has passed, or something has come in.
    fn handle_timeout(&mut self, now_ms: u64) -> Vec<Rc<Frame>>;
    /// When [`Role::handle_timeout`] is to be called next, at the latest.
    fn next_timeout_ms(&self) -> Option<u64>;
}

struct State<R> {
    role: R,
    link: CoreLink,
    hello: Hello,
    senders: HashMap<LinkId, FrameSender>,
}

/// A role and its link to the core; clones share them.
pub struct Node<R> {
    state: Rc<RefCell<State<R>>>,
    alarm: Rc<Alarm>,
}

impl<R> Clone for Node<R> {
    fn clone(&self) -> Self {
        Node {
            state: Rc::clone(&self.state),
            alarm: Rc::clone(&self.alarm),
        }
    }
}

impl<R: Role> Node<R> {
    /// A process that knows nothing but its settings.
    pub fn new(settings: &Settings, kind: ProcessKind, role: R) -> Self {
        let incarnation = fastrand::u64(..);
        let (node_name, zone) = (settings.node_name.clone(), settings.zone.clone());
        let hello = Hello {
            node_name,
            kind,
            zone,
            incarnation,
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
        Node {
            state: Rc::new(RefCell::new(state)),
            alarm: Rc::new(Alarm::default()),
        }
    }

    /// Starts to look for the core.
    pub fn start(&self) {
        let node = self.clone();
        runtime::spawn(async move { node.alarm.run(|| node.pump()).await });
    }

    /// The seeds of newly read settings.
    pub fn set_seeds(&self, settings: &Settings) {
        self.state.borrow_mut().link.set_seeds(&seeds(settings));
        self.advance();
    }

    /// Whether an acting head is connected.
    pub fn has_head(&self) -> bool {
        self.state.borrow().link.attached().is_some()
    }

    /// Lets the role take something in; what it wants sent is sent.
    pub fn with_role<T>(&self, act: impl FnOnce(&mut R) -> T) -> T {
        let result = act(&mut self.observed().role);
        self.advance();
        result
    }

    /// Does all that is due and sets the timer.
    fn advance(&self) {
        let next_ms = self.pump();
        self.alarm.set(next_ms);
    }

    /// The state, after the role has been told what the link knows.
    fn observed(&self) -> RefMut<'_, State<R>> {
        let mut state = self.state.borrow_mut();
        let State { role, link, .. } = &mut *state;
        role.update_head(
            link.head_responsive_ms(steady_ms()),
            link.config_version(),
            link.limits(),
        );
        state
    }

    /// Does all that is due; returns when something is due next.
    fn pump(&self) -> Option<u64> {
        let now_ms = steady_ms();
        let mut state = self.observed();
        state.link.handle_timeout(now_ms);
        for action in state.link.poll_actions() {
            match action {
                LinkAction::Dial { link, address } => self.dial(link, address),
                LinkAction::ProbeHead(link) => state.probe_head(link),
                LinkAction::Close(link) => state.close(link),
                LinkAction::Attached(_) => state.attached(now_ms),
                LinkAction::Detached => state.detached(now_ms),
            }
        }
        let frames = state.role.handle_timeout(now_ms);
        state.send(now_ms, &frames);
        let link_ms = state.link.next_timeout_ms(now_ms);
        link_ms
            .into_iter()
            .chain(state.role.next_timeout_ms())
            .min()
    }

    fn dial(&self, link: LinkId, address: SocketAddr) {
        let node = self.clone();
        runtime::spawn(async move {
            if let Err(error) = node.converse(link, address).await {
                log::debug!("core member {address}: {error}");
            }
            let mut state = node.observed();
            state.senders.remove(&link);
            state.link.handle_disconnected(steady_ms(), link);
            drop(state);
            node.advance();
        });
    }

    /// Opens a connection, greets the member, and takes what it sends until the connection ends.
    async fn converse(&self, link: LinkId, address: SocketAddr) -> Result<(), NetError> {
        let connection =
            framed::connect(address, Duration::from_millis(CONNECT_TIMEOUT_MS)).await?;
        if !self.connected(link, connection.sender) {
            return Ok(());
        }
        let mut reader = connection.reader;
        while let Some(frame) = reader.next().await? {
            self.received(link, frame);
        }
        Ok(())
    }

    /// Greets the member; `false` if the connection is no longer wanted.
    fn connected(&self, link: LinkId, sender: FrameSender) -> bool {
        let mut state = self.state.borrow_mut();
        if !state.link.is_in_use(link) || sender.send(&Frame::Hello(state.hello.clone())).is_err() {
            return false;
        }
        state.senders.insert(link, sender);
        state.link.handle_connected(steady_ms(), link);
        true
    }

    fn received(&self, link: LinkId, frame: Frame) {
        let now_ms = steady_ms();
        let mut state = self.observed();
        state.link.handle_frame(now_ms, link);
        match frame {
            Frame::Welcome(welcome) => state.link.handle_welcome(now_ms, link, &welcome),
            frame if state.link.attached() == Some(link) => state.role.handle_frame(now_ms, frame),
            _ => {}
        }
        if state.role.awaits_reply() {
            state.link.handle_request_sent(now_ms);
        }
        drop(state);
        self.advance();
    }
}

impl<R: Role> State<R> {
    fn attached(&mut self, now_ms: u64) {
        if let Some(Head { address, view }) = self.link.head() {
            log::info!("connected to the head {address} of view {view}");
        }
        self.role.update_head(
            self.link.head_responsive_ms(now_ms),
            self.link.config_version(),
            self.link.limits(),
        );
        let frames = self.role.handle_attached(now_ms);
        self.send(now_ms, &frames);
    }

    fn detached(&mut self, now_ms: u64) {
        log::warn!("the head is lost: looking for its successor");
        self.role.handle_detached(now_ms);
    }

    /// Sends frames to the acting head. If the connection is closed, its reader tells.
    fn send(&mut self, now_ms: u64, frames: &[Rc<Frame>]) {
        if frames.is_empty() {
            return;
        }
        let Some(sender) = self
            .link
            .attached()
            .and_then(|link| self.senders.get(&link))
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

    /// Asks the head for a sign of life. If the connection is closed, its reader tells.
    fn probe_head(&self, link: LinkId) {
        if let (Some(sender), Some(frame)) = (self.senders.get(&link), self.role.liveness_probe()) {
            let _ = sender.send(&frame);
        }
    }

    fn close(&mut self, link: LinkId) {
        if let Some(sender) = self.senders.remove(&link) {
            sender.close();
        }
    }
}

fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    settings
        .seed_internal_addresses()
        .iter()
        .map(|seed| seed.internal)
        .collect()
}
