//! One member with a real database and a simulated clock.

use crate::builders::{EDGE, START_MS, clocks, edge_replies, first_config, hello, put};
use indigofold_control_plane::clocks::Clocks;
use indigofold_control_plane::config_authority::OperatorCallId;
use indigofold_control_plane::core_member::{CoreMember, CoreMemberSettings, Input, Output};
use indigofold_control_plane::operator::{OperatorRequest, OperatorResponse};
use indigofold_control_plane::sessions::ConnectionId;
use indigofold_control_plane::storage_thread::{StorageResponse, execute};
use indigofold_protocol::inspection::{InspectionAnswer, InspectionCall, InspectionQuery};
use indigofold_protocol::internal::{
    ClientCall, ClientOperation, ClientOutcome, Frame, MemberAddress, ProcessKind, Welcome,
};
use indigofold_replication::Storage;
use indigofold_scheduler::Bounds;
use std::net::SocketAddr;
use std::path::Path;
use tempfile::TempDir;

const INTERNAL_PORT: u16 = 7380;
const CONTROL_PORT: u16 = 8080;
/// Connection of the command line tool, which sends no hello.
const TOOL: ConnectionId = ConnectionId(300);
/// Limit of timers after which a test fails; more than any test needs.
const TIMEOUTS_MAX: usize = 1_000;

/// Returns the internal address of the machine with this last byte; the member under test is on machine 1.
pub(crate) fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], INTERNAL_PORT))
}

pub(crate) struct TestNode {
    node: CoreMember,
    storage: Storage,
    directory: TempDir,
    now_ms: u64,
    /// Responses of the storage that have not been delivered to the member, oldest first.
    undelivered: Vec<StorageResponse>,
    /// Outputs of the member, without requests to the storage.
    outputs: Vec<Output>,
}

impl TestNode {
    /// Starts a member for the first time, with seeds on these machines.
    pub(crate) fn start(seeds: &[u8]) -> TestNode {
        TestNode::start_in(
            TempDir::new().expect("a temporary directory can be created"),
            seeds,
        )
    }

    /// Starts the only member of a cluster and runs it until it is the acting head.
    pub(crate) fn acting() -> TestNode {
        TestNode::start(&[1]).into_acting()
    }

    /// Ends the process, starts it with the same database, and runs it until it is the acting head.
    pub(crate) fn restart(self) -> TestNode {
        let TestNode {
            directory, storage, ..
        } = self;
        drop(storage);
        TestNode::start_in(directory, &[1]).into_acting()
    }

    fn start_in(directory: TempDir, seeds: &[u8]) -> TestNode {
        let opened = Storage::open(directory.path()).expect("the database can be opened");
        TestNode {
            node: CoreMember::new(settings(seeds), opened.record, clocks(START_MS)),
            storage: opened.storage,
            directory,
            now_ms: START_MS,
            undelivered: Vec::new(),
            outputs: Vec::new(),
        }
    }

    fn into_acting(mut self) -> TestNode {
        self.connect(EDGE, ProcessKind::Edge);
        self.run_until(|test| test.welcomes().any(|welcome| welcome.acting));
        self.outputs.clear();
        self
    }

    pub(crate) fn directory(&self) -> &Path {
        self.directory.path()
    }

    pub(crate) fn is_head(&self) -> bool {
        self.node.is_head()
    }

    /// Returns the outputs since they were last cleared or taken, without requests to the storage.
    pub(crate) fn outputs(&self) -> &[Output] {
        &self.outputs
    }

    pub(crate) fn clear_outputs(&mut self) {
        self.outputs.clear();
    }

    /// Returns the welcomes among the outputs to the edge.
    pub(crate) fn welcomes(&self) -> impl Iterator<Item = &Welcome> {
        self.outputs.iter().filter_map(|output| match output {
            Output::Send {
                connection: EDGE,
                frame: Frame::Welcome(welcome),
            } => Some(welcome),
            _ => None,
        })
    }

    /// Returns the responses of the storage that have not been delivered.
    pub(crate) fn undelivered(&self) -> &[StorageResponse] {
        &self.undelivered
    }

    /// Passes an input to the member. Requests to the storage are executed, but their responses are not delivered yet.
    pub(crate) fn input(&mut self, input: Input) {
        self.node.handle(self.clocks(), input);
        self.poll_outputs();
    }

    /// Passes a frame to the member.
    pub(crate) fn receive(&mut self, connection: ConnectionId, frame: Frame) {
        self.input(Input::Frame { connection, frame });
    }

