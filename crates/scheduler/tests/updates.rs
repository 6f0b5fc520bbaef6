//! Acknowledgements of node agents' updates: only once what they have changed is committed.

use indigofold_protocol::internal::{AgentOrders, AgentReport, InstanceReport};
use indigofold_protocol::job::Resources;
use indigofold_protocol::worker::WorkerState;
use indigofold_scheduler::{AgentId, Bounds, Effect, Epoch, Event, Scheduler, WriteId};

const START_MS: u64 = 1_000_000;
const WALL_MS: u64 = 1_700_000_000_000;
const AGENT: AgentId = AgentId(1);
const WORKER: &str = "i-1";

/// A scheduler with the connection of a node agent, and its clock.
struct Head {
    scheduler: Scheduler,
    now_ms: u64,
    /// Newest write that was issued.
    newest_write: Option<WriteId>,
}

impl Head {
    fn new() -> Head {
        let mut head = Head {
            scheduler: Scheduler::new(Bounds::default(), Epoch(1), 1, START_MS, WALL_MS),
            now_ms: START_MS,
            newest_write: None,
        };
        head.connect(AGENT);
        head
    }

    fn connect(&mut self, agent: AgentId) {
        let node_name = "side-1".to_owned();
        self.handle(Event::AgentConnected { agent, node_name });
    }

    /// Handles an event 10 ms later, and returns the orders.
    fn handle(&mut self, event: Event) -> Vec<AgentOrders> {
        self.now_ms += 10;
        let mut effects = Vec::new();
        let wall_ms = WALL_MS + self.now_ms - START_MS;
        self.scheduler
            .handle(self.now_ms, wall_ms, event, &mut effects);
        let mut sent_orders = Vec::new();
        for effect in effects {
            match effect {
                Effect::Write { write, .. } => self.newest_write = Some(write),
                Effect::Orders { orders, .. } => sent_orders.push(orders),
                Effect::Reply { .. } | Effect::LateEnd(_) => {}
            }
        }
        sent_orders
    }

    /// Handles a report, and returns the acknowledgement in the answer.
    fn report(&mut self, agent: AgentId, report: AgentReport) -> Option<u64> {
        let orders = self.handle(Event::Report { agent, report });
        let [answer] = orders.as_slice() else {
            panic!("expected one answer, got {orders:?}");
        };
        assert!(answer.echo_sent_ms.is_some());
        answer.acknowledged_update
    }

    fn commit(&mut self) {
        let write = self.newest_write.expect("a write was issued");
        assert_eq!(self.handle(Event::Committed(write)), []);
    }
}

/// A report without an instance.
fn empty_report(newest_update: u64) -> AgentReport {
    AgentReport {
        sent_ms: 1,
        instance: None,
        ended_instances: Vec::new(),
        not_started: Vec::new(),
        newest_update,
    }
}

/// A report of the worker with its list of runs.
fn worker_report(newest_update: u64) -> AgentReport {
    AgentReport {
        instance: Some(InstanceReport {
            id: WORKER.to_owned(),
            backend: "s".to_owned(),
            zone: "a".to_owned(),
            state: WorkerState::Ready,
            remaining_ms: None,
            warmup_remaining_ms: 0,
            capacity: Resources::default(),
            labels: Vec::new(),
            since_heartbeat_ms: 0,
            running: Some(Vec::new()),
            finished: Vec::new(),
            in_flight: Vec::new(),
        }),
        ..empty_report(newest_update)
    }
}

fn end_report(newest_update: u64) -> AgentReport {
    AgentReport {
        ended_instances: vec![WORKER.to_owned()],
        ..empty_report(newest_update)
    }
}

/// Failure: the end of an instance counted as received once it was read; a head lost before the commit left its successor
/// with an instance whose end nobody reported.
#[test]
fn an_update_is_acknowledged_once_its_effect_is_committed() {
    let mut head = Head::new();
    assert_eq!(head.report(AGENT, worker_report(1)), Some(0));
    head.commit();
    assert_eq!(head.report(AGENT, end_report(2)), Some(1));
    assert_eq!(head.report(AGENT, empty_report(0)), Some(1));
    head.commit();
    assert_eq!(head.report(AGENT, empty_report(0)), Some(2));
}

#[test]
fn an_update_that_changes_nothing_is_acknowledged_at_once() {
    let mut head = Head::new();
    assert_eq!(head.report(AGENT, end_report(4)), Some(4));
}

/// What an update found changed may be the effect of an earlier report that is not committed yet.
#[test]
fn a_repeated_update_is_acknowledged_after_the_commit_of_the_first_one() {
    let mut head = Head::new();
    head.report(AGENT, worker_report(1));
    head.commit();
    assert_eq!(head.report(AGENT, end_report(2)), Some(1));
    assert_eq!(head.report(AGENT, end_report(2)), Some(1));
    head.commit();
    assert_eq!(head.report(AGENT, end_report(2)), Some(2));
}

#[test]
fn updates_of_a_new_connection_are_not_acknowledged_by_those_of_the_former_one() {
    const NEXT_CONNECTION: AgentId = AgentId(2);
    let mut head = Head::new();
    assert_eq!(head.report(AGENT, end_report(9)), Some(9));
    head.connect(NEXT_CONNECTION);
    assert_eq!(head.report(NEXT_CONNECTION, empty_report(0)), Some(0));
    assert_eq!(head.report(NEXT_CONNECTION, end_report(1)), Some(1));
}

#[test]
fn a_number_that_goes_back_takes_no_acknowledgement_back() {
    let mut head = Head::new();
    assert_eq!(head.report(AGENT, end_report(9)), Some(9));
    assert_eq!(head.report(AGENT, end_report(3)), Some(9));
}

/// The end of an instance may be reported again, after a report of the same instance in which it has returned.
#[test]
fn a_repeated_end_of_an_instance_that_is_present_does_not_end_it() {
    let mut head = Head::new();
    head.report(AGENT, end_report(1));
    head.report(AGENT, worker_report(2));
    head.commit();
    let first_write = head.newest_write;
    let report = AgentReport {
        ended_instances: vec![WORKER.to_owned()],
        ..worker_report(3)
    };
    assert_eq!(head.report(AGENT, report), Some(3));
    assert_eq!(head.newest_write, first_write, "no row has changed");
}
