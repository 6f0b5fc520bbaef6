//! Clients: each job over all its tries.

use super::*;

/// A client's job, over all its tries.
pub(super) struct Trip {
    pub(super) arrival: Arrival,
    pub(super) over: bool,
    pub(super) until: Micros,
    pub(super) open: u32, // tries without an answer, and retries that are still to be sent
    pub(super) out: SmallVec<[JobId; 2]>, // tries at schedulers
    pub(super) served: Option<Micros>,
    pub(super) last: Option<Said>,
    pub(super) live: bool,
}

/// One try at a scheduler.
pub(super) struct Try {
    pub(super) trip: u32,
    pub(super) tried: u32,
    pub(super) scheduler: u32,
    pub(super) came: Micros,
    pub(super) done: bool, // answered or gone, as the scheduler knows
}

impl Ground<'_> {
    pub(super) fn all_trips_over(&self) -> bool {
        self.free_trips.len() == self.trips.len()
    }

    pub(super) fn arrives(&mut self, arrival: Arrival) {
        let over = self.service.arrives(arrival.at, arrival.parish);
        let until = arrival.at + arrival.deadline;
        let recorded = match self.retries {
            Retries::Recorded => arrival.retries.clone(),
            _ => Vec::new(),
        };
        let at = arrival.at;
        let trip = Trip {
            arrival,
            over,
            until,
            open: 0,
            out: SmallVec::new(),
            served: None,
            last: None,
            live: true,
        };
        let n = match self.free_trips.pop() {
            Some(n) => {
                self.trips[n as usize] = trip;
                n
            }
            None => {
                self.trips.push(trip);
                self.trips.len() as u32 - 1
            }
        };
        for (k, after) in recorded.iter().enumerate() {
            self.trips[n as usize].open += 1; // kept until it was sent
            self.at(at + after, Ev::Try(n, k as u32 + 1));
        }
        self.send(n, 0);
    }

    /// A client sends a try.
    pub(super) fn send(&mut self, n: u32, tried: u32) {
        let trip = &mut self.trips[n as usize];
        trip.open += 1;
        if tried > 0 {
            let at = trip.arrival.at;
            self.service.retried(at);
        }
        let trip = &self.trips[n as usize];
        let (until, number) = (trip.until, trip.arrival.number);
        let zone = self.scenario.home(trip.arrival.parish, number);
        let scheduler = self.scheduler_of(zone);
        let job = self.next_job;
        self.next_job += 1;
        let come = self.now + self.delay(self.scenario.network.client_ms);
        self.trips[n as usize].out.push(job);
        self.tries.insert(
            job,
            Try {
                trip: n,
                tried,
                scheduler,
                came: come,
                done: false,
            },
        );
        self.at(come, Ev::Job(scheduler, job));
        if tried == 0 {
            self.at(until, Ev::TimeUp(n, number as u32));
        }
    }

    pub(super) fn answer_comes(
        &mut self,
        job: JobId,
        status: u8,
        after: Micros,
        log: &mut impl FnMut(Logged<'_>),
    ) {
        let Some(t) = self.tries.remove(&job) else {
            return;
        };
        let n = t.trip;
        let said = [Said::Served, Said::Refused(after), Said::Failed][status as usize];
        let client = (self.scenario.network.client_ms * 1e3) as Micros;
        let trip = &mut self.trips[n as usize];
        trip.open -= 1;
        trip.out.retain(|other| *other != job);
        log(Logged {
            arrival: &trip.arrival,
            tried: t.tried,
            scheduler: t.scheduler,
            from: t.came,
            to: self.now.saturating_sub(client).max(t.came),
            status: Some([200, 503, 500][status as usize]),
        });
        if !trip.live {
            return self.perhaps_over(n);
        }
        trip.last = Some(said);
        if said == Said::Served {
            trip.served = Some(self.now);
            return self.over(n, End::Served(self.now));
        }
        let effect = self.scenario.classes[trip.arrival.class as usize].effect;
        let (number, until) = (trip.arrival.number, trip.until);
        let next = match self.retries {
            Retries::Model => again(
                &self.scenario.clients,
                effect,
                said,
                (self.seed, number),
                t.tried,
                self.now,
                until,
            ),
            _ => None,
        };
        match next {
            Some(at) => {
                trip.open += 1; // given back once it is sent
                self.at(at, Ev::Try(n, t.tried + 1));
            }
            None if trip.open == 0 => {
                let end = if matches!(said, Said::Refused(_)) {
                    End::Refused(self.now)
                } else {
                    End::Failed(self.now)
                };
                self.over(n, end);
            }
            None => {}
        }
    }

    /// A client's time is up: it leaves with all its tries.
    pub(super) fn time_up(&mut self, n: u32, log: &mut impl FnMut(Logged<'_>)) {
        for job in std::mem::take(&mut self.trips[n as usize].out) {
            let Some(t) = self.tries.remove(&job) else {
                continue;
            };
            let trip = &mut self.trips[n as usize];
            trip.open -= 1;
            if !t.done {
                self.checker.see(Seen::Gone { job });
                let way = (self.scenario.network.client_ms * 1e3) as Micros;
                self.at(self.now + way, Ev::Gone(t.scheduler, job));
            }
            let (arrival, status) = (&self.trips[n as usize].arrival, None);
            let to = self.now.max(t.came);
            log(Logged {
                arrival,
                tried: t.tried,
                scheduler: t.scheduler,
                from: t.came,
                to,
                status,
            });
        }
        self.over(n, End::Late(self.now));
    }

    pub(super) fn over(&mut self, n: u32, end: End) {
        let trip = &mut self.trips[n as usize];
        if !std::mem::take(&mut trip.live) {
            return;
        }
        let a = &trip.arrival;
        let work = a.work * u64::from(a.slots);
        let job = Counted {
            class: a.class,
            parish: a.parish,
            at: a.at,
            work,
            over: trip.over,
        };
        let own = a.work;
        self.service.ended(self.scenario, job, end, own);
        self.perhaps_over(n);
    }

    /// A trip's place is free once nothing more comes of it.
    pub(super) fn perhaps_over(&mut self, n: u32) {
        let trip = &self.trips[n as usize];
        if trip.open > 0 {
            return;
        }
        if trip.live {
            // All recorded tries are over, and none was served.
            let end = match trip.last {
                Some(Said::Refused(_)) => End::Refused(self.now),
                _ => End::Failed(self.now),
            };
            return self.over(n, end);
        }
        self.free_trips.push(n);
    }
}
