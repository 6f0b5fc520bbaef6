//! Preemption: runs of a lower priority are stopped for a step that would otherwise miss its latency target. The
//! victims are the runs whose stop loses the least work, and at most [`LOSS_MAX_CORE_S`] is lost for one step at a
//! time.

use crate::cluster::Cluster;
use crate::cluster_view::ClusterView;
use crate::demand::StepDemand;
use crate::outlook::LongRunningEnd;
use crate::queue::{Prospect, QueueKey};
use crate::services::ServiceState;
use crate::value::cores;
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::{RunId, TaskName};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Period of the checks for steps that need preemption, in milliseconds.
pub(crate) const PREEMPT_MS: u64 = 200;
/// Number of steps at the head of each queue that may preempt.
const STEPS_CONSIDERED: usize = 12;
/// A step preempts if its capacity is expected to become free less than this time before its latest start.
const SLACK_MS: i64 = 300;
/// Maximum work that may be lost for one step in one check, in core-seconds (a GPU counts as several cores).
const LOSS_MAX_CORE_S: f64 = 20.0;

/// Work that counts as lost when a long-running task is stopped, in seconds: the cost of its restart.
const RESTART_S: f64 = 1.0;

/// A run that may be stopped.
#[derive(Clone, Copy, Debug)]
struct Victim {
    run: RunId,
    resources: Resources,
    /// Work lost by its stop, in core-seconds; for a gang's member that of all members, as they stop together.
    loss: f64,
}

/// Capacity for one more task on a worker, and what it costs.
#[derive(Debug, Default)]
struct Offer {
    /// Work lost, in core-seconds.
    loss: f64,
    /// Runs to stop; empty if the capacity is free or is already being freed.
    victims: Vec<Victim>,
}

/// Offers of one worker. Each is for one task more than those before it, so they can be taken only in this order.
#[derive(Debug)]
struct WorkerOffers {
    worker: WorkerId,
    offers: VecDeque<Offer>,
}

impl WorkerOffers {
    /// Work lost by the next offer, in core-seconds; infinite if there is none.
    fn next_loss(&self) -> f64 {
        self.offers
            .front()
            .map_or(f64::INFINITY, |offer| offer.loss)
    }
}

/// Numbers of a step's tasks that need capacity.
#[derive(Clone, Copy, Debug)]
struct WantedTasks {
    /// Tasks that have to start together: all of a gang, else 1. Less capacity is of no use.
    simultaneous_tasks: u32,
    /// Tasks that wait for placement.
    waiting_tasks: u32,
}

/// Capacity per worker that is intended for steps further ahead in the queue.
type ClaimedCapacity = FxHashMap<WorkerId, Resources>;

/// Stops runs for steps that would miss their latency targets for lack of capacity. Capacity that is free or being
/// freed is claimed by the steps in queue order and is not available to the steps behind, so that several steps do not
/// count on the same capacity.
pub(crate) fn preempt(cluster: &mut Cluster) {
    let has_queue = |service: &ServiceState| !service.queue().is_empty();
    for name in cluster.services().names_where(has_queue) {
        let Some(service) = cluster.services().get(&name) else {
            continue;
        };
        let first_keys = service.queue().iter().take(STEPS_CONSIDERED);
        let keys: Vec<QueueKey> = first_keys
            .filter(|key| key.prospect != Prospect::Hopeless)
            .copied()
            .collect();
        let mut claimed = ClaimedCapacity::default();
        for key in keys {
            let victims = cluster.view().victims_for(&name, key, &mut claimed);
            for victim in victims {
                cluster.stop_run(victim.run);
            }
        }
    }
}

