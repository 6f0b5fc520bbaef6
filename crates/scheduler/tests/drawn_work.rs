//! Drawn work under drawn faults: rare labels, gangs wider than what is idle, tasks that last and fill much of the service,
//! while workers are lost for good and heads change. No job and no long-running task may stand still beside idle workers,
//! and in the end all that workers can run has run.

mod cluster;

use cluster::node::Node;
use cluster::{Cluster, drawn_seeds, resources, spec, step};
use indigofold_protocol::job::{JobSpec, Resources, Step};
use indigofold_protocol::task::JobId;
use rstest::rstest;

/// Label of one worker only, which may be lost for good.
const RARE: &str = "c";
/// Number of workers of the service `s`; each has [`WORKER_CPU`].
const WORKERS: usize = 7;
/// Capacity of each worker of the service `s`, in thousandths of a core.
const WORKER_CPU: u64 = 16_000;
/// Number of rounds, each of faults and a calm time after them.
const ROUNDS: usize = 3;
/// Number of jobs of one need that are submitted at once in some plays; more than a pass over the queue looks at.
const FLOOD_JOBS: u64 = 450;
/// Time in which all that waits is to end once no work comes any more.
const FINISH_MS: u64 = 60_000;
/// Interval at which the states of jobs are asked for meanwhile.
const POLL_INTERVAL_MS: u64 = 2_000;
/// Downtime of a worker that is lost for good.
const FOREVER_MS: u64 = 1_000_000_000;

/// Workers of the service `s`, the last one with the label [`RARE`], and three with GPUs of the service `v`.
fn nodes() -> Vec<Node> {
    let plain = |number: usize| {
        let (kind, rack) = match number {
            0..4 => ("a", "r1-1"),
            4..6 => ("b", "r1-2"),
            _ => (RARE, "r1-3"),
        };
        let capacity = resources(WORKER_CPU, 0);
        Node::new(&format!("n{number}"), "s", &[kind, rack], capacity)
    };
    let vision = |number: usize| {
        let capacity = resources(32_000, 8);
        Node::new(&format!("v{number}"), "v", &["a", "r1-1"], capacity)
    };
    let plain_nodes = (0..WORKERS).map(plain);
    plain_nodes.chain((0..3).map(vision)).collect()
}

fn gpu_gang(run_ms: u64) -> Step {
    Step {
        gang: true,
        gpu: 8,
        ..step(2, 10_000, run_ms)
    }
}

/// A job of two repetitions.
fn repeated(start_at_ms: u64, run_ms: u64) -> JobSpec {
    JobSpec {
        repeat_count: 2,
        start_at_ms,
        interval_ms: 2_500,
        ..spec(vec![step(2, 300, run_ms)])
    }
}

fn two_steps(run_ms: u64) -> JobSpec {
    let second = Step {
        depends_on: vec![0],
        ..step(2, 400, 900)
    };
    spec(vec![step(6, 240, run_ms), second])
}

/// A play in progress.
struct Play {
    cluster: Cluster,
    jobs: Vec<JobId>,
    long_running_jobs: Vec<JobId>,
    /// CPU of the long-running tasks submitted so far, in thousandths of a core.
    long_running_cpu: u64,
    /// Maximum of `long_running_cpu`.
    long_running_cpu_max: u64,
    /// Whether a worker has been lost for good.
    worker_lost: bool,
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut cluster = Cluster::with_nodes(seed, nodes());
        (cluster.fault_free, cluster.checks_idle) = (false, true);
        cluster.run_for(200);
        let percent = 20 + cluster.rng.below(50);
        Play {
            cluster,
            jobs: Vec::new(),
            long_running_jobs: Vec::new(),
            long_running_cpu: 0,
            long_running_cpu_max: WORKERS as u64 * WORKER_CPU * percent / 100,
            worker_lost: false,
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.cluster.rng.below(bound)
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.cluster.rng.chance(percent)
    }

    fn choose<T: Copy, const N: usize>(&mut self, values: [T; N]) -> T {
        values[self.below(N as u64) as usize]
    }

