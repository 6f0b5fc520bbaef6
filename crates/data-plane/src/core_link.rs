//! Which core member to talk to: finds the acting head, stays with it, and looks for its successor when it falls silent.
//! A state machine without I/O; `now_ms` is the machine's steady clock.

mod candidates;

pub use candidates::{BACKOFF_MAX_MS, BACKOFF_MIN_MS};

use candidates::Candidates;
use indigofold_protocol::config::IngressLimits;
use indigofold_protocol::internal::Welcome;
use std::net::SocketAddr;

/// A connection is given up that does not open within this time.
pub const CONNECT_TIMEOUT_MS: u64 = 400;
/// A connection is given up on which the member does not answer the greeting within this time.
pub const GREETING_TIMEOUT_MS: u64 = 700;
/// A head that owes an answer and sends nothing for so long is suspected: others are asked.
pub const SUSPICION_TIMEOUT_MS: u64 = 700;
/// A link that asks when idle asks a head for a sign of life that has sent nothing for so long.
pub const IDLE_PROBE_MS: u64 = 300;
/// A link that asks when idle leaves a head that owes an answer and sends nothing for so long.
pub const HEAD_TIMEOUT_MS: u64 = 2_000;
/// A member that is not the head is listened to for so long, then another one is asked.
pub const LISTEN_MS: u64 = 600;
/// Most connections that look for the head at the same time.
pub const SEARCH_CONNECTIONS_MAX: usize = 2;

/// A connection, numbered by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LinkId(pub u64);

/// What the process is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Open a connection and greet the member.
    Dial {
        /// Number of the connection.
        link: LinkId,
        /// Where to.
        address: SocketAddr,
    },
    /// Ask the acting head for a sign of life, over this connection.
    ProbeHead(LinkId),
    /// Close a connection.
    Close(LinkId),
    /// This connection leads to an acting head.
    Attached(LinkId),
    /// No acting head is known any more.
    Detached,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Dialling,
    Greeting,
    Listening,
}

#[derive(Debug)]
struct SearchConnection {
    link: LinkId,
    address: SocketAddr,
    stage: Stage,
    until_ms: u64,
}

#[derive(Debug)]
struct Attachment {
    link: LinkId,
    address: SocketAddr,
    view: u64,
    config_version: u64,
    limits: IngressLimits,
    /// An answer is owed since this time, without a frame after it.
    owed_since_ms: Option<u64>,
    /// A frame came in last at this time.
    last_frame_ms: u64,
    /// It was asked for a sign of life since then.
    probed: bool,
}

/// Connections to the core.
#[derive(Debug)]
pub struct CoreLink {
    candidates: Candidates,
    probes_when_idle: bool,
    attached: Option<Attachment>,
    searching_connections: Vec<SearchConnection>,
    /// The head that a member has named, to be dialled first, and the view it belongs to.
    hint: Option<(u64, SocketAddr)>,
    last_link: u64,
    actions: Vec<LinkAction>,
}

impl CoreLink {
    /// Knows nothing but the seeds.
    pub fn new(seeds: &[SocketAddr], random_seed: u64) -> Self {
        CoreLink {
            candidates: Candidates::new(seeds, random_seed),
            probes_when_idle: false,
            attached: None,
            searching_connections: Vec::new(),
            hint: None,
            last_link: 0,
            actions: Vec::new(),
        }
    }

    /// Asks a head that has been quiet for [`IDLE_PROBE_MS`] for a sign of life, and leaves it if it stays silent for
    /// [`HEAD_TIMEOUT_MS`]. Processes that send nothing while they are idle notice a frozen or unreachable head only so.
    pub fn probing_when_idle(mut self) -> Self {
        self.probes_when_idle = true;
        self
    }

