//! The membership watcher: an actor that requests the membership from discovery and watches its changes. Children: one
//! connection to discovery; when calls are made.

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
    REPLACEMENT_SPREAD, RETRY_INTERVAL, call_timeout, retry_within, spread, wait_bounds,
};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A command to the actor.
pub enum Command {
    /// The core requests something of the membership.
    Request(MembershipRequest),
    /// Discovery answers here from now on.
    MoveTo(SocketAddr),
}

/// A call under way. It owns its connection, so that a command does not cancel it.
type Call = Pin<Box<dyn Future<Output = (DiscoveryClient, Result<MembershipUpdate, Reason>)>>>;

/// What the actor wakes up for.
enum Wakeup {
    Answer(DiscoveryClient, Result<MembershipUpdate, Reason>),
    NewDiscovery(DiscoveryClient, Result<MembershipUpdate, Reason>),
    Command(Result<Command, RecvError>),
}

/// The membership that a scheduler has when it starts.
#[derive(Clone, Copy, Debug)]
pub struct InitialMembership {
    /// Its version; `None`: it names no machine, and is not used.
    pub seq: Option<u64>,
    /// Another process of this scheduler still serves: there is time to wait for changes.
    pub replaces: bool,
}

/// The actor.
pub struct MembershipWatcher {
    front: Rc<Platform>,
    discovery: SocketAddr,
    idle: Option<DiscoveryClient>,
    call: Option<Call>,
    next_discovery: Option<(SocketAddr, Call)>,
    watching: bool,
    reopened: bool, // a watch that broke is being opened anew
    replaces: bool,
    failure_factor: u32, // doubled at each failed call in a row, up to `MAX_FAILURE_FACTOR`
    failed_at: Option<Instant>, // when, if the last call failed
    rng: Pcg64Mcg,
}

impl MembershipWatcher {
    /// An actor that watches this discovery. With many schedulers, a membership known already is used until it has
    /// answered: after a mass restart that takes seconds, in which those that still serve would get everything.
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
        // Where memberships are pushed, each scheduler has an agent of its own.
        if site.pushed {
            1
        } else {
            site.settings.dispatchers.into()
        }
    }

    /// How long a call for changes may wait.
    fn wait(&mut self) -> u64 {
        let (least, most) = wait_bounds(self.schedulers());
        least + self.rng.next_u64() % (most - least + 1)
    }

    /// The next call of a watch that goes on.
    fn continue_watch(&mut self, client: DiscoveryClient) -> Call {
        let (wait, put_off) = (self.wait(), self.put_off(CallKind::ContinueWatch));
        // An older answer has no changes since the version known: the complete membership is requested.
        let wait = (!client.older).then_some(wait);
        Box::pin(client.call(wait, put_off, call_timeout(wait)))
    }

    /// Reopens a watch that broke or became unresponsive, without a request of the module, as changes are missed
    /// meanwhile. Not where discovery rejects calls, and not twice in a row: then the module decides when. Where memberships
    /// are pushed, the agent is called until it answers.
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
        let put_off = self.put_off(if unresponsive {
            CallKind::Unresponsive
        } else {
            CallKind::StartWatch
        });
        let put_off = if repeated {
            put_off.max(RETRY_INTERVAL)
        } else {
            put_off
        };
        let wait = client.seq.map(|_| IMMEDIATE_WAIT_MS);
        Ok(Box::pin(client.call(wait, put_off, call_timeout(wait))))
    }

    /// How long the next call is put off: at random, so that all come one after another.
    fn put_off(&mut self, kind: CallKind) -> Duration {
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
        let spread = spread.min(retry_within(self.failed_at.map(|at| at.elapsed())));
        // A process that is to replace another has some seconds to be ready, and few do so at once.
        let spread = spread.min(if self.replaces && !self.front.ready.get() {
            REPLACEMENT_SPREAD
        } else {
            Duration::MAX
        });
        Duration::from_micros(self.rng.next_u64() % spread.as_micros().max(1) as u64)
    }

    /// Runs for as long as somebody may send commands.
    #[allow(clippy::too_many_lines, reason = "one loop over what it waits for")]
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
                    (self.idle, self.watching) = (None, true); // the old one's watch ends here
                    (client, answer)
                }
                Wakeup::Answer(mut client, Err(reason)) if self.next_discovery.is_some() => {
                    // The old discovery has ended the watch. No failed call: the new one is being asked.
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

    /// Waits for a command or the answer to a call; a new discovery's answer goes first, then commands.
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
        // A watch starts from the version known, and without one from the complete membership, which is also a new
        // discovery's first answer.
        if self.next_discovery.is_none() {
            // A call under way is not repeated: it would queue at discovery once more.
            if self.call.is_some() {
                return;
            }
            let client = self
                .idle
                .take()
                .unwrap_or_else(|| self.client(self.discovery));
            // Where discovery has many to serve, each begins with the call that waits: one call less.
            let long_wait = self.has_many_schedulers() && self.front.ready.get();
            let on = if long_wait {
                self.wait()
            } else {
                IMMEDIATE_WAIT_MS
            };
            let wait = (client.seq.is_some() && self.watching).then_some(on);
            self.call = Some(Box::pin(client.call(
                wait,
                self.put_off(CallKind::StartWatch),
                call_timeout(wait),
            )));
        }
    }

    /// Begins to ask a new discovery, until it answers: then it takes over. The watch at the old one goes on
    /// for as long as that allows, so that no change is missed meanwhile.
    fn move_to_discovery(&mut self, to: SocketAddr) {
        match &self.next_discovery {
            Some((going, _)) if *going == to => return,
            None if self.discovery == to => return,
            _ => {}
        }
        let mut client = self.client(to);
        let mut put_off = self.put_off(CallKind::NewDiscovery);
        let call = async move {
            loop {
                let (returned, answer) = client.call(None, put_off, NEW_DISCOVERY_TIMEOUT).await;
                client = returned;
                let Err(reason) = &answer else {
                    return (client, answer);
                };
                log(format_args!(
                    "discovery at {to} does not answer yet reason={}",
                    reason.code()
                ));
                client.drop_link(*reason);
                put_off = put_off.max(RETRY_INTERVAL);
            }
        };
        self.next_discovery = Some((to, Box::pin(call)));
    }

    /// Reports the result of a call to the core.
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
        // A watch without changes has nothing to report.
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

    /// Ready once there is a membership. Where discovery is down at the start, the one known before is used.
    fn set_ready(&self, answered: bool) {
        if (answered || self.front.knows_machines()) && !self.front.ready.replace(true) {
            log("ready: there is a machine list");
        }
    }
}
