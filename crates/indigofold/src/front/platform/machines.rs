//! The discovery list: an actor that asks discovery and watches it.

use super::Platform;
use crate::api::Scope;
use crate::config::DiscoveryList;
use crate::core::{Ask, Told};
use crate::net::http::{self, Kind, Progress};
use crate::net::{Link, Reason, log, within};
use async_channel::{Receiver, RecvError};
use async_io::Timer;
use futures_lite::FutureExt;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::Write;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a call for changes may wait, at least and at most. Where the connection has gone silent, what discovery has to
/// tell counts as told six seconds later, or two after that wait: this side must have noticed and have asked anew by then.
/// Discovery is one service for all schedulers and takes one call after another: with many, each calls less often, and no
/// two wait for the same time, so that what falls silent together does not call together.
const WAIT_MS: (u64, u64) = (3_000, 30_000);
const WAIT_EACH_MS: u64 = 500;
/// With so many schedulers, calls are spread out: as they start together, fail together and hear of a change together,
/// they would call together, and most would be turned away, again and again ...
const MANY: u64 = 8;
/// ... over so long for each scheduler where a watch begins, which costs discovery most (20 to 60 ms) ...
const SPREAD_EACH: Duration = Duration::from_millis(40);
/// ... but no longer than this part of the time within which the list must be asked for, the rest being for the call ...
const SPREAD_MOST: f64 = 0.5;
/// ... and so many times as long at most, as calls fail: discovery still works through those that it has turned away.
const FAILED: u32 = 4;
/// A watch goes on only if the next call comes within 200 ms of the answer: what changes later counts as told all the
/// same, and is not. However many they are, the calls of a watch that goes on are put off for no longer than this.
const GO_ON: Duration = Duration::from_millis(100);
/// Over how long the first call of a process that replaces another is spread out.
const REPLACES: Duration = Duration::from_millis(500);
/// Over how long, with many schedulers, those that have found their watch silent open it anew.
const SILENT: Duration = Duration::from_millis(300);
/// Over how long, with many, the first calls to a discovery that takes over are spread out: what it has to tell counts as
/// told four seconds after the signal.
const MOVES: Duration = Duration::from_millis(1_500);
/// How long a call for changes may take beyond its wait ...
const BEYOND: Duration = Duration::from_millis(1_000);
/// ... one to a discovery that takes over ...
const MOVED: Duration = Duration::from_millis(2_000);
/// ... and any other whose answer is due at once: it stands in line at discovery, which itself gives up on a call in less.
/// Broken off sooner it would be worked through all the same, and the one made instead would stand behind it.
const CALL: Duration = Duration::from_millis(4_000);
/// ... and how long a dial may take.
const DIAL: Duration = Duration::from_millis(500);

/// Wait of a call that is to say what has changed up to now. Where a list is held, a watch begins with such a call: one for
/// the whole list would cost discovery more, and the watch would only begin with the next call, which has to stand in line
/// as well; what changes while it does counts as told, as it has come right after an answer.
const AT_ONCE_MS: u64 = 1;
/// So long after a failed call the next one is made, at most, however many call and however often they failed: what changes
/// counts as told six seconds after discovery could be reached again, and the rest of that is for standing in line. All that
/// call come within this time and that of a call, so that discovery has as long for them.
const RETRY_MOST: Duration = Duration::from_millis(4_200);
/// Between two tries at a discovery that is to take over.
const AGAIN: Duration = Duration::from_millis(100);

/// What the actor is told.
pub enum Word {
    /// Something is asked of the list.
    Ask(Ask),
    /// Discovery answers here from now on.
    Move(SocketAddr),
}

/// A call under way. It owns its line, so that what else happens meanwhile does not break it off.
type Call = Pin<Box<dyn Future<Output = (Line, Result<DiscoveryList, Reason>)>>>;

enum Next {
    Answer(Line, Result<DiscoveryList, Reason>),
    Moved(Line, Result<DiscoveryList, Reason>),
    Told(Result<Word, RecvError>),
}

/// A call that begins a watch, one with which a watch goes on, one after a watch has fallen silent, and one to a discovery
/// that takes over.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Step {
    Begins,
    GoesOn,
    Silent,
    Moves,
}

/// Over how long calls are spread out, given how many call, how often they failed and how often they must be made.
fn spread(step: Step, schedulers: u64, failed: u32, list_refresh_within: Duration) -> Duration {
    match step {
        _ if schedulers < MANY => Duration::ZERO,
        Step::GoesOn => GO_ON,
        Step::Silent => SILENT,
        Step::Moves => MOVES,
        Step::Begins => {
            let each = SPREAD_EACH.saturating_mul(u32::try_from(schedulers).unwrap_or(u32::MAX));
            each.min(list_refresh_within.mul_f64(SPREAD_MOST))
                .saturating_mul(failed)
        }
    }
}

