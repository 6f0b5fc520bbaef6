//! The decision module of one dispatcher; `src/api.rs` has what it is told and may ask for. The mechanism is
//! hybrid SQ(d) (Van Spilbeeck and Van Houdt): a request draws a listed kind k with probability p_k, solved
//! now and then from problem (1), samples d ready workers of it and goes to the one with the fewest slots in
//! flight. Around it stand the guards that the paper does without; `docs/design.md` has their conditions.

use crate::affinity::{self, Fetches, Steady};
use crate::api::*;
use crate::arrivals::Arrivals;
use crate::carried;
use crate::runs::{self, KEEP, Speed, Sum, Work, fresh};
pub use crate::solve::solve;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const D: usize = 3; // workers sampled within the drawn kind
const TICK: (Time, Time) = (5, 20_000); // between two looks at what is due: in shortest batches, and at least
const SOLVE_TICKS: u64 = 40; // such looks between two solutions of problem (1)
const CROWDING: f64 = 0.7; // mean arrivals at a dispatcher over the most that it may get in its place
const REPORT_AGE: f64 = 3e5; // about how old the news in a report is
const QUICK_FIRST: f64 = 2e4; // time from send to start on a free slot before any is known
const KINDS_MOST: usize = 255; // kinds told apart; ids past it count as one
const WINDOW_CUT: f64 = 0.1; // part of the window given up at a late start
const WAIT_TARGET: f64 = 0.5; // a start is late after this many times between two free slots
const WAIT_LOAD: f64 = 0.5; // mean run times that own jobs may wait at workers that looked free
const SPEND: (f64, f64) = (0.004, 0.02); // part of the result that probes and messages may cost, most saved
const TELL_MOST: usize = 51; // workers in a message
const PROBE_AGE: Time = 1_500_000; // news this old is worth a probe, where jobs run long sooner than this
const PROBE_WAIT: f64 = 0.1; // part of the aim that a request waits for the answers
const LATE_MARGIN: f64 = 1.5; // mean run times that must fit before the aim, or the deadline
const NEAR_LOAD: (f64, f64) = (0.4, 0.7); // part of near workers own traffic may fill; load of zones at first
const LATE_STEP: f64 = 0.1; // step of the shares of late starts at home and away
const LATE_PRICE: f64 = 2.0; // late starts that are as bad as a crossing at its price
const MISSES_MOST: usize = 2; // held requests of a queue that may be passed over in one go
const FIRSTS_MOST: usize = 32; // ... where only their first worker is looked at
const FAILURE_STEP: (f64, f64) = (0.25, 0.1); // of the failure rate at an error or answer; at a silence
const OVERDUE: (f64, f64) = (1.2, 1.6); // a share done is overdue after so many intervals, the first later
const SUSPECT: f64 = 0.3; // failure rate over which a worker gets one request at a time that may be repeated
const FORGIVE: f64 = 0.7; // weight that failures keep at each solution once a worker is no longer set aside
const ASIDE: (f64, f64) = (2e5, 6e6); // set aside: this over the square of the share of answers, at most
const ASIDE_FULL: f64 = 2e6; // set aside when full: a mean run time, at most this
const IDLE: (f64, f64) = (0.5, 1.02); // part of an idle time that broke that is trusted; growth a solution
const MOVE_FETCHES: f64 = 2.0; // a job that waits at a worker for so many fetches ...
const MOVE_WAIT: Time = 100_000; // ... and this long moves to one that looks free
const COLD_USE: f64 = 0.6; // part of a cold worker's budget used; with what is saved up, 0.75 in any window
const COLD_JOBS: f64 = 4.0; // mean jobs that a dispatcher's part of it pays for in a window; one may be saved
const ASK: (Time, Time) = (500_000, 4_000_000); // first and longest wait between two calls for the list
/// Groups of workers in order (near and far in the own zone, then elsewhere), and whether they are far. The
/// first four tiers are for a request that looks at home first, the last for one that says what it is about.
const TIERS: [(&[usize], bool); 7] = [
    (&[0], false),
    (&[1], true),
    (&[2], false),
    (&[3], true),
    (&[0, 2], false),
    (&[1, 3], true),
    (&[0, 1, 2, 3], false),
];

