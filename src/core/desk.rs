//! The actor that owns the decision module: its mailbox, its clock, its timers and its batches.

use super::book::Book;
use super::clock::Clock;
use super::figures::Figures;
use super::{Floor, Settings, Told};
use crate::api::{Action, Event, Time};
use crate::choice::Dispatcher;
use async_channel::{Receiver, Sender, bounded};
use async_io::Timer;
use futures_lite::FutureExt;
use std::collections::BTreeSet;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

/// Messages that may wait for the module; fronts wait beyond that.
const MAILBOX: usize = 1024;
/// Messages taken in one go, so that time is read again between.
const IN_ONE_GO: usize = 256;
/// Between two lines on the state of the desk.
const SAY_EVERY: Time = 10_000_000;

/// Where fronts tell the core what happened.
pub type Mailbox = Sender<Told>;

/// A mailbox of the right size.
pub fn mailbox() -> (Mailbox, Receiver<Told>) {
    bounded(MAILBOX)
}

/// The module and the book.
pub struct Desk<F> {
    dispatcher: Dispatcher,
    book: Book,
    floor: Rc<F>,
    clock: Clock,
    inbox: Receiver<Told>,
    gap: Time,
    timers: BTreeSet<(Time, u64)>,
    figures: Rc<Figures>,
    said: [u64; 4],
}

impl<F: Floor> Desk<F> {
    /// A desk with an empty book, and the mailbox to it.
    pub fn new(
        settings: Settings, floor: Rc<F>, clock: Clock, inbox: Receiver<Told>, figures: Rc<Figures>,
    ) -> Self {
        let gap = settings.module.granularity;
        let dispatcher = Dispatcher::new(settings.module, settings.seed, clock.now());
        let book = Book::new(settings.early, figures.clone());
        Desk { dispatcher, book, floor, clock, inbox, gap, timers: BTreeSet::new(), figures, said: [0; 4] }
    }

    /// Runs until all fronts have dropped the mailbox.
    pub async fn run(mut self) {
        let (mut gate, mut say, mut late) = (0, self.clock.now() + SAY_EVERY, (0, 0, 0u64));
        loop {
            let wake = self.wake_at(gate);
            let told = match wake {
                Some(at) if at <= self.clock.now() => None,
                Some(at) => {
                    let due = self.clock.instant(at);
                    let sleep = async {
                        Timer::at(due).await;
                        Ok(None)
                    };
                    match async { self.inbox.recv().await.map(Some) }.or(sleep).await {
                        Ok(told) => {
                            if told.is_none() {
                                let by = self.clock.now().saturating_sub(at);
                                late = (by.max(late.0), late.1 + by, late.2 + 1);
                            }
                            told
                        }
                        Err(_) => return,
                    }
                }
                None => match self.inbox.recv().await {
                    Ok(told) => Some(told),
                    Err(_) => return,
                },
            };
            let now = self.clock.now();
            if let Some(told) = told {
                self.told(now, told);
            }
            for _ in 0..IN_ONE_GO {
                let Ok(told) = self.inbox.try_recv() else { break };
                self.told(now, told);
            }
            self.book.expire(now, &*self.floor);
            if now >= gate && self.batch(now) {
                gate = now + self.gap;
            }
            if now >= say {
                self.say(late);
                (say, late) = (now + SAY_EVERY, (0, 0, 0));
            }
        }
    }

    fn told(&mut self, now: Time, told: Told) {
        if let Told::Settings(settings) = &told {
            self.gap = settings.granularity;
        }
        self.book.told(now, told, &*self.floor);
    }

    /// The next moment at which something is due.
    fn wake_at(&self, gate: Time) -> Option<Time> {
        let timer = self.timers.first().map(|t| t.0.max(gate));
        let batch = self.book.has_events().then_some(gate);
        [timer, batch, self.book.next_due()].into_iter().flatten().min()
    }

    /// Hands the module what has happened, in order, and carries out what it asks for.
    fn batch(&mut self, now: Time) -> bool {
        let mut events = self.book.take_events();
        while let Some((_, name)) = self.timers.first().filter(|t| t.0 <= now).copied() {
            self.timers.pop_first();
            events.push(Event::Timer(name));
        }
        let any = !events.is_empty();
        let mut actions = Vec::new();
        for event in events {
            // A module that panics must not take down what other jobs wait for: the book answers them.
            let dispatcher = &mut self.dispatcher;
            if catch_unwind(AssertUnwindSafe(|| dispatcher.handle(now, event, &mut actions))).is_err() {
                self.floor.note("the decision module panicked; its event was dropped");
            }
            for action in actions.drain(..) {
                if let Action::Timer { at, name } = action {
                    self.timers.insert((at, name));
                } else {
                    self.book.act(action, &*self.floor);
                }
            }
        }
        self.book.events_done();
        if any {
            self.figures.pool.set(self.dispatcher.pool(now));
        }
        any
    }

    fn say(&mut self, (most, sum, count): (Time, Time, u64)) {
        let [served, requeued, failed] = self.figures.all();
        let sums = [served, requeued, failed, self.figures.gone.get()];
        let said = std::mem::replace(&mut self.said, sums);
        let [served, requeued, failed, gone] = [0, 1, 2, 3].map(|n| sums[n] - said[n]);
        let (jobs, mean) = (self.book.jobs(), sum / count.max(1));
        self.floor.note(&format!(
            "jobs={jobs} served={served} requeued={requeued} failed={failed} gone={gone} \
             timer_late_us_mean={mean} timer_late_us_most={most}"
        ));
    }
}