/// How long a call may still be put off, given how long ago the last one failed, if it did.
fn retry_within(since_failure: Option<Duration>) -> Duration {
    since_failure.map_or(Duration::MAX, |since| RETRY_MOST.saturating_sub(since))
}

/// How long a call for changes may wait, at least and at most, given how many call.
fn waits(schedulers: u64) -> (u64, u64) {
    let most = (WAIT_EACH_MS.saturating_mul(schedulers)).clamp(WAIT_MS.0, WAIT_MS.1);
    (most / 2, most)
}

/// How long a call may take that waits so long, or asks for the whole list.
fn due(wait: Option<u64>) -> Duration {
    wait.filter(|wait| *wait != AT_ONCE_MS)
        .map_or(CALL, |wait| BEYOND + Duration::from_millis(wait))
}

/// The way to a discovery, and the version of its list that is held, if one is.
struct Line {
    front: Rc<Platform>,
    discovery: SocketAddr,
    link: Option<Link>,
    seq: Option<u64>,
    /// Its last answer was older than the version held: it is asked for the whole list, and that counts.
    older: bool,
}

/// The list that a scheduler has when it starts.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    /// Its version; `None`: it names no machine, and tells nothing.
    pub seq: Option<u64>,
    /// Another process of this scheduler serves yet: there is time to hear what has changed.
    pub replaces: bool,
}

/// The actor.
pub struct Machines {
    front: Rc<Platform>,
    discovery: SocketAddr,
    idle: Option<Line>,
    call: Option<Call>,
    moving: Option<(SocketAddr, Call)>,
    watching: bool,
    anew: bool, // a watch that broke is being opened anew
    replaces: bool,
    failed: u32,                // doubled at each failed call in a row, up to `FAILED`
    failed_at: Option<Instant>, // when, if the last call failed
    rng: Pcg64Mcg,
}

impl Machines {
    /// An actor that asks this discovery. Where it has many to serve, a list known already is served with until it has
    /// answered: after a mass restart that takes seconds, in which those that still serve would get everything.
    pub fn new(front: Rc<Platform>, discovery: SocketAddr, known: Known, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let (idle, call, moving, replaces) = (None, None, None, known.replaces);
        let mut new = Machines {
            front,
            discovery,
            idle,
            call,
            moving,
            watching: false,
            anew: false,
            replaces,
            failed: 1,
            failed_at: None,
            rng,
        };
        let mut line = new.line(discovery);
        line.seq = known.seq;
        new.idle = Some(line);
        if new.many() && known.seq.is_some() && !replaces && !new.front.ready.replace(true) {
            log("ready: the machine list known before serves until discovery has answered");
        }
        new
    }

    fn many(&self) -> bool {
        self.schedulers() >= MANY
    }

    fn schedulers(&self) -> u64 {
        let site = self.front.site.borrow();
        // Where lists are pushed, each scheduler has an agent of its own.
        if site.pushed {
            1
        } else {
            site.settings.dispatchers.into()
        }
    }

    /// How long a call for changes may wait.
    fn wait(&mut self) -> u64 {
        let (least, most) = waits(self.schedulers());
        least + self.rng.next_u64() % (most - least + 1)
    }

    /// The next call of a watch that goes on.
    fn go_on(&mut self, line: Line) -> Call {
        let (wait, put_off) = (self.wait(), self.put_off(Step::GoesOn));
        // What is older than the list held says nothing of what has changed since.
        let wait = (!line.older).then_some(wait);
        Box::pin(line.call(wait, put_off, due(wait)))
    }

    /// Opens a watch anew that broke or fell silent, without asking whether and when: what it misses counts as told. Not
    /// where discovery turns calls down, and not twice in a row: then it is the module that says when. Where lists are
    /// pushed, what the agent has counts as told at any time, so that it is asked until it answers.
    fn open_anew(&mut self, mut line: Line, reason: Reason) -> Result<Call, Line> {
        let (pushed, again) = (
            self.front.site.borrow().pushed,
            std::mem::replace(&mut self.anew, true),
        );
        let down = matches!(
            reason,
            Reason::Rejected | Reason::Refused | Reason::DialTimeout | Reason::NoRoom
        );
        if !self.watching || (!pushed && (again || down)) {
            self.anew = false;
            return Err(line);
        }
        log(format_args!(
            "the watch is opened anew reason={}",
            reason.code()
        ));
        line.drop_link(reason);
        let silent = reason == Reason::Unanswered;
        let put_off = self.put_off(if silent { Step::Silent } else { Step::Begins });
        let put_off = if again { put_off.max(AGAIN) } else { put_off };
        let wait = line.seq.map(|_| AT_ONCE_MS);
        Ok(Box::pin(line.call(wait, put_off, due(wait))))
    }

