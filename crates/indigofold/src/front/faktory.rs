//! The Faktory work protocol: clients push jobs, job workers fetch what the module assigned to their
//! machine. Off unless an operator's file sets it up.

pub mod codec;
pub mod machine;
pub mod serve;

use super::Lifecycle;
use crate::api::{Entry, Request, Scope, Status, Time, WorkerId, WorkerState};
use crate::config::{self, Faktory as File};
use crate::net::buffer::Buffer;
use crate::net::{Net, log};
use async_channel::{Sender, bounded};
use async_io::Timer;
use indigofold_core::actor::Mailbox;
use indigofold_core::clock::Clock;
use indigofold_core::{
    Answer, Attempt, AttemptId, CoreInput, GivenUp, JobId, MembershipRequest, Reply, Transport,
};
use machine::{Machine, Order};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Orders that may wait for a machine; attempts beyond that are rejected unsent.
const MAX_QUEUED_ORDERS: usize = 512;

/// A job as it is passed on.
pub struct Parcel {
    /// Its id.
    pub jid: String,
    /// Its queue.
    pub queue: String,
    /// The job as it was pushed.
    pub text: Buffer,
    /// Job workers that have it in hand.
    pub assigned: Cell<usize>,
    /// Attempts that were given out to a job worker.
    pub assigned_attempts: RefCell<Vec<AttemptId>>,
    /// Attempts that were given up: marked at once, as the order may queue behind a fetch in a machine's mailbox.
    pub withdrawn: RefCell<Vec<AttemptId>>,
}

/// What is known of a job id.
enum JobState {
    /// Its job is open, and these wait for its answer.
    Open(JobId, Vec<(u64, Sender<Answer>)>),
    /// All clients had left while it was assigned; a client that pushes it again waits for its end.
    Orphan(Rc<Parcel>, Vec<(u64, Sender<Answer>)>),
    /// It has its answer.
    Answered(Answer),
}

/// State that the actors of this front share.
pub struct Faktory {
    /// The network.
    net: Net,
    /// The clock.
    clock: Clock,
    /// The program's lifecycle.
    lifecycle: Rc<Lifecycle>,
    /// The operator's file.
    file: File,
    /// The way to the core.
    core: Mailbox,
    /// When the front was set up.
    since: Time,
    /// Commands taken, jobs served, jobs failed.
    counts: [Cell<u64>; 3],
    parcels: RefCell<HashMap<JobId, Rc<Parcel>>>,
    known: RefCell<HashMap<String, JobState>>,
    answered: RefCell<VecDeque<String>>, // job ids with an answer, the oldest first
    next: Cell<u64>,
    machines: RefCell<HashMap<WorkerId, Sender<Order>>>,
    wids: RefCell<HashMap<String, Sender<Order>>>,
}

impl Faktory {
    /// The front, with an actor for each machine of the operator's file.
    pub fn new(
        net: Net,
        clock: Clock,
        lifecycle: Rc<Lifecycle>,
        file: File,
        core: Mailbox,
    ) -> Rc<Self> {
        let front = Rc::new(Faktory {
            net,
            clock,
            lifecycle,
            file,
            core,
            since: clock.now(),
            counts: Default::default(),
            parcels: RefCell::default(),
            known: RefCell::default(),
            answered: RefCell::default(),
            next: Cell::new(1),
            machines: RefCell::default(),
            wids: RefCell::default(),
        });
        for entry in front.entries() {
            let (orders, inbox) = bounded(MAX_QUEUED_ORDERS);
            let (id, n) = (entry.worker, front.machines.borrow().len());
            front.machines.borrow_mut().insert(id, orders.clone());
            for wid in &front.file.machines[n].wids {
                front.wids.borrow_mut().insert(wid.clone(), orders.clone());
            }
            front
                .net
                .spawn(Machine::new(front.clone(), entry).run(inbox));
        }
        front
    }

    /// Tells the core the machines of the operator's file: nobody is there yet.
    pub async fn open(&self) {
        let _ = self
            .core
            .send(CoreInput::Membership(Scope::Full, self.entries()))
            .await;
    }

    /// The machines of the operator's file, in its order.
    fn entries(&self) -> Vec<Entry> {
        let (mut site, mut entries) = (self.file.site.clone(), Vec::<Entry>::new());
        for m in &self.file.machines {
            let taken = |id: WorkerId| entries.iter().any(|e| e.worker == id);
            let worker = config::untaken(config::number(&m.machine), taken);
            let (zone, kind) = (site.zones.id(&m.zone), site.kinds.id(&m.kind));
            let state = WorkerState::Left;
            entries.push(Entry {
                worker,
                zone,
                kind,
                cell: m.cell,
                state,
                power: m.share,
                ready_at: 0,
            });
        }
        entries
    }

    /// Jobs whose answer is owed, or that a job worker has in hand.
    pub fn open_jobs(&self) -> usize {
        self.known
            .borrow()
            .values()
            .filter(|k| !matches!(k, JobState::Answered(_)))
            .count()
    }

    fn next_number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    fn machine_of(&self, wid: &str) -> Option<Sender<Order>> {
        self.wids.borrow().get(wid).cloned()
    }

