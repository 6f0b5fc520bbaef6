//! Migration of open jobs to the process that takes over: the client's connection, the message and the core's state of
//! the job. A job migrates once none of its attempts is being sent to a machine. An attempt that a machine has accepted
//! needs no connection, as the machine reports its end to any process that accepts connections.

use super::clients::{self, ResumedJob};
use super::connection_state::{ConnectionState, MigratingJob};
use super::peer_process::{HandoverMessage, PeerProcess};
use super::workers::{AttemptState, Order, Stage};
use super::{JobRecord, Platform};
use crate::config::JobReport;
use crate::net::set::{ConnectionPermit, Direction};
use crate::net::{Link, log};
use crate::transferred_job::TransferredJob;
use async_channel::{Receiver, SendError, Sender, bounded};
use async_io::{Async, Timer};
use indigofold_core::{AttemptId, CoreInput, JobId, Reply};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Delay before the next try to release a job that couldn't be released, for example while an attempt is being sent.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// State of the migration of open jobs.
pub struct Migration {
    target: RefCell<Option<Rc<PeerProcess>>>,
    /// Closed while there is a target, which wakes all tasks that wait for the migration to start.
    started: RefCell<(Sender<()>, Receiver<()>)>,
    /// Reports that arrived on jobs that are about to migrate, by job id.
    deferred: RefCell<HashMap<String, Vec<Vec<u8>>>>,
    /// Ids of jobs that have migrated. Reports on them that the target sends back here are sent to it again.
    transferred: RefCell<HashSet<String>>,
}

impl Default for Migration {
    fn default() -> Self {
        let (target, deferred, transferred) = Default::default();
        Migration {
            target,
            started: RefCell::new(bounded(1)),
            deferred,
            transferred,
        }
    }
}

impl Platform {
    /// Starts migrating open jobs to this process.
    pub fn start_migration(&self, peer: &Rc<PeerProcess>) {
        self.migration.target.replace(Some(peer.clone()));
        self.migration.started.borrow().0.close();
    }

    /// Whether open jobs migrate to another process.
    pub fn migrates(&self) -> bool {
        self.migration.target.borrow().is_some()
    }

    /// Stops the migration because the target process has ended; jobs stay in this process.
    pub fn stop_migration(&self) {
        if self.migration.target.take().is_some() {
            self.migration.started.replace(bounded(1));
            self.migration.transferred.take();
        }
    }

    /// Whether a job with this id was transferred to the target.
    pub(super) fn was_transferred(&self, trace: &str) -> bool {
        self.migration.transferred.borrow().contains(trace)
    }

    /// Waits until the job can be released, then stores it in `state` for the migration. `keep` says whether the connection
    /// stays open after the answer.
    pub(super) async fn wait_until_released(
        self: &Rc<Self>,
        id: JobId,
        record: &JobRecord,
        keep: bool,
        state: &ConnectionState,
    ) {
        loop {
            let started = self.migration.started.borrow().1.clone();
            if self.migration.target.borrow().is_none() {
                let _ = started.recv().await;
            }
            if record
                .attempts
                .borrow()
                .iter()
                .all(|attempt| attempt.is_settled())
                && record.result.borrow().is_none()
            {
                // Reports on the job are deferred until it is known which process owns it.
                let trace = record.trace.clone();
                self.migration
                    .deferred
                    .borrow_mut()
                    .insert(trace.clone(), Vec::new());
                let (to, from) = bounded(1);
                let _ = self.core.send(CoreInput::Release(id, to)).await;
                if let Ok(Some(released)) = from.recv().await {
                    let job = self.job_with_names(released.job);
                    let (text, body) = (record.text.filled().to_vec(), record.body);
                    let (rest, messages, until) =
                        (Vec::new(), state.messages.get(), released.until);
                    state.migrating.replace(Some(MigratingJob {
                        trace,
                        text,
                        body,
                        until,
                        keep,
                        rest,
                        messages,
                        job,
                    }));
                    return;
                }
                self.replay_deferred_reports(&trace).await;
            }
            Timer::after(RETRY_INTERVAL).await;
        }
    }

    /// Stops deferring reports on a job, and handles those deferred so far.
    async fn replay_deferred_reports(self: &Rc<Self>, trace: &str) {
        let reports = self.migration.deferred.borrow_mut().remove(trace);
        for text in reports.into_iter().flatten() {
            if let Ok(report) = JobReport::read(&mut text.clone()) {
                self.handle_report(&text, report, None).await;
            }
        }
    }

    /// Discards the deferred reports on a job that has ended in this process.
    pub(super) fn drop_deferred_reports(&self, trace: &str) {
        self.migration.deferred.borrow_mut().remove(trace);
    }

    /// Defers a report on a job that is about to migrate. Returns `false` if the job isn't about to migrate.
    pub(super) fn defer_report(&self, trace: &str, text: &[u8]) -> bool {
        let mut deferred = self.migration.deferred.borrow_mut();
        deferred
            .get_mut(trace)
            .map(|reports| reports.push(text.to_vec()))
            .is_some()
    }

