//! Preemption: runs of a lower priority give way to a step that would otherwise miss its objective. Victims are those
//! whose stop loses least; what would lose more than the step is worth is left alone.

use crate::demand::StepDemand;
use crate::queue::{Prospect, QueueKey};
use crate::scheduler::Scheduler;
use crate::value::cores;
use crate::workers::WorkerId;
use indigofold_protocol::job::Resources;
use indigofold_protocol::task::{RunId, TaskName};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Time between two looks at one service.
const PREEMPT_MS: u64 = 200;
/// Steps at the head of a queue that may preempt.
const STEPS_LOOKED_AT: usize = 12;
/// A step preempts once it would miss its objective if it waited so much longer than it has to.
const SLACK_MS: i64 = 300;
/// Most core-seconds that may be lost for one step at a time.
const LOSS_MAX_CORE_S: f64 = 20.0;

/// A run that may give way.
#[derive(Clone, Copy, Debug)]
struct Victim {
    run: RunId,
    resources: Resources,
    /// Core-seconds that its stop loses.
    loss: f64,
}

/// Room for one task more on a worker.
#[derive(Debug, Default)]
struct Offer {
    /// Core-seconds lost.
    loss: f64,
    /// Runs to stop; none if room is free or on its way.
    victims: Vec<Victim>,
}

/// Room on workers that goes to steps further ahead.
type Claimed = FxHashMap<WorkerId, Resources>;

impl Scheduler {
    /// Looks for steps that are late for want of room, and stops runs for them.
    pub(crate) fn preempt(&mut self) {
        let now_ms = self.now_ms;
        if now_ms < self.next_preempt_ms {
            return;
        }
        self.next_preempt_ms = now_ms + PREEMPT_MS;
        let names: Vec<String> = self
            .services
            .iter()
            .filter(|(_, s)| !s.queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let keys: Vec<QueueKey> = self.services[&name]
                .queue
                .iter()
                .take(STEPS_LOOKED_AT)
                .copied()
                .collect();
            let mut claimed = Claimed::default();
            for key in keys
                .into_iter()
                .filter(|key| key.prospect != Prospect::Hopeless)
            {
                self.preempt_for(&name, key, &mut claimed);
            }
        }
    }

    /// Stops runs for a step if it would otherwise be late. Room that is free or on its way goes to the steps in their
    /// order: what those before have `claimed` is not there for this one.
    fn preempt_for(&mut self, service: &str, key: QueueKey, claimed: &mut Claimed) {
        let Some(job) = self.jobs.get(&key.at.job) else {
            return;
        };
        let (Some(step), Some(state)) = (job.step(key.at.step), job.step_state(key.at)) else {
            return;
        };
        let waiting = state.waiting.len() as u32;
        let together = if step.gang { waiting } else { 1 };
        let Some(demand) = StepDemand::of(job, key.at, self.now_ms) else {
            return;
        };
        let in_time = |free_ms: u64| free_ms as i64 + SLACK_MS <= key.latest_start_ms;
        if self
            .outlook(service, &demand, together)
            .is_none_or(|outlook| in_time(outlook.free_ms))
        {
            return;
        }
        let victims = self.victims(service, key, &demand, (together, waiting), claimed);
        victims
            .into_iter()
            .for_each(|victim| self.stop_run(victim.run));
    }

