//! Open jobs that go over to the process that takes over: the client's connection, the message and what the core
//! knows of the job. A job goes once none of its attempts is on its way to a machine: those that a machine has taken need
//! no connection, as it tells what becomes of them to whoever accepts.

use super::clients::{self, Served};
use super::peer_process::{Kin, Word};
use super::workers::{AttemptState, Order, Stage};
use super::{Parcel, Platform};
use crate::api::Time;
use crate::config::News;
use crate::core::{AttemptId, CoreInput, JobId, Reply};
use crate::net::set::Direction;
use crate::net::{Link, log};
use crate::transferred_job::TransferredJob;
use async_channel::{Receiver, SendError, Sender, bounded};
use async_io::{Async, Timer};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Between two tries to give a job away whose attempt is on its way.
const AGAIN: Duration = Duration::from_millis(10);

/// A job and its client's connection, but for the descriptor.
#[derive(Serialize, Deserialize)]
pub struct Moved {
    trace: String,
    text: Vec<u8>,
    body: usize,
    until: Time,
    keep: bool,
    rest: Vec<u8>,
    messages: u64,
    job: TransferredJob<String>,
}

/// Where open jobs go, if anywhere.
pub struct Moving {
    taker: RefCell<Option<Rc<Kin>>>,
    /// Closed while there is one: all that wait hear of it.
    called: RefCell<(Sender<()>, Receiver<()>)>,
    /// Jobs that are about to go over, by their ids: the news of them that has come meanwhile.
    leaving: RefCell<HashMap<String, Vec<Vec<u8>>>>,
    /// Ids of jobs that have gone over: news of them that is sent back here goes there.
    gone: RefCell<HashSet<String>>,
}

impl Default for Moving {
    fn default() -> Self {
        let (taker, leaving, gone) = Default::default();
        Moving {
            taker,
            called: RefCell::new(bounded(1)),
            leaving,
            gone,
        }
    }
}

impl Platform {
    /// Open jobs go to this process from now on.
    pub fn move_to(&self, kin: &Rc<Kin>) {
        self.moving.taker.replace(Some(kin.clone()));
        self.moving.called.borrow().0.close();
    }

    /// Is there a process that open jobs go to?
    pub fn moves(&self) -> bool {
        self.moving.taker.borrow().is_some()
    }

    /// That process has ended: jobs stay.
    pub fn move_no_more(&self) {
        if self.moving.taker.take().is_some() {
            self.moving.called.replace(bounded(1));
            self.moving.gone.take();
        }
    }

    /// Has this job gone over?
    pub(super) fn has_moved(&self, trace: &str) -> bool {
        self.moving.gone.borrow().contains(trace)
    }

    /// Returns once the job has been given away here; until then it stays. `keep`: its connection is to be kept.
    pub(super) async fn released(
        self: &Rc<Self>,
        id: JobId,
        parcel: &Parcel,
        keep: bool,
        served: &Served,
    ) {
        loop {
            let called = self.moving.called.borrow().1.clone();
            if self.moving.taker.borrow().is_none() {
                let _ = called.recv().await;
            }
            if parcel
                .attempts
                .borrow()
                .iter()
                .all(|attempt| attempt.is_settled())
                && parcel.result.borrow().is_none()
            {
                // News of it waits until it is known who is to hear of it.
                let trace = parcel.trace.clone();
                self.moving
                    .leaving
                    .borrow_mut()
                    .insert(trace.clone(), Vec::new());
                let (to, from) = bounded(1);
                let _ = self.core.send(CoreInput::Release(id, to)).await;
                if let Ok(Some(released)) = from.recv().await {
                    let job = self.transferred_job(released.job);
                    let (text, body) = (parcel.text.filled().to_vec(), parcel.body);
                    let (rest, messages, until) =
                        (Vec::new(), served.messages.get(), released.until);
                    served.moved.replace(Some(Moved {
                        trace,
                        text,
                        body,
                        until,
                        keep,
                        rest,
                        messages,
                        job,
                    }));
                    return;
                }
                self.heard(&trace).await;
            }
            Timer::after(AGAIN).await;
        }
    }

    /// News that came meanwhile: takes what waited, and nothing waits any more.
    async fn heard(self: &Rc<Self>, trace: &str) {
        let waited = self.moving.leaving.borrow_mut().remove(trace);
        for text in waited.into_iter().flatten() {
            if let Ok(news) = News::read(&mut text.clone()) {
                self.news(&text, news, None).await;
            }
        }
    }

    /// The job has ended here: nothing is kept of it.
    pub(super) fn waits_no_more(&self, trace: &str) {
        self.moving.leaving.borrow_mut().remove(trace);
    }

    /// Keeps a piece of news of a job that is about to go over.
    pub(super) fn waits(&self, trace: &str, text: &[u8]) -> bool {
        let mut leaving = self.moving.leaving.borrow_mut();
        leaving
            .get_mut(trace)
            .map(|waiting| waiting.push(text.to_vec()))
            .is_some()
    }

