//! The interface of the decision module: its inputs ([`Event`]), its outputs ([`Action`]) and its [`Settings`].
//!
//! A caller owns one [`crate::dispatcher::Dispatcher`] per dispatcher and passes it every event in the order in which
//! it occurred, with a clock that never runs backwards. Classes, kinds, zones, tenants, workers and requests are
//! integer ids chosen by the caller; the module attaches no meaning to their values. Times and durations are whole
//! microseconds unless a comment says otherwise.

pub use crate::ids::*;
use crate::statistics::Statistics;
use crate::transferred_job::TransferredJob;

/// How often a request may take effect, which decides whether it may be retried after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The request may take effect any number of times.
    Safe,
    /// The request carries an idempotency key: the workers of one group drop a repeat within `ttl` of the first attempt
    /// that may have run.
    Keyed {
        /// The workers that drop each other's repeats.
        group: DeduplicationScope,
        /// How long repeats are dropped, counted from the send of the first attempt that may have run.
        ttl: Time,
    },
    /// The request must never run twice.
    Unsafe,
}

/// The workers that drop repeats of a keyed request for each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers drop each other's repeats.
    All,
    /// Workers of the same zone drop each other's repeats.
    Zone,
    /// Workers of the same cell drop each other's repeats; see [`Entry::cell`].
    Cell,
}

/// Rules for a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The only kind of worker that can run the class; `None`: any kind can.
    pub kind: Option<KindId>,
    /// An answer within this time, plus `stretch` times the job's work, earns the full value.
    pub latency_target: Time,
    /// Multiple of the job's work (at speed 1) by which the latency target is extended.
    pub stretch: f64,
    /// How long a client waits for one request in total, including the client's own retries.
    pub deadline: Time,
    /// How often a request of the class may take effect.
    pub effect: Effect,
    /// Value of one request, or of one unit of its work if [`Settings::value_by_work`] is set.
    pub value: f64,
    /// Fraction of the value that an answer after the latency target still earns.
    pub late_value: f64,
    /// Priority in the workers' queues, for workers that order their queues by priority.
    pub priority: i32,
}

impl Class {
    /// Rules for a class that is missing from the settings. They are the strictest: a request must never run twice.
    pub const UNKNOWN: Class = Class {
        kind: None,
        latency_target: 1_000_000,
        stretch: 0.0,
        deadline: 0,
        effect: Effect::Unsafe,
        value: 1.0,
        late_value: 1.0,
        priority: 0,
    };
}

/// A tenant and its quota.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Requests per second, over all dispatchers, that count as within the quota.
    pub quota_per_s: f64,
    /// Expected fraction of all arrivals that come from this tenant, 0 to 1.
    pub fraction: f64,
}

/// Which results carry load reports of workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reports {
    /// Results of attempts and of probes.
    WithResults,
    /// Results of probes only.
    OnProbe,
    /// None: workers report no load.
    #[default]
    Off,
}

/// Limits and permissions of the deployment.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Maximum number of attempts of a request.
    pub attempts: u32,
    /// Maximum number of requests open at once; `None`: no limit. Each occupies a client connection, whose number is
    /// limited.
    pub open: Option<usize>,
    /// Whether [`Action::Cancel`] may be used.
    pub cancel: bool,
    /// Whether two attempts of one request may be in flight at once.
    pub duplicates: bool,
    /// Whether [`Action::Probe`] may be used.
    pub probes: bool,
    /// Whether [`Action::UpdatePeers`] may be used.
    pub peers: bool,
    /// Whether rejections tell clients when to retry.
    pub retry_after: bool,
    /// The longest retry delay that clients respect.
    pub max_retry_after: Time,
    /// A connection that is not established within this time fails.
    pub dial_timeout: Time,
}

impl Limits {
    /// Whether a request that waits at a worker is moved to another one by cancelling its attempt: only if attempts can
    /// be cancelled and no second attempt may run beside the first.
    pub fn moves_waiting_requests(&self) -> bool {
        self.cancel && !self.duplicates
    }
}

/// Prices of the resources that a dispatcher uses, each as a fraction of the total result per unit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Charges {
    /// Price of attempts that cross zones, per first attempt.
    pub cross_zone: f64,
    /// Price of worker time that led to no answer, per unit of work submitted.
    pub waste: f64,
    /// Price of probes, per first attempt.
    pub probe: f64,
    /// Price of delivered peer updates, per 256 bytes and first attempt.
    pub peer: f64,
    /// Price of requests that end unserved after their latency target, per unit of value submitted.
    pub late_fail: f64,
    /// Price of membership entries received, per hundred entries and first attempt.
    pub discovery: f64,
}

