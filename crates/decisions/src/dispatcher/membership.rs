//! Handling of the membership list, and closing of idle connections to draining workers.

use super::fleet::{Timed, Worker};
use super::tuning::KINDS_MAX;
use super::{Dispatcher, random_fraction};
use crate::api::{Action, Entry, Scope, Time, WorkerState};

impl Dispatcher {
    /// Applies a membership list, a change of it, or the failure of a request for the list.
    pub(super) fn handle_membership(
        &mut self,
        now: Time,
        scope: Scope,
        entries: Vec<Entry>,
        out: &mut Vec<Action>,
    ) {
        let refresh_within = self.settings.rules.membership_refresh_within;
        self.membership_request
            .handle_answer(now, scope, refresh_within);
        if matches!(scope, Scope::Full | Scope::Cached) {
            for worker in self.fleet.workers_mut() {
                worker.active = false;
                worker.listed.state = WorkerState::Left;
            }
        }
        for entry in entries {
            self.update_entry(now, entry);
        }
        let must_disconnect = |worker: &Worker| !worker.active && worker.has_connections;
        let workers_to_disconnect: Vec<usize> = (0..self.fleet.workers().len())
            .filter(|index| must_disconnect(&self.fleet[*index]))
            .collect();
        for index in workers_to_disconnect {
            self.close_idle(index, out);
        }
        self.regroup_and_solve(now);
        self.request_membership(now, out);
    }

    /// Closes the idle connections to a worker that is not active, if the settings require it. Called after an attempt
    /// or a probe has ended there.
    pub(super) fn close_idle(&mut self, index: usize, out: &mut Vec<Action>) {
        let worker = &mut self.fleet[index];
        worker.has_connections = worker.active || self.settings.rules.close_idle_within.is_none();
        if !worker.has_connections {
            worker.idle_since.clear();
            out.push(Action::Disconnect {
                worker: worker.listed.worker,
            });
        }
    }

    fn update_entry(&mut self, now: Time, entry: Entry) {
        let kind = (entry.kind as usize).min(KINDS_MAX);
        self.fleet.extend_kinds(kind + 1);
        let (index, _) = self.fleet.find_or_add(entry.worker);
        // All dispatchers learn of a worker's start at the same time. A random negative budget spreads the times of their
        // first sends to it.
        let initial_budget =
            -random_fraction(&mut self.rng) * self.run_times.sum / self.run_times.weight.max(1.0);
        let worker = &mut self.fleet[index];
        if entry.ready_at > worker.listed.ready_at {
            worker.warm_up_budget = Timed {
                value: initial_budget,
                at: now,
            };
            worker.forget_former_process();
        }
        worker.active = entry.state == WorkerState::Active;
        worker.kind = kind;
        worker.listed = entry;
    }

    /// Subscribes to the membership list when a request for it is due; one event answers each request.
    pub(super) fn request_membership(&mut self, now: Time, out: &mut Vec<Action>) {
        let refresh_within = self.settings.rules.membership_refresh_within;
        if self.membership_request.take_due(now, refresh_within) {
            out.push(Action::Watch(true));
        }
    }
}

impl Worker {
    /// Forgets the health and load of the worker's former process: a new process has the same id, and nothing learned
    /// about the former one applies to it.
    fn forget_former_process(&mut self) {
        self.failure_rate = 0.0;
        self.ejected_until = 0;
        self.others_slots = 0.0;
        self.load_updated_at = None;
    }
}
