//! A core member as a state machine without I/O. [`CoreMember::handle`] takes an input with a reading of the clocks.
//! [`CoreMember::poll_outputs`] is called once per wake-up and returns the frames to send, the requests to the storage thread
//! and the responses to the operator.
//!
//! Each part of the state (head role, sessions, peers, announcement, inspections, scrub) is a type in a module of its own. The
//! `impl CoreMember` blocks in the other modules pass inputs and outputs between the parts.

mod announcement;
mod connections;
mod head_outputs;
mod head_role;
mod head_transitions;
mod inspect;
mod inspections;
mod interface;
mod lease_filter;
mod membership;
mod replica_inputs;
mod replication;
mod requests;
mod scrub;
mod storage;

pub use interface::{CoreMemberSettings, Input, Output};
pub use scrub::SCRUB_INTERVAL_MS;

use crate::clocks::Clocks;
use crate::peers::Peers;
use crate::sessions::Sessions;
use announcement::Announcement;
use head_role::HeadRole;
use indigofold_replication::{MemberRecord, Replica};
use indigofold_scheduler::Event;
use inspections::Inspections;
use replica_inputs::ReplicaInputs;
use scrub::Scrub;

/// A core member; see the module documentation.
pub struct CoreMember {
    settings: CoreMemberSettings,
    replica: Replica,
    replica_inputs: ReplicaInputs,
    head_role: HeadRole,
    sessions: Sessions,
    peers: Peers,
    announcement: Announcement,
    /// Whether the last write to the disk failed.
    storage_failing: bool,
    scrub: Scrub,
    inspections: Inspections,
    /// Actions collected since the last [`Self::poll_outputs`].
    outputs: Vec<Output>,
}

impl CoreMember {
    /// Creates a member from the record on its disk; `record` is `None` if the disk holds no record.
    pub fn new(settings: CoreMemberSettings, record: Option<MemberRecord>, clocks: Clocks) -> Self {
        let replica_settings = indigofold_replication::Settings {
            address: settings.address.clone(),
            seeds: settings.seeds.clone(),
            bootstrap: settings.bootstrap,
            tolerated_losses: settings.tolerated_losses,
            random_seed: settings.random_seed,
        };
        CoreMember {
            replica: Replica::new(replica_settings, record, clocks.steady_ms),
            replica_inputs: ReplicaInputs::default(),
            head_role: HeadRole::default(),
            sessions: Sessions::default(),
            peers: Peers::new(settings.random_seed),
            announcement: Announcement::new(&settings.address),
            storage_failing: false,
            scrub: Scrub::new(clocks.steady_ms),
            inspections: Inspections::default(),
            outputs: Vec::new(),
            settings,
        }
    }

    /// Handles an input. The resulting actions are returned by the next [`Self::poll_outputs`].
    pub fn handle(&mut self, clocks: Clocks, input: Input) {
        match input {
            Input::Dialled {
                address,
                connection,
            } => self.handle_dialled(address, connection),
            Input::DialFailed { address } => self.peers.dial_failed(clocks.steady_ms, address),
            Input::Frame { connection, frame } => self.handle_frame(clocks, connection, frame),
            Input::Closed { connection } => self.handle_closed(clocks, connection),
            Input::Operator { call, request } => self.handle_operator(clocks, call, request),
            Input::Storage(response) => self.handle_storage(clocks, response),
            Input::Seeds(seeds) => {
                self.settings.seeds = seeds;
                self.announcement.invalidate();
            }
            Input::StepDown => self.replica_input(clocks, indigofold_replication::Input::StepDown),
        }
    }

    /// Runs the timers that are due.
    pub fn handle_timeout(&mut self, clocks: Clocks) {
        if self.replica.next_timer_ms() <= clocks.steady_ms {
            self.replica_input(clocks, indigofold_replication::Input::Timer);
        }
        if self.scheduler_timer_due_ms(clocks) <= clocks.steady_ms {
            self.scheduler_event(clocks, Event::Timer);
        }
        if self.head_role.load_due_ms() <= clocks.steady_ms {
            self.request_rows(clocks);
        }
        if let Some(request) = self.scrub.poll(clocks.steady_ms) {
            self.outputs.push(Output::Storage(request));
        }
        let dials = self.peers.poll_dials(clocks.steady_ms);
        self.outputs
            .extend(dials.into_iter().map(|address| Output::Dial { address }));
    }

    /// Returns when [`Self::handle_timeout`] is due, on the monotonic clock in milliseconds. Any input may change the result.
    pub fn next_timeout_ms(&self, clocks: Clocks) -> u64 {
        let timers = [
            self.replica.next_timer_ms(),
            self.scheduler_timer_due_ms(clocks),
            self.scrub.due_ms(),
            self.peers.next_due_ms(),
        ];
        timers
            .into_iter()
            .fold(self.head_role.load_due_ms(), u64::min)
    }

    /// Returns the actions for all inputs since the last call. `now_ms` must be a fresh reading of the monotonic clock: if
    /// the lease has expired since the inputs were handled, outputs that only an acting head may send are withheld.
    pub fn poll_outputs(&mut self, now_ms: u64) -> Vec<Output> {
        self.refresh_announcement(now_ms);
        let is_acting = self.is_acting(now_ms);
        self.close_after_ignored_updates(is_acting);
        let outputs = std::mem::take(&mut self.outputs);
        if is_acting {
            return outputs;
        }
        outputs
            .into_iter()
            .map(lease_filter::without_lease)
            .collect()
    }

    /// Whether this member is the head of a view, even if its rows are not loaded yet or its lease has expired.
    pub fn is_head(&self) -> bool {
        self.head_role.is_head()
    }

    /// Whether writes need this member: it is the head, or it is in the chain of the view that it accepted last.
    pub fn is_needed(&self) -> bool {
        let own_member = self.replica.member();
        let in_chain = self
            .replica
            .accepted_view()
            .is_some_and(|(view, _)| view.chain.contains(&own_member));
        self.is_head() || in_chain
    }

    /// Whether this member knows an acting head.
    pub fn knows_head(&self) -> bool {
        self.announcement.welcome().head.is_some()
    }

    /// Whether this member is the acting head: it is the head, has loaded its rows, and its lease has not expired.
    fn is_acting(&self, now_ms: u64) -> bool {
        self.head_role.leading().is_some() && self.replica.may_act(now_ms)
    }

    /// Returns when the scheduler's timer is due, on the monotonic clock; [`u64::MAX`] while this member is not the
    /// acting head.
    fn scheduler_timer_due_ms(&self, clocks: Clocks) -> u64 {
        match self.head_role.leading() {
            Some(head) if self.replica.may_act(clocks.steady_ms) => head.next_timer_ms(),
            _ => u64::MAX,
        }
    }
}