    fn submit(&mut self, route: &str, spec: JobSpec) {
        let number = self.jobs.len() as u64 + 1;
        let id = self.cluster.submit(route, number, spec);
        self.jobs.push(id);
    }

    /// Submits a job of a random kind.
    fn submit_random(&mut self) {
        let route = self.choose(["quick", "bulk", "bulk"]);
        let run_ms = self.choose([200, 900, 3_000, 8_000]);
        match self.below(12) {
            0 | 1 => self.submit_long_running(),
            2..7 => {
                let constrained = self.constrained_step(run_ms);
                self.submit(route, spec(vec![constrained]));
            }
            7 => self.submit("vision", spec(vec![gpu_gang(run_ms)])),
            8 => {
                let start_at_ms = self.cluster.wall_ms() + self.below(3_000);
                self.submit(route, repeated(start_at_ms, run_ms));
            }
            _ => self.submit(route, two_steps(run_ms)),
        }
    }

    /// A step whose tasks are large, start together, need a label or may not be on one worker.
    fn constrained_step(&mut self, run_ms: u64) -> Step {
        match self.below(5) {
            0 | 1 => {
                let members = 2 + self.below(3) as u32;
                Step {
                    gang: true,
                    ..step(members, self.choose([6_000, 15_000]), run_ms)
                }
            }
            2 => Step {
                requirements: self.choose(["b", RARE]).to_owned(),
                ..step(2, self.choose([500, 4_000, 12_000]), run_ms)
            },
            3 => step(2, self.choose([5_000, 9_000, 15_500]), run_ms),
            _ => Step {
                anti_affinity: 1,
                ..step(5, 2_000, run_ms)
            },
        }
    }

    /// Submits a job of long-running tasks, unless they would take too much of the service.
    fn submit_long_running(&mut self) {
        let (count, cpu) =
            self.choose([(1, 2_000), (2, 5_000), (4, 14_000), (1, 14_000), (9, 500)]);
        let total_cpu = u64::from(count) * cpu;
        if self.long_running_cpu + total_cpu > self.long_running_cpu_max {
            return;
        }
        self.long_running_cpu += total_cpu;
        let anti_affinity = self.choose([0, 1, 2]);
        let long_running = Step {
            long_running: true,
            anti_affinity,
            ..step(count, cpu, 1_000)
        };
        let route = self.choose(["quick", "bulk"]);
        self.submit(route, spec(vec![long_running]));
        self.long_running_jobs.extend(self.jobs.last());
    }

    /// Injects a random fault, and records how long it lasts.
    fn disturb(&mut self) {
        let now_ms = self.cluster.now_ms;
        let node = self.below(self.cluster.nodes.len() as u64) as usize;
        let duration_ms = 200 + self.below(4_000);
        let until_ms = match self.below(8) {
            0 | 1 if !self.worker_lost => {
                // At most a share of 0.15 of a service's workers is lost.
                let node = self.below(WORKERS as u64) as usize;
                self.worker_lost = true;
                self.cluster.nodes[node].crash(now_ms, FOREVER_MS);
                now_ms
            }
            2 if self.cluster.nodes[node].up => {
                self.cluster.nodes[node].crash(now_ms, duration_ms);
                now_ms + duration_ms
            }
            3 if self.cluster.nodes[node].up => {
                let drain_end_ms = now_ms + 1_500 + duration_ms;
                self.cluster.nodes[node]
                    .drain_end_ms
                    .get_or_insert(drain_end_ms);
                self.cluster.nodes[node].report_now = true;
                drain_end_ms + 3_000
            }
            4 => {
                self.cluster.nodes[node].frozen_until_ms = now_ms + duration_ms;
                now_ms + duration_ms
            }
            5 => {
                self.cluster.fail_over();
                now_ms
            }
            6 => {
                self.cluster.suspend_head();
                now_ms
            }
            _ => now_ms,
        };
        self.cluster.record_fault(until_ms);
    }