    /// How long the next call is put off: at random, so that all come one after another.
    fn put_off(&mut self, step: Step) -> Duration {
        let list_refresh_within = Duration::from_micros(
            self.front
                .site
                .borrow()
                .settings
                .rules
                .membership_refresh_within,
        );
        let spread = spread(step, self.schedulers(), self.failed, list_refresh_within);
        let spread = spread.min(retry_within(self.failed_at.map(|at| at.elapsed())));
        // A process that is to replace another has some seconds to be ready, and few do so at once.
        let spread = spread.min(if self.replaces && !self.front.ready.get() {
            REPLACES
        } else {
            Duration::MAX
        });
        Duration::from_micros(self.rng.next_u64() % spread.as_micros().max(1) as u64)
    }

    /// Runs for as long as somebody may ask.
    pub async fn run(mut self, inbox: Receiver<Word>) {
        loop {
            let told = async { Next::Told(inbox.recv().await) };
            let answer = async {
                let Some(call) = &mut self.call else {
                    return std::future::pending().await;
                };
                let (line, answer) = call.await;
                Next::Answer(line, answer)
            };
            let moved = async {
                let Some((_, call)) = &mut self.moving else {
                    return std::future::pending().await;
                };
                let (line, answer) = call.await;
                Next::Moved(line, answer)
            };
            let (line, answer) = match moved.or(told).or(answer).await {
                Next::Told(Err(_)) => return,
                Next::Told(Ok(Word::Move(to))) => {
                    self.move_to(to);
                    continue;
                }
                Next::Told(Ok(Word::Ask(asked))) => {
                    self.ask(asked);
                    continue;
                }
                Next::Moved(line, answer) => {
                    log(format_args!(
                        "discovery moved from {} to {}",
                        self.discovery, line.discovery
                    ));
                    (self.discovery, self.moving) = (line.discovery, None);
                    (self.idle, self.watching) = (None, true); // the old one's watch ends here
                    (line, answer)
                }
                Next::Answer(mut line, Err(reason)) if self.moving.is_some() => {
                    // The old discovery has ended the watch. No failed call: the new one is being asked.
                    line.drop_link(reason);
                    self.call = None;
                    self.usable(false);
                    continue;
                }
                Next::Answer(line, Err(reason)) => match self.open_anew(line, reason) {
                    Ok(call) => {
                        self.call = Some(call);
                        self.usable(false);
                        continue;
                    }
                    Err(line) => (line, Err(reason)),
                },
                Next::Answer(line, answer) => (line, answer),
            };
            self.call = None;
            let line = self.tell(line, answer).await;
            if self.watching {
                self.call = Some(self.go_on(line));
            } else {
                self.idle = Some(line);
            }
        }
    }

    fn line(&self, discovery: SocketAddr) -> Line {
        Line {
            front: self.front.clone(),
            discovery,
            link: None,
            seq: None,
            older: false,
        }
    }

    fn ask(&mut self, asked: Ask) {
        if asked == Ask::Watch(false) {
            (self.watching, self.call) = (false, None);
            return;
        }
        self.watching |= asked == Ask::Watch(true);
        // A watch begins from the list held, and where there is none with the whole list. A new discovery's first answer
        // is the whole list as well.
        if self.moving.is_none() {
            // One that is under way is not begun anew: it would stand in line once more.
            if self.call.is_some() {
                return;
            }
            let line = self
                .idle
                .take()
                .unwrap_or_else(|| self.line(self.discovery));
            // Where discovery has many to serve, each begins with the call that waits: one call less.
            let waits = self.many() && self.front.ready.get();
            let on = if waits { self.wait() } else { AT_ONCE_MS };
            let wait = (line.seq.is_some() && self.watching).then_some(on);
            self.call = Some(Box::pin(line.call(
                wait,
                self.put_off(Step::Begins),
                due(wait),
            )));
        }
    }