impl ClusterView<'_> {
    /// Runs to stop for a step that would otherwise miss its latency target; empty if it is expected to start in time,
    /// or if no worker of the service can ever have capacity for it.
    fn victims_for(
        &self,
        service: &str,
        key: QueueKey,
        claimed: &mut ClaimedCapacity,
    ) -> Vec<Victim> {
        let service_and_job = self
            .services
            .get(service)
            .zip(self.jobs.get(&key.step_ref.job));
        let Some((service, job)) = service_and_job else {
            return Vec::new();
        };
        let (Some(step), Some(state)) = (job.step(key.step_ref.step), job.step_state(key.step_ref))
        else {
            return Vec::new();
        };
        let Some(demand) = StepDemand::for_step(job, key.step_ref, self.now_ms) else {
            return Vec::new();
        };
        let waiting_tasks = state.waiting().len() as u32;
        let simultaneous_tasks = if step.gang { waiting_tasks } else { 1 };
        let in_time = |free_at_ms: u64| free_at_ms as i64 + SLACK_MS <= key.latest_start_ms;
        if self
            .outlook(
                service,
                &demand,
                simultaneous_tasks,
                LongRunningEnd::Estimated,
            )
            .is_none_or(|outlook| in_time(outlook.free_at_ms))
        {
            return Vec::new();
        }
        let wanted = WantedTasks {
            simultaneous_tasks,
            waiting_tasks,
        };
        self.victims(service, key, &demand, wanted, claimed)
    }

    /// The runs to stop so that as many waiting tasks as possible get capacity within the limit on lost work, cheapest
    /// first. Empty if the tasks that have to start together do not get capacity within the limit, or if enough is
    /// being freed already. Adds the capacity used to `claimed`.
    fn victims(
        &self,
        service: &ServiceState,
        key: QueueKey,
        demand: &StepDemand,
        wanted: WantedTasks,
        claimed: &mut ClaimedCapacity,
    ) -> Vec<Victim> {
        let waiting_tasks = wanted.waiting_tasks;
        let workers = service.kinds().workers();
        let mut offers: Vec<WorkerOffers> = workers
            .map(|worker| {
                let claimed_resources = claimed.get(&worker).copied().unwrap_or_default();
                let offers = self
                    .offers(worker, key, demand, waiting_tasks, &claimed_resources)
                    .into();
                WorkerOffers { worker, offers }
            })
            .collect();
        let (mut loss, mut victims, mut used_workers) = (0.0, Vec::new(), Vec::new());
        while used_workers.len() < waiting_tasks as usize {
            let cheapest = offers
                .iter_mut()
                .min_by(|a, b| a.next_loss().total_cmp(&b.next_loss()));
            let Some(cheapest) = cheapest else {
                break;
            };
            let (id, Some(offer)) = (cheapest.worker, cheapest.offers.pop_front()) else {
                break;
            };
            loss += offer.loss;
            if loss > LOSS_MAX_CORE_S {
                break;
            }
            used_workers.push(id);
            victims.extend(offer.victims);
        }
        if used_workers.len() < wanted.simultaneous_tasks as usize {
            return Vec::new();
        }
        for id in used_workers {
            let claimed_resources = claimed.entry(id).or_default();
            *claimed_resources = claimed_resources.plus(&demand.resources);
        }
        victims
    }

    /// Offers of a worker for up to `count` tasks: the nth offer is for the nth task there. `claimed` is capacity of
    /// the worker that goes to other steps.
    fn offers(
        &self,
        id: WorkerId,
        key: QueueKey,
        demand: &StepDemand,
        count: u32,
        claimed: &Resources,
    ) -> Vec<Offer> {
        let Some(worker) = self
            .workers
            .get(id)
            .filter(|w| w.is_responsive(self.now_ms))
        else {
            return Vec::new();
        };
        if !demand.is_label_met(worker) || !worker.capacity().can_fit(&demand.resources) {
            return Vec::new();
        }
        let mut used = worker
            .used()
            .minus(&self.stopping_resources(id))
            .plus(claimed);
        let mut candidates = self.candidates(id, worker, key, demand).into_iter();
        let mut offers = Vec::new();
        let max_tasks = if demand.anti_affinity > 0 {
            count.min(demand.anti_affinity)
        } else {
            count
        };
        'tasks: for _ in 0..max_tasks {
            let mut offer = Offer::default();
            while !worker.capacity().can_fit(&used.plus(&demand.resources)) {
                let Some(victim) = candidates.next() else {
                    break 'tasks;
                };
                used = used.minus(&victim.resources);
                offer.loss += victim.loss;
                offer.victims.push(victim);
            }
            used = used.plus(&demand.resources);
            offers.push(offer);
        }
        offers
    }

    /// Runs on the worker that may be stopped, in ascending order of work lost per capacity freed.
    fn candidates(
        &self,
        id: WorkerId,
        worker: &Worker,
        key: QueueKey,
        demand: &StepDemand,
    ) -> Vec<Victim> {
        let victims = worker.runs().iter();
        let mut candidates: Vec<Victim> = victims
            .filter_map(|task| self.victim(id, *task, key))
            .collect();
        candidates
            .sort_by(|a, b| loss_per_capacity(a, demand).total_cmp(&loss_per_capacity(b, demand)));
        candidates
    }

    /// Resources of the worker's runs that are already being stopped.
    fn stopping_resources(&self, id: WorkerId) -> Resources {
        let Some(worker) = self.workers.get(id) else {
            return Resources::default();
        };
        let stopping_tasks = worker.runs().iter().filter(|task| {
            let run = self
                .jobs
                .get(&task.job)
                .and_then(|job| job.task(task)?.run_at(id));
            run.is_some_and(|run| run.stop().is_some())
        });
        stopping_tasks.fold(Resources::default(), |sum, task| {
            sum.plus(&self.resources(*task))
        })
    }

    /// The task's run as a victim for a step with this key; `None` unless its priority is lower and it is not being
    /// stopped yet.
    fn victim(&self, id: WorkerId, task: TaskName, key: QueueKey) -> Option<Victim> {
        let job = self.jobs.get(&task.job).filter(|job| !job.has_ended())?;
        let (step, entry) = (job.step(task.step)?, job.task(&task)?);
        let run = entry.run_at(id).filter(|run| run.stop().is_none())?;
        if job.terms().priority <= key.priority || entry.is_done() {
            return None;
        }
        let members = if step.gang { step.count } else { 1 };
        let ran_s = self.now_ms.saturating_sub(run.placed_ms()) as f64 / 1_000.0;
        let lost_s = match (step.long_running, step.checkpoints) {
            (true, _) => RESTART_S,
            (false, true) => ran_s.min(self.bounds.resume_cost_ms as f64 / 1_000.0),
            (false, false) => ran_s,
        };
        let resources = step.resources();
        let run = RunId {
            task,
            attempt: run.attempt(),
        };
        Some(Victim {
            run,
            resources,
            loss: cores(&resources) * lost_s * f64::from(members),
        })
    }
}

/// Work lost by stopping the victim, divided by the share of the demanded CPU and GPU capacity that this frees.
fn loss_per_capacity(victim: &Victim, demand: &StepDemand) -> f64 {
    let fraction = |freed_share: u64, wanted: u64| {
        if wanted > 0 {
            freed_share.min(wanted) as f64 / wanted as f64
        } else {
            0.0
        }
    };
    let freed_share = fraction(victim.resources.cpu, demand.resources.cpu)
        + fraction(victim.resources.gpu, demand.resources.gpu);
    victim.loss / freed_share.max(0.001)
}
