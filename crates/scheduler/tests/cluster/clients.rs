//! Clients of the simulated cluster: their calls, and checks of the replies.

use super::{Cluster, REPLY_MS};
use indigofold_protocol::internal::{ClientCall, ClientOperation, ClientOutcome, ClientReply};
use indigofold_protocol::job::{JobSpec, JobState};
use indigofold_protocol::task::JobId;
use indigofold_scheduler::{CallerId, Event};

impl Cluster {
    fn call(&mut self, id: JobId, path: String, operation: ClientOperation) {
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(call, id);
        let call = ClientCall {
            call,
            host: "h".to_owned(),
            path,
            operation,
        };
        self.handle(Event::Call {
            from: CallerId(1),
            call,
        });
    }

    pub(crate) fn submit(&mut self, route: &str, id: u64, spec: JobSpec) -> JobId {
        let id = JobId(id);
        let entry = self.jobs.entry(id).or_default();
        if entry.sent_ms == 0 {
            (entry.spec, entry.route, entry.sent_ms) =
                (spec.clone(), route.to_owned(), self.now_ms);
        }
        self.call(id, format!("/{route}/{id}"), ClientOperation::Submit(spec));
        id
    }

    pub(crate) fn get(&mut self, id: JobId) {
        let route = self.jobs[&id].route.clone();
        self.call(id, format!("/{route}/{id}"), ClientOperation::Get);
    }

    pub(crate) fn cancel(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.cancel_sent = true;
        let path = format!("/{}/{id}", job.route);
        self.call(id, path, ClientOperation::Cancel);
    }

    /// Asks for the job's state and returns the latest one that a client has received.
    pub(crate) fn state_of(&mut self, id: JobId) -> Option<JobState> {
        self.get(id);
        self.run_for(REPLY_MS);
        self.jobs[&id].state
    }

    pub(super) fn handle_reply(&mut self, reply: ClientReply) {
        self.replies.push(reply.clone());
        let Some(id) = self.calls.remove(&reply.call) else {
            return;
        };
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match reply.outcome {
            ClientOutcome::Accepted => {
                job.accepted_ms.get_or_insert(now_ms);
            }
            ClientOutcome::Cancelled => {
                job.cancelled_ms.get_or_insert(now_ms);
            }
            ClientOutcome::Invalid { .. } | ClientOutcome::TooMany { .. } => job.rejected = true,
            ClientOutcome::State(state) => {
                if matches!(
                    state,
                    JobState::Completed | JobState::Failed | JobState::Cancelled
                ) {
                    job.ended_ms.get_or_insert(now_ms);
                }
                assert!(
                    !matches!(job.state, Some(JobState::Completed)) || state == JobState::Completed,
                    "job {id} was reported as Completed before and is now {state:?}"
                );
                assert!(
                    !matches!(job.state, Some(JobState::Running)) || state != JobState::Queued,
                    "job {id} was reported as Running before and is now {state:?}"
                );
                job.state = Some(state);
                if state == JobState::Completed {
                    self.check_completed(id);
                }
            }
            ClientOutcome::NoSuchJob => {
                let open = job.accepted_ms.is_some()
                    && job.ended_ms.is_none()
                    && job.cancelled_ms.is_none();
                assert!(!open, "accepted job {id} is unknown to the scheduler");
            }
            _ => {}
        }
    }
}