mod health; // judges workers by what comes back, and finds attempts that hang
#[path = "kept.rs"]
mod kept; // compares what is kept from event to event with a fresh count, in debug builds
mod news; // takes the list, reports, probes and what peers say
#[path = "recall.rs"]
mod recall; // tells what was learned, and takes in what another one has
#[path = "retune.rs"]
mod retune; // takes other settings
mod sampling; // says which workers are sampled and which of them is taken

type Sent = (RequestId, AttemptNo);

#[derive(Default)]
struct Worker {
    listed: Entry, // its line in the list; `active` unless it leaves, is gone or no longer listed
    active: bool,
    kind: usize,
    own: f64,                                          // own slots in flight
    unstarted: Vec<(Time, RequestId, AttemptNo, f64)>, // when and what was sent whose start is untold; slots
    running: (f64, Time), // own slots running, averaged over about the age of a report, and when
    quick: f64,           // shortest recent time from send to start notice: what a free slot takes
    foreign: f64,         // slots held by others by the last news of them, and when that came
    news_at: Option<Time>,
    failure: f64, // recent share of failures, and the end of being set aside
    aside_until: Time,
    silences: u32, // times that it was found silent since it was last seen to get on with a job
    probed_at: Time,
    peers: Vec<(u32, f64, Time)>, // slots that peers said they hold here: who, how many, when
    allowance: (f64, Time),       // work that may be sent while it is cold, saved up to this time
    idle: Vec<Time>, // since when connections to it are idle, by what ended and was sent there
    linked: bool,    // something has ended there since they were last closed
}

#[derive(Clone, Default)]
struct Kind {
    slots: f64,     // most own slots seen running at once on one worker, or as reported
    reported: bool, // reports have told them: a job whose end is told late seems to run on
    run: Speed,
}

#[derive(Clone, Default)]
struct ClassStat {
    run: Work,
    longest: Time, // that a client gave a try
}

type Try = carried::Try<usize>; // its worker is a place in the table

#[derive(Default)]
struct Open {
    class: usize,
    late_from: Time, // started after this, it would likely end after its aim
    deadline: Time,
    estimate: Option<Time>,
    subject: Option<u64>, // what it is about
    slots: f64, // slots, or memory where that is more: a worker has about one unit for each slot
    attempts: usize, // it may have at most
    over: bool,
    closed: bool,
    held: Option<usize>, // in this queue
    sample: Vec<usize>,  // workers sampled for it that were probed first
    wait_until: Time,    // ... and how long it waits for their answers
    tries: Vec<Try>,
}

/// One dispatcher: holds what its own events told it and decides.
#[derive(Default)]
pub struct Dispatcher {
    settings: Settings,
    class_of: Vec<usize>, // where a class's rules stand now; other entries of the tables are old
    rng: Option<Pcg64Mcg>,
    workers: Vec<Worker>,
    index: BTreeMap<WorkerId, usize>,
    kinds: Vec<Kind>,
    classes: Vec<ClassStat>,
    open: BTreeMap<RequestId, Open>,
    held: Vec<VecDeque<RequestId>>, // held requests by class, share and lateness, in the order held
    due: BTreeSet<(Time, RequestId)>, // when to look at a request again
    draw: Vec<f64>,                 // p_k
    subject_draw: Steady,           // ... averaged for longer: what is about the same seldom moves
    groups: Vec<Vec<usize>>, // active workers by group (see `TIERS`) and kind: no event walks the whole fleet
    busy: BTreeSet<usize>,   // those with own slots in flight
    named: BTreeMap<u32, Vec<usize>>, // those each peer named
    waiting: usize,          // own attempts whose start has not been told
    window: f64,             // ... and how many may wait in workers' queues at once
    run: Sum,                // weight and sum of run times at mean speed, over all classes
    fetches: Fetches,        // what jobs sent away from their like cost
    arrivals: Arrivals,      // what has arrived of late
    credit: f64,             // what probes and messages may cost now
    probes_out: usize,
    told: Vec<(WorkerId, u8)>, // what peers were last told
    timer: u64,                // name of the one that is live
    stay: f64,                 // share of requests for which workers of the own zone come first
    late_share: [f64; 2],
    idle_most: f64,         // connections unused for longer than this are not trusted
    asked: (f64, f64),      // worth and work of late
    full_share: f64,        // recent share of attempts turned away
    ask: (Time, Time), // when to ask for the list next, and how long to wait after a failed call
    taken: VecDeque<Time>, // requests taken in the window of the budget of attempts
    resent: VecDeque<Time>, // ... and attempts beyond a request's first
}