    /// Sends a released job to the process that takes over. Where that has just ended, the job goes on here.
    pub(super) async fn hand_over(self: &Rc<Self>, mut moved: Moved, rest: &[u8], link: Link) {
        // What follows is not understood where some of it was thrown away.
        moved.keep &= !link.overrun();
        moved.rest = if link.overrun() {
            Vec::new()
        } else {
            rest.to_vec()
        };
        self.drop_job(&moved.trace);
        let (taker, trace) = (self.moving.taker.borrow().clone(), moved.trace.clone());
        let (stream, form) = (link.into_stream(), postcard::to_allocvec(&moved));
        let (Some((stream, seat)), Ok(form)) = (stream, form) else {
            return;
        };
        drop(seat);
        self.net.set.resize(-1);
        let word = Word::Moved(form, stream);
        let sent = match taker {
            Some(kin) => kin
                .words
                .send(word)
                .await
                .map_err(|SendError(word)| word)
                .map(|()| kin),
            None => Err(word),
        };
        match sent {
            Ok(kin) => {
                self.moving.gone.borrow_mut().insert(trace.clone());
                self.heard(&trace).await; // it goes to that process, behind the job
                let _ = kin.words.send(Word::Closed(trace)).await;
            }
            Err(word) => {
                self.take_back(word).await;
                self.heard(&trace).await;
            }
        }
    }

    /// A word that the other process will not read any more: a job that was to go there stays here.
    pub async fn take_back(self: &Rc<Self>, word: Word) {
        if let Word::Moved(form, stream) = word {
            log("handover: a job stays, the new process has ended");
            self.adopt(&form, stream).await;
        }
    }

    /// Goes on with a job that the other process has given away. When this returns, news of it is understood.
    pub async fn adopt(self: &Rc<Self>, form: &[u8], stream: TcpStream) {
        self.net.set.resize(1);
        let seat = loop {
            match self
                .net
                .set
                .seat(Direction::Inbound)
                .or_else(|| self.net.set.seat(Direction::Outbound))
            {
                Some(seat) => break seat,
                None => self.net.set.resize(1), // it was open before: it stays
            }
        };
        let moved = postcard::from_bytes::<Moved>(form).map_err(|e| e.to_string());
        let moved = moved.and_then(|moved| moved.job.check().map(|()| moved));
        let (moved, link) = match (moved, Async::new(stream)) {
            (Ok(moved), Ok(stream)) => (moved, Link::new(stream, seat)),
            (Err(why), _) => {
                return log(format_args!("handover: a job cannot be taken over: {why}"));
            }
            (_, Err(why)) => {
                return log(format_args!(
                    "handover: a connection cannot be taken over: {why}"
                ));
            }
        };
        log(format_args!("handover: goes on with job={}", moved.trace));
        // It is not open elsewhere any more.
        self.moving.gone.borrow_mut().remove(&moved.trace);
        self.kin
            .borrow()
            .iter()
            .for_each(|kin| _ = kin.ids.borrow_mut().remove(&moved.trace));
        let mut text = self.net.pool.take();
        let written = text.write_all(&moved.text).is_ok();
        let known = self.numbered_job(moved.job).filter(|_| written);
        let (to, from) = bounded(1);
        let taken = known.and_then(|job| {
            Some((
                job,
                self.take_in(&moved.trace, (text, moved.body), to.downgrade())?,
            ))
        });
        let mut waits = None;
        if let Some((job, (id, parcel))) = taken {
            let attempts = job
                .attempts
                .iter()
                .map(|t| AttemptState::new(t.worker, Stage::Taken));
            parcel.attempts.borrow_mut().extend(attempts);
            // Given up here, a machine must hear of it: it keeps an attempt until then.
            for (n, t) in job.attempts.iter().enumerate().filter(|(_, t)| !t.done) {
                let attempt = AttemptId {
                    job: id,
                    number: n as u32,
                };
                self.order(t.worker, Order::Taken(attempt));
            }
            self.life.last_job.set(self.clock.now());
            let told = CoreInput::Adopted(id, Box::new(job), moved.until, Reply::To(to));
            let _ = self.core.send(told).await;
            waits = Some((id, parcel, from));
        }
        let (front, keep, rest) = (self.clone(), moved.keep, moved.rest);
        self.net.spawn(async move {
            let served = Served::default();
            served.messages.set(moved.messages);
            let reason = clients::go_on(&front, &link, &served, waits, (keep, &rest)).await;
            clients::leave(&front, link, &served, reason).await;
        });
    }

    /// Forgets a job that goes on elsewhere. Its attempts stay with their machines.
    fn drop_job(&self, trace: &str) {
        let Some(id) = self.traces.borrow_mut().remove(trace) else {
            return;
        };
        if let Some(parcel) = self.parcels.borrow_mut().remove(&id) {
            self.forget_attempts(id, &parcel);
        }
    }

    fn transferred_job(&self, job: TransferredJob<u32>) -> TransferredJob<String> {
        let (site, names) = (self.site.borrow(), self.names.borrow());
        let class = |id: &u32| {
            Some(
                site.classes
                    .all()
                    .nth(*id as usize)
                    .unwrap_or("")
                    .to_string(),
            )
        };
        let host = |id: &u32| {
            names
                .iter()
                .find(|(_, other)| *other == id)
                .map_or(String::new(), |n| n.0.clone())
        };
        job.renamed(class, host)
            .unwrap_or_else(|| unreachable!("every class is named"))
    }

    fn numbered_job(&self, job: TransferredJob<String>) -> Option<TransferredJob<u32>> {
        let class = self.site.borrow().class(&job.class)?;
        job.renamed(|_| Some(class), |host| self.number(host))
    }
}