    /// The cheapest runs that make room for the waiting tasks, at least for as many as `together`; none if that loses
    /// too much, or if room is on its way already.
    fn victims(
        &self,
        service: &str,
        key: QueueKey,
        demand: &StepDemand,
        (together, waiting): (u32, u32),
        claimed: &mut Claimed,
    ) -> Vec<Victim> {
        let Some(state) = self.services.get(service) else {
            return Vec::new();
        };
        let workers = state.kinds.workers();
        let mut offers: Vec<(WorkerId, VecDeque<Offer>)> = workers
            .map(|id| {
                let taken = claimed.get(&id).copied().unwrap_or_default();
                (id, self.offers(id, key, demand, waiting, &taken).into())
            })
            .collect();
        let (mut loss, mut victims, mut used) = (0.0, Vec::new(), Vec::new());
        while used.len() < waiting as usize {
            let next = |offers: &(WorkerId, VecDeque<Offer>)| {
                offers.1.front().map_or(f64::INFINITY, |offer| offer.loss)
            };
            let cheapest = offers.iter_mut().min_by(|a, b| next(a).total_cmp(&next(b)));
            let Some((id, Some(offer))) = cheapest.map(|(id, offers)| (*id, offers.pop_front()))
            else {
                break;
            };
            loss += offer.loss;
            if loss > LOSS_MAX_CORE_S {
                break;
            }
            used.push(id);
            victims.extend(offer.victims);
        }
        if used.len() < together as usize {
            return Vec::new();
        }
        for id in used {
            let taken = claimed.entry(id).or_default();
            *taken = taken.plus(&demand.resources);
        }
        victims
    }

    /// What a worker asks for making room for one, two, ... tasks: the loss of each further one, and whom it takes.
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
        let labelled = demand.label.is_empty() || worker.labels.contains(&demand.label);
        if !labelled || !worker.capacity.holds(&demand.resources) {
            return Vec::new();
        }
        let mut candidates: Vec<Victim> = worker
            .runs
            .iter()
            .filter_map(|task| self.victim(id, *task, key))
            .collect();
        candidates
            .sort_by(|a, b| loss_per_capacity(a, demand).total_cmp(&loss_per_capacity(b, demand)));
        let mut used = worker
            .used
            .minus(&self.stopping_resources(id))
            .plus(claimed);
        let mut candidates = candidates.into_iter();
        let mut offers = Vec::new();
        let most = if demand.anti_affinity > 0 {
            count.min(demand.anti_affinity)
        } else {
            count
        };
        'tasks: for _ in 0..most {
            let mut offer = Offer::default();
            while !worker.capacity.holds(&used.plus(&demand.resources)) {
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

    /// Room of runs there that are being stopped already.
    fn stopping_resources(&self, id: WorkerId) -> Resources {
        let Some(worker) = self.workers.get(id) else {
            return Resources::default();
        };
        let stopping = worker.runs.iter().filter(|task| {
            let run = self
                .jobs
                .get(&task.job)
                .and_then(|job| job.task(task)?.run_at(id));
            run.is_some_and(|run| run.stop.is_some())
        });
        stopping.fold(Resources::default(), |sum, task| {
            sum.plus(&self.resources(*task))
        })
    }

    /// The task's run as a victim for a step with this key: of a lower priority, and not being stopped.
    fn victim(&self, id: WorkerId, task: TaskName, key: QueueKey) -> Option<Victim> {
        let job = self.jobs.get(&task.job).filter(|job| job.end.is_none())?;
        let (step, entry) = (job.step(task.step)?, job.task(&task)?);
        let run = entry.run_at(id).filter(|run| run.stop.is_none())?;
        if job.terms.priority <= key.priority || entry.done {
            return None;
        }
        let members = if step.gang { step.count } else { 1 };
        let ran_s = self.now_ms.saturating_sub(run.placed_ms) as f64 / 1_000.0;
        let lost_s = match (step.long_running, step.checkpoints) {
            (true, _) => RESTART_S,
            (false, true) => ran_s.min(self.bounds.resume_cost_ms as f64 / 1_000.0),
            (false, false) => ran_s,
        };
        let resources = step.resources();
        let run = RunId {
            task,
            attempt: run.attempt,
        };
        Some(Victim {
            run,
            resources,
            loss: cores(&resources) * lost_s * f64::from(members),
        })
    }
}

/// What the restart of a task that lasts costs, in seconds.
const RESTART_S: f64 = 1.0;

/// Loss for each part of the room wanted that a victim frees.
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
