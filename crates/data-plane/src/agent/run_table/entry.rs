//! One entry of the run table: the stage of a run and the orders about it for the next reply.

use indigofold_protocol::internal::StartOrder;
use indigofold_protocol::job::Resources;

/// Time after which a start that does not fit the worker's free capacity is returned to the head as not started.
pub const CAPACITY_WAIT_MS: u64 = 500;
/// Number of times that a start is sent; if the worker still does not list the run, it is stopped instead.
pub const SEND_ATTEMPTS_MAX: u32 = 10;
/// Maximum number of starts in one reply, so that the reply stays below 4 MiB.
pub const STARTS_PER_REPLY_MAX: usize = 200;

/// The reply being built, and the worker's capacity and state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyContext {
    /// Current reading of the monotonic clock.
    pub now_ms: u64,
    /// Sequence number of the heartbeat that the reply answers.
    pub seq_no: u64,
    /// Total capacity of the worker.
    pub capacity: Resources,
    /// Whether the worker accepts new runs; `false` while it drains.
    pub ready: bool,
    /// Whether the reply grants a lease; without one nothing is started.
    pub leased: bool,
}

/// The stage of an open run.
#[derive(Debug)]
enum Stage {
    /// The start is to be put into a reply, for the first time or again.
    Waiting {
        order: StartOrder,
        /// Since when the run has not fit the worker's free capacity; `None` if it has not been found too large.
        over_capacity_since_ms: Option<u64>,
        send_attempts: u32,
    },
    /// The start was put into the reply to heartbeat `seq_no`, and no heartbeat has listed the run. `order` is `None`
    /// if the start must not be sent again: only a stop was ordered, or the start was withdrawn.
    Sent {
        order: Option<StartOrder>,
        seq_no: u64,
        send_attempts: u32,
    },
    /// The newest heartbeat lists the run as running.
    Running,
}

/// Whether a run is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopOrder {
    /// No stop was ordered.
    None,
    /// A stop is to be put into the next reply.
    Due,
    /// The stop was first put into the reply to this heartbeat; each later reply repeats it.
    Sent { seq_no: u64 },
}

/// The state of an entry after a heartbeat was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryOutcome {
    /// The entry stays in the table.
    Kept,
    /// The start was sent and then stopped, and the run never started.
    NeverStarted,
    /// The run was listed as running before and has ended.
    Ended,
}

/// The decision about a start for the reply being built.
#[derive(Debug)]
pub(super) enum StartDecision {
    /// The start goes into the reply.
    Send(StartOrder),
    /// The start waits for a later reply, or there is none to send.
    Defer,
    /// The start was never sent and is returned to the head as not started.
    Withdraw,
}

/// An open run: ordered, sent or running.
#[derive(Debug)]
pub(super) struct RunEntry {
    stage: Stage,
    resources: Resources,
    stop: StopOrder,
    /// Whether the heartbeat being read lists the run.
    listed: bool,
}

impl RunEntry {
    /// Creates the entry of a start that was ordered.
    pub(super) fn waiting(order: StartOrder) -> Self {
        let resources = order.resources;
        let stage = Stage::Waiting {
            order,
            over_capacity_since_ms: None,
            send_attempts: 0,
        };
        RunEntry::new(stage, resources, StopOrder::None)
    }

    /// Creates the entry of a run of which only a stop order is known.
    pub(super) fn stop_only() -> Self {
        let stage = Stage::Sent {
            order: None,
            seq_no: 0,
            send_attempts: 0,
        };
        RunEntry::new(stage, Resources::default(), StopOrder::Due)
    }

    /// Creates the entry of a run that is known only from the worker's list.
    pub(super) fn running() -> Self {
        RunEntry::new(Stage::Running, Resources::default(), StopOrder::None)
    }

    fn new(stage: Stage, resources: Resources, stop: StopOrder) -> Self {
        RunEntry {
            stage,
            resources,
            stop,
            listed: false,
        }
    }

    /// Resources of the run according to the newest start order; zero before a start order.
    pub(super) fn resources(&self) -> &Resources {
        &self.resources
    }

    /// Replaces the resources by those of a repeated start order.
    pub(super) fn set_resources(&mut self, resources: Resources) {
        self.resources = resources;
    }

