//! The membership watcher: an actor that requests the membership from discovery and watches its changes. The submodules
//! contain the discovery client and the timing of calls.

mod discovery_client;
mod schedule;

use super::Platform;
use crate::api::Scope;
use crate::config::MembershipUpdate;
use crate::net::{Reason, log};
use async_channel::{Receiver, RecvError};
use discovery_client::DiscoveryClient;
use futures_lite::FutureExt;
use indigofold_core::{CoreInput, MembershipRequest};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use schedule::{
    CallKind, IMMEDIATE_WAIT_MS, MANY_SCHEDULERS, MAX_FAILURE_FACTOR, NEW_DISCOVERY_TIMEOUT,
    REPLACEMENT_SPREAD, RETRY_INTERVAL, call_timeout, max_retry_delay, spread, wait_bounds,
};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A command to the membership watcher.
pub enum Command {
    /// The core requests the membership, or starts or ends the watch.
    Request(MembershipRequest),
    /// Discovery has moved to this address.
    MoveTo(SocketAddr),
}

/// A call in progress. The future owns the connection, so a command doesn't cancel the call.
type Call = Pin<Box<dyn Future<Output = (DiscoveryClient, Result<MembershipUpdate, Reason>)>>>;

/// An event that the watcher handles.
enum Wakeup {
    Answer(DiscoveryClient, Result<MembershipUpdate, Reason>),
    NewDiscovery(DiscoveryClient, Result<MembershipUpdate, Reason>),
    Command(Result<Command, RecvError>),
}

/// The membership known to a scheduler when it starts.
#[derive(Clone, Copy, Debug)]
pub struct InitialMembership {
    /// Version of the membership; `None` if it contains no machine, in which case it isn't used.
    pub seq: Option<u64>,
    /// Another process of this scheduler still serves, so there is time to wait for changes.
    pub replaces: bool,
}

/// Actor that keeps the membership up to date.
pub struct MembershipWatcher {
    front: Rc<Platform>,
    discovery: SocketAddr,
    idle: Option<DiscoveryClient>, // the client while no call is in progress
    call: Option<Call>,
    next_discovery: Option<(SocketAddr, Call)>, // a new discovery that hasn't answered yet
    watching: bool,
    reopened: bool, // a broken watch is being reopened
    replaces: bool,
    failure_factor: u32, // doubled by each consecutive failed call, up to `MAX_FAILURE_FACTOR`
    failed_at: Option<Instant>, // time of the last call if it failed
    rng: Pcg64Mcg,
}

