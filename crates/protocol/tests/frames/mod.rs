//! Generators of arbitrary frames for property tests.

use indigofold_protocol::config::IngressLimits;
use indigofold_protocol::inspection::{
    InspectionAnswer, InspectionCall, InspectionQuery, InspectionReply,
};
use indigofold_protocol::internal::{
    AgentOrders, AgentReport, ClientCall, ClientOperation, ClientOutcome, ClientReply, FinishedRun,
    Frame, Hello, InstanceReport, MemberAddress, ProcessKind, RunningRun, StartOrder, Welcome,
};
use indigofold_protocol::job::{JobSpec, JobState, Resources, Step};
use indigofold_protocol::task::{JobId, RunId, TaskName};
use indigofold_protocol::worker::{RunEnd, WorkerState};
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use std::net::{IpAddr, SocketAddr};

/// Upper bound of the length of generated lists, exclusive.
const LENGTH_BOUND: usize = 4;

/// Generates an arbitrary frame.
pub(crate) fn any_frame() -> impl Strategy<Value = Frame> {
    prop_oneof![
        hello().prop_map(Frame::Hello),
        welcome().prop_map(Frame::Welcome),
        call().prop_map(Frame::Call),
        reply().prop_map(Frame::Reply),
        report().prop_map(Frame::Report),
        orders().prop_map(Frame::Orders),
        vec(any::<u8>(), 0..200).prop_map(Frame::Replication),
        (any::<u64>(), question())
            .prop_map(|(call, question)| Frame::Inspect(InspectionCall { call, question })),
        (any::<u64>(), answer())
            .prop_map(|(call, answer)| Frame::Inspected(InspectionReply { call, answer })),
    ]
}

fn text() -> impl Strategy<Value = String> {
    ".{0,20}"
}

fn hello() -> impl Strategy<Value = Hello> {
    let kind = prop::sample::select(vec![
        ProcessKind::Edge,
        ProcessKind::Agent,
        ProcessKind::Core,
    ]);
    let ip = any::<Option<IpAddr>>();
    (text(), kind, text(), any::<u64>(), ip).prop_map(|(node_name, kind, zone, incarnation, ip)| {
        Hello {
            node_name,
            kind,
            zone,
            incarnation,
            ip,
        }
    })
}

fn address() -> impl Strategy<Value = SocketAddr> {
    (any::<IpAddr>(), any::<u16>()).prop_map(SocketAddr::from)
}

fn member() -> impl Strategy<Value = MemberAddress> {
    (text(), address(), address()).prop_map(|(node_name, internal, control)| MemberAddress {
        node_name,
        internal,
        control,
    })
}

fn limits() -> impl Strategy<Value = IngressLimits> {
    any::<[u64; 4]>().prop_map(
        |[
            max_header_bytes,
            max_body_bytes,
            header_timeout_ms,
            idle_timeout_ms,
        ]| {
            IngressLimits {
                max_header_bytes,
                max_body_bytes,
                header_timeout_ms,
                idle_timeout_ms,
            }
        },
    )
}

fn welcome() -> impl Strategy<Value = Welcome> {
    (
        any::<u64>(),
        option::of(member()),
        vec(member(), 0..LENGTH_BOUND),
        any::<bool>(),
        any::<u64>(),
        limits(),
    )
        .prop_map(
            |(view, head, members, acting, config_version, limits)| Welcome {
                view,
                head,
                members,
                acting,
                config_version,
                limits,
            },
        )
}

fn step() -> impl Strategy<Value = Step> {
    let numbers = (
        any::<[u32; 2]>(),
        any::<[u64; 4]>(),
        vec(any::<u32>(), 0..LENGTH_BOUND),
    );
    (numbers, text(), text(), any::<[bool; 5]>()).prop_map(
        |(numbers, requirements, affinity, flags)| {
            let ([count, anti_affinity], [cpu, mem_mb, gpu, estimate_ms], depends_on) = numbers;
            let [checkpoints, gang, rack_local, speculative, long_running] = flags;
            Step {
                count,
                cpu,
                mem_mb,
                gpu,
                estimate_ms,
                depends_on,
                checkpoints,
                gang,
                rack_local,
                requirements,
                affinity,
                anti_affinity,
                speculative,
                long_running,
            }
        },
    )
}

fn job() -> impl Strategy<Value = JobSpec> {
    (
        text(),
        vec(step(), 0..LENGTH_BOUND),
        any::<u32>(),
        any::<[u64; 2]>(),
    )
        .prop_map(
            |(spec, stages, repeat_count, [start_at_ms, interval_ms])| JobSpec {
                spec,
                stages,
                repeat_count,
                start_at_ms,
                interval_ms,
            },
        )
}

fn call() -> impl Strategy<Value = ClientCall> {
    let operation = prop_oneof![
        job().prop_map(ClientOperation::Submit),
        Just(ClientOperation::Get),
        Just(ClientOperation::Cancel)
    ];
    (any::<u64>(), text(), text(), operation).prop_map(|(call, host, path, operation)| ClientCall {
        call,
        host,
        path,
        operation,
    })
}

