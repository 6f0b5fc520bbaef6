//! Client calls (submit a job, get its state, cancel it, count the pending jobs of a route) and the configuration that
//! routes them.

use crate::api::{CallerId, WriteId};
use crate::backlog::retry_after_ms;
use crate::cluster::Cluster;
use crate::definition::{Definition, Terms};
use crate::jobs::Job;
use crate::kinds::Class;
use crate::outbox::Outbox;
use indigofold_protocol::config::{Config, Route};
use indigofold_protocol::internal::{ClientCall, ClientOperation, ClientOutcome};
use indigofold_protocol::job::{JobSpec, JobState};
use indigofold_protocol::job_check::check_job;
use indigofold_protocol::task::JobId;
use std::sync::Arc;

/// Time after which clients should retry while there is no configuration.
const UNCONFIGURED_RETRY_MS: u64 = 500;

/// The recipient of the reply to a client's call.
#[derive(Clone, Copy, Debug)]
struct ReplyTo {
    caller: CallerId,
    /// Number that the caller gave to the call; the reply repeats it.
    call: u64,
}

/// The outcome of a call, and the write that has to be committed before the client is told.
struct Answer {
    after_write: WriteId,
    outcome: ClientOutcome,
}

impl Answer {
    /// Creates an answer that does not depend on any write.
    fn immediate(outcome: ClientOutcome) -> Self {
        Answer {
            after_write: Outbox::NO_WRITE,
            outcome,
        }
    }
}

/// Handles client calls according to the current configuration.
#[derive(Debug, Default)]
pub(crate) struct ClientCalls {
    /// The current configuration; `None` until the first one arrives.
    config: Option<Arc<Config>>,
}

impl ClientCalls {
    /// Handles a client's call; the reply waits in the outbox for the write that it depends on.
    pub(crate) fn handle(&self, cluster: &mut Cluster, from: CallerId, call: ClientCall) {
        let to = ReplyTo {
            caller: from,
            call: call.call,
        };
        let answer = self.answer(cluster, call);
        let outbox = cluster.outbox_mut();
        outbox.reply(answer.after_write, to.caller, to.call, answer.outcome);
    }

    /// Applies a new configuration: open jobs whose route has another service or other terms are moved to these. Jobs of a
    /// route that was removed stay as they are.
    pub(crate) fn configure(&mut self, cluster: &mut Cluster, config: Arc<Config>) {
        let former_config = self.config.replace(config.clone());
        for service in &config.services {
            cluster.services_mut().entry(&service.name);
        }
        let former_routes = former_config
            .iter()
            .flat_map(|former_config| &former_config.routes);
        let former_routes: Vec<&Route> = former_routes.collect();
        let changed_routes: Vec<&Route> = config
            .routes
            .iter()
            .filter(|route| !former_routes.iter().any(|old| has_same_target(old, route)))
            .collect();
        if changed_routes.is_empty() {
            return;
        }
        let open_jobs = cluster.jobs().iter().filter(|(_, job)| !job.has_ended());
        let jobs: Vec<(JobId, &Route)> = open_jobs
            .filter_map(|(id, job)| {
                let route = changed_routes
                    .iter()
                    .find(|route| route.name == job.route())?;
                let moves = job.service() != route.backend || *job.terms() != terms(route);
                moves.then_some((*id, *route))
            })
            .collect();
        for (id, route) in jobs {
            cluster.reroute_job(id, &route.backend, terms(route));
        }
    }

    /// Determines the answer to a call by its route, operation and job ID.
    fn answer(&self, cluster: &mut Cluster, call: ClientCall) -> Answer {
        let Some(config) = &self.config else {
            return Answer::immediate(ClientOutcome::Unavailable {
                retry_after_ms: UNCONFIGURED_RETRY_MS,
            });
        };
        let Some(route) = config.route(&call.host, &call.path) else {
            return Answer::immediate(ClientOutcome::UnknownRoute);
        };
        let id_text = call
            .path
            .strip_prefix(route.path_prefix.as_str())
            .unwrap_or_default();
        match (call.operation, id_text.parse::<JobId>()) {
            (ClientOperation::Submit(spec), Ok(id)) => submit(cluster, id, route, spec),
            (ClientOperation::Submit(_), Err(error)) => Answer::immediate(ClientOutcome::Invalid {
                reason: error.to_string(),
            }),
            (ClientOperation::Get, Ok(id)) => state_of(cluster, id),
            (ClientOperation::Get, Err(_)) if id_text.is_empty() => {
                let pending = cluster.jobs().pending(&route.name);
                Answer::immediate(ClientOutcome::Pending(pending))
            }
            (ClientOperation::Cancel, Ok(id)) => cancel(cluster, id),
            _ => Answer::immediate(ClientOutcome::NoSuchJob),
        }
    }
}

