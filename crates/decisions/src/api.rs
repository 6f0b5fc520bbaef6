//! The interface of the decision module: what it is told and what it may ask for.
//!
//! A caller owns one [`crate::dispatcher::Dispatcher`] per dispatcher and hands it every event in the order in
//! which it happened, with a clock that never runs backwards. All names (classes, kinds, zones, tenants,
//! workers, requests) are integer ids chosen by the caller; the module attaches no meaning to their values.
//! Times and durations are whole microseconds.

pub use crate::ids::*;
use crate::statistics::Statistics;
use crate::transferred_job::TransferredJob;

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// Workers of one group drop a repeat within `ttl` of the first send that may have run.
    Keyed {
        /// Which workers drop each other's repeats.
        group: Group,
        /// For how long they do.
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
    /// An answer within this time, plus `stretch` times the job's own work, earns the full worth.
    pub latency_target: Time,
    /// Multiple of the job's own work (at speed 1) by which the aim is extended.
    pub stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline: Time,
    /// Whether repeats are harmful.
    pub effect: Effect,
    /// Worth of one request, or of a unit of its work where [`Settings::value_by_work`] is set.
    pub value: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_value: f64,
    /// Priority in the workers' queues, where they order by priority.
    pub priority: i32,
}

impl Class {
    /// What a request of a class that the settings lack is taken for: it must never run twice.
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

/// A tenant and its share.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Requests a second over all dispatchers that count as within its share.
    pub quota_per_s: f64,
    /// Its fraction of the service.
    pub fraction: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reports {
    /// With the outcomes of attempts and with probes.
    WithResults,
    /// With probes only.
    OnProbe,
    /// There are none.
    #[default]
    Off,
}

/// What the site allows.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Attempts a request may have.
    pub attempts: u32,
    /// Requests that may be open at once; `None`: as many as come. Each keeps a connection of its client's, and those
    /// are limited.
    pub open: Option<usize>,
    /// `Cancel` may be used.
    pub cancel: bool,
    /// Two attempts of one request may be out at once.
    pub duplicates: bool,
    /// `Probe` may be used.
    pub probes: bool,
    /// `UpdatePeers` may be used.
    pub peers: bool,
    /// Clients are told when to retry.
    pub retry_after: bool,
    /// Longest such advice that a client follows.
    pub max_retry_after: Time,
    /// A connection not made within this time fails.
    pub dial_timeout: Time,
}

impl Limits {
    /// Where no copy may go beside, giving an attempt up is the only way to move a job.
    pub fn moves(&self) -> bool {
        self.cancel && !self.duplicates
    }
}

/// Prices: points of the result (as a fraction) for each unit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Charges {
    /// Attempts that cross zones, per first try.
    pub cross_zone: f64,
    /// Worker work without an answer, per work submitted.
    pub waste: f64,
    /// Probes, per first try.
    pub probe: f64,
    /// Delivered peer bytes, per 256 bytes and first try.
    pub peer: f64,
    /// Worth that ends unserved after its aim, per worth offered.
    pub late_fail: f64,
    /// List lines, per hundred and first try.
    pub discovery: f64,
}

/// Attempts beyond each request's first that a dispatcher may make in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResendBudget {
    /// So many whatever the traffic ...
    pub free: f64,
    /// ... and so many for each request taken in the window.
    pub ratio: f64,
    /// Length of the window. `None`: no request counts, and no further attempt is ever forgotten.
    pub window: Option<Time>,
}

/// Figures of the rules that no run may break.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// A final answer may come this long after the client's deadline.
    pub answer_slack: Time,
    /// Without a subscription the list must be asked for at least this often.
    pub list_refresh_within: Time,
    /// A worker starts at this share of its capacity or above.
    pub initial_capacity: f64,
    /// ... and is warm no later than this after its start.
    pub warm_after: Time,
    /// Sends to a draining or gone worker must have stopped this long after the dispatcher was told.
    pub drain_grace: Time,
    /// A cold worker falls when sent more than this multiple of its present capacity ...
    pub tip_multiple: f64,
    /// ... over a window of this length.
    pub tip_window: Time,
    /// Budget of attempts beyond each request's first; `None`: as many as [`Limits::attempts`] allows.
    pub resends: Option<ResendBudget>,
    /// Idle connections to a leaving worker must be closed within this time; `None`: they may stay.
    pub let_go_in: Option<Time>,
    /// [`Status::Full`] is no proof that the attempt never ran.
    pub full_may_have_run: bool,
}

