//! The interface of the decision module: its inputs ([`Event`]), its outputs ([`Action`]) and its [`Settings`].
//!
//! A caller owns one [`crate::dispatcher::Dispatcher`] per dispatcher and hands it every event in the order in
//! which it happened, with a clock that never runs backwards. Classes, kinds, zones, tenants, workers and requests are
//! integer ids chosen by the caller; the module attaches no meaning to their values.
//! Times and durations are whole microseconds unless a comment says otherwise.

pub use crate::ids::*;
use crate::statistics::Statistics;
use crate::transferred_job::TransferredJob;

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may take effect any number of times.
    Safe,
    /// It carries a key by which the workers of one group drop a repeat within `ttl` of the first attempt that may have
    /// run.
    Keyed {
        /// Which workers drop each other's repeats.
        group: Group,
        /// For how long they do, from the first attempt that may have run.
        ttl: Time,
    },
    /// It must never run twice.
    Unsafe,
}

/// The workers that drop repeats of a keyed request for each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All workers.
    All,
    /// Workers of one zone.
    Zone,
    /// Workers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The one kind of worker that can run it, if it is bound to one.
    pub kind: Option<KindId>,
    /// An answer within this time, plus `stretch` times the job's own work, earns the full value.
    pub latency_target: Time,
    /// Multiple of the job's own work (at speed 1) by which the latency target is extended.
    pub stretch: f64,
    /// How long a client waits over all its attempts at one request.
    pub deadline: Time,
    /// Whether it may take effect more than once.
    pub effect: Effect,
    /// Value of one request, or of a unit of its work where [`Settings::value_by_work`] is set.
    pub value: f64,
    /// Fraction of the value that an answer after the latency target still earns.
    pub late_value: f64,
    /// Priority in the workers' queues, where they order by priority.
    pub priority: i32,
}

impl Class {
    /// The rules of a class that the settings lack: the strictest, it must never run twice.
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
    /// Requests a second, over all dispatchers, that are within its quota.
    pub quota_per_s: f64,
    /// Its fraction of the service, 0 to 1.
    pub fraction: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reports {
    /// With results of attempts and of probes.
    WithResults,
    /// With results of probes only.
    OnProbe,
    /// There are none.
    #[default]
    Off,
}

/// Limits and permissions of the deployment.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Attempts that a request may have.
    pub attempts: u32,
    /// Requests that may be open at once; `None`: no limit. Each occupies a connection of its client, and these are
    /// limited.
    pub open: Option<usize>,
    /// [`Action::Cancel`] may be used.
    pub cancel: bool,
    /// Two attempts of one request may be in flight at once.
    pub duplicates: bool,
    /// [`Action::Probe`] may be used.
    pub probes: bool,
    /// [`Action::UpdatePeers`] may be used.
    pub peers: bool,
    /// Rejections advise clients when to retry.
    pub retry_after: bool,
    /// The longest such advice that clients follow.
    pub max_retry_after: Time,
    /// A connection not made within this time fails.
    pub dial_timeout: Time,
}

impl Limits {
    /// Whether a waiting request is moved by cancelling its attempt: where no second attempt may run beside the first.
    pub fn moves(&self) -> bool {
        self.cancel && !self.duplicates
    }
}

/// Prices of what a dispatcher uses: fractions of the result for each unit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Charges {
    /// Attempts that cross zones, per first attempt.
    pub cross_zone: f64,
    /// Work of workers that led to no answer, per work submitted.
    pub waste: f64,
    /// Probes, per first attempt.
    pub probe: f64,
    /// Bytes of peer updates delivered, per 256 bytes and first attempt.
    pub peer: f64,
    /// Value of requests that end unserved after their latency target, per value submitted.
    pub late_fail: f64,
    /// Membership entries received, per hundred and first attempt.
    pub discovery: f64,
}

/// Budget of retries, that is, of attempts beyond each request's first, that a dispatcher may make in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResendBudget {
    /// Retries allowed whatever the traffic.
    pub free: f64,
    /// Further retries for each request accepted in the window.
    pub ratio: f64,
    /// Length of the window. `None`: no request adds to the budget, and no retry ever leaves it.
    pub window: Option<Time>,
}

/// Parameters of the rules that must never be broken.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// A final answer may come this long after the client's deadline.
    pub answer_slack: Time,
    /// Without a subscription the membership list must be requested at least this often.
    pub membership_refresh_within: Time,
    /// A worker has at least this fraction of its capacity when it starts.
    pub initial_capacity: f64,
    /// Its warm-up takes at most this long.
    pub warm_after: Time,
    /// No request may be sent to a draining or removed worker later than this after the membership event.
    pub drain_grace: Time,
    /// A worker in warm-up fails when it is sent more than this multiple of its present capacity.
    pub tip_multiple: f64,
    /// The window over which that is counted.
    pub tip_window: Time,
    /// Budget of retries; `None`: as many as [`Limits::attempts`] allows.
    pub resends: Option<ResendBudget>,
    /// Idle connections to a draining worker must be closed within this time; `None`: they may stay open.
    pub close_idle_within: Option<Time>,
    /// [`Status::Full`] is no proof that the attempt never ran.
    pub full_may_have_run: bool,
}

