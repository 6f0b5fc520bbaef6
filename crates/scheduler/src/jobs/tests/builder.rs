//! Test fixture: a job table with one job and its clock, and short methods to drive it.

use crate::api::WriteId;
use crate::clock::Clock;
use crate::definition::{Definition, Terms};
use crate::jobs::{Job, JobEvent, Jobs, Placement, RunEnded, StepState};
use crate::queue::StepRef;
use crate::run_result::RunResult;
use crate::worker::WorkerId;
use indigofold_protocol::job::{JobSpec, JobState, Step};
use indigofold_protocol::task::{JobId, RunId, TaskName};

/// ID of the only job of these tests.
pub(super) const JOB: JobId = JobId(7);
/// Number of failures of one task that fails its job.
pub(super) const MAX_RETRIES: u32 = 3;
/// How long the state of an ended job has to be kept, in seconds.
pub(super) const STATUS_S: u64 = 5;

const START_MS: u64 = 1_000;
/// The write of the job's rows.
const WRITE: WriteId = WriteId(4);
const START_WALL_MS: u64 = 1_000_000;

/// A step of the job in its first repetition.
pub(super) fn step_ref(step: u32) -> StepRef {
    StepRef {
        job: JOB,
        repeat: 0,
        step,
    }
}

/// A step of one task.
pub(super) fn one_task() -> Step {
    Step {
        count: 1,
        cpu: 1_000,
        estimate_ms: 500,
        ..Step::default()
    }
}

/// A gang of `count` tasks.
pub(super) fn gang(count: u32) -> Step {
    Step {
        count,
        gang: true,
        ..one_task()
    }
}

/// A job table and its clock.
pub(super) struct JobFixture {
    pub(super) jobs: Jobs,
    clock: Clock,
    now_ms: u64,
}

impl JobFixture {
    /// Creates an empty job table.
    pub(super) fn new() -> Self {
        JobFixture {
            jobs: Jobs::new(STATUS_S),
            clock: Clock::new(START_MS, START_WALL_MS),
            now_ms: START_MS,
        }
    }

    /// Accepts a job of these steps; returns the events.
    pub(super) fn accept(&mut self, stages: Vec<Step>) -> Vec<JobEvent> {
        let definition = Definition {
            spec: JobSpec {
                stages,
                ..JobSpec::default()
            },
            route: "route".to_owned(),
            service: "service".to_owned(),
            terms: Terms {
                max_retries: MAX_RETRIES,
                ..Terms::default()
            },
            accepted_wall_ms: START_WALL_MS,
        };
        self.jobs.accept(JOB, Job::new(definition), &self.clock);
        self.events()
    }

    /// Advances both clocks.
    pub(super) fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        self.clock
            .advance(self.now_ms, START_WALL_MS + self.now_ms - START_MS);
    }

    /// Places a run of a task of the first repetition on worker 1.
    pub(super) fn place_first(&mut self, step: u32, index: u32) -> RunId {
        self.place_at(step, index, 1)
    }

    /// Places a run of a task of the first repetition on a worker.
    pub(super) fn place_at(&mut self, step: u32, index: u32, worker: u32) -> RunId {
        let task = step_ref(step).task(index);
        let entry = self.job().task(&task).expect("the task exists");
        self.place_run(task, entry.last_attempt() + 1, worker)
    }

    /// Places all members of a gang, member `n` on worker `n`.
    pub(super) fn place_gang(&mut self, step: u32, members: u32) -> Vec<RunId> {
        let attempt = self
            .jobs
            .prepare_gang(step_ref(step))
            .expect("the step exists");
        let members = 0..members;
        members
            .map(|index| self.place_run(step_ref(step).task(index), attempt, index))
            .collect()
    }

    fn place_run(&mut self, task: TaskName, attempt: u32, worker: u32) -> RunId {
        let placement = Placement {
            worker: WorkerId(worker),
            bound: false,
            remote_factor: 1.0,
        };
        let resources = self
            .jobs
            .record_placement(task, attempt, &placement, self.now_ms);
        assert!(
            resources.is_some(),
            "the run of task {task} cannot be placed"
        );
        let waiting = self.step(task.step).waiting();
        if waiting.is_empty() {
            self.jobs.dequeue(StepRef::of(&task));
        }
        self.events();
        RunId { task, attempt }
    }

    /// Reports that a run has begun.
    pub(super) fn begin(&mut self, run: RunId) {
        self.jobs.record_begun(&run, self.now_ms);
    }

    /// Records that the job's rows are being written.
    pub(super) fn write_rows(&mut self) {
        self.jobs.record_rows_written(JOB, WRITE, self.now_ms);
    }

    /// Ends a run, which must be outstanding; returns the events.
    pub(super) fn end(&mut self, run: RunId, result: RunResult) -> Vec<JobEvent> {
        let ended = self.try_end(run, result);
        assert!(ended.is_some(), "run {run:?} is not outstanding");
        self.events()
    }

    /// Ends a run; returns `None` if it is not outstanding.
    pub(super) fn try_end(&mut self, run: RunId, result: RunResult) -> Option<RunEnded> {
        self.jobs.end_run(run, result, "", &self.clock)
    }

    /// Reports that a run which was treated as lost has ended `done`; returns the events.
    pub(super) fn late_done(&mut self, task: TaskName) -> Vec<JobEvent> {
        self.jobs.handle_late_done(task, &self.clock);
        self.events()
    }

    /// Cancels the job; returns the events.
    pub(super) fn cancel(&mut self) -> Vec<JobEvent> {
        self.jobs.end(JOB, JobState::Cancelled, &self.clock);
        self.events()
    }

    /// Removes ended jobs whose retention time is over; returns the events.
    pub(super) fn remove_ended(&mut self) -> Vec<JobEvent> {
        self.jobs.remove_ended(&self.clock);
        self.events()
    }

    /// Jobs with unwritten checkpoints whose rows were last written at least `min_age_ms` ago.
    pub(super) fn jobs_to_write(&self, min_age_ms: u64) -> Vec<JobId> {
        self.jobs
            .unwritten_checkpoints(min_age_ms, self.now_ms)
            .collect()
    }

    pub(super) fn job(&self) -> &Job {
        self.jobs.get(&JOB).expect("the job is in the table")
    }

    pub(super) fn step(&self, step: u32) -> &StepState {
        self.jobs
            .step_state(step_ref(step))
            .expect("the step exists")
    }

    /// Final state of the job; `None` while it is open.
    pub(super) fn end_state(&self) -> Option<JobState> {
        self.job().end().map(|end| end.state)
    }

    fn events(&mut self) -> Vec<JobEvent> {
        std::iter::from_fn(|| self.jobs.poll_event()).collect()
    }
}
