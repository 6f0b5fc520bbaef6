//! Workers in virtual time: handles attempts, cancellations and probes, and sends updates and load reports.

use super::events::Event;
use super::{CONNECT_TIMEOUT, PROBE_TIMEOUT, REPORT_MAX_AGE, Simulation};
use crate::check::Observation;
use crate::scenario::Micros;
use crate::worker::{self, Offer, RunId};
use indigofold::api::Status;

/// Interval between two checks of the warm-up of a worker, in microseconds.
const WARM_UP_CHECK_INTERVAL: Micros = 100_000;

impl Simulation<'_> {
    pub(super) fn handle_attempt(&mut self, run_id: RunId) {
        let Some(run) = self.runs.get(&run_id) else {
            return;
        };
        let (scheduler, number) = (run.scheduler, run.worker);
        let (job, work_item) = (run.attempt.job, run.work_item);
        let worker = &mut self.workers[number as usize];
        if !worker.is_up() {
            let status = Status::ConnectFailed;
            let delay = self.delay_to_worker(scheduler, number).min(CONNECT_TIMEOUT);
            let event = Event::AttemptRejected {
                run: run_id,
                status,
            };
            return self.schedule(self.now + delay, event);
        }
        if worker.is_stalled(self.now) {
            // The connection is accepted, but the worker does not read from it until the stall is over.
            let stalled_until = worker.stalled_until();
            return self.schedule(stalled_until, Event::AttemptAtWorker(run_id));
        }
        let offer = worker.offer(self.now, work_item);
        let delay = self.delay_to_worker(scheduler, number);
        match offer {
            Offer::Full => {
                let status = Status::Full;
                let event = Event::AttemptRejected {
                    run: run_id,
                    status,
                };
                self.schedule(self.now + delay, event);
            }
            Offer::Accepted => {
                self.checker.observe(Observation::AttemptAccepted {
                    job,
                    worker: number,
                    at: self.now,
                });
                self.schedule(self.now + delay, Event::AttemptAccepted(run_id));
                self.step_worker(number);
            }
        }
    }

    pub(super) fn handle_cancellation(&mut self, run_id: RunId) {
        if let Some(run) = self.runs.remove(&run_id) {
            self.workers[run.worker as usize].cancel(self.now, run_id);
            self.step_worker(run.worker);
        }
    }

    pub(super) fn handle_worker_timer(&mut self, worker: u32) {
        if self.worker_timers[worker as usize] == Some(self.now) {
            self.worker_timers[worker as usize] = None;
            self.step_worker(worker);
        }
    }

    /// Steps a worker, and sends its events to the schedulers of the runs.
    pub(super) fn step_worker(&mut self, number: u32) {
        let worker = &mut self.workers[number as usize];
        worker.step(self.now);
        let mut updates = std::mem::take(&mut self.update_buffer);
        worker.take_events(&mut updates);
        for update in updates.drain(..) {
            self.send_update(number, update);
        }
        self.update_buffer = updates;
        self.set_worker_timer(number);
    }

    fn send_update(&mut self, worker: u32, update: worker::Event) {
        let Some(run) = self.runs.get(&update.run_id()) else {
            return;
        };
        let (scheduler, job) = (run.scheduler, run.attempt.job);
        match update {
            worker::Event::Started(_) => self.service.record_start(self.now, worker),
            worker::Event::Done(_) => {
                self.service.record_completion(run.work_item.total_work());
                self.checker.observe(Observation::ResultProduced { job });
            }
            worker::Event::Returned(_) => {
                self.checker.observe(Observation::AttemptReturned { job });
            }
            worker::Event::Progress(..) | worker::Event::Lost(_) => {}
        }
        let delay = self.delay_to_worker(scheduler, worker);
        self.schedule(self.now + delay, Event::WorkerUpdate(update));
    }

    /// Schedules the next step of a worker, unless a step at that time or earlier is already scheduled.
    pub(super) fn set_worker_timer(&mut self, worker: u32) {
        let Some(due) = self.workers[worker as usize].due() else {
            return;
        };
        let due = due.max(self.now);
        let timer = &mut self.worker_timers[worker as usize];
        if timer.is_none_or(|timer_at| due < timer_at) {
            *timer = Some(due);
            self.schedule(due, Event::WorkerTimer { worker });
        }
    }

    pub(super) fn handle_probe(&mut self, scheduler: u32, number: u32) {
        let worker = &self.workers[number as usize];
        let answered = worker.is_up() && !worker.is_stalled(self.now);
        let delay = if answered {
            self.delay_to_worker(scheduler, number)
        } else {
            PROBE_TIMEOUT
        };
        let event = Event::ProbeResult {
            scheduler,
            worker: number,
            answered,
        };
        self.schedule(self.now + delay, event);
    }

    /// The load report of a worker, which is renewed once it is older than [`REPORT_MAX_AGE`].
    pub(super) fn load_report(&mut self, worker: u32) -> worker::Report {
        let (made_at, report) = &mut self.load_reports[worker as usize];
        if self.now > *made_at + REPORT_MAX_AGE {
            *made_at = self.now;
            *report = self.workers[worker as usize].report();
        }
        *report
    }

    /// Reports the warm-up of a worker to the checkers, and schedules the next check until the worker is warm or its process has
    /// ended.
    pub(super) fn check_warm_up(&mut self, worker: u32) {
        let Some(capacity) = self.workers[worker as usize].warming_capacity(self.now) else {
            return self.checker.observe(Observation::WarmedUp { worker });
        };
        self.checker.observe(Observation::WarmingUp {
            worker,
            at: self.now,
            capacity,
        });
        let event = Event::WarmUpCheck { worker };
        self.schedule(self.now + WARM_UP_CHECK_INTERVAL, event);
    }
}
