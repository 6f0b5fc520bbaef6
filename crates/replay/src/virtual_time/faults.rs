//! Applies the faults of the scenario to workers when they begin and end.

use super::Simulation;
use super::events::Event;
use crate::scenario::{FaultKind, Micros};
use indigofold::api::WorkerState;

impl Simulation<'_> {
    pub(super) fn begin_fault(&mut self, number: u32) {
        let fault = &self.scenario.faults[number as usize];
        let ends_at = self.now + (fault.for_s * 1e6) as Micros;
        match fault.what {
            FaultKind::Hang => {
                for worker in &fault.workers {
                    self.stall_worker(*worker, ends_at);
                }
                return;
            }
            FaultKind::Pauses { .. } => {
                return self.schedule(self.now, Event::StallDue { fault: number });
            }
            FaultKind::Slow { times } => {
                for worker in &fault.workers {
                    self.set_worker_speed_factor(*worker, 1.0 / times);
                }
            }
            FaultKind::HotThings { .. } => return, // part of the load
            FaultKind::Crash => {
                for worker in &fault.workers {
                    self.crash_worker(*worker);
                    self.announce(*worker, WorkerState::Left, 0);
                }
            }
            FaultKind::Drain => {
                for worker in &fault.workers {
                    self.workers[*worker as usize].drain();
                    self.step_worker(*worker);
                    self.announce(*worker, WorkerState::Draining, 0);
                }
            }
        }
        self.schedule(ends_at, Event::FaultEnds { fault: number });
    }

    pub(super) fn end_fault(&mut self, number: u32) {
        let fault = &self.scenario.faults[number as usize];
        for worker in &fault.workers {
            if matches!(fault.what, FaultKind::Slow { .. }) {
                self.set_worker_speed_factor(*worker, 1.0);
            } else {
                self.restart_worker(*worker);
            }
        }
    }

    /// Stalls the workers of a fault with recurring stalls once, and schedules the next stall.
    pub(super) fn stall_workers(&mut self, number: u32) {
        let fault = &self.scenario.faults[number as usize];
        let ends_at = self.scenario.from() + ((fault.at_s + fault.for_s) * 1e6) as Micros;
        if let FaultKind::Pauses { ms, every_ms } = fault.what
            && self.now < ends_at
        {
            for worker in &fault.workers {
                self.stall_worker(*worker, self.now + (ms * 1e3) as Micros);
            }
            let next = self.now + (every_ms.max(1.0) * 1e3) as Micros;
            self.schedule(next, Event::StallDue { fault: number });
        }
    }

    fn stall_worker(&mut self, worker: u32, until: Micros) {
        self.workers[worker as usize].stall(self.now, until);
        self.set_worker_timer(worker);
    }

    fn set_worker_speed_factor(&mut self, worker: u32, speed_factor: f64) {
        self.workers[worker as usize].set_speed_factor(self.now, speed_factor);
        self.set_worker_timer(worker);
    }

    fn crash_worker(&mut self, worker: u32) {
        self.workers[worker as usize].crash();
        self.step_worker(worker);
        for scheduler in &mut self.schedulers {
            scheduler.drop_connections(worker);
        }
    }

    fn restart_worker(&mut self, worker: u32) {
        if self.workers[worker as usize].is_up() {
            // A draining worker loses the jobs that still run when its process ends.
            self.workers[worker as usize].crash();
            self.step_worker(worker);
        }
        self.workers[worker as usize].restart(self.now);
        self.schedule(self.now, Event::WarmUpCheck { worker });
        self.announce(worker, WorkerState::Active, self.now);
    }

    /// Schedules the change for discovery, which notices it after its configured delay.
    fn announce(&mut self, worker: u32, state: WorkerState, started_at: Micros) {
        let at = self.now + self.scenario.discovery.notice_ms * 1000;
        let event = Event::DiscoveryChange {
            worker,
            state,
            started_at,
        };
        self.schedule(at, event);
    }
}
