//! A cluster of members with real databases, simulated connections and a simulated clock.

use crate::builders::{START_MS, clocks, hello};
use indigofold_control_plane::clocks::Clocks;
use indigofold_control_plane::config_authority::OperatorCallId;
use indigofold_control_plane::core_member::{CoreMember, CoreMemberSettings, Input, Output};
use indigofold_control_plane::operator::{OperatorRequest, OperatorResponse};
use indigofold_control_plane::sessions::ConnectionId;
use indigofold_control_plane::storage_thread::{StorageRequest, execute};
use indigofold_protocol::internal::{Frame, MemberAddress, ProcessKind};
use indigofold_replication::Storage;
use indigofold_scheduler::Bounds;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use tempfile::TempDir;

pub(crate) const CONTROL_PORT: u16 = 8080;
pub(crate) const INTERNAL_PORT: u16 = 7380;
/// Limit of wake-ups after which a test fails; more than any test needs.
const STEPS_MAX: usize = 20_000;

/// One end of a connection.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Endpoint {
    member: usize,
    /// ID of the connection at that member.
    connection: ConnectionId,
}

/// A member that is up.
struct Member {
    node: CoreMember,
    storage: Storage,
}

/// An event that has not been handled yet.
enum Event {
    /// An input for a member.
    Input(usize, Input),
    /// A frame that has been sent.
    Frame { to: Endpoint, frame: Frame },
    /// A request to a member's storage.
    Storage(usize, StorageRequest),
}

/// The cluster. Members are numbered from 0.
pub(crate) struct SimulatedCluster {
    directories: Vec<TempDir>,
    /// Members by number; `None` for those that are down.
    members: Vec<Option<Member>>,
    /// The other end of each open connection, by endpoint.
    links: HashMap<Endpoint, Endpoint>,
    events: VecDeque<Event>,
    /// Members that no frame reaches or leaves.
    partitioned: BTreeSet<usize>,
    /// Inputs that wait for members that stand still, in the order of their arrival.
    frozen: BTreeMap<usize, Vec<Input>>,
    responses: HashMap<OperatorCallId, OperatorResponse>,
    now_ms: u64,
    /// The last ID that was assigned; all kinds of IDs share one sequence.
    last_id: u64,
    /// Seed of the members' random numbers; another one for each start of a member.
    random_seed: u64,
}

impl SimulatedCluster {
    /// Starts a cluster whose members start for the first time; all of them are seeds.
    pub(crate) fn start(count: usize) -> SimulatedCluster {
        let directories = (0..count)
            .map(|_| TempDir::new().expect("a temporary directory can be created"))
            .collect();
        let mut cluster = SimulatedCluster {
            directories,
            members: (0..count).map(|_| None).collect(),
            links: HashMap::new(),
            events: VecDeque::new(),
            partitioned: BTreeSet::new(),
            frozen: BTreeMap::new(),
            responses: HashMap::new(),
            now_ms: START_MS,
            last_id: 0,
            random_seed: 7,
        };
        (0..count).for_each(|member| cluster.restart(member));
        cluster
    }

