//! Job workers: the model of [`crate::worker`] behind HTTP, with news by call-backs.

use super::discovery::name;
use super::http::Link;
use super::{Stage, locked};
use crate::check::Seen;
use crate::scenario::Micros;
use crate::worker::{Event, Job, Offer, Worker};
use async_channel::{Receiver, Sender, unbounded};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

/// Connections on which news goes to a scheduler.
const CALLERS: usize = 8;
/// A job worker tries each call so often.
const TRIES: usize = 10;
/// Between two such tries.
const AGAIN: Duration = Duration::from_millis(100);
/// Between two looks at how warm a job worker is.
const WARM: Duration = Duration::from_millis(100);

/// A job that a client has sent, as the job workers need to know it.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    /// Running time at speed 1.
    pub work: Micros,
    /// Slots.
    pub slots: u32,
}

/// An attempt that a job worker holds.
#[derive(Clone, Copy)]
struct Held {
    job: u64,
    scheduler: u32,
    total: Micros,
}

struct Machine {
    worker: Mutex<Worker>,
    held: Mutex<HashMap<u64, Held>>,
    wake: (Sender<()>, Receiver<()>),
    /// Grows with each crash: connections of before are dead.
    life: std::sync::atomic::AtomicU64,
    addresses: Mutex<Vec<SocketAddr>>,
}

/// All job workers.
pub struct Fleet {
    stage: Arc<Stage>,
    machines: Vec<Machine>,
    next: std::sync::atomic::AtomicU64,
    news: OnceLock<Vec<Sender<String>>>, // by scheduler
}

/// Starts all job workers.
pub async fn open(stage: &Arc<Stage>) -> io::Result<Arc<Fleet>> {
    let machines = (0..stage.scenario.workers())
        .map(|n| {
            let kind = &stage.scenario.kinds[stage.scenario.kind_of(n)];
            Machine {
                worker: Mutex::new(
                    Worker::new(kind, stage.scenario.speed_of(n))
                        .serving(stage.scenario.machines.order, None),
                ),
                held: Mutex::default(),
                wake: async_channel::bounded(1),
                life: Default::default(),
                addresses: Mutex::default(),
            }
        })
        .collect();
    let fleet = Arc::new(Fleet {
        stage: stage.clone(),
        machines,
        next: 1.into(),
        news: OnceLock::new(),
    });
    for w in 0..stage.scenario.workers() {
        fleet.listen(w).await?;
        stage.start(fleet.clone().run(w));
    }
    Ok(fleet)
}

impl Fleet {
    fn machine(&self, w: u32) -> &Machine {
        &self.machines[w as usize]
    }

    /// Where news goes, once the schedulers are there.
    pub fn call_back(&self, stage: &Arc<Stage>, schedulers: &[SocketAddr]) {
        let mut all = Vec::new();
        for to in schedulers.iter().copied() {
            let (send, news) = unbounded::<String>();
            for _ in 0..CALLERS {
                stage.start(caller(to, news.clone()));
            }
            all.push(send);
        }
        let _ = self.news.set(all);
    }

    /// Listens for each scheduler, at the addresses of before if it did so before.
    async fn listen(self: &Arc<Self>, w: u32) -> io::Result<()> {
        let machine = self.machine(w);
        let before = locked(&machine.addresses).clone();
        let life = machine.life.load(std::sync::atomic::Ordering::SeqCst);
        let mut addresses = Vec::new();
        for scheduler in 0..self.stage.scenario.schedulers {
            let at = before.get(scheduler as usize).copied();
            let listener =
                TcpListener::bind(at.unwrap_or_else(|| ([127, 0, 0, 1], 0).into())).await?;
            addresses.push(listener.local_addr()?);
            let fleet = self.clone();
            self.stage.start(async move {
                loop {
                    let accept = async { listener.accept().await.ok() };
                    let gone = async {
                        while fleet.alive(w, life) {
                            Timer::after(Duration::from_millis(2)).await;
                        }
                        None
                    };
                    let Some((stream, _)) = smol::future::or(accept, gone).await else {
                        return;
                    };
                    fleet.stage.start(fleet.clone().connection(
                        w,
                        scheduler,
                        life,
                        Link::new(stream),
                    ));
                }
            });
        }
        locked(&self.stage.list).reached_at(w, addresses.clone());
        *locked(&machine.addresses) = addresses;
        Ok(())
    }

