//! Transfer of open requests to the process that takes over: the old process releases them, the new one adopts them.

use super::Dispatcher;
use super::fleet::UnstartedAttempt;
use super::state::{Attempt, AttemptId, OpenRequest};
use crate::api::{Action, AttemptNo, RequestId, Time};
use crate::transferred_job::TransferredJob;

impl Dispatcher {
    /// Releases a request, with all its attempts in flight, to the process that takes over: this dispatcher forgets it.
    /// Returns `None`, and keeps the request, if it is unknown, has its final answer, or its class rules have changed
    /// since it arrived.
    pub fn release(&mut self, now: Time, id: RequestId) -> Option<TransferredJob<u32>> {
        let class_index = self.open.get(&id).filter(|open| !open.closed)?.job.class;
        let class = self
            .class_of
            .iter()
            .position(|index| *index == class_index)? as u32;
        let open = self.open.remove(&id)?;
        self.reviews.remove_all(id);
        if let Some(queue) = open.queued_in {
            self.queues.remove(queue, id);
        }
        for (number, attempt) in open.job.attempts.iter().enumerate() {
            if attempt.done {
                continue;
            }
            let slots = if attempt.timed_out {
                0.0
            } else {
                open.job.slots
            };
            let attempt_id = AttemptId {
                request: id,
                attempt: number as AttemptNo,
            };
            self.fleet
                .release_slots(now, attempt.worker, attempt_id, slots);
        }
        let worker = |index: &usize| self.fleet[*index].listed.worker;
        open.job.renamed(|_| Some(class), worker)
    }

    /// Continues a request that another process has released. A request of an unknown class is ignored.
    pub(super) fn adopt(
        &mut self,
        now: Time,
        id: RequestId,
        job: TransferredJob<u32>,
        out: &mut Vec<Action>,
    ) {
        let Some(class) = self.class_of.get(job.class as usize).copied() else {
            return;
        };
        let index_of = |worker: &u32| self.worker_index(now, *worker);
        let Some(job) = job.renamed(|_| Some(class), index_of) else {
            return;
        };
        for (number, attempt) in job.attempts.iter().enumerate() {
            let attempt_id = AttemptId {
                request: id,
                attempt: number as AttemptNo,
            };
            self.adopt_attempt(now, attempt_id, attempt, job.slots);
        }
        let open = OpenRequest {
            job,
            ..OpenRequest::default()
        };
        if self.settings.classes[class].late_value <= 0.0 {
            self.reviews.schedule(open.job.late_from + 1, id);
        }
        self.open.insert(id, open);
        self.send_or_queue(now, id, out);
    }

    /// Index of a worker in the table. A worker that is missing from the membership list is added, but gets no new
    /// requests.
    fn worker_index(&mut self, now: Time, worker: u32) -> usize {
        let (index, is_new) = self.fleet.find_or_add(worker);
        if is_new {
            self.fleet.extend_kinds(1);
            self.regroup_and_solve(now);
        }
        index
    }

    /// Takes over an attempt in flight of the former process: its slots and its reviews.
    fn adopt_attempt(&mut self, now: Time, id: AttemptId, attempt: &Attempt, slots: f64) {
        if attempt.done {
            return;
        }
        if !attempt.timed_out {
            self.fleet[attempt.worker].update_running_slots(now);
            self.fleet.add_slots(attempt.worker, slots);
            if attempt.started.is_none() && self.settings.reports_start {
                let unstarted = UnstartedAttempt {
                    sent: attempt.sent,
                    id,
                    slots,
                };
                self.fleet.add_unstarted(attempt.worker, unstarted);
                if self.settings.limits.moves_waiting_requests() {
                    let move_due = self.move_due(attempt.sent);
                    self.reviews.schedule(move_due, id.request);
                }
            }
        }
        if attempt.started.is_some() {
            let overdue_at = self.overdue_at(attempt);
            self.reviews.schedule(overdue_at, id.request);
        }
    }
}
