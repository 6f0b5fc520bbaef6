//! Steps that many tests share: applying configurations, submitting jobs, and waiting for events.

use super::{Cluster, JOB_TIMEOUT};
use crate::client::SubmittedJob;
use crate::configuration::{Configuration, QUICK, Queue};
use crate::environment::{JobState, Record};
use crate::job::Job;
use crate::wire::EndReason;
use serde_json::Value;
use std::time::Duration;

impl Cluster {
    /// Applies a complete configuration that builds on version `base`.
    ///
    /// # Panics
    ///
    /// If the configuration is not accepted.
    pub fn put(&self, configuration: &Configuration, base: u64) {
        let version = configuration.version;
        let response = self
            .operator
            .put(configuration, base)
            .expect("a core member should give a clear response");
        let (status, body) = (response.status, response.json());
        assert_eq!(
            status, 200,
            "the configuration of version {version} should be accepted: {body}"
        );
    }

    /// Applies a change of individual configuration items that builds on version `base`.
    ///
    /// # Panics
    ///
    /// If the change is not accepted.
    pub fn patch(&self, change: &Value, base: u64) {
        let response = self
            .operator
            .patch(change, base)
            .expect("a core member should give a clear response");
        let (status, body) = (response.status, response.json());
        assert_eq!(
            status, 200,
            "the change of version {base} should be accepted: {body}"
        );
    }

    /// The configuration in force.
    ///
    /// # Panics
    ///
    /// If the configuration cannot be read.
    pub fn read_configuration(&self) -> Value {
        self.operator
            .read()
            .expect("a core member should return the configuration")
    }

    /// The queue with this path prefix in [`Cluster::configuration`].
    ///
    /// # Panics
    ///
    /// If no queue has this path prefix.
    pub fn queue(&self, path_prefix: &str) -> Queue {
        self.configuration
            .queue(path_prefix)
            .expect("the configuration should have a queue with this path prefix")
            .clone()
    }

    /// Submits a job, with retries until it is accepted.
    ///
    /// # Panics
    ///
    /// If the job is not accepted in time.
    pub fn submit(&self, path_prefix: &str, job: &Job) -> SubmittedJob {
        self.client
            .submit(&self.queue(path_prefix), job)
            .expect("the job should be accepted")
    }

    /// Waits until a job has ended, and checks that it is completed.
    ///
    /// # Panics
    ///
    /// If the job does not end in time, or ends otherwise.
    pub fn expect_completed(&self, submitted: &SubmittedJob) {
        let state = self
            .client
            .wait_end(submitted, JOB_TIMEOUT)
            .expect("the job should end in time");
        assert_eq!(
            state,
            JobState::Completed,
            "final state of job {}",
            submitted.id
        );
    }

    /// Waits until these jobs have ended, and checks that they are completed.
    pub fn expect_all_completed(&self, submitted: &[SubmittedJob]) {
        for job in submitted {
            self.expect_completed(job);
        }
    }

    /// Reads a job's state; `None` if the job does not exist.
    ///
    /// # Panics
    ///
    /// If the state cannot be read.
    pub fn state(&self, submitted: &SubmittedJob) -> Option<JobState> {
        self.client
            .state(submitted)
            .expect("an edge should return the job's state")
    }

    /// The number of pending jobs of the queue with this path prefix.
    ///
    /// # Panics
    ///
    /// If the number cannot be read.
    pub fn pending(&self, path_prefix: &str) -> u64 {
        self.client
            .pending(&self.queue(path_prefix))
            .expect("an edge should return the number of pending jobs")
    }

    /// Submits small jobs for `time`, each after the one before has completed.
    pub fn submit_jobs_for(&self, time: Duration) {
        let until = self.environment.now() + time;
        while self.environment.now() < until {
            let submitted = self.submit(QUICK, &Job::single(50));
            self.expect_completed(&submitted);
        }
    }

    /// Waits until `probe` returns `Some`; `what` names the condition in the panic if it does not.
    ///
    /// # Panics
    ///
    /// If the probe returns no `Some` in time.
    pub fn wait_for<T>(
        &self,
        what: &str,
        at_most: Duration,
        probe: impl FnMut() -> Option<T>,
    ) -> T {
        let signal = self.environment.signal();
        let found = signal.wait_until(what, at_most, probe);
        found.expect("the condition should become true in time")
    }

    /// Waits for at most [`JOB_TIMEOUT`] until `probe` returns `Some` for the record.
    pub fn wait_for_record<T>(&self, what: &str, mut probe: impl FnMut(&Record) -> Option<T>) -> T {
        self.wait_for(what, JOB_TIMEOUT, || self.environment.read(&mut probe))
    }

    /// Waits until one of the job's tasks has started, and returns the index of the worker of the latest start.
    ///
    /// # Panics
    ///
    /// If none has started in time.
    pub fn wait_started(&self, submitted: &SubmittedJob) -> usize {
        let name = self.wait_for_record("the start of a task", |record| {
            let last = record.starts(&submitted.id).last();
            last.map(|start| record.instance(start.instance).worker.clone())
        });
        let mut workers = self.workers.iter();
        let number = workers.position(|worker| worker.name() == name);
        number.expect("the run's worker should belong to the cluster")
    }

    /// Waits until the number of starts of the job's runs is exactly `count`.
    pub fn wait_starts(&self, submitted: &SubmittedJob, count: usize) {
        let what = format!("{count} starts");
        self.wait_for_record(&what, |record| {
            (record.count_starts(&submitted.id) == count).then_some(())
        });
    }

    /// Number of starts of the job's runs.
    pub fn count_starts(&self, submitted: &SubmittedJob) -> usize {
        self.environment
            .read(|record| record.count_starts(&submitted.id))
    }

    /// Number of the job's runs that have ended for this reason.
    pub fn count_ends(&self, submitted: &SubmittedJob, reason: EndReason) -> usize {
        self.environment
            .read(|record| record.count_ends(&submitted.id, reason))
    }
}
