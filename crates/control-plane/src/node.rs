//! A member of the core as one state machine: replica, head, connections. Inputs go in with a reading of the clocks;
//! what is to be sent, stored and answered comes out of [`Node::finish`], once per wake-up.

mod calls;
mod connections;
mod home;
mod inspect;
mod scrub;
mod welcome;

pub use scrub::SCRUB_INTERVAL_MS;

use crate::config_authority::CallId;
use crate::head::{Clocks, Head};
use crate::operator::{OperatorAnswer, OperatorCall};
use crate::peers::Peers;
use crate::sessions::{ConnectionId, Sessions};
use crate::storage_thread::{StorageAnswer, StorageRequest};
use indigofold_protocol::internal::{Frame, Hello, MemberAddress, Welcome};
use indigofold_replication::{Durable, Replica};
use indigofold_scheduler::{Bounds, Event};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// What it tells those whom it dials.
    pub hello: Hello,
    /// Its own addresses.
    pub address: MemberAddress,
    /// Internal addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// The whole cluster starts for the first time.
    pub bootstrap: bool,
    /// How many machines may be lost at once.
    pub tolerated_losses: usize,
    /// Figures that the scheduler keeps to.
    pub bounds: Bounds,
    /// Seed of the random numbers.
    pub random_seed: u64,
}

/// What happens to a member.
#[derive(Debug)]
pub enum Input {
    /// Dialling a member has succeeded.
    Dialled {
        /// Its internal address.
        address: SocketAddr,
        /// The connection.
        connection: ConnectionId,
    },
    /// Dialling a member has failed.
    DialFailed {
        /// Its internal address.
        address: SocketAddr,
    },
    /// A frame has come in.
    Frame {
        /// Over which connection.
        connection: ConnectionId,
        /// The frame.
        frame: Frame,
    },
    /// A connection is closed.
    Closed {
        /// Which.
        connection: ConnectionId,
    },
    /// The operator calls.
    Operator {
        /// Number of the call.
        call: CallId,
        /// What is asked.
        request: OperatorCall,
    },
    /// The storage thread has done something.
    Storage(StorageAnswer),
    /// These are the seeds from now on.
    Seeds(Vec<SocketAddr>),
    /// The process is about to stop.
    StepDown,
}

/// What a member's driver has to do, in this order.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "most outputs are frames: a box for each would cost more"
)]
pub enum Output {
    /// Send a frame.
    Send {
        /// Over which connection.
        connection: ConnectionId,
        /// The frame.
        frame: Frame,
    },
    /// Close a connection; [`Input::Closed`] need not follow.
    Close {
        /// Which.
        connection: ConnectionId,
    },
    /// Connect to a member.
    Dial {
        /// Its internal address.
        address: SocketAddr,
    },
    /// Answer the operator.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Ask the storage thread.
    Storage(StorageRequest),
    /// The database is damaged: the process has to end. It sets the database aside when it starts again, and is a member
    /// without a disk.
    Damaged {
        /// What was found.
        reason: String,
    },
}

/// What this member is to the schedulers.
enum Home {
    /// Another member is the head, or none.
    Elsewhere,
    /// It is the head and reads its rows; at the given time it asks for them again.
    Loading { view: u64, retry_ms: u64 },
    /// It is the head.
    Here(Box<Head>),
}

/// A member of the core.
pub struct Node {
    settings: NodeSettings,
    replica: Replica,
    replica_inputs: VecDeque<indigofold_replication::Input>,
    replica_busy: bool,
    home: Home,
    next_write_id: u64,
    /// Writes of this member's last time as head whose fate is open.
    unsettled: BTreeSet<u64>,
    sessions: Sessions,
    peers: Peers,
    welcome: Welcome,
    welcome_due_ms: u64,
    storage_failing: bool,
    scrub: scrub::Scrub,
    inspections: inspect::Inspections,
    outputs: Vec<Output>,
}

impl Node {
    /// A member that starts with what its disk has kept.
    pub fn new(settings: NodeSettings, durable: Option<Durable>, clocks: Clocks) -> Self {
        let replica_settings = indigofold_replication::Settings {
            address: settings.address.clone(),
            seeds: settings.seeds.clone(),
            bootstrap: settings.bootstrap,
            tolerated_losses: settings.tolerated_losses,
            random_seed: settings.random_seed,
        };
        let replica = Replica::new(replica_settings, durable, clocks.steady_ms);
        let welcome = welcome::first(&settings.address);
        Node {
            replica,
            replica_inputs: VecDeque::new(),
            replica_busy: false,
            home: Home::Elsewhere,
            next_write_id: 1,
            unsettled: BTreeSet::new(),
            sessions: Sessions::default(),
            peers: Peers::new(settings.random_seed),
            welcome,
            welcome_due_ms: 0,
            storage_failing: false,
            scrub: scrub::Scrub::new(clocks.steady_ms),
            inspections: inspect::Inspections::default(),
            outputs: Vec::new(),
            settings,
        }
    }

