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
pub const SILENCE_MS: u64 = 700;
/// A link that asks when idle asks a head for a sign of life that has sent nothing for so long.
pub const IDLE_MS: u64 = 300;
/// A link that asks when idle leaves a head that owes an answer and sends nothing for so long.
pub const GIVE_UP_MS: u64 = 2_000;
/// A member that is not the head is listened to for so long, then another one is asked.
pub const LISTEN_MS: u64 = 600;
/// Most connections that look for the head at the same time.
pub const PROBES_MAX: usize = 2;

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
    Ask(LinkId),
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
struct Probe {
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
    heard_ms: u64,
    /// It was asked for a sign of life since then.
    probed: bool,
}

/// Connections to the core.
#[derive(Debug)]
pub struct CoreLink {
    candidates: Candidates,
    asks_when_idle: bool,
    attached: Option<Attachment>,
    probes: Vec<Probe>,
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
            asks_when_idle: false,
            attached: None,
            probes: Vec::new(),
            hint: None,
            last_link: 0,
            actions: Vec::new(),
        }
    }

    /// Asks a head that has been quiet for [`IDLE_MS`] for a sign of life, and leaves it if it stays silent for
    /// [`GIVE_UP_MS`]. Processes that send nothing while they are idle notice a frozen or unreachable head only so.
    pub fn asking_when_idle(mut self) -> Self {
        self.asks_when_idle = true;
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
    pub fn answered_ms(&self, now_ms: u64) -> u64 {
        self.attached
            .as_ref()
            .and_then(|attached| attached.owed_since_ms)
            .unwrap_or(now_ms)
    }

    /// Whether this connection is still of use.
    pub fn wants(&self, link: LinkId) -> bool {
        self.attached() == Some(link) || self.probes.iter().any(|probe| probe.link == link)
    }

    /// A connection is open, and the greeting sent.
    pub fn connected(&mut self, now_ms: u64, link: LinkId) {
        if let Some(probe) = self.probes.iter_mut().find(|probe| probe.link == link) {
            (probe.stage, probe.until_ms) = (Stage::Greeting, now_ms + GREETING_TIMEOUT_MS);
        }
    }

    /// A connection could not be opened, or has ended.
    pub fn failed(&mut self, now_ms: u64, link: LinkId) {
        if let Some(attached) = self.attached.take_if(|attached| attached.link == link) {
            self.candidates.back_off(attached.address, now_ms);
            self.actions.push(LinkAction::Detached);
        }
        if let Some(index) = self.probes.iter().position(|probe| probe.link == link) {
            let probe = self.probes.swap_remove(index);
            self.candidates.back_off(probe.address, now_ms);
        }
        self.tick(now_ms);
    }

    /// A member's account of itself has come in.
    pub fn welcomed(&mut self, now_ms: u64, link: LinkId, welcome: &Welcome) {
        let named = welcome.members.iter().chain(&welcome.head);
        self.candidates
            .set_members(&named.map(|member| member.internal).collect::<Vec<_>>());
        self.take_hint(welcome);
        if self.attached() == Some(link) {
            self.head_changed(now_ms, welcome);
        } else if let Some(index) = self.probes.iter().position(|probe| probe.link == link) {
            self.probe_answered(now_ms, index, welcome);
        }
        self.tick(now_ms);
    }

    /// Any frame has come in.
    pub fn heard(&mut self, now_ms: u64, link: LinkId) {
        if let Some(attached) = self
            .attached
            .as_mut()
            .filter(|attached| attached.link == link)
        {
            (attached.owed_since_ms, attached.heard_ms, attached.probed) = (None, now_ms, false);
        }
    }

    /// Something was sent to the head that it has to answer, or an answer is still missing after a frame of it.
    pub fn asked(&mut self, now_ms: u64) {
        if let Some(attached) = &mut self.attached {
            attached.owed_since_ms.get_or_insert(now_ms);
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now_ms: u64) {
        self.drop_expired(now_ms);
        if self.asks_when_idle {
            self.give_up(now_ms);
            self.ask_idle(now_ms);
        }
        if !self.searching(now_ms) {
            let listening: Vec<LinkId> = self.probes.drain(..).map(|probe| probe.link).collect();
            self.actions
                .extend(listening.into_iter().map(LinkAction::Close));
            return;
        }
        self.dial_hint(now_ms);
        while self.probes.len() < PROBES_MAX {
            let busy = self.busy();
            let Some(address) = self.candidates.pick(now_ms, &busy) else {
                break;
            };
            self.dial(now_ms, address);
        }
    }

    /// When [`CoreLink::tick`] is to be called next, at the latest.
    pub fn next_tick_ms(&self, now_ms: u64) -> Option<u64> {
        let head_ms = self
            .attached
            .as_ref()
            .and_then(|attached| self.head_due_ms(now_ms, attached));
        if !self.searching(now_ms) {
            return head_ms;
        }
        let expiry_ms = self.probes.iter().map(|probe| probe.until_ms).min();
        let room = self.probes.len() < PROBES_MAX;
        let dial_ms = room
            .then(|| self.candidates.next_ms(&self.busy()))
            .flatten();
        head_ms.into_iter().chain(expiry_ms).chain(dial_ms).min()
    }

    /// What is to be done since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<LinkAction> {
        std::mem::take(&mut self.actions)
    }

    /// No head is known, or the one that is owes an answer for too long.
    fn searching(&self, now_ms: u64) -> bool {
        let Some(attached) = &self.attached else {
            return true;
        };
        attached
            .owed_since_ms
            .is_some_and(|owed_ms| owed_ms + SILENCE_MS <= now_ms)
    }

    /// When the attached head is to be asked, suspected or left, whichever comes first.
    fn head_due_ms(&self, now_ms: u64, attached: &Attachment) -> Option<u64> {
        let ask_ms =
            (self.asks_when_idle && !attached.probed).then_some(attached.heard_ms + IDLE_MS);
        let suspect_ms = attached.owed_since_ms.map(|owed_ms| owed_ms + SILENCE_MS);
        let leave_ms = attached.owed_since_ms.filter(|_| self.asks_when_idle);
        let leave_ms = leave_ms.map(|owed_ms| owed_ms + GIVE_UP_MS);
        let suspect_ms = suspect_ms.filter(|due_ms| *due_ms > now_ms);
        ask_ms.into_iter().chain(suspect_ms).chain(leave_ms).min()
    }

    /// Leaves a head that has been silent for too long. Its address is tried again over a new connection, which opens
    /// sooner than the old one recovers once a cut has healed.
    fn give_up(&mut self, now_ms: u64) {
        let silent = |attached: &mut Attachment| {
            attached
                .owed_since_ms
                .is_some_and(|owed_ms| owed_ms + GIVE_UP_MS <= now_ms)
        };
        let Some(left) = self.attached.take_if(silent) else {
            return;
        };
        self.hint = self.hint.filter(|(_, address)| *address != left.address);
        self.candidates.back_off(left.address, now_ms);
        self.actions.push(LinkAction::Detached);
        self.actions.push(LinkAction::Close(left.link));
    }

    /// Asks a head that has been quiet for a sign of life, once until it is heard.
    fn ask_idle(&mut self, now_ms: u64) {
        let Some(attached) = &mut self.attached else {
            return;
        };
        if !attached.probed && attached.heard_ms + IDLE_MS <= now_ms {
            attached.probed = true;
            attached.owed_since_ms.get_or_insert(now_ms);
            self.actions.push(LinkAction::Ask(attached.link));
        }
    }

    fn take_hint(&mut self, welcome: &Welcome) {
        let Some(head) = &welcome.head else { return };
        if !welcome.acting && self.hint.is_none_or(|(view, _)| view < welcome.view) {
            self.candidates.forgive(head.internal);
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
            self.probes.push(Probe {
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
            let Probe { link, address, .. } = self.probes.swap_remove(index);
            self.attach(now_ms, link, address, welcome);
        } else {
            let probe = &mut self.probes[index];
            (probe.stage, probe.until_ms) = (Stage::Listening, now_ms + LISTEN_MS);
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
            heard_ms: now_ms,
            probed: false,
        };
        if let Some(former) = self.attached.replace(attached) {
            self.actions.push(LinkAction::Detached);
            self.actions.push(LinkAction::Close(former.link));
        }
        self.actions.push(LinkAction::Attached(link));
    }

    fn drop_expired(&mut self, now_ms: u64) {
        let expired = self.probes.extract_if(.., |probe| probe.until_ms <= now_ms);
        for probe in expired {
            self.candidates.back_off(probe.address, now_ms);
            self.actions.push(LinkAction::Close(probe.link));
        }
    }

    /// Dials the head that was named, beside the probes that are open already.
    fn dial_hint(&mut self, now_ms: u64) {
        let Some((_, address)) = self.hint else {
            return;
        };
        if !self.busy().contains(&address) && self.candidates.may_dial(address, now_ms) {
            self.dial(now_ms, address);
        }
    }

    /// Gives up a dial that is under way to this address: it may have begun while the machine was down, and would hang.
    fn dial_anew(&mut self, address: SocketAddr) {
        let hangs = |probe: &mut Probe| probe.address == address && probe.stage == Stage::Dialling;
        let given_up: Vec<LinkId> = self
            .probes
            .extract_if(.., hangs)
            .map(|probe| probe.link)
            .collect();
        self.actions
            .extend(given_up.into_iter().map(LinkAction::Close));
    }

    fn dial(&mut self, now_ms: u64, address: SocketAddr) {
        self.last_link += 1;
        let link = LinkId(self.last_link);
        let until_ms = now_ms + CONNECT_TIMEOUT_MS;
        self.probes.push(Probe {
            link,
            address,
            stage: Stage::Dialling,
            until_ms,
        });
        self.actions.push(LinkAction::Dial { link, address });
    }

    fn busy(&self) -> Vec<SocketAddr> {
        let probed = self.probes.iter().map(|probe| probe.address);
        probed
            .chain(self.attached.as_ref().map(|attached| attached.address))
            .collect()
    }
}