    /// Takes a pushed job. Its answer, or that of the job that has this id already, goes to the sender; the
    /// number returned stands for this client.
    async fn push(
        self: &Rc<Self>,
        mut request: Request,
        until: Time,
        parcel: Parcel,
        to: Sender<Answer>,
    ) -> u64 {
        let number = self.next_number();
        let jid = parcel.jid.clone();
        if let Some(known) = self.known.borrow_mut().get_mut(&jid) {
            match known {
                JobState::Answered(answer) => _ = to.try_send(*answer),
                JobState::Open(_, waiting) | JobState::Orphan(_, waiting) => {
                    waiting.push((number, to));
                }
            }
            return number;
        }
        let job = self.next_number();
        request.id = job;
        self.known
            .borrow_mut()
            .insert(jid.clone(), JobState::Open(job, vec![(number, to)]));
        self.parcels.borrow_mut().insert(job, Rc::new(parcel));
        let (answer, answered) = bounded(1);
        let _ = self
            .core
            .send(CoreInput::Job(request, until, Reply::To(answer)))
            .await;
        let front = self.clone();
        self.net.spawn(async move {
            if let Ok(answer) = answered.recv().await {
                return front.finish(&jid, answer);
            }
            // The core was notified that the clients have left. A job worker that has the job may yet report its end,
            // for as long as the job had.
            Timer::at(front.clock.instant(until)).await;
            if matches!(front.known.borrow().get(&jid), Some(JobState::Orphan(..))) {
                front.finish(&jid, Answer::Failed);
            }
        });
        number
    }

    /// Gives everybody who waits for a job its answer, and remembers it.
    fn finish(&self, jid: &str, answer: Answer) {
        let known = self.known.borrow_mut().remove(jid);
        let Some(JobState::Open(_, waiting) | JobState::Orphan(_, waiting)) = known else {
            return;
        };
        for (_, to) in waiting {
            let _ = to.try_send(answer);
        }
        let count = |n: usize| self.counts[n].set(self.counts[n].get() + 1);
        match answer {
            // What was refused may come again and is then a new try.
            Answer::Rejected(_) => return,
            Answer::Served => count(1),
            Answer::Failed => count(2),
        }
        let (mut known, mut answered) = (self.known.borrow_mut(), self.answered.borrow_mut());
        known.insert(jid.to_string(), JobState::Answered(answer));
        answered.push_back(jid.to_string());
        while answered.len() > self.file.remember {
            if let Some(oldest) = answered.pop_front() {
                known.remove(&oldest);
            }
        }
    }

    /// A client has left. With the last one goes the job; but where a job worker has it in hand its id
    /// stays known, so that a client who comes back does not cause a second run.
    async fn client_left(&self, jid: &str, number: u64) {
        let closed = {
            let mut known = self.known.borrow_mut();
            let Some(JobState::Open(job, waiting)) = known.get_mut(jid) else {
                return;
            };
            waiting.retain(|(n, _)| *n != number);
            if !waiting.is_empty() {
                return;
            }
            let job = *job;
            let parcel = self
                .parcels
                .borrow()
                .get(&job)
                .filter(|p| p.assigned.get() > 0)
                .cloned();
            match parcel {
                Some(parcel) => known.insert(jid.to_string(), JobState::Orphan(parcel, Vec::new())),
                None => known.remove(jid),
            };
            job
        };
        let _ = self.core.send(CoreInput::ClientLeft(closed)).await;
    }
}

impl Faktory {
    /// May this attempt still be assigned to a job worker?
    fn is_wanted(&self, attempt: &Attempt, parcel: &Parcel) -> bool {
        let open = |k: &JobState| matches!(k, JobState::Open(job, _) if *job == attempt.id.job);
        !parcel.withdrawn.borrow().contains(&attempt.id)
            && self.known.borrow().get(&parcel.jid).is_some_and(open)
    }

    /// A job worker no longer has a job in hand that its clients have left.
    fn orphan_ended(&self, parcel: &Rc<Parcel>, status: Status) {
        let of = |k: &JobState| matches!(k, JobState::Orphan(p, _) if Rc::ptr_eq(p, parcel));
        if !self.known.borrow().get(&parcel.jid).is_some_and(of) {
            return;
        }
        match status {
            Status::Ok => self.finish(&parcel.jid, Answer::Served),
            _ if parcel.assigned.get() > 0 => {}
            Status::Moot | Status::ConnectFailed => self.finish(&parcel.jid, Answer::Rejected(0)),
            _ => self.finish(&parcel.jid, Answer::Failed),
        }
    }

    fn order(&self, machine: WorkerId, order: Order) -> bool {
        self.machines
            .borrow()
            .get(&machine)
            .is_some_and(|m| m.try_send(order).is_ok())
    }
}

impl Transport for Faktory {
    fn send(&self, attempt: Attempt) -> bool {
        let Some(parcel) = self.parcels.borrow().get(&attempt.id.job).cloned() else {
            return false;
        };
        self.order(attempt.machine, Order::Send(attempt, parcel))
    }

    fn give_up(&self, attempt: AttemptId, machine: WorkerId) -> GivenUp {
        let parcel = self.parcels.borrow().get(&attempt.job).cloned();
        parcel
            .iter()
            .for_each(|p| p.withdrawn.borrow_mut().push(attempt));
        self.order(machine, Order::DropWithdrawn);
        // What is marked and was not given out before is never given out.
        let unsent = parcel.is_some_and(|p| !p.assigned_attempts.borrow().contains(&attempt));
        if unsent {
            GivenUp::Unsent
        } else {
            GivenUp::Done
        }
    }

    fn probe(&self, _: WorkerId) -> bool {
        false // the protocol has none, and the settings say so
    }

    fn hang_up(&self, _: WorkerId) {} // job workers connect; nothing idle is held to them

    fn request_membership(&self, _: MembershipRequest) -> bool {
        true // the membership changes unasked
    }

    fn forget(&self, job: JobId) {
        self.parcels.borrow_mut().remove(&job);
    }

    fn log_event(&self, text: &str) {
        log(format_args!("faktory desk {text}"));
    }
}
