//! One actor for each machine of the operator's file: whether it is there, what is assigned to it, and what
//! its job workers have in hand.

use super::{Faktory, Parcel};
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
    /// The module has assigned it this job.
    Send(Attempt, Rc<Parcel>),
    /// Some attempts were given up.
    DropWithdrawn,
    /// A job worker has connected: its name, which start of it this is, the connection.
    Connected(String, String, u64),
    /// One of its connections has ended.
    Disconnected(String, u64),
    /// Its heartbeat; `true`: it takes nothing new.
    Heartbeat(String, bool),
    /// It wants a job of one of these queues.
    Fetch(u64, String, Vec<String>, Sender<Assignment>),
    /// A fetch was withdrawn.
    CancelFetch(u64),
    /// A job has been written to it, or not: then it never ran.
    Written(Assignment, bool),
    /// A job worker reports how a job ended.
    Ended(String, String, Status),
}

/// An attempt on its way to a job worker.
#[derive(Clone)]
pub struct Assignment {
    /// The attempt.
    pub attempt: Attempt,
    /// The job.
    pub parcel: Rc<Parcel>,
    wid: String,
}

/// A job worker's process.
struct Process {
    start: String,
    links: BTreeSet<u64>,
    heartbeat_by: Time,
    link_by: Option<Time>, // it has no connection, and is removed unless one comes before this
    quiet: bool,
    unresponsive: bool, // its heartbeat is overdue
}

impl Process {
    /// May it be assigned something new?
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

/// The actor.
pub struct Machine {
    front: Rc<Faktory>,
    entry: Entry,
    processes: BTreeMap<String, Process>,
    waiting: VecDeque<(Attempt, Rc<Parcel>)>,
    fetches: VecDeque<Fetch>,
    assigned: BTreeMap<String, Assignment>, // by job id
}

impl Machine {
    /// The actor of a machine that is not there yet.
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

    /// Runs for as long as somebody may give orders.
    pub async fn run(mut self, inbox: Receiver<Order>) {
        loop {
            let heartbeat_due = |p: &Process| (!p.unresponsive).then_some(p.heartbeat_by);
            let due = self
                .processes
                .values()
                .flat_map(|p| [heartbeat_due(p), p.link_by])
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
            Order::Send(attempt, parcel) if self.entry.state == WorkerState::Active => {
                self.waiting.push_back((attempt, parcel));
                self.assign_waiting();
            }
            // Assigned before the module had handled that the machine drains or has left.
            Order::Send(attempt, _) => {
                self.send_to_core(CoreInput::Ended(attempt.id, Status::Moot, None))
                    .await;
            }
            Order::DropWithdrawn => self
                .waiting
                .retain(|(attempt, parcel)| self.front.is_wanted(attempt, parcel)),
            Order::Connected(wid, start, link) => {
                self.worker_connected(now, wid, start, link).await;
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
                self.end_if(&assignment.parcel.jid, Status::ConnectFailed, |of| {
                    of.attempt.id == id
                })
                .await;
            }
            // What is reported twice, too late or by another job worker has no effect.
            Order::Ended(wid, jid, status) => self.end_if(&jid, status, |of| of.wid == wid).await,
        }
    }

    /// Ends the assignment of a job, if it is the one that is meant.
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
            p.link_by = Some(now + self.front.file.reconnect_within);
        }
    }

    /// `quiet`: the job worker takes nothing new.
    async fn heartbeat(&mut self, now: Time, wid: &str, quiet: bool) {
        let Some(p) = self.processes.get_mut(wid) else {
            return;
        };
        p.heartbeat_by = now + self.front.file.heartbeat_timeout;
        (p.quiet, p.unresponsive) = (quiet, false);
        self.publish_state().await;
    }

    /// A job worker has connected. The start of a new process ends what the old one had in hand.
    async fn worker_connected(&mut self, now: Time, wid: String, start: String, link: u64) {
        let heartbeat_by = now + self.front.file.heartbeat_timeout;
        if let Some(p) = self.processes.get_mut(&wid).filter(|p| p.start == start) {
            p.links.insert(link);
            (p.heartbeat_by, p.link_by, p.unresponsive) = (heartbeat_by, None, false);
            return self.publish_state().await;
        }
        self.processes.remove(&wid);
        self.end_assignments_of(&wid).await;
        let links = BTreeSet::from([link]);
        self.processes.insert(
            wid,
            Process {
                start,
                links,
                heartbeat_by,
                link_by: None,
                quiet: false,
                unresponsive: false,
            },
        );
        // It is in warm-up, and the module must be notified even where the machine was active a moment ago.
        self.entry.ready_at = now;
        self.entry.state = WorkerState::Left;
        self.publish_state().await;
        // Assigned when the machine was warm: the module is to think again.
        self.return_waiting().await;
    }

    /// Ends the assignments of job workers whose heartbeat or connection is overdue.
    async fn expire_processes(&mut self) {
        let now = self.front.clock.now();
        let disconnected = |p: &Process| p.link_by.is_some_and(|at| at <= now);
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

    /// A process has ended: what was assigned to it may have run.
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

    /// Computes the machine's state, and notifies the core where it has changed.
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
            // Nothing new goes to a machine that drains: what waits for it never ran.
            self.return_waiting().await;
        }
    }

    async fn return_waiting(&mut self) {
        for (attempt, _) in std::mem::take(&mut self.waiting) {
            self.send_to_core(CoreInput::Ended(attempt.id, Status::Moot, None))
                .await;
        }
    }

    /// Gives those who fetch what is assigned to this machine, by the order of their queues.
    fn assign_waiting(&mut self) {
        self.waiting
            .retain(|(attempt, parcel)| self.front.is_wanted(attempt, parcel));
        let mut n = 0;
        while n < self.fetches.len() {
            let fetch = &self.fetches[n];
            let takes_jobs = self
                .processes
                .get(&fetch.wid)
                .is_some_and(Process::takes_jobs);
            let of = |queue: &String| {
                self.waiting
                    .iter()
                    .position(|(_, parcel)| parcel.queue == *queue)
            };
            let Some(at) = fetch.queues.iter().filter(|_| takes_jobs).find_map(of) else {
                n += 1;
                continue;
            };
            let (Some(fetch), Some((attempt, parcel))) =
                (self.fetches.remove(n), self.waiting.remove(at))
            else {
                return;
            };
            let assignment = Assignment {
                attempt,
                parcel,
                wid: fetch.wid,
            };
            if fetch.to.try_send(assignment.clone()).is_err() {
                self.waiting
                    .insert(at, (assignment.attempt, assignment.parcel)); // that fetch has just been withdrawn
                continue;
            }
            assignment
                .parcel
                .assigned
                .set(assignment.parcel.assigned.get() + 1);
            assignment
                .parcel
                .assigned_attempts
                .borrow_mut()
                .push(assignment.attempt.id);
            self.assigned
                .insert(assignment.parcel.jid.clone(), assignment);
        }
    }

    async fn end(&self, assignment: Assignment, status: Status) {
        assignment
            .parcel
            .assigned
            .set(assignment.parcel.assigned.get().saturating_sub(1));
        self.send_to_core(CoreInput::Ended(assignment.attempt.id, status, None))
            .await;
        self.front.orphan_ended(&assignment.parcel, status);
    }

    async fn send_to_core(&self, input: CoreInput) {
        let _ = self.front.core.send(input).await;
    }
}