impl ClassStat {
    fn of(class: &Class) -> Self {
        ClassStat {
            run: Work::of(class.aim),
            longest: 0,
        }
    }
}

impl Worker {
    /// Own slots running, averaged over the age of a report. To be called before their number changes.
    fn running(&mut self, now: Time) -> f64 {
        let fade = (-(now.saturating_sub(self.running.1) as f64) / REPORT_AGE).exp();
        let runs = self.own - self.unstarted.iter().map(|u| u.3).sum::<f64>();
        self.running = (runs + fade * (self.running.0 - runs), now);
        self.running.0
    }

    fn told(&self, now: Time) -> f64 {
        self.peers
            .iter()
            .map(|(_, slots, at)| slots * fresh(now, *at))
            .sum()
    }

    fn overdue(&self, wait: f64, granularity: Time) -> bool {
        wait > 2.0 * self.quick + 4.0 * granularity as f64
    }
}

impl Dispatcher {
    /// A dispatcher without state. All its randomness comes from `seed`.
    pub fn new(mut settings: Settings, seed: u64, now: Time) -> Self {
        let class_of = (0..settings.classes.len()).collect();
        // Requests of a class that the settings lack are taken for the most delicate kind.
        settings.classes.push(Class::UNKNOWN);
        settings.dispatchers = settings.dispatchers.max(1);
        // Until a run time is known, a job is taken to be as long as its class's aim.
        Dispatcher {
            rng: Some(Pcg64Mcg::seed_from_u64(seed)),
            classes: settings.classes.iter().map(ClassStat::of).collect(),
            held: vec![VecDeque::new(); settings.classes.len() * 4],
            window: f64::MAX, // finite, and cut to the number of workers by the first start
            arrivals: Arrivals::new(settings.tenants.iter().map(|t| t.fraction), now),
            stay: 1.0,
            idle_most: f64::MAX,
            ask: (if settings.list_pushed { Time::MAX } else { now }, ASK.0),
            class_of,
            settings,
            ..Default::default()
        }
    }

