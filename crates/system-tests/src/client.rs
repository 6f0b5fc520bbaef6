//! A client: hands in jobs, asks for their states and cancels them, at any edge. All that it does and is shown goes
//! into the record of the [`World`].

use crate::configuration::{HOST, Queue};
use crate::http::{Answer, Call, HttpError, call_once, send_part};
use crate::job::Job;
use crate::random;
use crate::wait::TimedOut;
use crate::world::{JobState, World};
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a client waits for one answer.
const ANSWER_TIME: Duration = Duration::from_secs(3);
/// A call that has got no clear answer by then is given up.
const CALL_TIME: Duration = Duration::from_secs(20);
/// The pause after a try without a clear answer grows by this.
const PAUSE_STEP: Duration = Duration::from_millis(20);
/// Longest pause between two tries.
const PAUSE_MAX: Duration = Duration::from_millis(200);

/// A call without the answer that it needs.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No clear answer in all the time allowed.
    #[snafu(display("{what}: no clear answer after {tries} tries; the last: {last}"))]
    Unanswered {
        /// The call.
        what: String,
        /// Tries.
        tries: u32,
        /// The last answer.
        last: String,
    },
    /// An answer that the protocol does not have there.
    #[snafu(display("{what}: answered {status}: {body}"))]
    Unexpected {
        /// The call.
        what: String,
        /// Its status.
        status: u16,
        /// Its body.
        body: String,
    },
    /// A state did not come.
    #[snafu(display("{id} was last shown as {last:?}: {source}"))]
    State {
        /// The job.
        id: String,
        /// What was shown last.
        last: Option<JobState>,
        /// How long was waited.
        source: TimedOut,
    },
}

/// A job that was handed in.
#[derive(Clone, Debug)]
pub struct Handed {
    /// Its id.
    pub id: String,
    /// Its queue.
    pub queue: Queue,
}

impl Handed {
    fn path(&self) -> String {
        format!("{}{}", self.queue.path_prefix, self.id)
    }
}

/// A client that knows some edges.
#[derive(Clone, Debug)]
pub struct Client {
    edges: Vec<SocketAddr>,
    world: Arc<World>,
}

impl Client {
    /// A client that reaches these edges.
    pub fn new(edges: Vec<SocketAddr>, world: &Arc<World>) -> Self {
        Client {
            edges,
            world: world.clone(),
        }
    }

    /// The same client with these edges only.
    pub fn at(&self, edges: &[SocketAddr]) -> Self {
        Client {
            edges: edges.to_vec(),
            world: self.world.clone(),
        }
    }

    /// The edges that it knows.
    pub fn edges(&self) -> &[SocketAddr] {
        &self.edges
    }

    fn any_edge(&self) -> SocketAddr {
        self.edges[random::below(self.edges.len() as u64) as usize]
    }

    /// Hands in a job, again with the same id until it is accepted.
    pub fn submit(&self, queue: &Queue, job: &Job) -> Result<Handed, ClientError> {
        let handed = self.draw(queue);
        self.insist(&format!("job {}", handed.id), || {
            self.hand_in(self.any_edge(), &handed, job)
        })
        .and_then(|answer| expect(answer, Answer::is_success, &format!("job {}", handed.id)))?;
        Ok(handed)
    }

    /// One call to hand in a job.
    pub fn hand_in(
        &self,
        edge: SocketAddr,
        handed: &Handed,
        job: &Job,
    ) -> Result<Answer, HttpError> {
        let result = self.call_at(edge, &self.handing_in(handed, job));
        self.world
            .job_answered(&handed.id, result.as_ref().ok().map(|answer| answer.status));
        result
    }

    /// The call that hands in a job, which the world learns of.
    fn handing_in(&self, handed: &Handed, job: &Job) -> Call {
        self.world.job_sent(&handed.id, job, &handed.queue);
        Call::new("POST", handed.path()).json(serde_json::to_vec(job).unwrap_or_default())
    }

    /// Sends the first `bytes` bytes of a call to hand in a job, and leaves without waiting for an answer.
    pub fn hand_in_part(
        &self,
        edge: SocketAddr,
        handed: &Handed,
        job: &Job,
        bytes: usize,
    ) -> Result<(), HttpError> {
        let call = self.handing_in(handed, job).header("Host", HOST);
        let sent = send_part(edge, &call, bytes, ANSWER_TIME);
        self.world.job_answered(&handed.id, None);
        sent
    }

