//! The companion of one worker: takes its heartbeats, answers them by itself, passes the head's orders on and tells the
//! head what the worker lists. A state machine without I/O; `now_ms` is the machine's steady clock.

mod authority;
mod closed;
mod life;
mod news;
mod runs;

pub use authority::expires_by_ms;
pub use closed::CLOSED_MAX;
pub use life::Life;
pub use news::{GONE_MAX, NOT_STARTED_MAX};
pub use runs::{MISFIT_MS, PASSES_MAX, STARTS_PER_ANSWER};

use authority::Authority;
use indigofold_protocol::internal::{AgentOrders, AgentReport, RUN_LEASE_MS, StartOrder};
use indigofold_protocol::task::RunId;
use indigofold_protocol::worker::{Heartbeat, HeartbeatReply, Start, Stop};
use life::Standing;
use news::{Gone, NotStarted};
use runs::HandOut;

/// Reports to the head are at least so far apart.
pub const REPORT_SPACING_MS: u64 = 5;
/// Reports to the head are at most so far apart.
pub const REPORT_INTERVAL_MS: u64 = 300;
/// Runs' progress in percent, where nothing else about them changed, is told so often.
pub const PERCENT_INTERVAL_MS: u64 = 1_000;
/// The worker's next heartbeat while something is ordered or runs.
pub const BUSY_BEAT_MS: u64 = 20;
/// The worker's next heartbeat while nothing is ordered or runs.
pub const IDLE_BEAT_MS: u64 = 50;
/// Longest time for which the answer to a heartbeat waits for orders that it expects: the way to the head, a write
/// there and the way back. A worker that is busy sends its next heartbeat late, as each end of a run puts it off.
pub const ORDERS_WAIT_MS: u64 = 100;
/// An order makes the worker busy for so long.
pub const ORDERED_LATELY_MS: u64 = 3_000;

/// A heartbeat that was taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heard {
    /// Its number.
    pub seq_no: u64,
    /// Runs have ended, so that orders for the room may be on their way: the answer had better wait for them.
    pub expects_orders: bool,
}

/// What became of a heartbeat.
#[derive(Debug, PartialEq)]
pub enum BeatOutcome {
    /// The newest one: the answer carries orders.
    Answered(HeartbeatReply),
    /// A newer one was read before, or its life is over: it is acknowledged, without orders.
    Late,
}

/// Events that an operator may want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentEvent {
    /// A new life of the worker has registered.
    Registered(String),
    /// The worker has said that it leaves.
    Left(String),
    /// The worker has been silent until its holds lapsed.
    Silent(String),
    /// A silent life has come back.
    Returned(String),
}

/// One worker's account.
#[derive(Debug)]
pub struct Agent {
    started_ms: u64,
    authority: Authority,
    epoch: u64,
    life: Option<Life>,
    /// A life that the head asks for and that this process has not heard of.
    stranger: Option<String>,
    /// Lives that were replaced or have left; late heartbeats of theirs mean nothing.
    ended: Vec<String>,
    ended_instances: Gone,
    not_started: NotStarted,
    ordered_ms: Option<u64>,
    linked: bool,
    urgent: bool,
    reported_ms: Option<u64>,
    /// Life, revision and time of the lists told last on this connection.
    lists_told: Option<(String, u64, u64)>,
    events: Vec<AgentEvent>,
}

impl Agent {
    /// A companion that has heard nothing yet.
    pub fn new(now_ms: u64, max_lease_ms: u64) -> Self {
        Agent {
            started_ms: now_ms,
            authority: Authority::new(max_lease_ms),
            epoch: 0,
            life: None,
            stranger: None,
            ended: Vec::new(),
            ended_instances: Gone::new(GONE_MAX),
            not_started: NotStarted::new(NOT_STARTED_MAX),
            ordered_ms: None,
            linked: false,
            urgent: false,
            reported_ms: None,
            lists_told: None,
            events: Vec::new(),
        }
    }