    /// Takes one event and appends what is to be done. `now` never runs backwards.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.timer == 0 || matches!(event, Event::Timer(name) if name == self.timer) {
            self.timer += 1;
            out.push(Action::Timer {
                at: now + self.tick(),
                name: self.timer,
            });
        }
        match event {
            Event::List { scope, entries } => self.follow_list(now, scope, entries, out),
            Event::Request(request) if self.open.contains_key(&request.id) => return,
            Event::Request(request) => return self.accept(now, request, out),
            Event::Streaming { request, attempt } => {
                self.started(now, request, attempt);
                self.close(request, out);
            }
            Event::Started { request, attempt } => self.started(now, request, attempt),
            Event::Outcome {
                request,
                attempt,
                status,
                closed,
                load,
            } => {
                if let Some(i) = self.ended(now, (request, attempt), status, load) {
                    self.let_go(i, out);
                }
                if closed || status == Status::Ok {
                    self.close(request, out);
                }
                self.place_or_hold(now, request, out);
            }
            Event::Gone(request) => self.close(request, out),
            Event::Unheard { request, attempt } => self.unheard(now, request, attempt, out),
            Event::Timer(name) if name.wrapping_add(1) == self.timer => {
                self.ask_list(now, out);
                self.tell(out);
                if self.timer % SOLVE_TICKS == 0 {
                    self.solve_draw(now);
                    self.idle_most *= IDLE.1;
                    self.forgive(now);
                }
                self.review(now, out);
            }
            Event::Probed { worker, load, .. } => {
                self.probes_out = self.probes_out.saturating_sub(1);
                if let Some(&i) = self.index.get(&worker) {
                    load.iter().for_each(|load| self.report(now, i, load));
                    self.let_go(i, out);
                }
            }
            Event::Settings(settings) => self.retune(*settings),
            Event::Learned(other) => self.take_in(now, *other),
            Event::Adopted(id, job) => self.adopt(now, id, *job, out),
            Event::Peer { from, held } => return self.hear(now, from, &held),
            Event::Progress {
                request,
                attempt,
                done,
            } => return self.sign(now, request, attempt, done),
            Event::Timer(_) => return,
        }
        self.place_held(now, out);
        debug_assert!(
            self.kept_right(),
            "what is kept must agree with a fresh count"
        );
    }

    fn tick(&self) -> Time {
        (self.settings.granularity * TICK.0).max(TICK.1)
    }

    fn accept(&mut self, now: Time, r: Request, out: &mut Vec<Action>) {
        let unknown = || {
            self.settings
                .classes
                .iter()
                .position(|c| *c == Class::UNKNOWN)
                .unwrap_or(0)
        };
        let class = self
            .class_of
            .get(r.class as usize)
            .copied()
            .unwrap_or_else(unknown);
        let estimate = r.estimate.filter(|e| *e > 0);
        let slots = [r.slots, r.memory]
            .into_iter()
            .filter(|v| v.is_finite())
            .fold(1.0, f64::max);
        let work = self.work(class, estimate);
        self.arrivals.count(
            now,
            work,
            self.settings.classes[class].kind.is_some(),
            r.tenant,
        );
        let over = self.over_share(r.tenant);
        // A client's later try has less time left than the first ones of its class: its aim runs since then.
        let longest = &mut self.classes[class].longest;
        *longest = r.left.max(*longest);
        let (arrived, deadline) = (
            now.saturating_sub(*longest - r.left),
            now.saturating_add(r.left),
        );
        let (aim, stretch) = (
            self.settings.classes[class].aim,
            self.settings.classes[class].stretch,
        );
        let late_from = arrived
            .saturating_add(aim)
            .saturating_add_signed(((stretch - LATE_MARGIN) * work) as i64);
        self.taken.extend(self.settings.rules.resends.map(|_| now));
        let attempts = self.settings.limits.attempts as usize;
        let (subject, of) = (r.subject, Open::default());
        let open = Open {
            class,
            late_from,
            deadline,
            estimate,
            subject,
            slots,
            attempts,
            over,
            ..of
        };
        self.open.insert(r.id, open);
        // While attempts are turned away, a job displaces others (Erlang's formula): refused if worth less.
        let [value, mean] = [usize::from(over) * 2, 0].map(|q| work * self.density(class * 4 + q));
        self.asked = (
            self.asked.0 * KEEP + mean,
            self.asked.1 * KEEP + work * slots,
        );
        let displaced = self.full_share.sqrt() * self.asked.0 / self.asked.1 * work * slots;
        if unit(&mut self.rng) * displaced > value {
            return self.answer(now, r.id, out);
        }
        // Held ones keep better ones from connecting: the least worthy is given up in time.
        let full = self
            .settings
            .limits
            .open
            .is_some_and(|most| self.open.len() > most);
        let queues = (0..self.held.len()).filter(|q| full && !self.held[*q].is_empty());
        if let Some(q) = queues.min_by(|a, b| self.density(*a).total_cmp(&self.density(*b))) {
            let id = self.held[q].pop_front().unwrap_or_default();
            self.answer(now, id, out);
        }
        self.credit = (self.credit + SPEND.0).min(SPEND.1);
        if self.settings.limits.probes && self.settings.reports != Reports::Off {
            self.probe(now, r.id, out);
        }
        self.place_or_hold(now, r.id, out);
    }

    fn started(&mut self, now: Time, id: RequestId, attempt: AttemptNo) {
        let t = self
            .open
            .get_mut(&id)
            .and_then(|o| o.tries.get_mut(attempt as usize));
        let Some(t) = t.filter(|t| !t.done && t.started.is_none()) else {
            return;
        };
        t.started = Some(now);
        self.full_share -= LATE_STEP * self.full_share;
        let (i, wait) = (t.worker, now.saturating_sub(t.sent) as f64);
        if self.run.0 > 0.0 {
            // Long waits tell of shared queues: keep more here, where the worthiest can still go first.
            let target = WAIT_TARGET * self.run.1 / self.run.0 / self.capacity(&self.workers[i]);
            self.count_start(i, wait >= target);
        }
        self.leave(now, i, (id, attempt), 0.0);
        self.sign(now, id, attempt, 0.0);
        let w = &mut self.workers[i];
        let kind = &mut self.kinds[w.kind];
        // A late start tells that no slot was left for others or us, a prompt one that not all were taken.
        let runs = w.own - w.unstarted.iter().map(|u| u.3).sum::<f64>();
        let rest = (kind.slots - runs).max(0.0);
        let overdue = w.overdue(wait, self.settings.granularity);
        let known = w.news_at.map_or(0.0, |at| w.foreign * fresh(now, at));
        (w.foreign, w.news_at) = (
            if overdue { rest + 1.0 } else { rest.min(known) },
            Some(now),
        );
        w.quick = if wait < w.quick { wait } else { w.quick * 1.01 };
        if !kind.reported {
            kind.slots = kind
                .slots
                .max(runs + if overdue { 0.0 } else { w.told(now).floor() });
        }
    }

    /// Notes a sign of an attempt, and looks at the request again when the next one is overdue.
    fn sign(&mut self, now: Time, id: RequestId, attempt: AttemptNo, done: f64) {
        let Some(t) = self
            .open
            .get_mut(&id)
            .and_then(|o| o.tries.get_mut(attempt as usize))
        else {
            return;
        };
        t.sign = (now, done);
        let (i, moves) = (t.worker, done > 0.0);
        t.told = t.told.or(Some((now, done)).filter(|_| done > 0.0));
        if moves {
            self.alive(now, i);
        }
        let at = self
            .open
            .get(&id)
            .map(|o| self.overdue_at(&o.tries[attempt as usize]));
        self.due.extend(at.map(|at| (at, id)));
    }

    /// An own attempt no longer waits at its worker; it gives back these slots.
    fn leave(&mut self, now: Time, i: usize, of: Sent, slots: f64) {
        let w = &mut self.workers[i];
        w.running(now);
        w.own = (w.own - slots).max(0.0);
        self.waiting -= w.unstarted.len();
        w.unstarted.retain(|u| (u.1, u.2) != of);
        self.waiting += w.unstarted.len();
        if w.own <= 0.0 {
            self.busy.remove(&i);
        }
    }

    fn ended(
        &mut self,
        now: Time,
        (id, attempt): Sent,
        status: Status,
        load: Option<Load>,
    ) -> Option<usize> {
        let open = self.open.get_mut(&id)?;
        let t = open.tries.get_mut(attempt as usize).filter(|t| !t.done)?;
        t.done = true;
        let full_ran = status == Status::Full && self.settings.rules.full_may_have_run;
        t.never_ran =
            !full_ran && matches!(status, Status::Full | Status::ConnectFailed | Status::Moot);
        let uncounted = if status == Status::Moot {
            self.resent.binary_search(&t.sent).ok()
        } else {
            None
        };
        uncounted
            .filter(|_| attempt > 0)
            .map(|n| self.resent.remove(n));
        let (i, from, unused, class, estimate) =
            (t.worker, t.started, t.unused, open.class, open.estimate);
        let asks = from.filter(|_| open.subject.is_some());
        let fetched = asks.and_then(|from| affinity::fetch_time(from, t.told, now));
        let away = fetched.filter(|_| t.away && status == Status::Ok);
        away.into_iter()
            .for_each(|took| self.fetches.sent_away(took));
        let slots = if t.silent { 0.0 } else { open.slots };
        self.leave(now, i, (id, attempt), slots);
        self.workers[i].idle.push(now);
        load.iter().for_each(|load| self.report(now, i, load));
        if status == Status::Reset && from.is_none() && unused > 0 {
            // Broken before the job began, on a connection long unused: that tells of it, not of the worker.
            self.idle_most = self.idle_most.min(unused as f64 * IDLE.0);
        } else if status != Status::Timeout {
            self.judge(now, i, status); // silence has been judged when it was overdue
        }
        if let (Status::Ok, Some(from)) = (status, from) {
            let run = now
                .saturating_sub(from)
                .saturating_sub(fetched.unwrap_or(0.0) as Time);
            let kind = self.workers[i].kind;
            let (kind, class) = (&mut self.kinds[kind].run, &mut self.classes[class].run);
            runs::learn(kind, class, &mut self.run, estimate, run);
        }
        Some(i)
    }

    /// The request needs nothing more: withdraw what is still out and forget it once all outcomes are in.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let still_out = open.tries.iter().enumerate().filter(|(_, t)| !t.done);
        if !open.closed && self.settings.limits.cancel {
            out.extend(still_out.map(|(n, _)| Action::Cancel {
                request: id,
                attempt: n as AttemptNo,
            }));
        }
        open.closed = true;
        if open.tries.iter().all(|t| t.done) {
            self.open.remove(&id);
        }
    }

    /// May this worker get this request at all, now?
    fn usable(&self, now: Time, i: usize, open: &Open, work: f64) -> bool {
        let w = &self.workers[i];
        w.active
            && now >= w.aside_until
            && (w.failure <= SUSPECT || self.may_try(w, open))
            && !open.tries.iter().any(|t| t.worker == i && !t.never_ran)
            && self.group_allows(open, w)
            && self.allowance(now, w, work) >= work
    }

    /// Share of its capacity that a worker has at least: rises evenly from the cold share.
    fn warmth(&self, now: Time, w: &Worker) -> f64 {
        let (rules, age) = (
            &self.settings.rules,
            now.saturating_sub(w.listed.ready_at) as f64,
        );
        let from = rules.cold_from.clamp(0.01, 1.0);
        let warmth = from + (1.0 - from) * age / rules.warm_after.max(1) as f64;
        if w.listed.ready_at == 0 {
            1.0
        } else {
            warmth.min(1.0)
        }
    }

    /// Work that may be sent to a cold worker in each unit of time; none for a warm one. Its budget goes to
    /// so few dispatchers that a part soon pays for a job: a hundredth of it would not before it is warm.
    fn cold_rate(&self, now: Time, w: &Worker) -> Option<f64> {
        let (rules, n, me) = (
            &self.settings.rules,
            self.settings.dispatchers.into(),
            self.settings.me.into(),
        );
        let warmth = self.warmth(now, w);
        let budget = rules.tip_multiple * COLD_USE * self.capacity(w);
        let least = budget * rules.cold_from * rules.tip_window as f64 / COLD_JOBS;
        let parts = ((least * self.run.0 / self.run.1.max(1.0)) as u64)
            .max(D as u64)
            .min(n);
        // Ids tell nothing, so each worker has a first dispatcher of its own, the same for all who ask.
        let first = u64::from(w.listed.worker).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        let mine = first.wrapping_sub(me) % n < parts;
        (warmth < 1.0).then_some(if mine {
            budget * warmth / parts as f64
        } else {
            0.0
        })
    }

    /// Work that may be sent to a worker now: to a cold one its part of the budget, saved up evenly.
    fn allowance(&self, now: Time, w: &Worker, work: f64) -> f64 {
        let Some(rate) = self.cold_rate(now, w) else {
            return f64::INFINITY;
        };
        let saved = w.allowance.0 + rate * now.saturating_sub(w.allowance.1) as f64;
        saved.min(work.max(rate * self.settings.rules.tip_window as f64 / COLD_JOBS))
    }

    /// Does the class's effect permit a further attempt on this worker?
    fn group_allows(&self, open: &Open, w: &Worker) -> bool {
        let Some(first) = open.tries.iter().find(|t| !t.never_ran) else {
            return true;
        };
        let of = &self.workers[first.worker].listed;
        match self.settings.classes[open.class].effect {
            Effect::Keyed {
                group: Group::Zone, ..
            } => of.zone == w.listed.zone,
            Effect::Keyed {
                group: Group::Cell, ..
            } => of.cell == w.listed.cell,
            _ => true,
        }
    }

    /// From this time on no rule allows one more attempt, or it would hardly be done by the deadline.
    fn sendable_until(&self, open: &Open) -> Time {
        let runs = LATE_MARGIN * self.work(open.class, open.estimate);
        let last = open
            .deadline
            .saturating_sub((runs as Time).min(self.classes[open.class].longest / 2));
        let most = open.attempts.min(self.settings.limits.attempts as usize);
        let ran = open.tries.iter().find(|t| !t.never_ran);
        let until = |end: Time| end.saturating_sub(self.tick()).min(last);
        match (ran, self.settings.classes[open.class].effect) {
            _ if open.closed || open.tries.len() >= most => 0,
            (Some(_), Effect::Unsafe) => 0,
            (Some(first), Effect::Keyed { ttl, .. }) => until(first.sent.saturating_add(ttl)),
            _ => last,
        }
    }

    /// Attempts beyond a request's first that their budget has left in the window that ends now.
    fn resends_left(&mut self, now: Time) -> f64 {
        let Some(budget) = self.settings.rules.resends else {
            return f64::INFINITY;
        };
        let from = |or: Time| budget.window.map_or(or, |w| now.saturating_sub(w));
        self.taken
            .drain(..self.taken.partition_point(|t| *t <= from(now)));
        self.resent
            .drain(..self.resent.partition_point(|t| *t < from(0)));
        budget.free + budget.ratio * self.taken.len() as f64 - self.resent.len() as f64
    }

    fn place_or_hold(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let idle = |o: &&Open| o.held.is_none() && o.tries.iter().all(|t| t.done);
        match self.open.get(&id).filter(idle).map(|open| open.closed) {
            Some(true) => self.close(id, out),
            Some(false) if !self.place(now, id, out) => self.hold(now, id, out),
            _ => {}
        }
    }

    fn place(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) -> bool {
        self.choose(now, id)
            .is_some_and(|worker| self.send(now, id, worker, out))
    }

    /// Holds a request, or ends it where it can earn nothing more or no tick may come before its deadline.
    fn hold(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let resends = self.resends_left(now);
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let (late, until) = (now > open.late_from, self.sendable_until(open));
        let until = until.min(open.deadline.saturating_sub(2 * self.tick()));
        let worthless = late && self.settings.classes[open.class].late_worth <= 0.0;
        if now >= until || worthless || (!open.tries.is_empty() && resends < 1.0) {
            return self.answer(now, id, out);
        }
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let q = open.class * 4 + usize::from(open.over) * 2 + usize::from(late);
        open.held = Some(q);
        self.due.insert((
            if late {
                until
            } else {
                until.min(open.late_from + 1)
            },
            id,
        ));
        self.held[q].push_back(id);
    }

    /// The one place that sends. Every rule that limits a send is checked here, whatever chose the worker.
    fn send(&mut self, now: Time, id: RequestId, i: usize, out: &mut Vec<Action>) -> bool {
        let resends = self.resends_left(now);
        let Some(open) = self.open.get(&id) else {
            return false;
        };
        let (w, work) = (&self.workers[i], self.work(open.class, open.estimate));
        let (left, by) = (
            self.allowance(now, w, work) - work,
            self.sendable_until(open),
        );
        let allowed = now < by
            && (open.tries.is_empty() || resends >= 1.0)
            && (self.settings.limits.duplicates || open.tries.iter().all(|t| t.done))
            && w.active
            && self.group_allows(open, w)
            && left >= 0.0;
        if !allowed {
            return false;
        }
        let away = self.first(open).is_some_and(|first| first != i);
        let w = &mut self.workers[i];
        let Some(open) = self.open.get_mut(&id) else {
            return false;
        };
        w.allowance = (left, now);
        let attempt = open.tries.len() as AttemptNo;
        // Dropped unseen, a connection would cost the attempt: where that was met, old ones are closed first.
        let unused = w.idle.first().map_or(0, |since| now - since);
        if unused as f64 > self.idle_most {
            w.idle.clear();
            out.push(Action::Disconnect {
                worker: w.listed.worker,
            });
        }
        w.idle.pop();
        let started = (!self.settings.tells_start && w.own == 0.0).then_some(now);
        if self.settings.tells_start {
            w.unstarted.push((now, id, attempt, open.slots));
            self.waiting += 1;
        }
        self.resent.extend(
            self.settings
                .rules
                .resends
                .filter(|_| attempt > 0)
                .map(|_| now),
        );
        w.own += open.slots;
        self.busy.insert(i);
        open.held = None;
        open.tries.push(Try {
            worker: i,
            sent: now,
            unused,
            started,
            away,
            ..Try::default()
        });
        out.push(Action::Send {
            request: id,
            worker: w.listed.worker,
            timeout: 0,
            by,
        });
        if self.settings.tells_start && self.settings.limits.moves() {
            self.due.insert((
                now + (MOVE_FETCHES * self.fetches.cost()) as Time + MOVE_WAIT,
                id,
            ));
        }
        if self.settings.classes[open.class].late_worth <= 0.0 && self.settings.tells_start {
            self.due.insert((open.late_from + 1, id));
        }
        true
    }

    /// The one place that gives final answers: a refusal only where it is true that nothing took effect.
    fn answer(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).filter(|o| !o.closed) else {
            return;
        };
        let effect = self.settings.classes[open.class].effect;
        let repeatable = matches!(
            effect,
            Effect::Safe
                | Effect::Keyed {
                    group: Group::All,
                    ..
                }
        );
        let harmless = repeatable || open.tries.iter().all(|t| t.never_ran);
        // In time yet, it may come back at once; else when others have been served, if it has the time.
        let most = if self.settings.limits.retry_after {
            self.settings.limits.max_retry_after
        } else {
            0
        };
        let when = if now > open.late_from {
            most
        } else {
            self.tick()
        };
        let retry_after = when.min(most).min(open.deadline.saturating_sub(now) / 2);
        let refuse = Action::Refuse {
            request: id,
            retry_after,
        };
        out.push(if harmless {
            refuse
        } else {
            Action::Fail { request: id }
        });
        self.close(id, out);
    }

    /// Ends what can earn nothing more, also at a worker, moves late held ones behind, finds silent attempts.
    fn review(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.due.first().filter(|due| due.0 <= now) {
            self.due.remove(&(at, id));
            let Some(open) = self.open.get(&id).filter(|o| !o.closed) else {
                continue;
            };
            let worthless =
                self.settings.classes[open.class].late_worth <= 0.0 && now > open.late_from;
            if let Some(q) = open.held {
                self.held[q].retain(|other| *other != id);
                self.hold(now, id, out);
            } else if worthless && open.tries.iter().all(|t| t.started.is_none()) {
                self.answer(now, id, out);
            } else {
                self.pass_over_silent(now, id, out);
            }
        }
    }

    /// Sends held requests while a worker takes them: the worthiest for their work first, then the newest.
    fn place_held(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut order: Vec<usize> = (0..self.held.len())
            .filter(|q| !self.held[*q].is_empty())
            .collect();
        if order.is_empty() || !self.may_wait(false) || !self.room(now) {
            return;
        }
        order.sort_by(|a, b| self.density(*b).total_cmp(&self.density(*a)));
        // First what finds a slot where its like goes, then any.
        let rounds: &[bool] = if self.fetches.cost() > 0.0 {
            &[true, false]
        } else {
            &[false]
        };
        for (first, q) in rounds
            .iter()
            .flat_map(|first| order.iter().map(|q| (*first, *q)))
        {
            // A request that only few workers may get must not keep those behind it waiting.
            let (mut n, mut misses) = (self.held[q].len(), 0);
            while n > 0 && misses < if first { FIRSTS_MOST } else { MISSES_MOST } {
                n -= 1;
                let id = self.held[q][n];
                let waits = self
                    .open
                    .get(&id)
                    .is_some_and(|o| !o.closed && o.held == Some(q));
                let pick = |d: &mut Self| {
                    if first {
                        d.choose_first(now, id)
                    } else {
                        d.choose(now, id)
                    }
                };
                let worker = if waits { pick(self) } else { None };
                if waits && worker.is_none() {
                    misses += 1;
                    continue;
                }
                if worker.is_some_and(|worker| !self.send(now, id, worker, out)) {
                    self.answer(now, id, out);
                }
                self.held[q].remove(n);
            }
        }
    }

    /// Worth for each unit of work of the requests in a queue.
    fn density(&self, q: usize) -> f64 {
        let class = &self.settings.classes[q / 4];
        let work = if self.settings.worth_by_work {
            1.0
        } else {
            self.work(q / 4, None).max(1e-9)
        };
        let over = if q & 2 != 0 {
            self.settings.over_share_worth
        } else {
            1.0
        };
        let late = if q & 1 != 0 { class.late_worth } else { 1.0 };
        class.worth * over * late / work
    }
}

fn unit(rng: &mut Option<Pcg64Mcg>) -> f64 {
    rng.as_mut().map_or(0.0, |rng| {
        (rng.next_u64() >> 12) as f64 / (1u64 << 52) as f64
    })
}