impl MembershipWatcher {
    /// Creates a watcher of this discovery. With many schedulers, a membership that is already known is used until
    /// discovery has answered: after a mass restart that takes seconds, during which the few ready schedulers would get the
    /// whole load.
    pub fn new(
        front: Rc<Platform>,
        discovery: SocketAddr,
        known: InitialMembership,
        seed: u64,
    ) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let (idle, call, next_discovery, replaces) = (None, None, None, known.replaces);
        let mut new = MembershipWatcher {
            front,
            discovery,
            idle,
            call,
            next_discovery,
            watching: false,
            reopened: false,
            replaces,
            failure_factor: 1,
            failed_at: None,
            rng,
        };
        let mut client = new.client(discovery);
        client.seq = known.seq;
        new.idle = Some(client);
        if new.has_many_schedulers()
            && known.seq.is_some()
            && !replaces
            && !new.front.ready.replace(true)
        {
            log("ready: the machine list known before serves until discovery has answered");
        }
        new
    }

    fn has_many_schedulers(&self) -> bool {
        self.schedulers() >= MANY_SCHEDULERS
    }

    fn schedulers(&self) -> u64 {
        let site = self.front.site.borrow();
        // If the membership is pushed, each scheduler has its own agent, which serves no other.
        if site.pushed {
            1
        } else {
            site.settings.dispatchers.into()
        }
    }

    /// Draws the long-poll wait of a call for changes, in milliseconds.
    fn draw_wait(&mut self) -> u64 {
        let (least, most) = wait_bounds(self.schedulers());
        least + self.rng.next_u64() % (most - least + 1)
    }

    /// Makes the next call of the watch.
    fn continue_watch(&mut self, client: DiscoveryClient) -> Call {
        let (wait, delay) = (self.draw_wait(), self.draw_delay(CallKind::ContinueWatch));
        // An answer older than the known version can't be applied as changes, so the complete membership is requested.
        let wait = (!client.older).then_some(wait);
        Box::pin(client.call(wait, delay, call_timeout(wait)))
    }

    /// Reopens a watch that broke or became unresponsive without waiting for a request of the decision module, as changes
    /// are missed meanwhile. Returns the client as an error if discovery rejects calls, or if the failed call was itself an
    /// attempt to reopen the watch; the module then decides when to call. If the membership is pushed, the agent is called
    /// until it answers.
    fn reopen_watch(
        &mut self,
        mut client: DiscoveryClient,
        reason: Reason,
    ) -> Result<Call, DiscoveryClient> {
        let (pushed, repeated) = (
            self.front.site.borrow().pushed,
            std::mem::replace(&mut self.reopened, true),
        );
        let down = matches!(
            reason,
            Reason::Rejected | Reason::Refused | Reason::DialTimeout | Reason::NoCapacity
        );
        if !self.watching || (!pushed && (repeated || down)) {
            self.reopened = false;
            return Err(client);
        }
        log(format_args!(
            "the watch is opened anew reason={}",
            reason.code()
        ));
        client.drop_link(reason);
        let unresponsive = reason == Reason::Unanswered;
        let delay = self.draw_delay(if unresponsive {
            CallKind::Unresponsive
        } else {
            CallKind::StartWatch
        });
        let delay = if repeated {
            delay.max(RETRY_INTERVAL)
        } else {
            delay
        };
        let wait = client.seq.map(|_| IMMEDIATE_WAIT_MS);
        Ok(Box::pin(client.call(wait, delay, call_timeout(wait))))
    }

    /// Draws the random delay of the next call, so that the schedulers don't call all at once.
    fn draw_delay(&mut self, kind: CallKind) -> Duration {
        let membership_refresh_within = Duration::from_micros(
            self.front
                .site
                .borrow()
                .settings
                .rules
                .membership_refresh_within,
        );
        let spread = spread(
            kind,
            self.schedulers(),
            self.failure_factor,
            membership_refresh_within,
        );
        let spread = spread.min(max_retry_delay(self.failed_at.map(|at| at.elapsed())));
        // A process that replaces another must be ready within seconds, and few do so at the same time.
        let spread = spread.min(if self.replaces && !self.front.ready.get() {
            REPLACEMENT_SPREAD
        } else {
            Duration::MAX
        });
        Duration::from_micros(self.rng.next_u64() % spread.as_micros().max(1) as u64)
    }

    /// Runs until the command channel is closed.
    #[allow(clippy::too_many_lines, reason = "one loop over all events")]
    pub async fn run(mut self, inbox: Receiver<Command>) {
        loop {
            let wakeup = self.next_wakeup(&inbox).await;
            let (client, answer) = match wakeup {
                Wakeup::Command(Err(_)) => return,
                Wakeup::Command(Ok(Command::MoveTo(to))) => {
                    self.move_to_discovery(to);
                    continue;
                }
                Wakeup::Command(Ok(Command::Request(request))) => {
                    self.handle_request(request);
                    continue;
                }
                Wakeup::NewDiscovery(client, answer) => {
                    log(format_args!(
                        "discovery moved from {} to {}",
                        self.discovery, client.discovery
                    ));
                    (self.discovery, self.next_discovery) = (client.discovery, None);
                    (self.idle, self.watching) = (None, true); // this ends the watch at the old discovery
                    (client, answer)
                }
                Wakeup::Answer(mut client, Err(reason)) if self.next_discovery.is_some() => {
                    // The old discovery has ended the watch. This isn't a failed call, as the new one is being called.
                    client.drop_link(reason);
                    self.call = None;
                    self.set_ready(false);
                    continue;
                }
                Wakeup::Answer(client, Err(reason)) => match self.reopen_watch(client, reason) {
                    Ok(call) => {
                        self.call = Some(call);
                        self.set_ready(false);
                        continue;
                    }
                    Err(client) => (client, Err(reason)),
                },
                Wakeup::Answer(client, answer) => (client, answer),
            };
            self.call = None;
            let client = self.report_result(client, answer).await;
            if self.watching {
                self.call = Some(self.continue_watch(client));
            } else {
                self.idle = Some(client);
            }
        }
    }

    /// Waits for the next event. The answer of a new discovery has priority over commands, and commands over answers.
    async fn next_wakeup(&mut self, inbox: &Receiver<Command>) -> Wakeup {
        let command = async { Wakeup::Command(inbox.recv().await) };
        let answer = async {
            let Some(call) = &mut self.call else {
                return std::future::pending().await;
            };
            let (client, answer) = call.await;
            Wakeup::Answer(client, answer)
        };
        let new_discovery = async {
            let Some((_, call)) = &mut self.next_discovery else {
                return std::future::pending().await;
            };
            let (client, answer) = call.await;
            Wakeup::NewDiscovery(client, answer)
        };
        new_discovery.or(command).or(answer).await
    }

    fn client(&self, discovery: SocketAddr) -> DiscoveryClient {
        DiscoveryClient::new(self.front.clone(), discovery)
    }

    fn handle_request(&mut self, request: MembershipRequest) {
        if request == MembershipRequest::Watch(false) {
            (self.watching, self.call) = (false, None);
            return;
        }
        self.watching |= request == MembershipRequest::Watch(true);
        // A watch starts from the known version, or from the complete membership if there is none. A new discovery's first
        // answer is the complete membership, so there is no call to make while one is being contacted.
        if self.next_discovery.is_none() {
            // A call in progress isn't repeated, as the second one would queue at discovery too.
            if self.call.is_some() {
                return;
            }
            let client = self
                .idle
                .take()
                .unwrap_or_else(|| self.client(self.discovery));
            // With many schedulers, the watch starts with the long poll, which saves discovery one call each.
            let long_wait = self.has_many_schedulers() && self.front.ready.get();
            let wait_ms = if long_wait {
                self.draw_wait()
            } else {
                IMMEDIATE_WAIT_MS
            };
            let wait = (client.seq.is_some() && self.watching).then_some(wait_ms);
            self.call = Some(Box::pin(client.call(
                wait,
                self.draw_delay(CallKind::StartWatch),
                call_timeout(wait),
            )));
        }
    }

    /// Calls a new discovery until it answers and then replaces the old one. The watch at the old one goes on until it
    /// fails, so that no change is missed meanwhile.
    fn move_to_discovery(&mut self, to: SocketAddr) {
        match &self.next_discovery {
            Some((going, _)) if *going == to => return,
            None if self.discovery == to => return,
            _ => {}
        }
        let mut client = self.client(to);
        let mut delay = self.draw_delay(CallKind::NewDiscovery);
        let call = async move {
            loop {
                let (returned, answer) = client.call(None, delay, NEW_DISCOVERY_TIMEOUT).await;
                client = returned;
                let Err(reason) = &answer else {
                    return (client, answer);
                };
                log(format_args!(
                    "discovery at {to} does not answer yet reason={}",
                    reason.code()
                ));
                client.drop_link(*reason);
                delay = delay.max(RETRY_INTERVAL);
            }
        };
        self.next_discovery = Some((to, Box::pin(call)));
    }

    /// Applies the result of a call and reports it to the core. Returns the client for the next call.
    async fn report_result(
        &mut self,
        mut client: DiscoveryClient,
        answer: Result<MembershipUpdate, Reason>,
    ) -> DiscoveryClient {
        let older = |update: &MembershipUpdate| {
            client
                .seq
                .filter(|current| update.seq < *current && !client.older)
        };
        let (scope, entries) = match answer {
            Ok(update) if let Some(current) = older(&update) => {
                let got = update.seq;
                log(format_args!(
                    "a list of version {got} is not taken, as {current} is held: the whole one is asked for"
                ));
                (client.older, self.reopened) = (true, false);
                return client;
            }
            Ok(update) => {
                (client.seq, client.older, self.failure_factor, self.reopened) =
                    (Some(update.seq), false, 1, false);
                self.failed_at = None;
                let scope = if update.complete {
                    Scope::Full
                } else {
                    Scope::Delta
                };
                (scope, self.front.apply_membership(update))
            }
            Err(reason) => {
                log(format_args!("list call failed reason={}", reason.code()));
                self.failed_at = Some(Instant::now());
                client.drop_link(reason);
                (self.watching, self.failure_factor) =
                    (false, (2 * self.failure_factor).min(MAX_FAILURE_FACTOR));
                (Scope::Failed, Vec::new())
            }
        };
        // An answer without changes isn't reported.
        if scope != Scope::Delta || !entries.is_empty() {
            let _ = self
                .front
                .core
                .send(CoreInput::Membership(scope, entries))
                .await;
        }
        self.set_ready(scope != Scope::Failed);
        client
    }

    /// Marks the front end ready once a membership is known. If discovery is down at the start, the membership known before
    /// is used.
    fn set_ready(&self, answered: bool) {
        if (answered || self.front.knows_machines()) && !self.front.ready.replace(true) {
            log("ready: there is a machine list");
        }
    }
}