    /// Connects a process, which sends its hello.
    pub(crate) fn connect(&mut self, connection: ConnectionId, kind: ProcessKind) {
        let hello = hello(&format!("{kind:?}"), kind, 1);
        self.receive(connection, Frame::Hello(hello));
    }

    /// Delivers the responses of the storage until there are no more.
    pub(crate) fn deliver_storage(&mut self) {
        while !self.undelivered.is_empty() {
            let response = self.undelivered.remove(0);
            self.input(Input::Storage(response));
        }
    }

    /// Advances the clock and runs the timers that are due.
    pub(crate) fn advance(&mut self, by_ms: u64) {
        self.now_ms += by_ms;
        self.node.handle_timeout(self.clocks());
        self.poll_outputs();
    }

    /// Advances the clock to the next timer and runs it.
    pub(crate) fn advance_to_timer(&mut self) {
        let next_ms = self.node.next_timeout_ms(self.clocks());
        self.advance(next_ms.saturating_sub(self.now_ms).max(1));
    }

    /// Runs from timer to timer, delivering the responses of the storage, until `reached` returns true.
    pub(crate) fn run_until(&mut self, reached: impl Fn(&TestNode) -> bool) {
        for _ in 0..TIMEOUTS_MAX {
            self.deliver_storage();
            if reached(self) {
                return;
            }
            self.advance_to_timer();
        }
        panic!(
            "condition not reached after {TIMEOUTS_MAX} timers; the last output is {:?}",
            self.outputs.last()
        );
    }

    /// Passes an operator request to the member.
    pub(crate) fn operator(&mut self, call: u64, request: OperatorRequest) {
        let call = OperatorCallId(call);
        self.input(Input::Operator { call, request });
    }

    /// Sends an operator request that sets [`first_config`] as the first configuration.
    pub(crate) fn put_first_config(&mut self, call: u64) {
        self.operator(call, OperatorRequest::Change(put(0, &first_config())));
    }

    /// Sends a client's call on the edge's connection.
    pub(crate) fn call(&mut self, operation: ClientOperation) {
        let call = ClientCall {
            call: 1,
            host: "a.example".to_owned(),
            path: "/p/00000000000000aa".to_owned(),
            operation,
        };
        self.receive(EDGE, Frame::Call(call));
    }

    /// Sends a question on the command line tool's connection.
    pub(crate) fn inspect(&mut self, call: u64, question: InspectionQuery) {
        self.receive(TOOL, Frame::Inspect(InspectionCall { call, question }));
    }

    /// Clears the outputs, and returns the responses to the operator among them, with the IDs of their requests.
    pub(crate) fn take_responses(&mut self) -> Vec<(u64, OperatorResponse)> {
        let responses = self.outputs.drain(..).filter_map(|output| match output {
            Output::Respond { call, response } => Some((call.0, response)),
            _ => None,
        });
        responses.collect()
    }

    /// Clears the outputs, and returns the outcomes of the replies to the edge among them.
    pub(crate) fn take_replies(&mut self) -> Vec<ClientOutcome> {
        edge_replies(std::mem::take(&mut self.outputs))
    }

    /// Clears the outputs, and returns the answers to the command line tool among them, with the numbers of their questions.
    pub(crate) fn take_answers(&mut self) -> Vec<(u64, InspectionAnswer)> {
        let answers = self.outputs.drain(..).filter_map(|output| match output {
            Output::Send {
                connection: TOOL,
                frame: Frame::Inspected(reply),
            } => Some((reply.call, reply.answer)),
            _ => None,
        });
        answers.collect()
    }

    fn clocks(&self) -> Clocks {
        clocks(self.now_ms)
    }

    fn poll_outputs(&mut self) {
        for output in self.node.poll_outputs(self.now_ms) {
            match output {
                Output::Storage(request) => {
                    self.undelivered.push(execute(&mut self.storage, request));
                }
                other => self.outputs.push(other),
            }
        }
    }
}

fn settings(seeds: &[u8]) -> CoreMemberSettings {
    CoreMemberSettings {
        hello: hello("core-1", ProcessKind::Core, 1),
        address: MemberAddress {
            node_name: "core-1".to_owned(),
            internal: address(1),
            control: SocketAddr::from(([10, 0, 0, 1], CONTROL_PORT)),
        },
        seeds: seeds.iter().copied().map(address).collect(),
        bootstrap: true,
        tolerated_losses: 0,
        bounds: Bounds::default(),
        random_seed: 7,
    }
}