    /// Whether the newest heartbeat lists the run as running.
    pub(super) fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running)
    }

    /// Whether the run may occupy capacity at the worker: it is running, or its start was sent and is not known to be
    /// lost.
    pub(super) fn occupies_capacity(&self) -> bool {
        !matches!(self.stage, Stage::Waiting { .. })
    }

    /// Whether the start was sent at least once and no heartbeat has listed the run.
    pub(super) fn is_in_flight(&self) -> bool {
        matches!(
            self.stage,
            Stage::Sent { .. }
                | Stage::Waiting {
                    send_attempts: 1..,
                    ..
                }
        )
    }

    /// Records that the heartbeat being read lists the run as running.
    pub(super) fn handle_listed(&mut self) {
        self.stage = Stage::Running;
        self.listed = true;
    }

    /// Updates the entry after all lists of heartbeat `seq_no` were read.
    pub(super) fn finish_heartbeat(&mut self, seq_no: u64) -> EntryOutcome {
        if std::mem::take(&mut self.listed) {
            return EntryOutcome::Kept;
        }
        match (&self.stage, self.stop) {
            (Stage::Running, _) => EntryOutcome::Ended,
            (
                Stage::Sent { .. },
                StopOrder::Sent {
                    seq_no: sent_seq_no,
                },
            ) if sent_seq_no < seq_no => EntryOutcome::NeverStarted,
            (
                Stage::Sent {
                    seq_no: sent_seq_no,
                    ..
                },
                StopOrder::None,
            ) if *sent_seq_no < seq_no => {
                self.retry_start();
                EntryOutcome::Kept
            }
            (Stage::Waiting { .. } | Stage::Sent { .. }, _) => EntryOutcome::Kept,
        }
    }

    /// Schedules the start to be sent again, or stopped after [`SEND_ATTEMPTS_MAX`] attempts, because a heartbeat after
    /// the reply does not list the run.
    fn retry_start(&mut self) {
        let Stage::Sent {
            order,
            send_attempts,
            ..
        } = &mut self.stage
        else {
            return;
        };
        let send_attempts = *send_attempts;
        match order.take() {
            Some(order) if send_attempts < SEND_ATTEMPTS_MAX => {
                self.stage = Stage::Waiting {
                    order,
                    over_capacity_since_ms: None,
                    send_attempts,
                };
            }
            _ => self.stop = StopOrder::Due,
        }
    }

    /// Withdraws the start or orders a stop. Returns `true` if the start was never sent, so that the entry can be
    /// removed.
    pub(super) fn withdraw(&mut self) -> bool {
        if let Stage::Waiting { send_attempts, .. } = self.stage {
            if send_attempts == 0 {
                return true;
            }
            self.stage = Stage::Sent {
                order: None,
                seq_no: 0,
                send_attempts,
            };
        }
        if self.stop == StopOrder::None {
            self.stop = StopOrder::Due;
        }
        false
    }

    /// Decides whether the start goes into the reply. `used_capacity`: capacity taken by other runs; `start_count`:
    /// number of starts in the reply so far.
    pub(super) fn poll_start(
        &mut self,
        context: &ReplyContext,
        used_capacity: &Resources,
        start_count: usize,
    ) -> StartDecision {
        let Stage::Waiting {
            order,
            over_capacity_since_ms,
            send_attempts,
        } = &mut self.stage
        else {
            return StartDecision::Defer;
        };
        if context.ready
            && context
                .capacity
                .can_fit(&used_capacity.plus(&self.resources))
        {
            if !context.leased || start_count >= STARTS_PER_REPLY_MAX {
                return StartDecision::Defer;
            }
            let (order, send_attempts) = (order.clone(), *send_attempts + 1);
            self.stage = Stage::Sent {
                order: Some(order.clone()),
                seq_no: context.seq_no,
                send_attempts,
            };
            return StartDecision::Send(order);
        }
        if context.ready {
            let since_ms = *over_capacity_since_ms.get_or_insert(context.now_ms);
            if context.now_ms < since_ms.saturating_add(CAPACITY_WAIT_MS) {
                return StartDecision::Defer;
            }
        }
        if self.withdraw() {
            StartDecision::Withdraw
        } else {
            StartDecision::Defer
        }
    }

    /// Returns whether the reply to heartbeat `seq_no` carries a stop of this run, and records a due stop as sent.
    pub(super) fn poll_stop(&mut self, seq_no: u64) -> bool {
        if self.stop == StopOrder::Due {
            self.stop = StopOrder::Sent { seq_no };
        }
        self.stop != StopOrder::None
    }
}
