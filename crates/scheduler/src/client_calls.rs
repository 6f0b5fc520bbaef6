//! Clients' calls: submit, state, cancel, count of what waits; and the configuration that routes them.

use crate::api::CallerId;
use crate::backlog::retry_after_ms;
use crate::definition::{Definition, Terms};
use crate::job::Job;
use crate::kinds::Class;
use crate::outbox::Outbox;
use crate::state::ClusterState;
use indigofold_protocol::config::{Config, Route};
use indigofold_protocol::internal::{ClientCall, ClientOperation, ClientOutcome};
use indigofold_protocol::job::{JobSpec, JobState};
use indigofold_protocol::job_check::check_job;
use indigofold_protocol::task::JobId;
use std::sync::Arc;

/// When a client is to come back while there is no configuration.
const UNCONFIGURED_RETRY_MS: u64 = 500;

impl ClusterState {
    /// A client's call.
    pub(crate) fn call(&mut self, from: CallerId, call: ClientCall) {
        let Some(config) = self.config.clone() else {
            let outcome = ClientOutcome::Unavailable {
                retry_after_ms: UNCONFIGURED_RETRY_MS,
            };
            return self.reply_at_once(from, call.call, outcome);
        };
        let Some(route) = config.route(&call.host, &call.path) else {
            return self.reply_at_once(from, call.call, ClientOutcome::UnknownRoute);
        };
        let rest = call
            .path
            .strip_prefix(route.path_prefix.as_str())
            .unwrap_or_default();
        let id = rest.parse::<JobId>();
        match (call.operation, id) {
            (ClientOperation::Submit(spec), Ok(id)) => {
                self.submit(from, call.call, id, route, spec);
            }
            (ClientOperation::Submit(_), Err(error)) => {
                self.reply_at_once(
                    from,
                    call.call,
                    ClientOutcome::Invalid {
                        reason: error.to_string(),
                    },
                );
            }
            (ClientOperation::Get, Ok(id)) => self.reply_state(from, call.call, id),
            (ClientOperation::Get, Err(_)) if rest.is_empty() => {
                let pending = self.load.pending(&route.name);
                self.reply_at_once(from, call.call, ClientOutcome::Pending(pending));
            }
            (ClientOperation::Cancel, Ok(id)) => self.cancel(from, call.call, id),
            _ => self.reply_at_once(from, call.call, ClientOutcome::NoSuchJob),
        }
    }

    fn reply_at_once(&mut self, to: CallerId, call: u64, outcome: ClientOutcome) {
        self.outbox.reply(Outbox::NO_WRITE, to, call, outcome);
    }

    fn submit(&mut self, from: CallerId, call: u64, id: JobId, route: &Route, spec: JobSpec) {
        if let Some(known) = self.jobs.get(&id) {
            return self
                .outbox
                .reply(known.last_write, from, call, ClientOutcome::Accepted);
        }
        if let Err(error) = check_job(&spec) {
            return self.reply_at_once(
                from,
                call,
                ClientOutcome::Invalid {
                    reason: error.to_string(),
                },
            );
        }
        if self.load.is_full(self.jobs.len()) {
            let outcome = ClientOutcome::TooMany {
                retry_after_ms: retry_after_ms(self.backlog_ms(&route.backend)),
            };
            return self.reply_at_once(from, call, outcome);
        }
        let job = self.new_job(route, spec);
        self.jobs.insert(id, job);
        self.update_value(id);
        self.load.job_opened();
        self.load.job_pending(&route.name);
        self.outbox.job_accepted(id);
        self.set_dirty(id);
        self.await_next_repeat(id);
        self.open_due_repeats();
        self.outbox.reply(
            self.outbox.present_write(),
            from,
            call,
            ClientOutcome::Accepted,
        );
    }

    /// A job with the run times that are expected for its route.
    fn new_job(&mut self, route: &Route, spec: JobSpec) -> Job {
        let definition = Definition {
            spec,
            route: route.name.clone(),
            service: route.backend.clone(),
            terms: terms(route),
            accepted_wall_ms: self.clock.wall_ms(self.now_ms),
        };
        let mut job = Job::new(definition);
        let kinds = &self.services.entry(&route.backend).kinds;
        job.expect(|step, description| {
            let class = Class {
                route: route.name.clone(),
                step,
            };
            let known_ms = kinds.expected_at_mean_speed_ms(&class, description.estimate_ms) as u64;
            if description.long_running {
                0
            } else {
                known_ms
            }
        });
        job
    }

    /// How long the service's workers will take for all that waits in its queue.
    fn backlog_ms(&mut self, service: &str) -> u64 {
        let now_ms = self.now_ms;
        let Some(state) = self.services.get(service) else {
            return 0;
        };
        if let Some(backlog_ms) = state.backlog.get(now_ms) {
            return backlog_ms;
        }
        let backlog_ms = self.view().backlog_ms(state);
        self.services.entry(service).backlog.set(backlog_ms, now_ms);
        backlog_ms
    }

    fn reply_state(&mut self, from: CallerId, call: u64, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return self.reply_at_once(from, call, ClientOutcome::NoSuchJob);
        };
        let unended = if job.started {
            JobState::Running
        } else {
            JobState::Queued
        };
        let state = job.end.map_or(unended, |end| end.state);
        self.outbox
            .reply(job.last_write, from, call, ClientOutcome::State(state));
    }

    fn cancel(&mut self, from: CallerId, call: u64, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return self.reply_at_once(from, call, ClientOutcome::NoSuchJob);
        };
        if job.end.is_none() {
            self.end_job(id, JobState::Cancelled);
        }
        let write = self
            .jobs
            .get(&id)
            .map_or(Outbox::NO_WRITE, |job| job.last_write);
        self.outbox
            .reply(write, from, call, ClientOutcome::Cancelled);
    }

    /// This configuration is in force from now on: jobs whose route leads elsewhere move.
    pub(crate) fn configure(&mut self, config: Arc<Config>) {
        let before = self.config.replace(config.clone());
        for service in &config.services {
            self.services.entry(&service.name);
        }
        let same = |route: &Route| {
            let old = before
                .as_ref()?
                .routes
                .iter()
                .find(|old| old.name == route.name)?;
            (old.backend == route.backend && terms(old) == terms(route)).then_some(())
        };
        let changed: Vec<&Route> = config
            .routes
            .iter()
            .filter(|route| same(route).is_none())
            .collect();
        if changed.is_empty() {
            return;
        }
        let moved = |job: &Job| {
            changed
                .iter()
                .find(|r| r.name == job.definition.route)
                .copied()
        };
        let open = self.jobs.iter().filter(|(_, job)| job.end.is_none());
        let jobs: Vec<(JobId, Route)> = open
            .filter_map(|(id, job)| Some((*id, moved(job)?.clone())))
            .collect();
        jobs.into_iter()
            .for_each(|(id, route)| self.reroute(id, &route));
    }

    fn reroute(&mut self, id: JobId, route: &Route) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.service == route.backend && job.terms == terms(route) {
            return;
        }
        let queued = self.dequeue_job(id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.service.clone_from(&route.backend);
            job.terms = terms(route);
        }
        queued.into_iter().for_each(|at| self.enqueue(at));
    }
}

fn terms(route: &Route) -> Terms {
    Terms {
        priority: route.priority,
        max_retries: route.max_retries,
        stretch: route.stretch,
        target_latency_ms: route.target_latency_ms,
    }
}