    fn alive(&self, w: u32, life: u64) -> bool {
        self.machine(w)
            .life
            .load(std::sync::atomic::Ordering::SeqCst)
            == life
    }

    async fn connection(self: Arc<Self>, w: u32, scheduler: u32, life: u64, mut link: Link) {
        let serve = async { while self.serve(w, scheduler, &mut link).await.is_ok() {} };
        let gone = async {
            while self.alive(w, life) {
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        smol::future::or(serve, gone).await;
    }

    /// One request.
    async fn serve(self: &Arc<Self>, w: u32, scheduler: u32, link: &mut Link) -> io::Result<()> {
        link.begun().await?;
        let begun = self.stage.now();
        let message = link.read(false).await?;
        let machine = self.machine(w);
        // Standing still, the process reads nothing.
        loop {
            let until = locked(&machine.worker).still_until();
            if self.stage.now() >= until {
                break;
            }
            Timer::at(self.stage.instant(until)).await;
        }
        let (method, path) = (message.start.0.as_str(), message.start.1.as_str());
        let empty = |status: &str| format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        let answer = match (method, path) {
            ("GET", "/-/healthy" | "/-/load") => {
                locked(&self.stage.service).probe();
                let r = locked(&machine.worker).report();
                let body = format!(
                    "{{\"queue\":{},\"inflight\":{},\"x0\":{}}}",
                    r.queue, r.inflight, r.free
                );
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
            }
            ("DELETE", _) => empty("204 No Content"), // it stops nothing
            ("POST", _) => {
                let trace = message.header("x-trace-id").unwrap_or("");
                let job = u64::from_str_radix(trace, 16).ok();
                match job.and_then(|job| Some((job, locked(&self.stage.known).get(&job).copied()?))) {
                    None => empty("404 Not Found"),
                    Some((job, known)) => match self.offer(w, scheduler, job, known, begun) {
                        Offer::Taken => empty("202 Accepted"),
                        Offer::Full => {
                            "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
                                .into()
                        }
                    },
                }
            }
            _ => empty("405 Method Not Allowed"),
        };
        link.write(answer.as_bytes()).await
    }

    fn offer(&self, w: u32, scheduler: u32, job: u64, known: Known, begun: Micros) -> Offer {
        let (machine, now) = (self.machine(w), self.stage.now());
        let total = known.work * u64::from(known.slots);
        let crosses = self.stage.scenario.zone_of(scheduler) != self.stage.scenario.zone_of(w);
        locked(&self.stage.service).attempt(begun, crosses);
        self.stage.see_at(
            begun,
            Seen::Sent {
                job,
                scheduler,
                worker: w,
                at: begun,
                work: total,
            },
        );
        let ticket = self.next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        // Known before it is offered: it may start at once.
        locked(&machine.held).insert(
            ticket,
            Held {
                job,
                scheduler,
                total,
            },
        );
        let offer = locked(&machine.worker).offer(
            now,
            Job {
                ticket,
                work: known.work,
                slots: known.slots,
                ..Job::default()
            },
        );
        match offer {
            Offer::Taken => {
                self.stage.see(Seen::Runs {
                    job,
                    worker: w,
                    at: now,
                });
                let _ = machine.wake.0.try_send(());
            }
            Offer::Full => _ = locked(&machine.held).remove(&ticket),
        }
        offer
    }

    /// Steps a job worker whenever something is due, and tells what happened.
    async fn run(self: Arc<Self>, w: u32) {
        let machine = self.machine(w);
        let mut happened = Vec::new();
        loop {
            let due = locked(&machine.worker).due();
            let woken = async { machine.wake.1.recv().await.is_ok() };
            let slept = async {
                match due {
                    Some(at) => _ = Timer::at(self.stage.instant(at)).await,
                    None => std::future::pending::<()>().await,
                }
                true
            };
            if !smol::future::or(woken, slept).await {
                return;
            }
            let now = self.stage.now();
            {
                let mut worker = locked(&machine.worker);
                worker.step(now);
                worker.take(&mut happened);
            }
            for event in happened.drain(..) {
                self.tell(w, now, event);
            }
        }
    }

    fn tell(&self, w: u32, now: Micros, event: Event) {
        let machine = self.machine(w);
        let (ticket, ends) = match event {
            Event::Started(t) | Event::Progress(t, _) => (t, false),
            Event::Done(t) | Event::Returned(t) | Event::Lost(t) => (t, true),
        };
        let held = match ends {
            true => locked(&machine.held).remove(&ticket),
            false => locked(&machine.held).get(&ticket).copied(),
        };
        let Some(Held {
            job,
            scheduler,
            total,
        }) = held
        else {
            return;
        };
        let more = match event {
            Event::Started(_) => {
                locked(&self.stage.service).begun(now, w);
                "\"started\"".to_string()
            }
            Event::Progress(_, share) => {
                format!("\"running\",\"share\":{:.3}", f64::from(share) / 1000.0)
            }
            Event::Done(_) => {
                locked(&self.stage.service).ran(total);
                self.stage.see(Seen::Made { job });
                format!("\"done\",\"result\":\"made {job:016x}\"")
            }
            Event::Returned(_) => {
                self.stage.see(Seen::NeverRan { job });
                "\"returned\"".into()
            }
            Event::Lost(_) => "\"lost\"".into(),
        };
        let body = format!(
            "{{\"id\":\"{job:016x}\",\"from\":\"{}\",\"state\":{more}}}",
            name(w)
        );
        let call = format!(
            "POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if let Some(to) = self.news.get().and_then(|n| n.get(scheduler as usize)) {
            let _ = to.try_send(call);
        }
    }

    /// A job worker stands still until then.
    pub fn stand_still(&self, w: u32, until: Micros) {
        locked(&self.machine(w).worker).stand_still(self.stage.now(), until);
        let _ = self.machine(w).wake.0.try_send(());
    }

    /// A job worker has this share of its speed from now on.
    pub fn set_pace(&self, w: u32, pace: f64) {
        locked(&self.machine(w).worker).set_pace(self.stage.now(), pace);
        let _ = self.machine(w).wake.0.try_send(());
    }

    /// A job worker drains.
    pub fn drain(&self, w: u32) {
        locked(&self.machine(w).worker).drain();
        let _ = self.machine(w).wake.0.try_send(());
        self.flush(w);
    }

    /// A job worker's process dies; its machine's agent says what was lost.
    pub fn crash(&self, w: u32) {
        let machine = self.machine(w);
        machine
            .life
            .fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        locked(&machine.worker).crash();
        self.flush(w);
    }

    fn flush(&self, w: u32) {
        let mut happened = Vec::new();
        locked(&self.machine(w).worker).take(&mut happened);
        let now = self.stage.now();
        happened
            .into_iter()
            .for_each(|event| self.tell(w, now, event));
    }

    /// A job worker's process starts anew, cold.
    pub async fn start_again(self: &Arc<Self>, w: u32) {
        if locked(&self.machine(w).worker).up() {
            self.crash(w);
        }
        // The old listeners see that their life is over, and close.
        Timer::after(Duration::from_millis(20)).await;
        locked(&self.machine(w).worker).start_again(self.stage.now());
        for _ in 0..50 {
            match self.listen(w).await {
                Ok(()) => break,
                Err(_) => _ = Timer::after(Duration::from_millis(20)).await,
            }
        }
        let fleet = self.clone();
        self.stage.start(async move {
            loop {
                let now = fleet.stage.now();
                let (up, warmth, capacity) = {
                    let worker = locked(&fleet.machine(w).worker);
                    (worker.up(), worker.warmth(now), worker.capacity(now))
                };
                if !up || warmth >= 1.0 {
                    return fleet.stage.see(Seen::Warm { worker: w });
                }
                fleet.stage.see(Seen::Cold {
                    worker: w,
                    at: now,
                    capacity,
                });
                Timer::after(WARM).await;
            }
        });
    }
}

/// Carries news to a scheduler on one connection, which it opens again if need be.
async fn caller(to: SocketAddr, news: Receiver<String>) {
    let mut link: Option<Link> = None;
    while let Ok(call) = news.recv().await {
        for _ in 0..TRIES {
            if link.is_none() {
                link = TcpStream::connect(to).await.ok().map(Link::new);
            }
            let Some(open) = &mut link else {
                Timer::after(AGAIN).await;
                continue;
            };
            let done = async {
                open.write(call.as_bytes()).await?;
                open.read(true).await
            };
            match done.await {
                Ok(answer) => {
                    if answer.close {
                        link = None;
                    }
                    break;
                }
                Err(_) => link = None,
            }
        }
    }
}