/// Retry budget of a dispatcher: how many attempts beyond each request's first one it may make in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed regardless of the traffic.
    pub free: f64,
    /// Further retries for each request accepted in the window.
    pub ratio: f64,
    /// Length of the window. `None`: accepted requests add nothing to the budget, and a retry counts against it for
    /// good.
    pub window: Option<Time>,
}

/// Parameters of the rules that every decision must obey.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// How long after the client's deadline a final answer may come.
    pub answer_slack: Time,
    /// Longest time between two requests for the membership list while there is no subscription.
    pub membership_refresh_within: Time,
    /// Least fraction of its capacity that a worker has when its process starts, 0 to 1.
    pub initial_capacity: f64,
    /// Longest duration of a worker's warm-up, after which it has its full capacity.
    pub warm_after: Time,
    /// Time after a membership event from which on no request may be sent to a worker that the event drains or removes.
    pub drain_grace: Time,
    /// A worker in warm-up fails when it is sent more work in [`Rules::warm_up_overload_window`] than this multiple of its current
    /// capacity.
    pub warm_up_overload_multiple: f64,
    /// Length of the window for [`Rules::warm_up_overload_multiple`].
    pub warm_up_overload_window: Time,
    /// Retry budget; `None`: only [`Limits::attempts`] limits retries.
    pub retry_budget: Option<RetryBudget>,
    /// Time within which idle connections to a draining worker must be closed; `None`: they may stay open.
    pub close_idle_within: Option<Time>,
    /// Whether an attempt that ended with [`Status::Full`] may have run.
    pub full_may_have_run: bool,
}

/// Configuration of a dispatcher.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of dispatchers that send to these workers.
    pub dispatchers: u32,
    /// Index of this dispatcher, counted from 0.
    pub dispatcher_index: u32,
    /// This dispatcher's zone.
    pub zone: ZoneId,
    /// Shortest time between two batches of events.
    pub granularity: Time,
    /// Rules of the request classes, indexed by [`ClassId`].
    pub classes: Vec<Class>,
    /// The tenants, indexed by [`TenantId`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// Whether membership events come without a request; otherwise only after [`Action::Watch`] or [`Action::Fetch`].
    pub membership_pushed: bool,
    /// Whether workers report the start of a job.
    pub reports_start: bool,
    /// Time between two progress reports of a job; 0: workers send none.
    pub progress: Time,
    /// Which results carry load reports.
    pub reports: Reports,
    /// Whether [`Class::value`] is the value of a unit of work rather than of a request.
    pub value_by_work: bool,
    /// Value of a request beyond its tenant's quota, as a fraction of its class's value.
    pub over_quota_value: f64,
    /// Limits and permissions of the deployment.
    pub limits: Limits,
    /// Prices of the resources that a dispatcher uses.
    pub charges: Charges,
    /// Parameters of the rules that every decision must obey.
    pub rules: Rules,
}

/// State of a worker in the membership list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// The worker takes requests.
    Active,
    /// The worker finishes its open requests and takes no new ones.
    Draining,
    /// The worker has been removed.
    #[default]
    Left,
}

/// One entry of the membership list.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Zone of the worker.
    pub zone: ZoneId,
    /// Kind of the worker.
    pub kind: KindId,
    /// Cell of the worker. Workers of one cell drop repeats of keyed requests for each other ([`DeduplicationScope::Cell`]).
    pub cell: u32,
    /// Whether the worker takes requests, drains or has left.
    pub state: WorkerState,
    /// Relative size of the worker, without a unit.
    pub power: f64,
    /// When the worker's process last started; 0: long ago, so that it is not in warm-up.
    pub ready_at: Time,
}

/// Which part of the membership list an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list from a cache, which may be out of date.
    Cached,
    /// No entries: the request for the list failed or the subscription broke. The previous list stays in use.
    Failed,
}

/// Load that a worker reports. Reports are delayed and noisy; a value that is not reported is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in flight at the worker.
    pub inflight: Option<f64>,
    /// Requests that wait in the worker's queue.
    pub queue: Option<f64>,
    /// Fraction of the worker's cores in use, 0 to 1.
    pub busy: Option<f64>,
    /// Requests served per second.
    pub served: Option<f64>,
    /// Errors per second.
    pub failed: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory, in the unit of [`Request::memory`].
    pub free_memory: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The worker answered.
    Ok,
    /// The worker answered with an error; the attempt may have run.
    Error,
    /// The worker rejected the attempt for lack of capacity; it never ran, unless [`Rules::full_may_have_run`] is set.
    Full,
    /// No answer came in time; the attempt may have run or may still be running.
    Timeout,
    /// No connection could be made; the attempt never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent to the worker, so it never ran.
    Moot,
}