    /// Sends a released job to the process that takes over. If that process has just ended, the job resumes here.
    pub(super) async fn transfer(
        self: &Rc<Self>,
        mut migrating: MigratingJob,
        rest: &[u8],
        link: Link,
    ) {
        // Part of the following input was discarded, so the rest can't be parsed and the connection must close.
        migrating.keep &= !link.overrun();
        migrating.rest = if link.overrun() {
            Vec::new()
        } else {
            rest.to_vec()
        };
        self.drop_job(&migrating.trace);
        let (target, trace) = (
            self.migration.target.borrow().clone(),
            migrating.trace.clone(),
        );
        let (stream, encoded) = (link.into_stream(), postcard::to_allocvec(&migrating));
        let (Some((stream, permit)), Ok(encoded)) = (stream, encoded) else {
            return;
        };
        drop(permit);
        self.net.set.resize(-1);
        let message = HandoverMessage::Job(encoded, stream);
        let sent = match target {
            Some(peer) => peer
                .outbox
                .send(message)
                .await
                .map_err(|SendError(message)| message)
                .map(|()| peer),
            None => Err(message),
        };
        match sent {
            Ok(peer) => {
                self.migration
                    .transferred
                    .borrow_mut()
                    .insert(trace.clone());
                self.replay_deferred_reports(&trace).await; // reports follow the job to the peer
                let _ = peer.outbox.send(HandoverMessage::JobClosed(trace)).await;
            }
            Err(message) => {
                self.resume_undelivered(message).await;
                self.replay_deferred_reports(&trace).await;
            }
        }
    }

    /// Handles a message that the other process has not read: a job in it resumes here, other messages are dropped.
    pub async fn resume_undelivered(self: &Rc<Self>, message: HandoverMessage) {
        if let HandoverMessage::Job(encoded, stream) = message {
            log("handover: a job stays, the new process has ended");
            self.adopt(&encoded, stream).await;
        }
    }

    /// Resumes a job that the other process has released. Once this returns, reports on the job are recognized.
    pub async fn adopt(self: &Rc<Self>, encoded: &[u8], stream: TcpStream) {
        let permit = self.permit_inherited();
        let migrating = postcard::from_bytes::<MigratingJob>(encoded).map_err(|e| e.to_string());
        let migrating = migrating.and_then(|migrating| match migrating.job.check() {
            Ok(()) => Ok(migrating),
            Err(invalid) => Err(invalid.to_string()),
        });
        let (migrating, link) = match (migrating, Async::new(stream)) {
            (Ok(migrating), Ok(stream)) => (migrating, Link::new(stream, permit)),
            (Err(why), _) => {
                return log(format_args!("handover: a job cannot be taken over: {why}"));
            }
            (_, Err(why)) => {
                return log(format_args!(
                    "handover: a connection cannot be taken over: {why}"
                ));
            }
        };
        let (messages, keep, rest) = (migrating.messages, migrating.keep, migrating.rest.clone());
        let resumed = self.resume(migrating).await;
        let front = self.clone();
        self.net.spawn(async move {
            let state = ConnectionState::default();
            state.messages.set(messages);
            let reason = clients::resume_job(&front, &link, &state, resumed, (keep, &rest)).await;
            clients::finish_connection(&front, link, &state, reason).await;
        });
    }

    /// Reserves a place for a connection taken over from the other process, raising the limit if necessary.
    fn permit_inherited(&self) -> ConnectionPermit {
        let set = &self.net.set;
        set.resize(1);
        loop {
            let permit = set.reserve(Direction::Inbound);
            match permit.or_else(|| set.reserve(Direction::Outbound)) {
                Some(permit) => return permit,
                None => set.resize(1),
            }
        }
    }

    /// Registers a transferred job with the attempts that machines have accepted. Returns `None` if the job can't be resumed
    /// because its class is unknown, its message doesn't fit into a buffer, or another open job has its id.
    async fn resume(self: &Rc<Self>, migrating: MigratingJob) -> Option<ResumedJob> {
        let trace = &migrating.trace;
        log(format_args!("handover: goes on with job={trace}"));
        // The job is no longer open in any peer process.
        self.migration.transferred.borrow_mut().remove(trace);
        for peer in self.peers.borrow().iter() {
            peer.ids.borrow_mut().remove(trace);
        }
        let mut text = self.net.pool.take();
        let written = text.write_all(&migrating.text).is_ok();
        let job = self.job_with_ids(migrating.job).filter(|_| written)?;
        let (to, from) = bounded(1);
        let (id, record) = self.register_job(trace, (text, migrating.body), to.downgrade())?;
        let attempts = job
            .attempts
            .iter()
            .map(|t| AttemptState::new(t.worker, Stage::Accepted));
        record.attempts.borrow_mut().extend(attempts);
        // The machines' actors must know these attempts, to be able to cancel them at the machines.
        for (t, number) in job.attempts.iter().zip(0..).filter(|(t, _)| !t.done) {
            self.order(t.worker, Order::Accepted(AttemptId { job: id, number }));
        }
        self.lifecycle.last_job.set(self.clock.now());
        let input = CoreInput::Adopted(id, Box::new(job), migrating.until, Reply::Channel(to));
        let _ = self.core.send(input).await;
        Some((id, record, from))
    }

    /// Removes a job that has migrated. Its attempts continue on their machines.
    fn drop_job(&self, trace: &str) {
        let Some(id) = self.traces.borrow_mut().remove(trace) else {
            return;
        };
        if let Some(record) = self.records.borrow_mut().remove(&id) {
            self.forget_attempts(id, &record);
        }
    }

    fn job_with_names(&self, job: TransferredJob<u32>) -> TransferredJob<String> {
        let (site, names) = (self.site.borrow(), self.names.borrow());
        let class = |id: &u32| {
            Some(
                site.classes
                    .all()
                    .nth(*id as usize)
                    .unwrap_or("")
                    .to_string(),
            )
        };
        let host = |id: &u32| {
            names
                .iter()
                .find(|(_, other)| *other == id)
                .map_or(String::new(), |n| n.0.clone())
        };
        job.renamed(class, host)
            .unwrap_or_else(|| unreachable!("every class id maps to a name"))
    }

    fn job_with_ids(&self, job: TransferredJob<String>) -> Option<TransferredJob<u32>> {
        let class = self.site.borrow().class(&job.class)?;
        job.renamed(|_| Some(class), |host| self.worker_id(host))
    }
}