    /// Begins to ask a new discovery, until it answers: then it takes over. The watch at the old one goes on
    /// for as long as that allows, so that there is no time in which nobody would tell of a change.
    fn move_to(&mut self, to: SocketAddr) {
        match &self.moving {
            Some((going, _)) if *going == to => return,
            None if self.discovery == to => return,
            _ => {}
        }
        let mut line = self.line(to);
        let mut put_off = self.put_off(Step::Moves);
        let call = async move {
            loop {
                let (back, answer) = line.call(None, put_off, MOVED).await;
                line = back;
                let Err(reason) = &answer else {
                    return (line, answer);
                };
                log(format_args!(
                    "discovery at {to} does not answer yet reason={}",
                    reason.code()
                ));
                line.drop_link(*reason);
                put_off = put_off.max(AGAIN);
            }
        };
        self.moving = Some((to, Box::pin(call)));
    }

    /// Tells the core how a call went.
    async fn tell(&mut self, mut line: Line, answer: Result<DiscoveryList, Reason>) -> Line {
        let older = |list: &DiscoveryList| line.seq.filter(|held| list.seq < *held && !line.older);
        let (scope, entries) = match answer {
            Ok(list) if let Some(held) = older(&list) => {
                let got = list.seq;
                log(format_args!(
                    "a list of version {got} is not taken, as {held} is held: the whole one is asked for"
                ));
                (line.older, self.anew) = (true, false);
                return line;
            }
            Ok(list) => {
                (line.seq, line.older, self.failed, self.anew) = (Some(list.seq), false, 1, false);
                self.failed_at = None;
                let scope = if list.whole {
                    Scope::Full
                } else {
                    Scope::Delta
                };
                (scope, self.front.learn(list))
            }
            Err(reason) => {
                log(format_args!("list call failed reason={}", reason.code()));
                self.failed_at = Some(Instant::now());
                line.drop_link(reason);
                (self.watching, self.failed) = (false, (2 * self.failed).min(FAILED));
                (Scope::Failed, Vec::new())
            }
        };
        // A watch that waited in vain has nothing to tell.
        if scope != Scope::Delta || !entries.is_empty() {
            let _ = self.front.core.send(Told::List(scope, entries)).await;
        }
        self.usable(scope != Scope::Failed);
        line
    }

    /// Ready once there is a list. Where discovery is down at the start, what was known before is all there is to go by.
    fn usable(&self, answered: bool) {
        if (answered || self.front.knows_machines()) && !self.front.ready.replace(true) {
            log("ready: there is a machine list");
        }
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.drop_link(Reason::Done);
    }
}

impl Line {
    fn drop_link(&mut self, reason: Reason) {
        if let Some(link) = self.link.take() {
            link.end("list", reason, "");
        }
    }

    /// One call.
    async fn call(
        mut self,
        wait: Option<u64>,
        put_off: Duration,
        limit: Duration,
    ) -> (Line, Result<DiscoveryList, Reason>) {
        if !put_off.is_zero() {
            Timer::after(put_off).await;
        }
        let answer = self.exchange(wait, limit).await;
        (self, answer)
    }

    async fn exchange(
        &mut self,
        wait: Option<u64>,
        limit: Duration,
    ) -> Result<DiscoveryList, Reason> {
        if self.link.as_ref().is_some_and(Link::stale) {
            self.drop_link(Reason::PeerClosed);
        }
        if self.link.is_none() {
            self.link = Some(self.front.net.dial(self.discovery, DIAL).await?);
        }
        let Some(link) = &self.link else {
            return Err(Reason::Broke);
        };
        let buffer = &mut self.front.net.pool.take();
        let host = self.discovery;
        let _ = match wait {
            None => write!(buffer, "GET /api/targets HTTP/1.1\r\nHost: {host}\r\n\r\n"),
            Some(wait) => write!(
                buffer,
                "GET /api/targets?index={}&wait={wait} HTTP/1.1\r\nHost: {host}\r\n\r\n",
                self.seq.unwrap_or(0)
            ),
        };
        let talk = async {
            link.send(buffer.filled(), DIAL).await?;
            buffer.clear();
            loop {
                if let Progress::Whole(frame) =
                    http::look(buffer, Kind::Answer).map_err(|_| Reason::Malformed)?
                {
                    return Ok(frame);
                }
                match link.read(buffer).await {
                    Ok(0) => return Err(Reason::PeerLeft),
                    Ok(_) => {}
                    Err(_) => return Err(Reason::Broke),
                }
            }
        };
        let frame = within(limit, Reason::Unanswered, talk).await?;
        let (head, body) = frame.read(buffer, Kind::Answer).ok_or(Reason::Malformed)?;
        if head.status != 200 {
            return Err(Reason::Rejected);
        }
        let list = DiscoveryList::read(&mut body.to_vec()).map_err(|_| Reason::Malformed)?;
        if !frame.keep {
            self.drop_link(Reason::Done);
        }
        Ok(list)
    }
}

#[cfg(test)]
mod tests;