    /// `PUT /instances/ID` has come in; [`Agent::answer`] follows. `None` if the heartbeat is not to be read.
    pub fn hear(&mut self, now_ms: u64, id: &str, beat: Heartbeat) -> Option<Heard> {
        if !self.admit(now_ms, id, &beat) {
            return None;
        }
        self.check_authority(now_ms);
        let life = self.life.as_mut()?;
        let seq_no = beat.seq_no;
        let in_flight = life.runs.in_flight();
        let changes = life.heard(now_ms, beat);
        let confirmed = life.standing == Standing::Confirmed;
        self.urgent |= changes.urgent || life.runs.in_flight() != in_flight;
        self.give_back(changes.not_started);
        Some(Heard {
            seq_no,
            expects_orders: changes.ended && confirmed && self.linked,
        })
    }

    /// The answer to the heartbeat heard as `seq_no`; one that a newer heartbeat has overtaken gets nothing.
    pub fn answer(&mut self, now_ms: u64, id: &str, seq_no: u64) -> BeatOutcome {
        self.check_authority(now_ms);
        let newest = self
            .life
            .as_mut()
            .filter(|life| life.id == id && life.is_newest(seq_no));
        let Some(life) = newest else {
            return BeatOutcome::Late;
        };
        let confirmed = life.standing == Standing::Confirmed;
        let lease_ms = confirmed.then(|| self.authority.lease_ms(now_ms)).flatten();
        let in_flight = life.runs.in_flight();
        let out = life.hand_out(now_ms, lease_ms);
        let (acknowledged_end, idle) = (life.acknowledged_end, life.runs.is_empty());
        self.urgent |= life.runs.in_flight() != in_flight;
        Self::push_all(&mut self.not_started, &out.not_started);
        self.end_if_left();
        BeatOutcome::Answered(self.reply(now_ms, lease_ms, acknowledged_end, idle, out))
    }

    /// `DELETE /instances/ID`. A worker that was draining ends now. One that was not serves on for a while: what runs
    /// there is not over before the worker has listed its end, or its holds have lapsed.
    pub fn delete(&mut self, id: &str) {
        let Some(life) = self
            .life
            .as_mut()
            .filter(|life| life.id == id && !life.leaving)
        else {
            return;
        };
        self.events.push(AgentEvent::Left(id.to_owned()));
        let withdrawn = life.runs.withdraw_all();
        if life.is_draining() || life.runs.is_empty() {
            self.end_life();
        } else {
            life.leave();
            self.urgent = true;
        }
        self.give_back(withdrawn);
    }

    /// What the head tells.
    pub fn orders(&mut self, now_ms: u64, orders: AgentOrders) {
        if orders.epoch < self.epoch {
            return;
        }
        self.epoch = orders.epoch;
        self.check_authority(now_ms);
        if let Some(echo_ms) = orders.echo_sent_ms {
            self.echoed(echo_ms);
        }
        let Some(life) = self.life.as_mut().filter(|life| life.id == orders.instance) else {
            self.asked_for_stranger(orders.instance);
            return;
        };
        if let Some(number) = orders.acknowledged_end {
            life.acknowledge(number);
        }
        if orders.has_work() {
            self.ordered_ms = Some(now_ms);
        }
        let in_doubt = life.expired || (life.returned && life.standing != Standing::Confirmed);
        let mut given_back = Vec::new();
        for order in orders.start {
            given_back.extend(take_start(life, order, in_doubt));
        }
        given_back.extend(
            orders
                .stop
                .into_iter()
                .filter_map(|run| life.runs.order_stop(run)),
        );
        self.give_back(given_back);
    }

    /// A connection to an acting head is there: it is told everything.
    pub fn link_up(&mut self) {
        self.linked = true;
        self.urgent = true;
        self.lists_told = None;
        self.ended_instances.reconnected();
        self.not_started.reconnected();
    }

    /// The connection to the head is lost.
    pub fn link_down(&mut self) {
        self.linked = false;
    }