/// Accepts a job unless it is invalid or too many jobs or tasks are open. A job that is already known is accepted again
/// without effect, so clients may retry.
fn submit(cluster: &mut Cluster, id: JobId, route: &Route, spec: JobSpec) -> Answer {
    if let Some(existing_job) = cluster.jobs().get(&id) {
        return Answer {
            after_write: existing_job.last_write(),
            outcome: ClientOutcome::Accepted,
        };
    }
    if let Err(error) = check_job(&spec) {
        return Answer::immediate(ClientOutcome::Invalid {
            reason: error.to_string(),
        });
    }
    if cluster.jobs().is_full() {
        return Answer::immediate(ClientOutcome::TooMany {
            retry_after_ms: retry_after_ms(backlog_ms(cluster, &route.backend)),
        });
    }
    let job = new_job(cluster, route, spec);
    Answer {
        after_write: cluster.accept_job(id, job),
        outcome: ClientOutcome::Accepted,
    }
}

/// Creates a job with the expected run times that were learned for its route.
fn new_job(cluster: &mut Cluster, route: &Route, spec: JobSpec) -> Job {
    let definition = Definition {
        spec,
        route: route.name.clone(),
        service: route.backend.clone(),
        terms: terms(route),
        accepted_wall_ms: cluster.clock().wall_ms(),
    };
    let mut job = Job::new(definition);
    let kinds = cluster.services_mut().entry(&route.backend).kinds();
    job.update_expected_run_times(|step, description| {
        if description.long_running {
            return 0;
        }
        let class = Class {
            route: route.name.clone(),
            step,
        };
        kinds.expected_at_mean_speed_ms(&class, description.estimate_ms) as u64
    });
    job
}

/// Time that the service's workers will need for all waiting tasks in its queue, in milliseconds. The estimate is cached
/// for a short time.
fn backlog_ms(cluster: &mut Cluster, service: &str) -> u64 {
    let now_ms = cluster.clock().now_ms();
    let Some(state) = cluster.services().get(service) else {
        return 0;
    };
    if let Some(backlog_ms) = state.backlog().get(now_ms) {
        return backlog_ms;
    }
    let backlog_ms = cluster.view().backlog_ms(state);
    let state = cluster.services_mut().entry(service);
    state.set_backlog(backlog_ms, now_ms);
    backlog_ms
}

/// The state of a job, which the client is told once the job's newest write is committed: a later head never goes back from
/// `running` to `queued`.
fn state_of(cluster: &mut Cluster, id: JobId) -> Answer {
    cluster.write_begin(id);
    let Some(job) = cluster.jobs().get(&id) else {
        return Answer::immediate(ClientOutcome::NoSuchJob);
    };
    let open_state = if job.has_begun() {
        JobState::Running
    } else {
        JobState::Queued
    };
    let state = job.end().map_or(open_state, |end| end.state);
    Answer {
        after_write: job.last_write(),
        outcome: ClientOutcome::State(state),
    }
}

/// Cancels a job. A job that has already ended keeps its state, and the call succeeds.
fn cancel(cluster: &mut Cluster, id: JobId) -> Answer {
    let Some(job) = cluster.jobs().get(&id) else {
        return Answer::immediate(ClientOutcome::NoSuchJob);
    };
    if !job.has_ended() {
        cluster.cancel_job(id);
    }
    let job = cluster.jobs().get(&id);
    Answer {
        after_write: job.map_or(Outbox::NO_WRITE, Job::last_write),
        outcome: ClientOutcome::Cancelled,
    }
}

/// Whether a route has the same service and terms as in the former configuration.
fn has_same_target(former_route: &Route, route: &Route) -> bool {
    former_route.name == route.name
        && former_route.backend == route.backend
        && terms(former_route) == terms(route)
}

/// The scheduling terms of a route.
fn terms(route: &Route) -> Terms {
    Terms {
        priority: route.priority,
        max_retries: route.max_retries,
        stretch: route.stretch,
        target_latency_ms: route.target_latency_ms,
    }
}
