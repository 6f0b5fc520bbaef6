//! The decision module of one dispatcher. [`crate::api`] defines its inputs ([`Event`]) and outputs ([`Action`]).
//!
//! The placement policy is hybrid SQ(d) (Van Spilbeeck and Van Houdt): the dispatcher draws a kind k of workers with
//! probability `p_k`, which the periodic solution of problem (1) gives, samples d ready workers of that kind and sends
//! the request to the one with the fewest slots in flight. `docs/design.md` describes the rules that go beyond the
//! paper. The dispatcher reads no clock, does no I/O and uses a seeded random generator.
//!
//! [`Dispatcher`] combines the submodules. Those with private state are `fleet` (workers, kinds, slots and groups),
//! `request_queues` (queued requests), `reviews` (times at which requests are reconsidered), `kind_weights` (`p_k`),
//! `wait_window`, `zone_preference`, `displacement`, `connection_trust`, `overhead` (budget of probes and peer
//! updates), `retry_budget` and `membership_request`. Each of the others contains the rules of one concern: `admission`
//! (accept, queue and answer requests), `attempts` (send, start and end), `sampling`, `load` and `draw` (choice of the
//! worker), `warm_up` (workers that have just started), `health` (ejection), `stragglers` (unresponsive attempts),
//! `observations` (reports, probes and peer updates), `membership` (the membership list), `statistics_merge` and
//! `adoption` (takeover from another process), and `reconfigure` (new settings).

mod admission;
mod adoption;
mod attempts;
mod connection_trust;
mod displacement;
mod draw;
mod fleet;
mod health;
mod kind_weights;
mod load;
mod membership;
mod membership_request;
mod observations;
mod overhead;
mod reconfigure;
mod request_queues;
mod retry_budget;
mod reviews;
mod sampling;
mod state;
mod statistics_merge;
mod stragglers;
mod tuning;
mod wait_window;
mod warm_up;
mod zone_preference;

use crate::affinity::Fetches;
use crate::api::{Action, Class, Event, Load, RequestId, Settings, Status, Time, WorkerId};
use crate::arrivals::Arrivals;
use crate::runs::WeightedSum;
pub use crate::solve::solve;
use connection_trust::ConnectionTrust;
use displacement::Displacement;
use fleet::Fleet;
use kind_weights::KindWeights;
use membership_request::MembershipRequest;
use overhead::Overhead;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use request_queues::RequestQueues;
use retry_budget::RetryHistory;
use reviews::Reviews;
use state::{AttemptId, ClassStats, OpenRequest};
pub use statistics_merge::WorkerCounts;
use std::collections::BTreeMap;
use tuning::{SOLVE_TICKS, TICK_GRANULARITIES, TICK_MIN};
use wait_window::WaitWindow;
use zone_preference::ZonePreference;

/// One dispatcher: learns from its own events and decides which worker each request goes to.
#[derive(Default)]
pub struct Dispatcher {
    settings: Settings,
    /// For each class id, the index of its current rules in `settings.classes`. Other entries there are superseded
    /// rules that open requests may still use, and [`Class::UNKNOWN`].
    class_of: Vec<usize>,
    rng: Option<Pcg64Mcg>,
    fleet: Fleet,
    classes: Vec<ClassStats>,
    open: BTreeMap<RequestId, OpenRequest>,
    queues: RequestQueues,
    reviews: Reviews,
    kind_weights: KindWeights,
    /// Number of own attempts that may wait in workers' queues at once.
    wait_window: WaitWindow,
    /// Weight and sum of run times at mean speed, over all classes.
    run_times: WeightedSum,
    /// Cost of sending jobs to workers other than their home worker.
    fetches: Fetches,
    arrivals: Arrivals,
    overhead: Overhead,
    /// Name of the timer that was set last.
    timer: u64,
    zone_preference: ZonePreference,
    connection_trust: ConnectionTrust,
    displacement: Displacement,
    membership_request: MembershipRequest,
    /// Accepted requests and retries in the window of the retry budget.
    retries: RetryHistory,
}

