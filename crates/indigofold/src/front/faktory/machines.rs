//! One actor for each machine of the operator's file: whether it is there, what is assigned to it, and what
//! its job workers have in hand.

use super::{Faktory, Parcel};
use crate::api::{Entry, Scope, Status, Time, WorkerState};
use crate::core::{Attempt, CoreInput};
use crate::net::log;
use async_channel::{Receiver, RecvError, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// What a machine's actor is told.
pub enum Order {
    /// The module has assigned it this job.
    Send(Attempt, Rc<Parcel>),
    /// Some attempts were given up.
    Clear,
    /// A job worker has connected: its name, which start of it this is, the connection.
    Here(String, String, u64),
    /// One of its connections has ended.
    Away(String, u64),
    /// Its heartbeat; `true`: it takes nothing new.
    Beat(String, bool),
    /// It wants a job of one of these queues.
    Fetch(u64, String, Vec<String>, Sender<Handed>),
    /// A fetch was withdrawn.
    NoFetch(u64),
    /// A job has been written to it, or not: then it never ran.
    Written(Handed, bool),
    /// It says how a job went.
    Ended(String, String, Status),
}

/// An attempt on its way to a job worker.
#[derive(Clone)]
pub struct Handed {
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
    beat_by: Time,
    link_by: Option<Time>, // it has no connection, and is gone unless one comes before this
    quiet: bool,
    silent: bool, // its heartbeat is overdue: it counts as gone until the next one
}

impl Process {
    /// May it be handed something new?
    fn takes(&self) -> bool {
        !self.quiet && !self.silent
    }
}

struct Fetch {
    link: u64,
    wid: String,
    queues: Vec<String>,
    to: Sender<Handed>,
}

/// The actor.
pub struct Machine {
    front: Rc<Faktory>,
    entry: Entry,
    processes: BTreeMap<String, Process>,
    waiting: VecDeque<(Attempt, Rc<Parcel>)>,
    fetches: VecDeque<Fetch>,
    in_hand: BTreeMap<String, Handed>, // by job id
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
            in_hand: BTreeMap::new(),
        }
    }

    /// Runs for as long as somebody may give orders.
    pub async fn run(mut self, inbox: Receiver<Order>) {
        loop {
            let beat = |p: &Process| (!p.silent).then_some(p.beat_by);
            let due = self
                .processes
                .values()
                .flat_map(|p| [beat(p), p.link_by])
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
                Ok(Some(order)) => self.take(order).await,
                Ok(None) => self.miss().await,
                Err(_) => return,
            }
        }
    }

    async fn take(&mut self, order: Order) {
        let now = self.front.clock.now();
        match order {
            Order::Send(attempt, parcel) if self.entry.state == WorkerState::Active => {
                self.waiting.push_back((attempt, parcel));
                self.hand_out();
            }
            // Assigned before the module had heard that the machine drains or is gone.
            Order::Send(attempt, _) => {
                self.tell(CoreInput::Ended(attempt.id, Status::Moot, None))
                    .await
            }
            Order::Clear => self
                .waiting
                .retain(|(attempt, parcel)| self.front.wanted(attempt, parcel)),
            Order::Here(wid, start, link) => self.here(now, wid, start, link).await,
            Order::Away(wid, link) => {
                self.fetches.retain(|f| f.link != link);
                let Some(p) = self.processes.get_mut(&wid) else {
                    return;
                };
                if p.links.remove(&link) && p.links.is_empty() {
                    p.link_by = Some(now + self.front.file.reconnect_within);
                }
            }
            Order::Beat(wid, quiet) => {
                let Some(p) = self.processes.get_mut(&wid) else {
                    return;
                };
                (p.beat_by, p.quiet, p.silent) = (now + self.front.file.beat_within, quiet, false);
                self.list().await;
            }
            Order::Fetch(link, wid, queues, to) => {
                self.fetches.push_back(Fetch {
                    link,
                    wid,
                    queues,
                    to,
                });
                self.hand_out();
            }
            Order::NoFetch(link) => self.fetches.retain(|f| f.link != link),
            Order::Written(handed, true) => self.tell(CoreInput::Started(handed.attempt.id)).await,
            Order::Written(handed, false) => {
                let of = |h: &Handed| h.attempt.id == handed.attempt.id;
                if self.in_hand.get(&handed.parcel.jid).is_some_and(of) {
                    self.in_hand.remove(&handed.parcel.jid);
                    self.end(handed, Status::ConnectFailed).await;
                }
            }
            Order::Ended(wid, jid, status) => {
                // What is told again, too late or by another job worker has no effect.
                let of = |h: &Handed| h.wid == wid;
                if !self.in_hand.get(&jid).is_some_and(of) {
                    return;
                }
                if let Some(handed) = self.in_hand.remove(&jid) {
                    self.end(handed, status).await;
                }
            }
        }
    }

    /// A job worker has connected. The start of a new process ends what the old one had in hand.
    async fn here(&mut self, now: Time, wid: String, start: String, link: u64) {
        let beat_by = now + self.front.file.beat_within;
        if let Some(p) = self.processes.get_mut(&wid).filter(|p| p.start == start) {
            p.links.insert(link);
            (p.beat_by, p.link_by, p.silent) = (beat_by, None, false);
            return self.list().await;
        }
        self.processes.remove(&wid);
        self.lose(&wid).await;
        let links = BTreeSet::from([link]);
        self.processes.insert(
            wid,
            Process {
                start,
                links,
                beat_by,
                link_by: None,
                quiet: false,
                silent: false,
            },
        );
        // It is cold, and the module must hear of it even where the machine was there a moment ago.
        self.entry.ready_at = now;
        self.entry.state = WorkerState::Left;
        self.list().await;
        // Assigned when the machine was warm: the module is to think again.
        self.return_waiting().await;
    }

    /// Job workers whose heartbeat or connection is overdue are gone.
    async fn miss(&mut self) {
        let now = self.front.clock.now();
        let cut_off = |p: &Process| p.link_by.is_some_and(|at| at <= now);
        let over = |p: &Process| (p.beat_by <= now && !p.silent) || cut_off(p);
        let gone: Vec<String> = self
            .processes
            .iter()
            .filter(|(_, p)| over(p))
            .map(|p| p.0.clone())
            .collect();
        for wid in gone {
            log(format_args!("faktory wid={wid:?} is gone"));
            self.processes
                .get_mut(&wid)
                .into_iter()
                .for_each(|p| p.silent = true);
            self.processes.retain(|_, p| !cut_off(p));
            self.lose(&wid).await;
        }
        self.list().await;
    }

    /// A process is gone: what it had in hand may have run.
    async fn lose(&mut self, wid: &str) {
        self.fetches.retain(|f| f.wid != wid);
        let lost: Vec<String> = self
            .in_hand
            .iter()
            .filter(|(_, h)| h.wid == wid)
            .map(|h| h.0.clone())
            .collect();
        for handed in lost
            .iter()
            .filter_map(|jid| self.in_hand.remove(jid))
            .collect::<Vec<_>>()
        {
            self.end(handed, Status::Reset).await;
        }
    }

    /// Works out the machine's state, and tells the core where it has changed.
    async fn list(&mut self) {
        let state = match &self.processes {
            all if all.values().any(Process::takes) => WorkerState::Active,
            all if all.values().any(|p| !p.silent) => WorkerState::Draining,
            _ => WorkerState::Left,
        };
        if std::mem::replace(&mut self.entry.state, state) == state {
            return;
        }
        self.tell(CoreInput::Membership(
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
            self.tell(CoreInput::Ended(attempt.id, Status::Moot, None))
                .await;
        }
    }

    /// Gives those who fetch what is assigned to this machine, by the order of their queues.
    fn hand_out(&mut self) {
        self.waiting
            .retain(|(attempt, parcel)| self.front.wanted(attempt, parcel));
        let mut n = 0;
        while n < self.fetches.len() {
            let fetch = &self.fetches[n];
            let takes = self.processes.get(&fetch.wid).is_some_and(Process::takes);
            let of = |queue: &String| {
                self.waiting
                    .iter()
                    .position(|(_, parcel)| parcel.queue == *queue)
            };
            let Some(at) = fetch.queues.iter().filter(|_| takes).find_map(of) else {
                n += 1;
                continue;
            };
            let (Some(fetch), Some((attempt, parcel))) =
                (self.fetches.remove(n), self.waiting.remove(at))
            else {
                return;
            };
            let handed = Handed {
                attempt,
                parcel,
                wid: fetch.wid,
            };
            if fetch.to.try_send(handed.clone()).is_err() {
                self.waiting.insert(at, (handed.attempt, handed.parcel)); // that fetch has just been withdrawn
                continue;
            }
            handed.parcel.in_hand.set(handed.parcel.in_hand.get() + 1);
            handed.parcel.given_out.borrow_mut().push(handed.attempt.id);
            self.in_hand.insert(handed.parcel.jid.clone(), handed);
        }
    }

    async fn end(&self, handed: Handed, status: Status) {
        handed
            .parcel
            .in_hand
            .set(handed.parcel.in_hand.get().saturating_sub(1));
        self.tell(CoreInput::Ended(handed.attempt.id, status, None))
            .await;
        self.front.orphan_ended(&handed.parcel, status);
    }

    async fn tell(&self, told: CoreInput) {
        let _ = self.front.core.send(told).await;
    }
}
