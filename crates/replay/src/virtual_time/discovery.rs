//! Service discovery: its view of the membership, and the schedulers' calls and watches.

use super::events::Event;
use super::{Simulation, WATCH_TIMEOUT};
use crate::check::Observation;
use crate::scenario::Micros;
use crate::worker::worker_id;
use indigofold::api::{Entry, Scope, WorkerState};
use indigofold_core::CoreInput;

/// Discovery's view of a worker, which lags behind the true state.
#[derive(Clone, Copy)]
pub(super) struct DiscoveredWorker {
    state: WorkerState,
    /// When the process started; 0: before the simulation.
    started_at: Micros,
}

impl DiscoveredWorker {
    /// A worker that has been active since before the simulation.
    pub(super) const ACTIVE: DiscoveredWorker = DiscoveredWorker {
        state: WorkerState::Active,
        started_at: 0,
    };
}

impl Simulation<'_> {
    /// The entries of all workers, as schedulers receive them.
    pub(super) fn membership(&self) -> Vec<Entry> {
        (0..self.scenario.workers())
            .map(|worker| self.membership_entry(worker))
            .collect()
    }

    fn membership_entry(&self, worker: u32) -> Entry {
        let known = self.discovered[worker as usize];
        Entry {
            worker: worker_id(worker),
            zone: self.scenario.zone_of(worker),
            kind: self.scenario.kind_of(worker) as u32,
            cell: 0,
            state: known.state,
            power: 1.0,
            ready_at: known.started_at,
        }
    }

    /// A scheduler requests the full membership, as a watch does when it begins; the response follows after the call delay.
    pub(super) fn request_membership(&mut self, scheduler: u32) {
        let call_ms = self.scenario.discovery.call_ms as f64;
        let at = self.now + self.network_delay(call_ms.max(0.01));
        self.schedule(at, Event::MembershipResponse { scheduler });
    }

    pub(super) fn handle_membership_response(&mut self, scheduler: u32) {
        let entries = self.membership();
        for worker in 0..self.scenario.workers() {
            self.observe_availability(scheduler, worker);
        }
        self.notify_scheduler(scheduler, CoreInput::Membership(Scope::Full, entries));
    }

    pub(super) fn handle_watch_timeout(&mut self, scheduler: u32) {
        if self.schedulers[scheduler as usize].watching {
            self.notify_scheduler(scheduler, CoreInput::Membership(Scope::Delta, Vec::new()));
        }
        let event = Event::WatchTimeout { scheduler };
        self.schedule(self.now + WATCH_TIMEOUT, event);
    }

    /// Discovery learns of a change to a worker, and reports it to all schedulers with an open watch.
    pub(super) fn handle_discovery_change(
        &mut self,
        worker: u32,
        state: WorkerState,
        started_at: Micros,
    ) {
        self.discovered[worker as usize] = DiscoveredWorker { state, started_at };
        for scheduler in 0..self.scenario.schedulers {
            if self.schedulers[scheduler as usize].watching {
                self.observe_availability(scheduler, worker);
                let entry = self.membership_entry(worker);
                self.notify_scheduler(scheduler, CoreInput::Membership(Scope::Delta, vec![entry]));
            }
        }
    }

    /// Records for the checkers which availability a scheduler now sees for a worker.
    fn observe_availability(&mut self, scheduler: u32, worker: u32) {
        let known = self.discovered[worker as usize];
        let available = known.state == WorkerState::Active;
        self.checker.observe(Observation::AvailabilityReported {
            scheduler,
            worker,
            available,
            at: self.now,
        });
        if available && known.started_at == self.workers[worker as usize].started_at() {
            self.checker
                .observe(Observation::RestartReported { scheduler, worker });
        }
    }
}
