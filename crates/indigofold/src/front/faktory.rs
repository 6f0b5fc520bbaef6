//! The Faktory front end: clients push jobs, and job workers fetch the jobs that the decision module assigned to their
//! machine. Disabled unless an operator's file configures it.

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

/// Capacity of a machine's order queue. An attempt that finds it full is rejected unsent.
const MAX_QUEUED_ORDERS: usize = 512;

/// An open job, as passed on to job workers.
pub struct JobRecord {
    /// The job id chosen by the client.
    pub jid: String,
    /// The queue that the job was pushed to.
    pub queue: String,
    /// The job's JSON text as pushed.
    pub text: Buffer,
    /// Number of job workers that the job is currently assigned to.
    pub assigned: Cell<usize>,
    /// Attempts that were handed to a job worker.
    pub assigned_attempts: RefCell<Vec<AttemptId>>,
    /// Attempts that were given up. They are marked here at once, as the order to drop them may queue behind a fetch in a
    /// machine's mailbox.
    pub withdrawn: RefCell<Vec<AttemptId>>,
}

/// The state of a job id.
enum JobState {
    /// The job is open; the clients, each with its number, wait for the answer.
    Open(JobId, Vec<(u64, Sender<Answer>)>),
    /// All clients left while the job was assigned. A client that pushes the job again waits for its end.
    Orphan(Rc<JobRecord>, Vec<(u64, Sender<Answer>)>),
    /// The job has been answered.
    Answered(Answer),
}

/// State shared by the actors of this front end.
pub struct Faktory {
    /// The network.
    net: Net,
    /// The clock.
    clock: Clock,
    /// The program's lifecycle.
    lifecycle: Rc<Lifecycle>,
    /// The operator's configuration file.
    file: File,
    /// Mailbox of the core.
    core: Mailbox,
    /// When the front end was created, for the uptime in INFO.
    since: Time,
    /// Numbers of commands received, jobs served, and jobs failed.
    counts: [Cell<u64>; 3],
    records: RefCell<HashMap<JobId, Rc<JobRecord>>>,
    known: RefCell<HashMap<String, JobState>>,
    answered: RefCell<VecDeque<String>>, // ids of answered jobs, oldest first
    next: Cell<u64>,
    machines: RefCell<HashMap<WorkerId, Sender<Order>>>,
    wids: RefCell<HashMap<String, Sender<Order>>>,
}

impl Faktory {
    /// Creates the front end, with an actor for each machine of the operator's file.
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
            records: RefCell::default(),
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

    /// Reports the machines of the operator's file to the core; none of them is available yet.
    pub async fn open(&self) {
        let _ = self
            .core
            .send(CoreInput::Membership(Scope::Full, self.entries()))
            .await;
    }

    /// The membership entries of the machines in the operator's file, in the order of the file.
    fn entries(&self) -> Vec<Entry> {
        let (mut site, mut entries) = (self.file.site.clone(), Vec::<Entry>::new());
        for m in &self.file.machines {
            let taken = |id: WorkerId| entries.iter().any(|e| e.worker == id);
            let worker = config::next_free_id(config::machine_id(&m.machine), taken);
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

    /// Number of jobs that aren't answered yet, including those whose clients have left while a job worker runs them.
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

    /// Submits a pushed job. Its answer, or that of the job that already has this id, is sent to `to`. The returned number
    /// identifies this client.
    async fn push(
        self: &Rc<Self>,
        mut request: Request,
        until: Time,
        record: JobRecord,
        to: Sender<Answer>,
    ) -> u64 {
        let number = self.next_number();
        let jid = record.jid.clone();
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
        self.records.borrow_mut().insert(job, Rc::new(record));
        let (answer, answered) = bounded(1);
        let _ = self
            .core
            .send(CoreInput::Job(request, until, Reply::Channel(answer)))
            .await;
        let front = self.clone();
        self.net.spawn(async move {
            if let Ok(answer) = answered.recv().await {
                return front.finish(&jid, answer);
            }
            // The core was notified that the clients have left. A job worker that runs the job may still report its end until
            // the job's deadline.
            Timer::at(front.clock.instant(until)).await;
            if matches!(front.known.borrow().get(&jid), Some(JobState::Orphan(..))) {
                front.finish(&jid, Answer::Failed);
            }
        });
        number
    }

    /// Sends a job's answer to all clients that wait for it, and remembers it for repeated pushes.
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
            // A rejected job may be pushed again and is then a new job.
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

    /// Handles a client that has left. When the last one leaves, the job is withdrawn. If a job worker has the job, its id
    /// stays known, so that a client that pushes it again doesn't cause a second run.
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
            let record = self
                .records
                .borrow()
                .get(&job)
                .filter(|p| p.assigned.get() > 0)
                .cloned();
            match record {
                Some(record) => known.insert(jid.to_string(), JobState::Orphan(record, Vec::new())),
                None => known.remove(jid),
            };
            job
        };
        let _ = self.core.send(CoreInput::ClientLeft(closed)).await;
    }
}

impl Faktory {
    /// Whether this attempt may still be assigned to a job worker.
    fn is_wanted(&self, attempt: &Attempt, record: &JobRecord) -> bool {
        let open = |k: &JobState| matches!(k, JobState::Open(job, _) if *job == attempt.id.job);
        !record.withdrawn.borrow().contains(&attempt.id)
            && self.known.borrow().get(&record.jid).is_some_and(open)
    }

    /// Handles the end of an attempt of a job whose clients have left.
    fn orphan_ended(&self, record: &Rc<JobRecord>, status: Status) {
        let is_orphan = |k: &JobState| matches!(k, JobState::Orphan(p, _) if Rc::ptr_eq(p, record));
        if !self.known.borrow().get(&record.jid).is_some_and(is_orphan) {
            return;
        }
        match status {
            Status::Ok => self.finish(&record.jid, Answer::Served),
            _ if record.assigned.get() > 0 => {}
            Status::Moot | Status::ConnectFailed => self.finish(&record.jid, Answer::Rejected(0)),
            _ => self.finish(&record.jid, Answer::Failed),
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
        let Some(record) = self.records.borrow().get(&attempt.id.job).cloned() else {
            return false;
        };
        self.order(attempt.machine, Order::Send(attempt, record))
    }

    fn give_up(&self, attempt: AttemptId, machine: WorkerId) -> GivenUp {
        let record = self.records.borrow().get(&attempt.job).cloned();
        record
            .iter()
            .for_each(|p| p.withdrawn.borrow_mut().push(attempt));
        self.order(machine, Order::DropWithdrawn);
        // An attempt that is marked before it is handed out is never handed out.
        let unsent = record.is_some_and(|p| !p.assigned_attempts.borrow().contains(&attempt));
        if unsent {
            GivenUp::Unsent
        } else {
            GivenUp::Done
        }
    }

    fn probe(&self, _: WorkerId) -> bool {
        false // the protocol has no probes, and the settings declare so
    }

    fn hang_up(&self, _: WorkerId) {} // job workers open the connections, so none are kept idle here

    fn request_membership(&self, _: MembershipRequest) -> bool {
        true // membership changes are reported without a request
    }

    fn forget(&self, job: JobId) {
        self.records.borrow_mut().remove(&job);
    }

    fn log_event(&self, text: &str) {
        log(format_args!("faktory desk {text}"));
    }
}