/// A new request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant that the request belongs to.
    pub tenant: TenantId,
    /// Time left until the client gives up.
    pub left: Time,
    /// Expected work as run time at speed 1; `None`: the client gave no estimate.
    pub estimate: Option<Time>,
    /// Slots that the request takes while it runs.
    pub slots: f64,
    /// Memory that the request takes while it runs; one unit is about the memory of one slot.
    pub memory: f64,
    /// Affinity of the request, if any: requests with the same affinity need the same data, which workers cache for a
    /// while.
    pub subject: Option<u64>,
}

/// An input of the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A membership list, a change of it, or a failure to get it.
    Membership {
        /// Which part of the list the entries are.
        scope: Scope,
        /// The entries, in any order.
        entries: Vec<Entry>,
    },
    /// A request has arrived; the dispatcher must give it exactly one final answer.
    Request(Request),
    /// A streamed answer has begun: the request is closed, and its attempt continues on behalf of the client.
    Streaming {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: AttemptNo,
    },
    /// The worker has started an attempt.
    Started {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: AttemptNo,
    },
    /// The worker has not acknowledged an attempt in time: the worker or the network is unresponsive. This event never
    /// occurs where workers send no acknowledgements.
    Unacknowledged {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: AttemptNo,
    },
    /// A worker has reported the progress of an attempt.
    Progress {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: AttemptNo,
        /// Fraction of the work done, 0 to 1.
        done: f64,
    },
    /// An attempt has ended; each attempt has exactly one outcome.
    Outcome {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: AttemptNo,
        /// How the attempt ended.
        status: Status,
        /// Whether the request is closed, so that it needs no further answer.
        closed: bool,
        /// The worker's load report, if the result carried one.
        load: Option<Load>,
    },
    /// The client has disconnected; the request is closed.
    RequestClosed(RequestId),
    /// A timer set by [`Action::Timer`] is due; carries the timer's name.
    Timer(u64),
    /// A probe has ended.
    Probed {
        /// Id of the worker.
        worker: WorkerId,
        /// How the probe ended.
        status: Status,
        /// The load report, if the result carried one.
        load: Option<Load>,
    },
    /// New settings apply from now on. Ids keep their meaning; classes and tenants may be added at the end. An open
    /// request keeps the class rules that were in force when it arrived.
    Settings(Box<Settings>),
    /// Statistics of the dispatcher that this one replaces, translated to this dispatcher's ids.
    Statistics(Box<Statistics<u32>>),
    /// An open request of the dispatcher that this one replaces, translated to this dispatcher's ids. This dispatcher
    /// must give the request its final answer, and receives the events of its attempts in flight.
    Adopted(RequestId, Box<TransferredJob<u32>>),
    /// Another dispatcher has sent an update of the slots that its requests occupy.
    Peer {
        /// Index of the sending dispatcher.
        from: u32,
        /// Slots that the sender's requests occupy at each worker where they occupy any. Updates may be late or lost.
        in_flight: Vec<(WorkerId, u8)>,
    },
}

/// An output of the dispatcher, to be carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a new attempt of a request to a worker.
    Send {
        /// Id of the request.
        request: RequestId,
        /// Id of the worker.
        worker: WorkerId,
        /// Time-out of the attempt; 0: it may take until the client gives up.
        timeout: Time,
        /// Time from which on the attempt must no longer be sent, even if it has been waiting for a connection.
        by: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: AttemptNo,
    },
    /// Final answer: the request is rejected, and a retry by the client is safe.
    Reject {
        /// Id of the request.
        request: RequestId,
        /// Time after which the client is advised to retry; 0: no advice.
        retry_after: Time,
    },
    /// Final answer: the request failed and may have taken effect.
    Fail {
        /// Id of the request.
        request: RequestId,
    },
    /// Request an [`Event::Timer`] at this time or soon after.
    Timer {
        /// When the timer is due.
        at: Time,
        /// Name of the timer, which the event returns.
        name: u64,
    },
    /// Ask a worker for its health and load.
    Probe {
        /// Id of the worker.
        worker: WorkerId,
    },
    /// Close this dispatcher's idle connections to a worker.
    Disconnect {
        /// Id of the worker.
        worker: WorkerId,
    },
    /// Send all other dispatchers the slots that this dispatcher's requests occupy.
    UpdatePeers {
        /// Slots occupied at each worker where the requests occupy any; at most 51 workers.
        in_flight: Vec<(WorkerId, u8)>,
    },
    /// Subscribe to the membership list (`true`), or end the subscription (`false`).
    Watch(bool),
    /// Request the whole membership list once.
    Fetch,
    /// Write a line to the operators' log.
    Log(String),
}