    /// A job that nobody has handed in.
    pub fn draw(&self, queue: &Queue) -> Handed {
        Handed {
            id: random::job_id(),
            queue: queue.clone(),
        }
    }

    /// Asks for a job's state; `None`: it does not exist.
    pub fn state(&self, handed: &Handed) -> Result<Option<JobState>, ClientError> {
        let what = format!("state of {}", handed.id);
        let mut asked = self.world.now();
        let answer = self.insist(&what, || {
            asked = self.world.now();
            self.call_at(self.any_edge(), &Call::new("GET", handed.path()))
        })?;
        let state = match answer.status {
            200 => answer.json()["state"].as_str().and_then(JobState::of_word),
            410 => None,
            _ => return expect(answer, |_| false, &what).map(|_| None),
        };
        if answer.status == 200 && state.is_none() {
            return expect(answer, |_| false, &what).map(|_| None);
        }
        self.world.job_shown(&handed.id, asked, state);
        Ok(state)
    }

    /// Asks until the job's state is one that is wanted.
    pub fn wait_for(
        &self,
        handed: &Handed,
        at_most: Duration,
        wanted: impl Fn(JobState) -> bool,
    ) -> Result<JobState, ClientError> {
        let mut last = None;
        let found = self
            .world
            .signal()
            .until("a state", at_most, || match self.state(handed) {
                Ok(state) => {
                    last = state;
                    state.filter(|state| wanted(*state)).map(Ok)
                }
                Err(error) => Some(Err(error)),
            });
        found.map_err(|source| ClientError::State {
            id: handed.id.clone(),
            last,
            source,
        })?
    }

    /// Asks until the job has ended.
    pub fn wait_end(&self, handed: &Handed, at_most: Duration) -> Result<JobState, ClientError> {
        self.wait_for(handed, at_most, JobState::is_final)
    }

    /// Cancels a job, until that is acknowledged.
    pub fn cancel(&self, handed: &Handed) -> Result<(), ClientError> {
        let what = format!("cancelling of {}", handed.id);
        self.world.cancel_sent(&handed.id);
        let call = Call::new("DELETE", handed.path());
        let answer = self.insist(&what, || self.call_at(self.any_edge(), &call))?;
        expect(answer, Answer::is_success, &what)?;
        self.world.cancel_acknowledged(&handed.id);
        Ok(())
    }

    /// One call at any edge.
    pub fn call(&self, call: &Call) -> Result<Answer, HttpError> {
        self.call_at(self.any_edge(), call)
    }

    /// One call at this edge.
    pub fn call_at(&self, edge: SocketAddr, call: &Call) -> Result<Answer, HttpError> {
        let deadline = ANSWER_TIME.as_millis().to_string();
        let call = call
            .clone()
            .header("Host", HOST)
            .header("Indigofold-Deadline-Ms", deadline);
        call_once(edge, &call, ANSWER_TIME)
    }

    /// Tries again, with growing pauses, while there is no clear answer.
    fn insist(
        &self,
        what: &str,
        mut call: impl FnMut() -> Result<Answer, HttpError>,
    ) -> Result<Answer, ClientError> {
        let begun = Instant::now();
        let mut tries = 0;
        loop {
            tries += 1;
            let last = match call() {
                Ok(answer) if !matches!(answer.status, 429 | 500..) => return Ok(answer),
                Ok(answer) => format!(
                    "{} {}",
                    answer.status,
                    String::from_utf8_lossy(&answer.body)
                ),
                Err(error) => error.to_string(),
            };
            if begun.elapsed() > CALL_TIME {
                return UnansweredSnafu { what, tries, last }.fail();
            }
            self.world
                .signal()
                .wait_beyond(u64::MAX, (PAUSE_STEP * tries).min(PAUSE_MAX));
        }
    }
}

fn expect(
    answer: Answer,
    good: impl Fn(&Answer) -> bool,
    what: &str,
) -> Result<Answer, ClientError> {
    if good(&answer) {
        return Ok(answer);
    }
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    UnexpectedSnafu {
        what,
        status: answer.status,
        body,
    }
    .fail()
}