/// What a dispatcher is told when it starts.
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
    /// The list of workers changes unasked (else only after `Watch` or `Fetch`).
    pub membership_pushed: bool,
    /// Workers tell when a job starts.
    pub reports_start: bool,
    /// Time between progress notes; 0 for none.
    pub progress: Time,
    /// Where load reports come from.
    pub reports: Reports,
    /// Worth is counted for each unit of work, not for each request.
    pub value_by_work: bool,
    /// Worth of a request beyond its tenant's share, as a fraction of its class's worth.
    pub over_quota_value: f64,
    /// What the site allows.
    pub limits: Limits,
    /// Prices.
    pub charges: Charges,
    /// Figures of the rules.
    pub rules: Rules,
}

/// State of a worker in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// It takes work.
    Active,
    /// It finishes what it has; send it nothing new.
    Draining,
    /// It is gone.
    #[default]
    Left,
}

/// One line of the list of workers.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell: the workers that share knowledge of keys seen.
    pub cell: u32,
    /// Its state.
    pub state: WorkerState,
    /// A unitless size.
    pub power: f64,
    /// When its process last started; 0 if long past.
    pub ready_at: Time,
}

/// How much of the list a list event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last held, perhaps out of date.
    Cached,
    /// A call failed or the subscription broke; no entries, the old list stays.
    Failed,
}

/// A worker's load as it reports it. Reports are late and noisy; absent values are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests held.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Fraction of its cores in use.
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
    /// Turned away; it never ran, unless [`Rules::full_may_have_run`] is set.
    Full,
    /// No answer in time; it may have run or still run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
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
    /// Time until the client gives up this try.
    pub left: Time,
    /// Expected work as time at speed 1, where given.
    pub estimate: Option<Time>,
    /// Slots it takes while it runs.
    pub slots: f64,
    /// Memory it takes while it runs.
    pub memory: f64,
    /// What it is about, where it says so: requests with equal ones need the same thing, which workers keep for a while.
    pub subject: Option<u64>,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the worker list.
    List {
        /// How much of it.
        scope: Scope,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A request arrived; the dispatcher owes it one final answer.
    Request(Request),
    /// A streamed answer has begun; the attempt now belongs to the client.
    Streaming {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt's job has begun to run.
    Started {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The worker has not said that it took an attempt, though that is overdue: either it or the way to it
    /// hangs. Not told where takers say nothing.
    Unheard {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt's job has this share done.
    Progress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// Share done, 0 to 1.
        done: f64,
    },
    /// The one result of an attempt.
    Outcome {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// How it ended.
        status: Status,
        /// The request is closed; nothing more is owed.
        closed: bool,
        /// The worker's load report, if one came along.
        load: Option<Load>,
    },
    /// The client is gone; the request is closed.
    RequestClosed(RequestId),
    /// A timer of this dispatcher is due.
    Timer(u64),
    /// The result of a probe.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How it went.
        status: Status,
        /// The load report, if one came along.
        load: Option<Load>,
    },
    /// Other settings from now on. Ids keep their meaning; classes and tenants may be added at the end. An open
    /// request keeps the class that it came with.
    Settings(Box<Settings>),
    /// What another one has learned that did this one's work until now; under this one's ids.
    Statistics(Box<Statistics<u32>>),
    /// A request goes on here that another one has begun, with what its attempts have done; under this one's ids. The
    /// dispatcher owes it its one final answer, and hears of what is still out.
    Adopted(RequestId, Box<TransferredJob<u32>>),
    /// A message from another dispatcher.
    Peer {
        /// The sender's number.
        from: u32,
        /// The slots that it holds at each worker where it holds any; a hint that may be late or lost.
        in_flight: Vec<(WorkerId, u8)>,
    },
}

/// Something the dispatcher wants done, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Time-out; 0 means until the client gives up.
        timeout: Time,
        /// It must not begin to go out from this time on, however long a connection is waited for.
        by: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advice to stay away this long; 0 for none.
        retry_after: Time,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Ask for a `Timer` event at this time or soon after.
    Timer {
        /// When.
        at: Time,
        /// Handed back with the event.
        name: u64,
    },
    /// Ask a worker for its health and load.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Close this dispatcher's idle connections to a worker.
    Disconnect {
        /// The worker.
        worker: WorkerId,
    },
    /// Tell all other dispatchers what this one holds.
    UpdatePeers {
        /// Slots in flight at each worker where there are any; a few dozen workers at most.
        in_flight: Vec<(WorkerId, u8)>,
    },
    /// Subscribe to the worker list, or end the subscription.
    Watch(bool),
    /// Ask for the whole worker list once.
    Fetch,
    /// A line for the operators' log.
    Log(String),
}
