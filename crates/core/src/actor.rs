//! The actor that drives the engine in real time: it reads inputs from a mailbox and takes the time from a clock.

use super::clock::Clock;
use super::engine::Engine;
use super::metrics::Metrics;
use super::{CoreInput, Settings, Transport};
use async_channel::{Receiver, Sender, bounded};
use async_io::Timer;
use futures_lite::FutureExt;
use indigofold_decisions::api::Time;
use std::rc::Rc;

/// Capacity of the mailbox, in messages. A sender waits while it is full; senders are the fronts, each the program's side
/// of one protocol.
const MAILBOX_CAPACITY: usize = 1024;
/// Messages handled per turn after the first one; after that the clock is read again.
const MAX_BATCH: usize = 256;
/// Interval between two log entries on the actor's state, in microseconds.
const REPORT_INTERVAL_US: Time = 10_000_000;

/// The sending side of the core's mailbox, through which a front passes inputs to the engine.
pub type Mailbox = Sender<CoreInput>;

/// Creates a mailbox with a capacity of 1024 messages and returns both of its sides.
pub fn mailbox() -> (Mailbox, Receiver<CoreInput>) {
    bounded(MAILBOX_CAPACITY)
}

/// The engine with its mailbox, clock and transport.
pub struct Actor<F> {
    engine: Engine,
    transport: Rc<F>,
    clock: Clock,
    inbox: Receiver<CoreInput>,
    metrics: Rc<Metrics>,
    /// The counters at the last state report: served, rejected, failed, clients left.
    reported: [u64; 4],
}

impl<F: Transport> Actor<F> {
    /// Creates an actor with an empty job table that reads its inputs from `inbox`.
    pub fn new(
        settings: Settings,
        transport: Rc<F>,
        clock: Clock,
        inbox: Receiver<CoreInput>,
        metrics: Rc<Metrics>,
    ) -> Self {
        let engine = Engine::new(settings, clock.now(), metrics.clone());
        Actor {
            engine,
            transport,
            clock,
            inbox,
            metrics,
            reported: [0; 4],
        }
    }

    /// Handles inputs and due steps until all fronts have dropped their side of the mailbox.
    pub async fn run(mut self) {
        let (mut next_report, mut lateness) = (self.clock.now() + REPORT_INTERVAL_US, (0, 0, 0u64));
        loop {
            let input = match self.engine.due() {
                Some(at) if at <= self.clock.now() => None,
                Some(at) => {
                    let due = self.clock.instant(at);
                    let sleep = async {
                        Timer::at(due).await;
                        Ok(None)
                    };
                    match async { self.inbox.recv().await.map(Some) }.or(sleep).await {
                        Ok(input) => {
                            if input.is_none() {
                                let by = self.clock.now().saturating_sub(at);
                                lateness = (by.max(lateness.0), lateness.1 + by, lateness.2 + 1);
                            }
                            input
                        }
                        Err(_) => return,
                    }
                }
                None => match self.inbox.recv().await {
                    Ok(input) => Some(input),
                    Err(_) => return,
                },
            };
            let now = self.clock.now();
            if let Some(input) = input {
                self.engine.handle_input(now, input, &*self.transport);
            }
            for _ in 0..MAX_BATCH {
                let Ok(input) = self.inbox.try_recv() else {
                    break;
                };
                self.engine.handle_input(now, input, &*self.transport);
            }
            self.engine.step(now, &*self.transport);
            if now >= next_report {
                self.report_state(lateness);
                (next_report, lateness) = (now + REPORT_INTERVAL_US, (0, 0, 0));
            }
        }
    }

    fn report_state(&mut self, (max, sum, count): (Time, Time, u64)) {
        let [served, rejected, failed] = self.metrics.total_ends();
        let sums = [served, rejected, failed, self.metrics.clients_left.get()];
        let reported = std::mem::replace(&mut self.reported, sums);
        let [served, rejected, failed, clients_left] = [0, 1, 2, 3].map(|n| sums[n] - reported[n]);
        let (jobs, mean) = (self.engine.jobs(), sum / count.max(1));
        self.transport.log_event(&format!(
            "jobs={jobs} served={served} requeued={rejected} failed={failed} gone={clients_left} \
             timer_late_us_mean={mean} timer_late_us_most={max}"
        ));
    }
}