impl Dispatcher {
    /// Creates a dispatcher without learned state. All its randomness comes from `seed`.
    pub fn new(mut settings: Settings, seed: u64, now: Time) -> Self {
        let class_of = (0..settings.classes.len()).collect();
        // Requests of a class that is missing from the settings get the strictest rules.
        settings.classes.push(Class::UNKNOWN);
        settings.dispatchers = settings.dispatchers.max(1);
        let tenants = settings.tenants.iter().map(|tenant| tenant.fraction);
        Dispatcher {
            rng: Some(Pcg64Mcg::seed_from_u64(seed)),
            classes: settings.classes.iter().map(ClassStats::initial).collect(),
            queues: RequestQueues::of_classes(settings.classes.len()),
            arrivals: Arrivals::new(tenants, now),
            membership_request: MembershipRequest::new(now, settings.membership_pushed),
            class_of,
            settings,
            ..Default::default()
        }
    }

    /// Handles one event and appends the resulting actions to `out`. `now` never runs backwards.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.timer == 0 || matches!(event, Event::Timer(name) if name == self.timer) {
            self.timer += 1;
            out.push(Action::Timer {
                at: now + self.tick(),
                name: self.timer,
            });
        }
        if self.handle_event(now, event, out) {
            self.send_queued(now, out);
            debug_assert!(
                self.fleet.is_consistent(),
                "derived values of the fleet must agree with a recount"
            );
        }
    }

    /// Returns whether the event may allow queued requests to be sent.
    #[allow(clippy::too_many_lines, reason = "an arm for each event")]
    fn handle_event(&mut self, now: Time, event: Event, out: &mut Vec<Action>) -> bool {
        let attempt_id = |request, attempt| AttemptId { request, attempt };
        match event {
            Event::Membership { scope, entries } => {
                self.handle_membership(now, scope, entries, out);
            }
            Event::Request(request) => {
                if !self.open.contains_key(&request.id) {
                    self.accept(now, request, out);
                }
                return false;
            }
            Event::Streaming { request, attempt } => {
                self.handle_start(now, attempt_id(request, attempt));
                self.close(request, out);
            }
            Event::Started { request, attempt } => {
                self.handle_start(now, attempt_id(request, attempt));
            }
            Event::Outcome {
                request,
                attempt,
                status,
                closed,
                load,
            } => {
                self.handle_result(now, attempt_id(request, attempt), status, load, out);
                if closed || status == Status::Ok {
                    self.close(request, out);
                }
                self.send_or_queue(now, request, out);
            }
            Event::RequestClosed(request) => self.close(request, out),
            Event::Unacknowledged { request, attempt } => {
                self.handle_unacknowledged(now, attempt_id(request, attempt), out);
            }
            Event::Timer(name) if name.wrapping_add(1) == self.timer => self.handle_tick(now, out),
            Event::Timer(_) => return false,
            Event::Probed { worker, load, .. } => self.handle_probed(now, worker, load, out),
            Event::Settings(settings) => self.reconfigure(*settings),
            Event::Statistics(other) => self.merge_statistics(now, *other),
            Event::Adopted(id, job) => self.adopt(now, id, *job, out),
            Event::Peer { from, in_flight } => {
                self.fleet.replace_claims(now, from, &in_flight);
                return false;
            }
            Event::Progress {
                request,
                attempt,
                done,
            } => {
                self.handle_progress(now, attempt_id(request, attempt), done);
                return false;
            }
        }
        true
    }

    fn handle_result(
        &mut self,
        now: Time,
        id: AttemptId,
        status: Status,
        load: Option<Load>,
        out: &mut Vec<Action>,
    ) {
        if let Some(worker) = self.handle_outcome(now, id, status, load) {
            self.close_idle(worker, out);
        }
    }

    fn handle_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.request_membership(now, out);
        self.update_peers(out);
        if self.timer % SOLVE_TICKS == 0 {
            self.regroup_and_solve(now);
            self.connection_trust.grow();
            self.decay_failures(now);
        }
        self.review(now, out);
    }

    fn handle_probed(
        &mut self,
        now: Time,
        worker: WorkerId,
        load: Option<Load>,
        out: &mut Vec<Action>,
    ) {
        self.overhead.end_probe();
        if let Some(index) = self.fleet.index_of(worker) {
            load.iter()
                .for_each(|load| self.handle_load(now, index, load));
            self.close_idle(index, out);
        }
    }

    /// Time between two ticks.
    fn tick(&self) -> Time {
        (self.settings.granularity * TICK_GRANULARITIES).max(TICK_MIN)
    }
}

/// Draws a number in [0, 1).
fn random_fraction(rng: &mut Option<Pcg64Mcg>) -> f64 {
    rng.as_mut().map_or(0.0, |rng| {
        (rng.next_u64() >> 12) as f64 / (1u64 << 52) as f64
    })
}