    /// Submits many jobs of one need, which may be one that no worker can meet.
    fn flood(&mut self) {
        let requirements = self.choose([RARE, "gone"]).to_owned();
        let flood_step = Step {
            requirements,
            ..step(1, 500, 500)
        };
        for _ in 0..FLOOD_JOBS {
            self.submit("quick", spec(vec![flood_step.clone()]));
        }
    }

    /// Lets time pass, and asks for the states of all jobs that are not known to have ended.
    fn run_for(&mut self, ms: u64) {
        self.cluster.run_for(ms);
        for id in self.jobs.clone() {
            if self.cluster.jobs[&id].ended_ms.is_none() {
                self.cluster.get(id);
            }
        }
    }

    /// Faults at random times among submissions, then a calm time with fewer submissions.
    fn play_round(&mut self) {
        for _ in 0..6 {
            self.submit_random();
            if self.chance(40) {
                self.disturb();
            }
            let interval_ms = 50 + self.below(400);
            self.run_for(interval_ms);
        }
        for _ in 0..12 {
            if self.chance(60) {
                self.submit_random();
            }
            if self.chance(10) {
                let job = self.below(self.jobs.len() as u64) as usize;
                self.cluster.cancel(self.jobs[job]);
            }
            let interval_ms = 400 + self.below(1_600);
            self.run_for(interval_ms);
        }
    }

    /// Cancels the long-running jobs, and waits until all that workers can run has ended.
    fn finish(&mut self) {
        for id in self.long_running_jobs.clone() {
            self.cluster.cancel(id);
        }
        let deadline_ms = self.cluster.now_ms + FINISH_MS;
        while let Some(id) = self.runnable_job() {
            let spec = &self.cluster.jobs[&id].spec;
            assert!(
                self.cluster.now_ms < deadline_ms,
                "job {id} has not ended though workers could run it: {spec:?}"
            );
            self.run_for(POLL_INTERVAL_MS);
        }
    }

    /// An open job that the workers which are up could run.
    fn runnable_job(&self) -> Option<JobId> {
        let mut jobs = self.jobs.iter().copied();
        jobs.find(|id| {
            let job = &self.cluster.jobs[id];
            let is_open = job.accepted_ms.is_some() && job.ended_ms.is_none() && !job.cancel_sent;
            is_open && self.can_run(&job.spec, &job.route)
        })
    }

    /// Whether the workers that are up could run each step of the job if they were idle.
    fn can_run(&self, spec: &JobSpec, route: &str) -> bool {
        let backend = if route == "vision" { "v" } else { "s" };
        spec.stages.iter().all(|step| {
            let nodes = self.cluster.nodes.iter();
            let usable_nodes = nodes.filter(|node| {
                let has_label =
                    step.requirements.is_empty() || node.labels.contains(&step.requirements);
                node.backend == backend && node.up && has_label
            });
            let places: u64 = usable_nodes
                .map(|node| places(node.capacity, step.resources()))
                .sum();
            let tasks_at_once = if step.gang { u64::from(step.count) } else { 1 };
            places >= tasks_at_once
        })
    }
}

/// Number of tasks that an idle worker can run at a time.
fn places(capacity: Resources, task: Resources) -> u64 {
    let cpu_places = capacity.cpu / task.cpu.max(1);
    let gpu_places = capacity.gpu.checked_div(task.gpu).unwrap_or(u64::MAX);
    cpu_places.min(gpu_places)
}

fn play(seed: u64) {
    let mut play = Play::new(seed);
    if play.chance(5) {
        play.flood();
    }
    for _ in 0..ROUNDS {
        play.play_round();
    }
    play.finish();
}

/// Number of parts into which the seeds are divided, which run beside each other.
const PARTS: u64 = 4;

/// Failures: gangs that could not be placed kept idle workers from long-running tasks without end; steps that no worker could
/// take hid the ones behind them.
#[rstest]
fn drawn_work_makes_progress(#[values(0, 1, 2, 3)] part: u64) {
    let (first, count) = drawn_seeds("WORK_SEEDS", 80);
    for seed in (first..first + count).filter(|seed| seed % PARTS == part) {
        println!("seed {seed}");
        play(seed);
    }
}
