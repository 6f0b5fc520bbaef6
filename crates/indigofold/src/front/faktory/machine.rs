//! One actor for each machine of the operator's file: its state, the attempts assigned to it, and the jobs that its job
//! workers hold.

use super::{Faktory, JobRecord};
use crate::api::{Entry, Scope, Status, Time, WorkerState};
use crate::net::log;
use async_channel::{Receiver, RecvError, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use indigofold_core::{Attempt, CoreInput};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// An order to a machine's actor.
pub enum Order {
    /// The decision module has assigned this attempt to the machine.
    Send(Attempt, Rc<JobRecord>),
    /// Drop waiting attempts that were given up.
    DropWithdrawn,
    /// A job worker has connected: its `wid`, the host and process id that identify its process, the connection's number.
    Connected(String, String, u64),
    /// A connection of the job worker with this `wid` has ended.
    Disconnected(String, u64),
    /// A heartbeat of the job worker with this `wid`; `true` if it accepts no new jobs.
    Heartbeat(String, bool),
    /// A job worker requests a job: the connection, its `wid`, its queues in order of preference, and the reply channel.
    Fetch(u64, String, Vec<String>, Sender<Assignment>),
    /// The fetch on this connection was withdrawn.
    CancelFetch(u64),
    /// Whether a job was completely written to the job worker; if not, it never ran.
    Written(Assignment, bool),
    /// A job worker reports how a job ended: its `wid`, the job id, the status.
    Ended(String, String, Status),
}

/// An attempt that is assigned to a job worker.
#[derive(Clone)]
pub struct Assignment {
    /// The attempt, as sent by the decision module.
    pub attempt: Attempt,
    /// The attempt's job.
    pub record: Rc<JobRecord>,
    wid: String,
}

/// The process of a job worker.
struct Process {
    identity: String,           // HOST:PID, differs after a restart of the job worker
    links: BTreeSet<u64>,       // numbers of its open connections
    heartbeat_by: Time,         // when the next heartbeat is overdue
    reconnect_by: Option<Time>, // set while no connection is open: end of the wait for a new one
    quiet: bool,                // accepts no new jobs
    unresponsive: bool,         // the heartbeat is overdue
}

impl Process {
    /// Whether new jobs may be assigned to the process.
    fn takes_jobs(&self) -> bool {
        !self.quiet && !self.unresponsive
    }
}

struct Fetch {
    link: u64,
    wid: String,
    queues: Vec<String>,
    to: Sender<Assignment>,
}

/// Actor that assigns jobs to the job workers of one machine.
pub struct Machine {
    front: Rc<Faktory>,
    entry: Entry,
    processes: BTreeMap<String, Process>,
    waiting: VecDeque<(Attempt, Rc<JobRecord>)>,
    fetches: VecDeque<Fetch>,
    assigned: BTreeMap<String, Assignment>, // by job id
}

impl Machine {
    /// Creates the actor of a machine that has no connected job worker yet.
    pub fn new(front: Rc<Faktory>, entry: Entry) -> Self {
        Machine {
            front,
            entry,
            processes: BTreeMap::new(),
            waiting: VecDeque::new(),
            fetches: VecDeque::new(),
            assigned: BTreeMap::new(),
        }
    }

    /// Handles orders and expired heartbeats until the order channel is closed.
    pub async fn run(mut self, inbox: Receiver<Order>) {
        loop {
            let heartbeat_due = |p: &Process| (!p.unresponsive).then_some(p.heartbeat_by);
            let due = self
                .processes
                .values()
                .flat_map(|p| [heartbeat_due(p), p.reconnect_by])
                .flatten()
                .min();
            let order: Result<Option<Order>, RecvError> = match due {
                None => inbox.recv().await.map(Some),
                Some(at) => {
                    let due = async {
                        Timer::at(self.front.clock.instant(at)).await;
                        Ok(None)
                    };
                    async { inbox.recv().await.map(Some) }.or(due).await
                }
            };
            match order {
                Ok(Some(order)) => self.handle_order(order).await,
                Ok(None) => self.expire_processes().await,
                Err(_) => return,
            }
        }
    }

    async fn handle_order(&mut self, order: Order) {
        let now = self.front.clock.now();
        match order {
            Order::Send(attempt, record) if self.entry.state == WorkerState::Active => {
                self.waiting.push_back((attempt, record));
                self.assign_waiting();
            }
            // The module assigned this before it handled that the machine drains or has left.
            Order::Send(attempt, _) => {
                self.send_to_core(CoreInput::Ended(attempt.id, Status::Moot, None))
                    .await;
            }
            Order::DropWithdrawn => self
                .waiting
                .retain(|(attempt, record)| self.front.is_wanted(attempt, record)),
            Order::Connected(wid, identity, link) => {
                self.worker_connected(now, wid, identity, link).await;
            }
            Order::Disconnected(wid, link) => self.worker_disconnected(now, &wid, link),
            Order::Heartbeat(wid, quiet) => self.heartbeat(now, &wid, quiet).await,
            Order::Fetch(link, wid, queues, to) => {
                self.fetches.push_back(Fetch {
                    link,
                    wid,
                    queues,
                    to,
                });
                self.assign_waiting();
            }
            Order::CancelFetch(link) => self.fetches.retain(|f| f.link != link),
            Order::Written(assignment, true) => {
                self.send_to_core(CoreInput::Started(assignment.attempt.id))
                    .await;
            }
            Order::Written(assignment, false) => {
                let id = assignment.attempt.id;
                self.end_if(&assignment.record.jid, Status::ConnectFailed, |a| {
                    a.attempt.id == id
                })
                .await;
            }
            // A report that is repeated, too late or from another job worker has no effect.
            Order::Ended(wid, jid, status) => self.end_if(&jid, status, |a| a.wid == wid).await,
        }
    }

    /// Ends the assignment of a job if `meant` holds for it.
    async fn end_if(&mut self, jid: &str, status: Status, meant: impl Fn(&Assignment) -> bool) {
        if !self.assigned.get(jid).is_some_and(meant) {
            return;
        }
        if let Some(assignment) = self.assigned.remove(jid) {
            self.end(assignment, status).await;
        }
    }

    fn worker_disconnected(&mut self, now: Time, wid: &str, link: u64) {
        self.fetches.retain(|f| f.link != link);
        let Some(p) = self.processes.get_mut(wid) else {
            return;
        };
        if p.links.remove(&link) && p.links.is_empty() {
            p.reconnect_by = Some(now + self.front.file.reconnect_within);
        }
    }

    /// Handles a heartbeat. `quiet` says that the job worker accepts no new jobs.
    async fn heartbeat(&mut self, now: Time, wid: &str, quiet: bool) {
        let Some(p) = self.processes.get_mut(wid) else {
            return;
        };
        p.heartbeat_by = now + self.front.file.heartbeat_timeout;
        (p.quiet, p.unresponsive) = (quiet, false);
        self.publish_state().await;
    }

    /// Handles a new connection of a job worker. A new process under the same `wid` ends the old one's assignments.
    async fn worker_connected(&mut self, now: Time, wid: String, identity: String, link: u64) {
        let heartbeat_by = now + self.front.file.heartbeat_timeout;
        if let Some(p) = self
            .processes
            .get_mut(&wid)
            .filter(|p| p.identity == identity)
        {
            p.links.insert(link);
            (p.heartbeat_by, p.reconnect_by, p.unresponsive) = (heartbeat_by, None, false);
            return self.publish_state().await;
        }
        self.processes.remove(&wid);
        self.end_assignments_of(&wid).await;
        let links = BTreeSet::from([link]);
        self.processes.insert(
            wid,
            Process {
                identity,
                links,
                heartbeat_by,
                reconnect_by: None,
                quiet: false,
                unresponsive: false,
            },
        );
        // The machine is in warm-up, and the module must be notified even if the machine was active until now.
        self.entry.ready_at = now;
        self.entry.state = WorkerState::Left;
        self.publish_state().await;
        // The waiting attempts were assigned to a warm machine, so the module must reassign them.
        self.return_waiting().await;
    }

    /// Ends the assignments of job workers whose heartbeat or reconnection is overdue.
    async fn expire_processes(&mut self) {
        let now = self.front.clock.now();
        let disconnected = |p: &Process| p.reconnect_by.is_some_and(|at| at <= now);
        let overdue = |p: &Process| (p.heartbeat_by <= now && !p.unresponsive) || disconnected(p);
        let overdue_wids: Vec<String> = self
            .processes
            .iter()
            .filter(|(_, p)| overdue(p))
            .map(|p| p.0.clone())
            .collect();
        for wid in overdue_wids {
            log(format_args!("faktory wid={wid:?} is gone"));
            self.processes
                .get_mut(&wid)
                .into_iter()
                .for_each(|p| p.unresponsive = true);
            self.processes.retain(|_, p| !disconnected(p));
            self.end_assignments_of(&wid).await;
        }
        self.publish_state().await;
    }

    /// Ends the assignments of a process that has ended, as resets, since the jobs may have run.
    async fn end_assignments_of(&mut self, wid: &str) {
        self.fetches.retain(|f| f.wid != wid);
        let lost: Vec<String> = self
            .assigned
            .iter()
            .filter(|(_, h)| h.wid == wid)
            .map(|h| h.0.clone())
            .collect();
        for assignment in lost
            .iter()
            .filter_map(|jid| self.assigned.remove(jid))
            .collect::<Vec<_>>()
        {
            self.end(assignment, Status::Reset).await;
        }
    }

    /// Computes the machine's state, and notifies the core if it has changed.
    async fn publish_state(&mut self) {
        let state = match &self.processes {
            all if all.values().any(Process::takes_jobs) => WorkerState::Active,
            all if all.values().any(|p| !p.unresponsive) => WorkerState::Draining,
            _ => WorkerState::Left,
        };
        if std::mem::replace(&mut self.entry.state, state) == state {
            return;
        }
        self.send_to_core(CoreInput::Membership(
            Scope::Delta,
            vec![self.entry.clone()],
        ))
        .await;
        if state != WorkerState::Active {
            // A draining machine gets nothing new; attempts that wait for it never ran.
            self.return_waiting().await;
        }
    }

    async fn return_waiting(&mut self) {
        for (attempt, _) in std::mem::take(&mut self.waiting) {
            self.send_to_core(CoreInput::Ended(attempt.id, Status::Moot, None))
                .await;
        }
    }

    /// Hands waiting attempts to the job workers that fetch, in the order of each fetch's queues.
    fn assign_waiting(&mut self) {
        self.waiting
            .retain(|(attempt, record)| self.front.is_wanted(attempt, record));
        let mut n = 0;
        while n < self.fetches.len() {
            let fetch = &self.fetches[n];
            let takes_jobs = self
                .processes
                .get(&fetch.wid)
                .is_some_and(Process::takes_jobs);
            let index = |queue: &String| {
                self.waiting
                    .iter()
                    .position(|(_, record)| record.queue == *queue)
            };
            let Some(at) = fetch.queues.iter().filter(|_| takes_jobs).find_map(index) else {
                n += 1;
                continue;
            };
            let (Some(fetch), Some((attempt, record))) =
                (self.fetches.remove(n), self.waiting.remove(at))
            else {
                return;
            };
            let assignment = Assignment {
                attempt,
                record,
                wid: fetch.wid,
            };
            if fetch.to.try_send(assignment.clone()).is_err() {
                self.waiting
                    .insert(at, (assignment.attempt, assignment.record)); // the fetch has just been withdrawn
                continue;
            }
            assignment
                .record
                .assigned
                .set(assignment.record.assigned.get() + 1);
            assignment
                .record
                .assigned_attempts
                .borrow_mut()
                .push(assignment.attempt.id);
            self.assigned
                .insert(assignment.record.jid.clone(), assignment);
        }
    }

    async fn end(&self, assignment: Assignment, status: Status) {
        assignment
            .record
            .assigned
            .set(assignment.record.assigned.get().saturating_sub(1));
        self.send_to_core(CoreInput::Ended(assignment.attempt.id, status, None))
            .await;
        self.front.orphan_ended(&assignment.record, status);
    }

    async fn send_to_core(&self, input: CoreInput) {
        let _ = self.front.core.send(input).await;
    }
}