fn state() -> impl Strategy<Value = JobState> {
    prop::sample::select(vec![
        JobState::Queued,
        JobState::Running,
        JobState::Completed,
        JobState::Failed,
        JobState::Cancelled,
    ])
}

fn reply() -> impl Strategy<Value = ClientReply> {
    let outcome = prop_oneof![
        Just(ClientOutcome::Accepted),
        any::<u64>().prop_map(|retry_after_ms| ClientOutcome::TooMany { retry_after_ms }),
        any::<u64>().prop_map(|retry_after_ms| ClientOutcome::Unavailable { retry_after_ms }),
        Just(ClientOutcome::UnknownRoute),
        text().prop_map(|reason| ClientOutcome::Invalid { reason }),
        state().prop_map(ClientOutcome::State),
        Just(ClientOutcome::NoSuchJob),
        any::<u64>().prop_map(ClientOutcome::Pending),
        Just(ClientOutcome::Cancelled),
    ];
    (any::<u64>(), outcome).prop_map(|(call, outcome)| ClientReply { call, outcome })
}

fn run() -> impl Strategy<Value = RunId> {
    (any::<u64>(), any::<[u32; 4]>()).prop_map(|(job, [repeat, step, index, attempt])| RunId {
        task: TaskName {
            job: JobId(job),
            repeat,
            step,
            index,
        },
        attempt,
    })
}

fn resources() -> impl Strategy<Value = Resources> {
    any::<[u64; 3]>().prop_map(|[cpu, mem_mb, gpu]| Resources { cpu, mem_mb, gpu })
}

fn report() -> impl Strategy<Value = AgentReport> {
    (
        any::<u64>(),
        option::of(instance()),
        vec(text(), 0..LENGTH_BOUND),
        vec(run(), 0..LENGTH_BOUND),
        any::<u64>(),
    )
        .prop_map(
            |(sent_ms, instance, ended_instances, not_started, newest_update)| AgentReport {
                sent_ms,
                instance,
                ended_instances,
                not_started,
                newest_update,
            },
        )
}

fn instance() -> impl Strategy<Value = InstanceReport> {
    let state = prop::sample::select(vec![WorkerState::Ready, WorkerState::Draining]);
    let running = (run(), text(), any::<u32>()).prop_map(|(run, checkpoint, percent)| RunningRun {
        run,
        checkpoint,
        percent,
    });
    let names = (text(), text(), text(), vec(text(), 0..LENGTH_BOUND));
    let times = (option::of(any::<u64>()), any::<[u64; 2]>());
    let runs = (
        option::of(vec(running, 0..LENGTH_BOUND)),
        vec(finished(), 0..LENGTH_BOUND),
        vec(run(), 0..LENGTH_BOUND),
    );
    (names, state, times, resources(), runs).prop_map(|(names, state, times, capacity, runs)| {
        let (id, backend, zone, labels) = names;
        let (remaining_ms, [warmup_remaining_ms, since_heartbeat_ms]) = times;
        let (running, finished, in_flight) = runs;
        InstanceReport {
            id,
            backend,
            zone,
            state,
            remaining_ms,
            warmup_remaining_ms,
            capacity,
            labels,
            since_heartbeat_ms,
            running,
            finished,
            in_flight,
        }
    })
}

fn finished() -> impl Strategy<Value = FinishedRun> {
    let end = prop::sample::select(vec![
        RunEnd::Done,
        RunEnd::Failed,
        RunEnd::Stopped,
        RunEnd::Expired,
        RunEnd::GangMemberEnded,
        RunEnd::GangIncomplete,
        RunEnd::Refused,
    ]);
    (any::<u64>(), run(), end, text()).prop_map(|(number, run, end, checkpoint)| FinishedRun {
        number,
        run,
        end,
        checkpoint,
    })
}

fn orders() -> impl Strategy<Value = AgentOrders> {
    let start =
        (run(), resources(), text(), text()).prop_map(|(run, resources, spec, checkpoint)| {
            StartOrder {
                run,
                resources,
                spec,
                checkpoint,
            }
        });
    let numbers = (
        any::<u64>(),
        option::of(any::<u64>()),
        option::of(any::<u64>()),
        option::of(any::<u64>()),
    );
    (
        numbers,
        text(),
        vec(start, 0..LENGTH_BOUND),
        vec(run(), 0..LENGTH_BOUND),
    )
        .prop_map(|(numbers, instance, start, stop)| {
            let (epoch, echo_sent_ms, acknowledged_end, acknowledged_update) = numbers;
            AgentOrders {
                epoch,
                echo_sent_ms,
                instance,
                start,
                stop,
                acknowledged_end,
                acknowledged_update,
            }
        })
}

fn question() -> impl Strategy<Value = InspectionQuery> {
    prop_oneof![
        Just(InspectionQuery::Status),
        any::<u64>().prop_map(|job| InspectionQuery::Job(JobId(job)))
    ]
}

fn answer() -> impl Strategy<Value = InspectionAnswer> {
    prop_oneof![
        Just(InspectionAnswer::Job(None)),
        option::of(member()).prop_map(|head| InspectionAnswer::NotHead { head }),
        text().prop_map(|reason| InspectionAnswer::Unavailable { reason }),
    ]
}