    /// The seeds of newly read settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.candidates.set_seeds(seeds);
    }

    /// The connection to the acting head.
    pub fn attached(&self) -> Option<LinkId> {
        self.attached.as_ref().map(|attached| attached.link)
    }

    /// The head's address and view.
    pub fn head(&self) -> Option<(SocketAddr, u64)> {
        self.attached
            .as_ref()
            .map(|attached| (attached.address, attached.view))
    }

    /// The configuration's version at the acting head; 0 without one.
    pub fn config_version(&self) -> u64 {
        self.attached
            .as_ref()
            .map_or(0, |attached| attached.config_version)
    }

    /// The limits on clients' calls that the acting head has named.
    pub fn limits(&self) -> Option<&IngressLimits> {
        self.attached.as_ref().map(|attached| &attached.limits)
    }

    /// Up to when the head has been as talkative as it should: now, or since when it has owed an answer.
    pub fn head_responsive_ms(&self, now_ms: u64) -> u64 {
        self.attached
            .as_ref()
            .and_then(|attached| attached.owed_since_ms)
            .unwrap_or(now_ms)
    }

    /// Whether this connection is still of use.
    pub fn is_in_use(&self, link: LinkId) -> bool {
        self.attached() == Some(link)
            || self
                .searching_connections
                .iter()
                .any(|connection| connection.link == link)
    }

    /// A connection is open, and the greeting sent.
    pub fn handle_connected(&mut self, now_ms: u64, link: LinkId) {
        if let Some(connection) = self
            .searching_connections
            .iter_mut()
            .find(|connection| connection.link == link)
        {
            (connection.stage, connection.until_ms) =
                (Stage::Greeting, now_ms + GREETING_TIMEOUT_MS);
        }
    }

    /// A connection could not be opened, or has ended.
    pub fn handle_disconnected(&mut self, now_ms: u64, link: LinkId) {
        if let Some(attached) = self.attached.take_if(|attached| attached.link == link) {
            self.candidates.back_off(attached.address, now_ms);
            self.actions.push(LinkAction::Detached);
        }
        if let Some(index) = self
            .searching_connections
            .iter()
            .position(|connection| connection.link == link)
        {
            let connection = self.searching_connections.swap_remove(index);
            self.candidates.back_off(connection.address, now_ms);
        }
        self.handle_timeout(now_ms);
    }

    /// A member's account of itself has come in.
    pub fn handle_welcome(&mut self, now_ms: u64, link: LinkId, welcome: &Welcome) {
        let named = welcome.members.iter().chain(&welcome.head);
        self.candidates
            .set_members(&named.map(|member| member.internal).collect::<Vec<_>>());
        self.take_hint(welcome);
        if self.attached() == Some(link) {
            self.head_changed(now_ms, welcome);
        } else if let Some(index) = self
            .searching_connections
            .iter()
            .position(|connection| connection.link == link)
        {
            self.probe_answered(now_ms, index, welcome);
        }
        self.handle_timeout(now_ms);
    }

    /// Any frame has come in.
    pub fn handle_frame(&mut self, now_ms: u64, link: LinkId) {
        if let Some(attached) = self
            .attached
            .as_mut()
            .filter(|attached| attached.link == link)
        {
            (
                attached.owed_since_ms,
                attached.last_frame_ms,
                attached.probed,
            ) = (None, now_ms, false);
        }
    }

    /// Something was sent to the head that it has to answer, or an answer is still missing after a frame of it.
    pub fn handle_request_sent(&mut self, now_ms: u64) {
        if let Some(attached) = &mut self.attached {
            attached.owed_since_ms.get_or_insert(now_ms);
        }
    }

    /// Lets time pass.
    pub fn handle_timeout(&mut self, now_ms: u64) {
        self.drop_expired(now_ms);
        if self.probes_when_idle {
            self.leave_unresponsive(now_ms);
            self.probe_idle(now_ms);
        }
        if !self.searching(now_ms) {
            let listening: Vec<LinkId> = self
                .searching_connections
                .drain(..)
                .map(|connection| connection.link)
                .collect();
            self.actions
                .extend(listening.into_iter().map(LinkAction::Close));
            return;
        }
        self.dial_hint(now_ms);
        while self.searching_connections.len() < SEARCH_CONNECTIONS_MAX {
            let addresses_in_use = self.addresses_in_use();
            let Some(address) = self.candidates.pick(now_ms, &addresses_in_use) else {
                break;
            };
            self.dial(now_ms, address);
        }
    }

    /// When [`CoreLink::handle_timeout`] is to be called next, at the latest.
    pub fn next_timeout_ms(&self, now_ms: u64) -> Option<u64> {
        let head_ms = self
            .attached
            .as_ref()
            .and_then(|attached| self.head_due_ms(now_ms, attached));
        if !self.searching(now_ms) {
            return head_ms;
        }
        let expiry_ms = self
            .searching_connections
            .iter()
            .map(|connection| connection.until_ms)
            .min();
        let has_capacity = self.searching_connections.len() < SEARCH_CONNECTIONS_MAX;
        let dial_ms = has_capacity
            .then(|| self.candidates.next_attempt_ms(&self.addresses_in_use()))
            .flatten();
        head_ms.into_iter().chain(expiry_ms).chain(dial_ms).min()
    }

    /// What is to be done since the last call, in order.
    pub fn poll_actions(&mut self) -> Vec<LinkAction> {
        std::mem::take(&mut self.actions)
    }

    /// No head is known, or the one that is owes an answer for too long.
    fn searching(&self, now_ms: u64) -> bool {
        let Some(attached) = &self.attached else {
            return true;
        };
        attached
            .owed_since_ms
            .is_some_and(|owed_ms| owed_ms + SUSPICION_TIMEOUT_MS <= now_ms)
    }

    /// When the attached head is to be asked, suspected or left, whichever comes first.
    fn head_due_ms(&self, now_ms: u64, attached: &Attachment) -> Option<u64> {
        let probe_ms = (self.probes_when_idle && !attached.probed)
            .then_some(attached.last_frame_ms + IDLE_PROBE_MS);
        let suspect_ms = attached
            .owed_since_ms
            .map(|owed_ms| owed_ms + SUSPICION_TIMEOUT_MS);
        let leave_ms = attached.owed_since_ms.filter(|_| self.probes_when_idle);
        let leave_ms = leave_ms.map(|owed_ms| owed_ms + HEAD_TIMEOUT_MS);
        let suspect_ms = suspect_ms.filter(|due_ms| *due_ms > now_ms);
        probe_ms.into_iter().chain(suspect_ms).chain(leave_ms).min()
    }

    /// Leaves a head that has been silent for too long. Its address is tried again over a new connection, which opens
    /// sooner than the old one recovers once a cut has healed.
    fn leave_unresponsive(&mut self, now_ms: u64) {
        let is_timed_out = |attached: &mut Attachment| {
            attached
                .owed_since_ms
                .is_some_and(|owed_ms| owed_ms + HEAD_TIMEOUT_MS <= now_ms)
        };
        let Some(former) = self.attached.take_if(is_timed_out) else {
            return;
        };
        self.hint = self.hint.filter(|(_, address)| *address != former.address);
        self.candidates.back_off(former.address, now_ms);
        self.actions.push(LinkAction::Detached);
        self.actions.push(LinkAction::Close(former.link));
    }

    /// Asks a head that has been quiet for a sign of life, once until it is heard.
    fn probe_idle(&mut self, now_ms: u64) {
        let Some(attached) = &mut self.attached else {
            return;
        };
        if !attached.probed && attached.last_frame_ms + IDLE_PROBE_MS <= now_ms {
            attached.probed = true;
            attached.owed_since_ms.get_or_insert(now_ms);
            self.actions.push(LinkAction::ProbeHead(attached.link));
        }
    }

    fn take_hint(&mut self, welcome: &Welcome) {
        let Some(head) = &welcome.head else { return };
        if !welcome.acting && self.hint.is_none_or(|(view, _)| view < welcome.view) {
            self.candidates.clear_backoff(head.internal);
            self.dial_anew(head.internal);
        }
        if self.hint.is_none_or(|(view, _)| view <= welcome.view) {
            self.hint = Some((welcome.view, head.internal));
        }
    }

    /// The attached member has sent a new account of itself.
    fn head_changed(&mut self, now_ms: u64, welcome: &Welcome) {
        if welcome.acting {
            if let Some(attached) = &mut self.attached {
                attached.view = welcome.view;
                attached.config_version = welcome.config_version;
                attached.limits = welcome.limits.clone();
            }
        } else if let Some(attached) = self.attached.take() {
            let until_ms = now_ms + LISTEN_MS;
            let Attachment { link, address, .. } = attached;
            self.searching_connections.push(SearchConnection {
                link,
                address,
                stage: Stage::Listening,
                until_ms,
            });
            self.actions.push(LinkAction::Detached);
        }
    }

    fn probe_answered(&mut self, now_ms: u64, index: usize, welcome: &Welcome) {
        let known_view = self.attached.as_ref().map(|attached| attached.view);
        if welcome.acting && known_view.is_none_or(|view| view < welcome.view) {
            let SearchConnection { link, address, .. } =
                self.searching_connections.swap_remove(index);
            self.attach(now_ms, link, address, welcome);
        } else {
            let connection = &mut self.searching_connections[index];
            (connection.stage, connection.until_ms) = (Stage::Listening, now_ms + LISTEN_MS);
        }
    }

    fn attach(&mut self, now_ms: u64, link: LinkId, address: SocketAddr, welcome: &Welcome) {
        let attached = Attachment {
            link,
            address,
            view: welcome.view,
            config_version: welcome.config_version,
            limits: welcome.limits.clone(),
            owed_since_ms: None,
            last_frame_ms: now_ms,
            probed: false,
        };
        if let Some(former) = self.attached.replace(attached) {
            self.actions.push(LinkAction::Detached);
            self.actions.push(LinkAction::Close(former.link));
        }
        self.actions.push(LinkAction::Attached(link));
    }

    fn drop_expired(&mut self, now_ms: u64) {
        let expired = self
            .searching_connections
            .extract_if(.., |connection| connection.until_ms <= now_ms);
        for connection in expired {
            self.candidates.back_off(connection.address, now_ms);
            self.actions.push(LinkAction::Close(connection.link));
        }
    }

    /// Dials the head that was named, beside the probes that are open already.
    fn dial_hint(&mut self, now_ms: u64) {
        let Some((_, address)) = self.hint else {
            return;
        };
        if !self.addresses_in_use().contains(&address) && self.candidates.may_dial(address, now_ms)
        {
            self.dial(now_ms, address);
        }
    }

    /// Gives up a dial that is under way to this address: it may have begun while the machine was down, and would hang.
    fn dial_anew(&mut self, address: SocketAddr) {
        let hangs = |connection: &mut SearchConnection| {
            connection.address == address && connection.stage == Stage::Dialling
        };
        let given_up: Vec<LinkId> = self
            .searching_connections
            .extract_if(.., hangs)
            .map(|connection| connection.link)
            .collect();
        self.actions
            .extend(given_up.into_iter().map(LinkAction::Close));
    }

    fn dial(&mut self, now_ms: u64, address: SocketAddr) {
        self.last_link += 1;
        let link = LinkId(self.last_link);
        let until_ms = now_ms + CONNECT_TIMEOUT_MS;
        self.searching_connections.push(SearchConnection {
            link,
            address,
            stage: Stage::Dialling,
            until_ms,
        });
        self.actions.push(LinkAction::Dial { link, address });
    }

    fn addresses_in_use(&self) -> Vec<SocketAddr> {
        let probed = self
            .searching_connections
            .iter()
            .map(|connection| connection.address);
        probed
            .chain(self.attached.as_ref().map(|attached| attached.address))
            .collect()
    }
}