    /// Lets time pass; returns the report that is due now.
    pub fn tick(&mut self, now_ms: u64) -> Option<AgentReport> {
        self.check_silence(now_ms);
        let due = self.report_due_ms().is_some_and(|due_ms| due_ms <= now_ms);
        due.then(|| self.report(now_ms))
    }

    /// When [`Agent::tick`] is to be called next, at the latest.
    pub fn next_tick_ms(&self) -> Option<u64> {
        let silence_ms = self
            .life
            .as_ref()
            .filter(|life| !life.expired)
            .map(Life::lapses_at_ms);
        let stranger_ms = self
            .stranger
            .as_ref()
            .map(|_| expires_by_ms(self.started_ms, RUN_LEASE_MS));
        [silence_ms, stranger_ms, self.report_due_ms()]
            .into_iter()
            .flatten()
            .min()
    }

    /// What has happened since the last call, for the log.
    pub fn take_events(&mut self) -> Vec<AgentEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether this heartbeat is to be read; a new or returning life takes its place first.
    fn admit(&mut self, now_ms: u64, id: &str, beat: &Heartbeat) -> bool {
        if self.ended.iter().any(|ended| ended == id) {
            return false;
        }
        if self.life.as_ref().is_some_and(|life| life.id != id) {
            self.end_life();
        }
        match &mut self.life {
            Some(life) if life.is_late(beat.seq_no) => return false,
            Some(life) if !life.expired => return true,
            Some(life) => {
                life.expired = false;
                life.returned = true;
                life.standing = Standing::Untold;
                self.events.push(AgentEvent::Returned(id.to_owned()));
            }
            None => {
                let mut life = Life::new(id.to_owned(), self.started_ms);
                life.returned = self.ended_instances.contains(&life.id);
                self.life = Some(life);
                self.events.push(AgentEvent::Registered(id.to_owned()));
            }
        }
        self.ended_instances.remove(&id.to_owned());
        self.stranger.take_if(|stranger| stranger == id);
        (self.urgent, self.lists_told) = (true, None);
        self.ordered_ms = Some(now_ms);
        true
    }

    fn reply(
        &self,
        now_ms: u64,
        lease_ms: Option<u64>,
        acknowledged_end: Option<u64>,
        idle: bool,
        out: HandOut,
    ) -> HeartbeatReply {
        let lately = self
            .ordered_ms
            .is_some_and(|at_ms| now_ms < at_ms + ORDERED_LATELY_MS);
        let start = |order: StartOrder| Start {
            task: order.run.task.to_string(),
            attempt: order.run.attempt,
            spec: order.spec,
            checkpoint: order.checkpoint,
        };
        HeartbeatReply {
            lease_ms,
            acknowledged_end,
            fencing_token: (self.epoch > 0).then_some(self.epoch),
            start: out.start.into_iter().map(start).collect(),
            stop: out
                .stop
                .iter()
                .map(|run| Stop {
                    task: run.task.to_string(),
                    attempt: run.attempt,
                })
                .collect(),
            retry_delay_ms: Some(if idle && !lately {
                IDLE_BEAT_MS
            } else {
                BUSY_BEAT_MS
            }),
        }
    }

    /// An acting head has answered the report sent at `echo_ms`.
    fn echoed(&mut self, echo_ms: u64) {
        if !self.authority.answered(echo_ms) {
            return;
        }
        if let Some(life) = &mut self.life
            && matches!(life.standing, Standing::Told(told_ms) if told_ms <= echo_ms)
        {
            life.standing = Standing::Confirmed;
        }
    }

    /// The head knows a life at this machine that is not the present one.
    fn asked_for_stranger(&mut self, instance: String) {
        if instance.is_empty()
            || self.ended.contains(&instance)
            || self.ended_instances.contains(&instance)
        {
            return;
        }
        match self.life {
            Some(_) => self.retire(instance),
            None => self.stranger = Some(instance),
        }
    }

    /// A life that was replaced or has left: nothing of it runs.
    fn retire(&mut self, id: String) {
        self.ended.push(id.clone());
        if self.ended.len() > GONE_MAX {
            self.ended.remove(0);
        }
        self.ended_instances.push(id);
        self.urgent = true;
    }

