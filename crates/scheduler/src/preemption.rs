//! Preemption: runs of a lower priority are stopped for a step that would otherwise miss its latency target. Victims are
//! those whose stop loses least work; nothing is stopped if more than a limit would be lost.

use crate::cluster::Cluster;
use crate::cluster_view::ClusterView;
use crate::demand::StepDemand;
use crate::queue::{Prospect, QueueKey};
use crate::services::ServiceState;
use crate::value::cores;
use crate::worker::{Worker, WorkerId};
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::{RunId, TaskName};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Time between two looks for steps that are late.
pub(crate) const PREEMPT_MS: u64 = 200;
/// Steps at the head of a queue that may preempt.
const STEPS_CONSIDERED: usize = 12;
/// A step preempts once it would miss its latency target if it waited so much longer than it has to.
const SLACK_MS: i64 = 300;
/// Most core-seconds that may be lost for one step at a time.
const LOSS_MAX_CORE_S: f64 = 20.0;

/// What the restart of a long-running task costs, in seconds.
const RESTART_S: f64 = 1.0;

/// A run that may be stopped.
#[derive(Clone, Copy, Debug)]
struct Victim {
    run: RunId,
    resources: Resources,
    /// Core-seconds that its stop loses.
    loss: f64,
}

/// Capacity for one task more on a worker.
#[derive(Debug, Default)]
struct Offer {
    /// Core-seconds lost.
    loss: f64,
    /// Runs to stop; none if capacity is free or being freed.
    victims: Vec<Victim>,
}

/// The offers of one worker, the cheapest first.
#[derive(Debug)]
struct WorkerOffers {
    worker: WorkerId,
    offers: VecDeque<Offer>,
}

impl WorkerOffers {
    /// Core-seconds that the next offer loses; infinite if there is none.
    fn next_loss(&self) -> f64 {
        self.offers
            .front()
            .map_or(f64::INFINITY, |offer| offer.loss)
    }
}

/// Tasks of a step that need capacity.
#[derive(Clone, Copy, Debug)]
struct WantedTasks {
    /// How many have to start together.
    together: u32,
    /// How many wait.
    waiting: u32,
}

/// Capacity on workers that goes to steps further ahead.
type Claimed = FxHashMap<WorkerId, Resources>;

/// Looks for steps that are late for want of capacity, and stops runs for them. Capacity that is free or being freed
/// goes to the steps in their order: what those before have claimed is not there for the next.
pub(crate) fn preempt(cluster: &mut Cluster) {
    let has_queue = |service: &ServiceState| !service.queue().is_empty();
    for name in cluster.services().names_where(has_queue) {
        let Some(service) = cluster.services().get(&name) else {
            continue;
        };
        let first = service.queue().iter().take(STEPS_CONSIDERED);
        let keys: Vec<QueueKey> = first
            .filter(|key| key.prospect != Prospect::Hopeless)
            .copied()
            .collect();
        let mut claimed = Claimed::default();
        for key in keys {
            let victims = cluster.view().victims_for(&name, key, &mut claimed);
            for victim in victims {
                cluster.stop_run(victim.run);
            }
        }
    }
}

impl ClusterView<'_> {
    /// Runs to stop for a step that would otherwise be late.
    fn victims_for(&self, service: &str, key: QueueKey, claimed: &mut Claimed) -> Vec<Victim> {
        let found = self.services.get(service).zip(self.jobs.get(&key.at.job));
        let Some((service, job)) = found else {
            return Vec::new();
        };
        let (Some(step), Some(state)) = (job.step(key.at.step), job.step_state(key.at)) else {
            return Vec::new();
        };
        let Some(demand) = StepDemand::of(job, key.at, self.now_ms) else {
            return Vec::new();
        };
        let waiting = state.waiting().len() as u32;
        let together = if step.gang { waiting } else { 1 };
        let in_time = |free_ms: u64| free_ms as i64 + SLACK_MS <= key.latest_start_ms;
        if self
            .outlook(service, &demand, together)
            .is_none_or(|outlook| in_time(outlook.free_ms))
        {
            return Vec::new();
        }
        let wanted = WantedTasks { together, waiting };
        self.victims(service, key, &demand, wanted, claimed)
    }

    /// The cheapest runs whose stops free capacity for the waiting tasks, at least for as many as start together; none
    /// if that loses too much, or if capacity is being freed already.
    fn victims(
        &self,
        service: &ServiceState,
        key: QueueKey,
        demand: &StepDemand,
        wanted: WantedTasks,
        claimed: &mut Claimed,
    ) -> Vec<Victim> {
        let waiting = wanted.waiting;
        let workers = service.kinds().workers();
        let mut offers: Vec<WorkerOffers> = workers
            .map(|worker| {
                let taken = claimed.get(&worker).copied().unwrap_or_default();
                let offers = self.offers(worker, key, demand, waiting, &taken).into();
                WorkerOffers { worker, offers }
            })
            .collect();
        let (mut loss, mut victims, mut used) = (0.0, Vec::new(), Vec::new());
        while used.len() < waiting as usize {
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
            used.push(id);
            victims.extend(offer.victims);
        }
        if used.len() < wanted.together as usize {
            return Vec::new();
        }
        for id in used {
            let taken = claimed.entry(id).or_default();
            *taken = taken.plus(&demand.resources);
        }
        victims
    }

    /// What freeing capacity for one, two, ... tasks on a worker costs: the loss of each further one, and its victims.
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
        let most = if demand.anti_affinity > 0 {
            count.min(demand.anti_affinity)
        } else {
            count
        };
        'tasks: for _ in 0..most {
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

    /// Runs on the worker that may be stopped, those first whose stop loses least.
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

    /// Resources of runs there that are being stopped already.
    fn stopping_resources(&self, id: WorkerId) -> Resources {
        let Some(worker) = self.workers.get(id) else {
            return Resources::default();
        };
        let stopping = worker.runs().iter().filter(|task| {
            let run = self
                .jobs
                .get(&task.job)
                .and_then(|job| job.task(task)?.run_at(id));
            run.is_some_and(|run| run.stop().is_some())
        });
        stopping.fold(Resources::default(), |sum, task| {
            sum.plus(&self.resources(*task))
        })
    }

    /// The task's run as a victim for a step with this key: of a lower priority, and not being stopped.
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

/// Loss in relation to the wanted capacity that a victim frees.
fn loss_per_capacity(victim: &Victim, demand: &StepDemand) -> f64 {
    let fraction = |freed: u64, wanted: u64| {
        if wanted > 0 {
            freed.min(wanted) as f64 / wanted as f64
        } else {
            0.0
        }
    };
    let freed = fraction(victim.resources.cpu, demand.resources.cpu)
        + fraction(victim.resources.gpu, demand.resources.gpu);
    victim.loss / freed.max(0.001)
}