/// What a dispatcher is configured with.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of dispatchers that send to these workers.
    pub dispatchers: u32,
    /// This dispatcher's number, from 0.
    pub me: u32,
    /// This dispatcher's zone.
    pub zone: ZoneId,
    /// Shortest time between two batches of events.
    pub granularity: Time,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Membership events come unrequested; else only after [`Action::Watch`] or [`Action::Fetch`].
    pub membership_pushed: bool,
    /// Workers report the start of a job.
    pub reports_start: bool,
    /// Time between progress reports; 0 for none.
    pub progress: Time,
    /// Where load reports come from.
    pub reports: Reports,
    /// Value is counted for each unit of work, not for each request.
    pub value_by_work: bool,
    /// Value of a request beyond its tenant's quota, as a fraction of its class's value.
    pub over_quota_value: f64,
    /// Limits and permissions.
    pub limits: Limits,
    /// Prices.
    pub charges: Charges,
    /// Parameters of the rules.
    pub rules: Rules,
}

/// State of a worker in the membership list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// It takes requests.
    Active,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It has been removed.
    #[default]
    Left,
}

/// One entry of the membership list.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell: the workers that drop repeats of keyed requests for each other.
    pub cell: u32,
    /// Its state.
    pub state: WorkerState,
    /// Its relative size, without a unit.
    pub power: f64,
    /// When its process last started; 0 if long ago.
    pub ready_at: Time,
}

/// How much of the membership list an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last held, perhaps out of date.
    Cached,
    /// The request for it failed or the subscription broke: no entries, the former list stays.
    Failed,
}

/// A worker's load by its own report. Reports are late and noisy; absent values are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in flight.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Fraction of its cores in use, 0 to 1.
    pub busy: Option<f64>,
    /// Requests served a second.
    pub served: Option<f64>,
    /// Errors a second.
    pub failed: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory.
    pub free_memory: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Answered.
    Ok,
    /// The worker answered with an error; it may have run.
    Error,
    /// Rejected for lack of capacity; it never ran, unless [`Rules::full_may_have_run`] is set.
    Full,
    /// No answer in time; it may have run or still run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    Moot,
}

/// A new request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Time until the client gives up this attempt.
    pub left: Time,
    /// Expected work as time at speed 1, where given.
    pub estimate: Option<Time>,
    /// Slots it takes while it runs.
    pub slots: f64,
    /// Memory it takes while it runs, in units of about one slot's.
    pub memory: f64,
    /// Affinity, where it has one: requests with the same one need the same data, which workers keep for a while.
    pub subject: Option<u64>,
}

/// An input of the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A membership list, a change of it, or a failure to get it.
    Membership {
        /// How much of the list.
        scope: Scope,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A request arrived; the dispatcher must give it one final answer.
    Request(Request),
    /// A streamed answer has begun: the request is closed, and the attempt now belongs to the client.
    Streaming {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The worker has started an attempt.
    Started {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The worker has not acknowledged an attempt in time: it or the network is unresponsive. Never sent where workers
    /// acknowledge nothing.
    Unacknowledged {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// A progress report of an attempt.
    Progress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// Fraction of the work done, 0 to 1.
        done: f64,
    },
    /// The result of an attempt; each attempt has exactly one.
    Outcome {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// How it ended.
        status: Status,
        /// The request is closed: it needs no further answer.
        closed: bool,
        /// The worker's load report, if the result carried one.
        load: Option<Load>,
    },
    /// The client has disconnected; the request is closed.
    RequestClosed(RequestId),
    /// A timer of this dispatcher is due.
    Timer(u64),
    /// The result of a probe.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        status: Status,
        /// The load report, if the result carried one.
        load: Option<Load>,
    },
    /// Other settings from now on. Ids keep their meaning; classes and tenants may be added at the end. An open
    /// request keeps the class that it came with.
    Settings(Box<Settings>),
    /// Statistics of the dispatcher that this one replaces, under this one's ids.
    Statistics(Box<Statistics<u32>>),
    /// An open request of the dispatcher that this one replaces, under this one's ids. This dispatcher must give it its
    /// one final answer, and receives the events of its attempts in flight.
    Adopted(RequestId, Box<TransferredJob<u32>>),
    /// A message from another dispatcher.
    Peer {
        /// The sender's number.
        from: u32,
        /// Slots that its requests occupy at each worker where there are any. Updates may be late or lost.
        in_flight: Vec<(WorkerId, u8)>,
    },
}

/// An output of the dispatcher, to be carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Time-out; 0: until the client gives up.
        timeout: Time,
        /// From this time on it must not be sent any more, however long it waited for a connection.
        by: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer: rejected, a retry by the client is safe.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advice to retry no sooner than after this time; 0 for none.
        retry_after: Time,
    },
    /// Final answer: failed, it may have taken effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Request an [`Event::Timer`] at this time or soon after.
    Timer {
        /// When.
        at: Time,
        /// Returned with the event.
        name: u64,
    },
    /// Request a worker's health and load.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Close this dispatcher's idle connections to a worker.
    Disconnect {
        /// The worker.
        worker: WorkerId,
    },
    /// Send all other dispatchers the slots that this one's requests occupy.
    UpdatePeers {
        /// Slots occupied at each worker where there are any; a few dozen workers at most.
        in_flight: Vec<(WorkerId, u8)>,
    },
    /// Subscribe to the membership list, or end the subscription.
    Watch(bool),
    /// Request the whole membership list once.
    Fetch,
    /// A line for the operators' log.
    Log(String),
}