    /// A worker that has sent `DELETE` and has nothing at work any more, whose ends the head has all heard of, is gone.
    fn end_if_left(&mut self) {
        if self
            .life
            .as_ref()
            .is_some_and(|life| life.leaving && life.is_done())
        {
            self.end_life();
        }
    }

    fn end_life(&mut self) {
        if let Some(life) = self.life.take() {
            self.retire(life.id);
        }
    }

    fn give_back(&mut self, runs: Vec<RunId>) {
        self.urgent |= !runs.is_empty();
        Self::push_all(&mut self.not_started, &runs);
    }

    fn push_all(not_started: &mut NotStarted, runs: &[RunId]) {
        runs.iter().for_each(|run| not_started.push(*run));
    }

    /// Without authority nothing is started: what the worker has not listed yet is withdrawn, since a head that heard
    /// nothing of this companion may have started it elsewhere.
    fn check_authority(&mut self, now_ms: u64) {
        if !self.authority.has_expired(now_ms) {
            return;
        }
        let withdrawn = self
            .life
            .as_mut()
            .map(|life| life.runs.withdraw_all())
            .unwrap_or_default();
        self.give_back(withdrawn);
    }

    /// Tells of a life whose holds have all lapsed that it is gone.
    fn check_silence(&mut self, now_ms: u64) {
        if self.stranger.is_some() && expires_by_ms(self.started_ms, RUN_LEASE_MS) <= now_ms {
            self.ended_instances
                .push(self.stranger.take().unwrap_or_default());
            self.urgent = true;
        }
        let Some(life) = self
            .life
            .as_mut()
            .filter(|life| !life.expired && life.lapses_at_ms() <= now_ms)
        else {
            return;
        };
        life.expired = true;
        let id = life.id.clone();
        let given_back = life.runs.withdraw_all();
        self.give_back(given_back);
        self.ended_instances.push(id.clone());
        self.urgent = true;
        self.events.push(AgentEvent::Silent(id));
    }

    fn report_due_ms(&self) -> Option<u64> {
        if !self.linked {
            return None;
        }
        let Some(reported_ms) = self.reported_ms else {
            return Some(self.started_ms);
        };
        let urgent = self.urgent || self.ended_instances.pending() || self.not_started.pending();
        Some(
            reported_ms
                + if urgent {
                    REPORT_SPACING_MS
                } else {
                    REPORT_INTERVAL_MS
                },
        )
    }

    fn report(&mut self, now_ms: u64) -> AgentReport {
        self.urgent = false;
        self.reported_ms = Some(now_ms);
        self.authority.sent(now_ms);
        let present = self.life.as_mut().filter(|life| !life.expired);
        let instance = present.map(|life| {
            if life.standing == Standing::Untold {
                life.standing = Standing::Told(now_ms);
            }
            let lists = !lists_are_told(&self.lists_told, life, now_ms);
            if lists {
                self.lists_told = Some((life.id.clone(), life.lists_revision, now_ms));
            }
            life.report(now_ms, lists)
        });
        let (ended_instances, not_started) = (self.ended_instances.tell(), self.not_started.tell());
        AgentReport {
            sent_ms: now_ms,
            instance,
            ended_instances,
            not_started,
        }
    }
}

/// Takes a start order; returns the run if it will never be passed on.
fn take_start(life: &mut Life, order: StartOrder, in_doubt: bool) -> Option<RunId> {
    match in_doubt {
        true => life.runs.refuse_start(order.run),
        false => life.runs.order_start(order),
    }
}

/// Whether the lists need not be told again on this connection.
fn lists_are_told(told: &Option<(String, u64, u64)>, life: &Life, now_ms: u64) -> bool {
    let Some((id, revision, told_ms)) = told else {
        return false;
    };
    let recent = now_ms < told_ms + PERCENT_INTERVAL_MS || life.runs.is_empty();
    *id == life.id && *revision == life.lists_revision && recent
}