    pub(crate) fn address(&self, member: usize, port: u16) -> SocketAddr {
        SocketAddr::from(([10, 0, 0, member as u8 + 1], port))
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub(crate) fn node(&self, member: usize) -> &CoreMember {
        &self.members[member]
            .as_ref()
            .expect("the member is up")
            .node
    }

    /// Starts a member with its database.
    pub(crate) fn restart(&mut self, member: usize) {
        let opened =
            Storage::open(self.directories[member].path()).expect("the database can be opened");
        let mut settings = self.settings(member);
        self.random_seed += 1;
        settings.bootstrap &= !opened.has_quarantined;
        let node = CoreMember::new(settings, opened.record, self.clocks());
        self.members[member] = Some(Member {
            node,
            storage: opened.storage,
        });
    }

    /// Flips a bit in the database of a member that is down, at the last place where it holds `text`.
    pub(crate) fn flip_bit(&self, member: usize, text: &str) {
        let path = self.directories[member].path().join("control.sqlite");
        let mut bytes = std::fs::read(&path).expect("the database file can be read");
        let at = bytes
            .windows(text.len())
            .rposition(|window| window == text.as_bytes());
        bytes[at.expect("the database holds the text")] ^= 1;
        std::fs::write(&path, bytes).expect("the database file can be written");
    }

    /// Kills a member; its connections are closed.
    pub(crate) fn kill(&mut self, member: usize) {
        self.members[member] = None;
        let endpoints = self.links.keys().copied();
        let endpoints: Vec<Endpoint> = endpoints
            .filter(|endpoint| endpoint.member == member)
            .collect();
        endpoints
            .into_iter()
            .for_each(|endpoint| self.close(endpoint));
    }

    /// Drops all frames to and from a member from now on. Its connections stay open.
    pub(crate) fn partition(&mut self, member: usize) {
        self.partitioned.insert(member);
    }

    pub(crate) fn input(&mut self, member: usize, input: Input) {
        self.events.push_back(Event::Input(member, input));
    }

    /// Passes an input to a member, freezes the member for `freeze_ms` before it sends anything, and returns its outputs.
    pub(crate) fn freeze(&mut self, member: usize, input: Input, freeze_ms: u64) -> Vec<Output> {
        while self.step() {}
        let (clocks, resume_ms) = (self.clocks(), self.now_ms + freeze_ms);
        let Member { node, .. } = self.members[member].as_mut().expect("the member is up");
        node.handle(clocks, input);
        node.poll_outputs(resume_ms)
    }

    /// Makes a member stand still from now on: its inputs wait, and its timers do not run.
    pub(crate) fn stop(&mut self, member: usize) {
        self.frozen.entry(member).or_default();
    }

    /// Lets a member go on: in one turn it handles `first` and the inputs that have arrived meanwhile. Returns its outputs,
    /// for [`Self::carry_out`].
    pub(crate) fn resume(&mut self, member: usize, first: Vec<Input>) -> Vec<Output> {
        let waiting = self.frozen.remove(&member).unwrap_or_default();
        let (clocks, now_ms) = (self.clocks(), self.now_ms);
        let Member { node, .. } = self.members[member].as_mut().expect("the member is up");
        for input in first.into_iter().chain(waiting) {
            node.handle(clocks, input);
        }
        node.poll_outputs(now_ms)
    }

    /// Carries out the outputs that [`Self::resume`] returned.
    pub(crate) fn carry_out(&mut self, member: usize, outputs: Vec<Output>) {
        for output in outputs {
            self.apply_output(member, output);
        }
    }

    /// Runs all timers and events of the next `duration_ms`.
    pub(crate) fn run_for(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.step() {}
        while self.next_timer_ms().max(self.now_ms + 1) <= end_ms {
            self.advance_to_timer();
            while self.step() {}
        }
        self.now_ms = end_ms;
    }

    /// Sends an operator request to a member; returns the ID under which [`Self::response`] finds the response.
    pub(crate) fn call(&mut self, member: usize, request: OperatorRequest) -> OperatorCallId {
        let call = OperatorCallId(self.next_id());
        self.input(member, Input::Operator { call, request });
        call
    }

    pub(crate) fn response(&self, call: OperatorCallId) -> Option<&OperatorResponse> {
        self.responses.get(&call)
    }

    /// Sends an operator request to a member and runs the cluster until the response.
    pub(crate) fn request(&mut self, member: usize, request: OperatorRequest) -> OperatorResponse {
        let call = self.call(member, request);
        self.run_until(|cluster| cluster.responses.contains_key(&call));
        self.responses
            .remove(&call)
            .expect("the request was answered")
    }

    /// Runs until a member responds as the acting head; returns its number.
    pub(crate) fn run_to_head(&mut self) -> usize {
        self.run_to_head_other_than(usize::MAX)
    }

    /// Runs until a member other than `excluded` responds as the acting head; returns its number.
    pub(crate) fn run_to_head_other_than(&mut self, excluded: usize) -> usize {
        for _ in 0..STEPS_MAX {
            let up =
                (0..self.members.len()).filter(|m| *m != excluded && self.members[*m].is_some());
            for member in up.collect::<Vec<_>>() {
                let call = self.call(member, OperatorRequest::Read);
                while self.step() {}
                let response = self.responses.remove(&call);
                if matches!(
                    response,
                    Some(OperatorResponse::Config(_) | OperatorResponse::NoConfig)
                ) {
                    return member;
                }
            }
            self.advance_to_timer();
        }
        panic!("no acting head after {STEPS_MAX} wake-ups");
    }

    /// Runs from timer to timer until `reached` returns true.
    pub(crate) fn run_until(&mut self, reached: impl Fn(&SimulatedCluster) -> bool) {
        for _ in 0..STEPS_MAX {
            while self.step() {}
            if reached(self) {
                return;
            }
            self.advance_to_timer();
        }
        panic!("condition not reached after {STEPS_MAX} wake-ups");
    }

    /// Handles the oldest event; returns false if there is none.
    fn step(&mut self) -> bool {
        let Some(event) = self.events.pop_front() else {
            return false;
        };
        match event {
            Event::Input(member, input) => self.handle(member, input),
            Event::Frame {
                to: Endpoint { member, connection },
                frame,
            } => {
                self.handle(member, Input::Frame { connection, frame });
            }
            Event::Storage(member, request) => {
                let Some(Member { storage, .. }) = &mut self.members[member] else {
                    return true;
                };
                let response = execute(storage, request);
                self.handle(member, Input::Storage(response));
            }
        }
        true
    }

    /// When the next timer of any member that does not stand still is due.
    fn next_timer_ms(&self) -> u64 {
        let clocks = self.clocks();
        let running = self
            .members
            .iter()
            .enumerate()
            .filter_map(|(number, member)| {
                let member = member.as_ref()?;
                (!self.frozen.contains_key(&number)).then_some(member)
            });
        running
            .map(|member| member.node.next_timeout_ms(clocks))
            .min()
            .unwrap_or(u64::MAX)
    }

    /// Advances the clock to the next timer of any member, and runs the timers that are due.
    fn advance_to_timer(&mut self) {
        self.now_ms = self.next_timer_ms().max(self.now_ms + 1);
        let clocks = self.clocks();
        for member in 0..self.members.len() {
            if self.frozen.contains_key(&member) {
                continue;
            }
            if let Some(Member { node, .. }) = &mut self.members[member] {
                node.handle_timeout(clocks);
                self.apply_outputs(member);
            }
        }
    }

    fn handle(&mut self, member: usize, input: Input) {
        if let Some(waiting) = self.frozen.get_mut(&member) {
            waiting.push(input);
            return;
        }
        let clocks = self.clocks();
        let Some(Member { node, .. }) = &mut self.members[member] else {
            return;
        };
        node.handle(clocks, input);
        self.apply_outputs(member);
    }

    /// Carries out the outputs of a member.
    fn apply_outputs(&mut self, member: usize) {
        let now_ms = self.now_ms;
        let Some(Member { node, .. }) = &mut self.members[member] else {
            return;
        };
        let outputs = node.poll_outputs(now_ms);
        self.carry_out(member, outputs);
    }

    fn apply_output(&mut self, member: usize, output: Output) {
        match output {
            Output::Send { connection, frame } => {
                self.send(Endpoint { member, connection }, frame);
            }
            Output::Close { connection } => self.close(Endpoint { member, connection }),
            Output::Dial { address } => self.dial(member, address),
            Output::Respond { call, response } => drop(self.responses.insert(call, response)),
            Output::Storage(request) => self.events.push_back(Event::Storage(member, request)),
            Output::Damaged { error } => {
                panic!("the database of member {member} is damaged: {error}")
            }
        }
    }

    fn send(&mut self, from: Endpoint, frame: Frame) {
        let Some(to) = self.links.get(&from).copied() else {
            return;
        };
        if !self.partitioned.contains(&from.member) && !self.partitioned.contains(&to.member) {
            self.events.push_back(Event::Frame { to, frame });
        }
    }

    fn close(&mut self, endpoint: Endpoint) {
        let Some(other) = self.links.remove(&endpoint) else {
            return;
        };
        self.links.remove(&other);
        for Endpoint { member, connection } in [endpoint, other] {
            self.events
                .push_back(Event::Input(member, Input::Closed { connection }));
        }
    }

    fn dial(&mut self, from: usize, address: SocketAddr) {
        let to =
            (0..self.members.len()).find(|member| self.address(*member, INTERNAL_PORT) == address);
        let is_up =
            |member: &usize| self.members[*member].is_some() && !self.partitioned.contains(member);
        let Some(to) = to.filter(|to| is_up(to) && is_up(&from)) else {
            self.input(from, Input::DialFailed { address });
            return;
        };
        let dialling_end = Endpoint {
            member: from,
            connection: ConnectionId(self.next_id()),
        };
        let accepting_end = Endpoint {
            member: to,
            connection: ConnectionId(self.next_id()),
        };
        self.links.insert(dialling_end, accepting_end);
        self.links.insert(accepting_end, dialling_end);
        self.input(
            from,
            Input::Dialled {
                address,
                connection: dialling_end.connection,
            },
        );
    }

    fn settings(&mut self, member: usize) -> CoreMemberSettings {
        let node_name = format!("core-{member}");
        CoreMemberSettings {
            hello: hello(&node_name, ProcessKind::Core, self.next_id()),
            address: MemberAddress {
                node_name,
                internal: self.address(member, INTERNAL_PORT),
                control: self.address(member, CONTROL_PORT),
            },
            seeds: (0..self.members.len())
                .map(|seed| self.address(seed, INTERNAL_PORT))
                .collect(),
            bootstrap: true,
            tolerated_losses: 1,
            bounds: Bounds::default(),
            random_seed: self.random_seed,
        }
    }

    fn clocks(&self) -> Clocks {
        clocks(self.now_ms)
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