    /// Takes an input.
    pub fn handle(&mut self, clocks: Clocks, input: Input) {
        match input {
            Input::Dialled {
                address,
                connection,
            } => self.dialled(address, connection),
            Input::DialFailed { address } => self.peers.failed(clocks.steady_ms, address),
            Input::Frame { connection, frame } => self.frame(clocks, connection, frame),
            Input::Closed { connection } => self.closed(clocks, connection),
            Input::Operator { call, request } => self.operator(clocks, call, request),
            Input::Storage(answer) => self.stored(clocks, answer),
            Input::Seeds(seeds) => {
                self.settings.seeds = seeds;
                self.welcome_due_ms = 0;
            }
            Input::StepDown => self.replica_input(clocks, indigofold_replication::Input::StepDown),
        }
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, clocks: Clocks) {
        if self.replica.next_timer_ms() <= clocks.steady_ms {
            self.replica_input(clocks, indigofold_replication::Input::Timer);
        }
        if self.scheduler_timer_ms(clocks) <= clocks.steady_ms {
            self.scheduler_event(clocks, Event::Timer);
        }
        if matches!(self.home, Home::Loading { retry_ms, .. } if retry_ms <= clocks.steady_ms) {
            self.load_rows(clocks);
        }
        self.run_scrub(clocks.steady_ms);
        let dials = self.peers.take_due(clocks.steady_ms);
        self.outputs
            .extend(dials.into_iter().map(|address| Output::Dial { address }));
    }

    /// When [`Self::tick`] has something to do next, if nothing else happens.
    pub fn next_tick_ms(&self, clocks: Clocks) -> u64 {
        let loading = match self.home {
            Home::Loading { retry_ms, .. } => retry_ms,
            _ => u64::MAX,
        };
        let timers = [
            self.replica.next_timer_ms(),
            self.scheduler_timer_ms(clocks),
            self.scrub.due_ms(),
            self.peers.next_due_ms(),
        ];
        timers.into_iter().fold(loading, u64::min)
    }

    /// What is to be done for all inputs since the last call. `now_ms` is a reading taken just before: what only an
    /// acting head may say is held back if the lease has run out in the meantime.
    pub fn finish(&mut self, now_ms: u64) -> Vec<Output> {
        self.refresh_welcome(now_ms);
        let outputs = std::mem::take(&mut self.outputs);
        if self.acts(now_ms) {
            return outputs;
        }
        outputs
            .into_iter()
            .filter_map(calls::without_lease)
            .collect()
    }

    /// Whether it is the head of a view, or about to be.
    pub fn is_head(&self) -> bool {
        !matches!(self.home, Home::Elsewhere)
    }

    /// Whether writes need this member: it is the head, or in the chain of the view that it follows.
    pub fn is_needed(&self) -> bool {
        let own = self.replica.member();
        let in_chain = self
            .replica
            .accepted_view()
            .is_some_and(|(view, _)| view.chain.contains(&own));
        self.is_head() || in_chain
    }

    /// Whether it knows a head that is at work.
    pub fn knows_head(&self) -> bool {
        self.welcome.head.is_some()
    }

    /// Whether it is the head, has its rows, and its lease holds.
    fn acts(&self, now_ms: u64) -> bool {
        matches!(self.home, Home::Here(_)) && self.replica.may_act(now_ms)
    }

    /// When the scheduler wants to be woken; never while it may not act.
    fn scheduler_timer_ms(&self, clocks: Clocks) -> u64 {
        match &self.home {
            Home::Here(head) if self.replica.may_act(clocks.steady_ms) => head.next_timer_ms(),
            _ => u64::MAX,
        }
    }

    /// Keeps connections to all members that are worth one.
    fn follow_peers(&mut self, now_ms: u64) {
        let known = self
            .replica
            .peers()
            .into_iter()
            .chain(self.settings.seeds.iter().copied());
        let own = self.settings.address.internal;
        let addresses: BTreeSet<SocketAddr> = known.filter(|address| *address != own).collect();
        let surplus = self.peers.follow(now_ms, addresses);
        self.outputs.extend(
            surplus
                .into_iter()
                .map(|connection| Output::Close { connection }),
        );
    }
}
