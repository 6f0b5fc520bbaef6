//! The actor that drives the engine in real time: its mailbox and its clock.

use super::clock::Clock;
use super::engine::Engine;
use super::metrics::Figures;
use super::{Settings, Told, Transport};
use crate::api::Time;
use async_channel::{Receiver, Sender, bounded};
use async_io::Timer;
use futures_lite::FutureExt;
use std::rc::Rc;

/// Messages that may wait for the module; fronts wait beyond that.
const MAILBOX: usize = 1024;
/// Messages taken in one go, so that time is read again between.
const IN_ONE_GO: usize = 256;
/// Between two lines on the state of the core actor.
const SAY_EVERY: Time = 10_000_000;

/// Where fronts tell the core what happened.
pub type Mailbox = Sender<Told>;

/// A mailbox of the right size.
pub fn mailbox() -> (Mailbox, Receiver<Told>) {
    bounded(MAILBOX)
}

/// The engine and what drives it.
pub struct Actor<F> {
    engine: Engine,
    transport: Rc<F>,
    clock: Clock,
    inbox: Receiver<Told>,
    figures: Rc<Figures>,
    said: [u64; 4],
}

impl<F: Transport> Actor<F> {
    /// An actor with an empty job table, and the mailbox to it.
    pub fn new(
        settings: Settings,
        transport: Rc<F>,
        clock: Clock,
        inbox: Receiver<Told>,
        figures: Rc<Figures>,
    ) -> Self {
        let engine = Engine::new(settings, clock.now(), figures.clone());
        Actor {
            engine,
            transport,
            clock,
            inbox,
            figures,
            said: [0; 4],
        }
    }

    /// Runs until all fronts have dropped the mailbox.
    pub async fn run(mut self) {
        let (mut say, mut late) = (self.clock.now() + SAY_EVERY, (0, 0, 0u64));
        loop {
            let told = match self.engine.due() {
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
                self.engine.told(now, told, &*self.transport);
            }
            for _ in 0..IN_ONE_GO {
                let Ok(told) = self.inbox.try_recv() else {
                    break;
                };
                self.engine.told(now, told, &*self.transport);
            }
            self.engine.step(now, &*self.transport);
            if now >= say {
                self.say(late);
                (say, late) = (now + SAY_EVERY, (0, 0, 0));
            }
        }
    }

    fn say(&mut self, (most, sum, count): (Time, Time, u64)) {
        let [served, rejected, failed] = self.figures.all();
        let sums = [served, rejected, failed, self.figures.gone.get()];
        let said = std::mem::replace(&mut self.said, sums);
        let [served, rejected, failed, gone] = [0, 1, 2, 3].map(|n| sums[n] - said[n]);
        let (jobs, mean) = (self.engine.jobs(), sum / count.max(1));
        self.transport.note(&format!(
            "jobs={jobs} served={served} requeued={rejected} failed={failed} gone={gone} \
             timer_late_us_mean={mean} timer_late_us_most={most}"
        ));
    }
}
