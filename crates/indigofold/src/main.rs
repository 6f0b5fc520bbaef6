//! The real scheduler: one program on sockets round the decision module. This file only wires the parts.

#![forbid(unsafe_code)]

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use indigofold::admin::{self, AdminEndpoint};
use indigofold::api::{Scope, Time};
use indigofold::config;
use indigofold::core::actor::{self, Actor};
use indigofold::core::clock::Clock;
use indigofold::core::metrics::Metrics;
use indigofold::core::{CoreInput, Settings};
use indigofold::front::Lifecycle;
use indigofold::front::faktory::{Faktory, serve};
use indigofold::front::platform::membership::{InitialMembership, MembershipWatcher};
use indigofold::front::platform::{Platform, clients};
use indigofold::handover::{self, Handover, Inherited};
use indigofold::net::Net;
use indigofold::net::log::{finish_log, log};
use std::cell::RefCell;
use std::error::Error;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A job is answered this long before its client's time is up: the answer has its way to go, and the time
/// runs from when the client began to send.
const ANSWER_MARGIN_US: u64 = 40_000;
/// After a signal to stop, new connections come for so long at most, and clients use the connections that they have
/// for as long as these stay open: perhaps nobody else is there to serve them.
const ACCEPT_AFTER_SIGNAL: Duration = Duration::from_millis(500);
/// The program may be killed this long after the signal, and the longest deadline of its classes (counted as no more than
/// the second figure) later. What came after the signal is answered this long before that ...
const KILL_GRACE: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
const ANSWER_BEFORE_KILL: Duration = Duration::from_millis(300);
/// ... and connections are closed from this long before it on: so long a job that has just come may take yet.
const CLOSE_BEFORE_KILL: Duration = Duration::from_millis(1_300);
/// How long those may take to close whose clients have their last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// The program stays until no job has come for this long.
const QUIET_FOR_US: u64 = 400_000;
/// How long, and how often, the address is tried for where somebody listens who does not answer.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(4);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// What may be asked of the discovery list's actor at once.
const MAX_QUEUED_REQUESTS: usize = 16;

fn main() -> ExitCode {
    let tasks = Rc::new(LocalExecutor::new());
    let ended = async_io::block_on(tasks.run(run(tasks.clone())));
    if let Err(error) = &ended {
        log(format_args!("indigofold: {error}"));
    }
    finish_log();
    if ended.is_ok() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn run(tasks: Rc<LocalExecutor<'static>>) -> Result<(), Box<dyn Error>> {
    // Before anything else: without a handler, each of these ends the program.
    let (mut signals, hangups) = (
        Signals::new([Signal::Term, Signal::Int])?,
        Signals::new([Signal::Hup])?,
    );
    let read = |name: &str| -> Result<Option<Vec<u8>>, Box<dyn Error>> {
        let Some(path) = std::env::var_os(name) else {
            return Ok(None);
        };
        Ok(Some(std::fs::read(&path).map_err(|e| {
            format!("{name}: {}: {e}", path.to_string_lossy())
        })?))
    };
    let platform = match read("GW_CONFIG")? {
        Some(text) => Some(config::Platform::read(text, |name| {
            std::env::var(name).ok()
        })?),
        None => None,
    };
    let faktory = read("INDIGOFOLD_FAKTORY")?
        .map(config::Faktory::read)
        .transpose()?;
    let sockets = platform
        .as_ref()
        .map(|p| p.sockets)
        .into_iter()
        .chain(faktory.as_ref().map(|f| f.sockets));
    let sockets = sockets
        .min()
        .ok_or("neither GW_CONFIG nor INDIGOFOLD_FAKTORY names a configuration")?;
    let memory = platform
        .as_ref()
        .map(|p| p.memory_mb)
        .into_iter()
        .chain(faktory.as_ref().map(|f| f.memory_mb));
    let memory = memory.min().unwrap_or(config::MEMORY_MB);
    let (net, clock, lifecycle) = (
        Net::new(tasks, sockets, memory),
        Clock::new(),
        Rc::new(Lifecycle::default()),
    );
    let mut open: Vec<Box<dyn Fn() -> usize>> = Vec::new();
    let mut longest: Vec<Box<dyn Fn() -> Time>> = Vec::new();
    let path = platform
        .as_ref()
        .and_then(|config| handover::path(&config.listen));
    let (mut old, mut listeners, mut accepts) = (None, Vec::new(), Accepts::new());
    let front = match platform {
        Some(config) => {
            let listener = listen_or_inherit(path.as_deref(), &config.listen, &mut old).await?;
            if let Some(old) = &old {
                net.set_limits(old.descriptors, memory / 2);
            }
            let used = config.clone();
            let front =
                start_platform(&net, clock, &lifecycle, config, &listener, old.is_some()).await?;
            net.spawn(reload(hangups, front.clone(), used));
            let (jobs, accept) = (front.clone(), front.clone());
            open.push(Box::new(move || jobs.open_jobs()));
            let site = front.clone();
            longest.push(Box::new(move || site.site.borrow().longest_deadline()));
            listeners.push(("platform", listener.clone()));
            accepts.push(Box::new(move |net| {
                net.spawn_scoped(clients::listen(accept.clone(), listener.clone()))
            }));
            Some(front)
        }
        None => {
            // The Faktory front's file is read at the start only.
            net.spawn(hangups.for_each(|_| log("reload: there is nothing to read again")));
            None
        }
    };
    if let Some(file) = faktory {
        let listener = Rc::new(match old.as_mut().and_then(|old| take(old, "faktory")) {
            Some(listener) => Async::new(listener)?,
            None => bind(&file.listen)?,
        });
        let deadline = file.site.longest_deadline();
        longest.push(Box::new(move || deadline));
        let front = start_faktory(&net, clock, &lifecycle, file, &listener).await?;
        let jobs = front.clone();
        open.push(Box::new(move || jobs.open_jobs()));
        listeners.push(("faktory", listener.clone()));
        accepts.push(Box::new(move |net| {
            net.spawn_scoped(serve::listen(front.clone(), listener.clone()))
        }));
    }
    let network = net.clone();
    let accept = Box::new(move || accepts.iter().map(|accept| accept(&network)).collect());
    // What accepts ends with its owner: each owner lives as long as this function.
    let _accepting: (Option<Rc<Handover>>, Vec<Task<()>>) = match front {
        Some(front) => {
            let (limits, accepting) = ((sockets, memory), RefCell::default());
            let [answering, closing] = Default::default();
            let handover = Handover {
                front,
                path,
                limits,
                listeners,
                accept,
                accepting,
                answering,
                closing,
            };
            let handover = Rc::new(handover);
            net.spawn(handover.clone().serve(old));
            (Some(handover), Vec::new())
        }
        None => (None, accept()),
    };

    signals.next().await;
    let jobs = || open.iter().map(|jobs| jobs()).sum::<usize>();
    log(format_args!(
        "stop jobs={} connections={}",
        jobs(),
        net.set.open()
    ));
    let (from, begin) = (clock.now(), Instant::now());
    let longest = longest
        .iter()
        .map(|longest| longest())
        .max()
        .unwrap_or_default();
    let (close_after, answer_by) = moments(Duration::from_micros(longest));
    lifecycle.stopping.set(true);
    lifecycle
        .answer_deadline
        .set(Some(from + answer_by.as_micros() as u64));
    lifecycle.last_job.set(from);
    let mut closed = None;
    loop {
        Timer::after(Duration::from_millis(20)).await;
        // Where a new process serves, this one waits only for its connections to end.
        let handed = lifecycle.superseded.get();
        let quiet = !handed
            && jobs() == 0
            && clock.now().saturating_sub(lifecycle.last_job.get()) > QUIET_FOR_US;
        if (begin.elapsed() > close_after || quiet) && !lifecycle.closing.replace(true) {
            log(format_args!(
                "closing jobs={} connections={}",
                jobs(),
                net.set.open()
            ));
        }
        if lifecycle.closing.get() {
            net.set.evict_idle(jobs() > 0); // between two messages a connection may be closed
        } else if !handed {
            continue;
        }
        // Only once no connection has a message under way: what was taken in has its answer, and it is on its way.
        let (accepted, parting) = (net.set.accepted(), net.set.closing());
        if jobs() > 0
            || (accepted > parting && (handed || begin.elapsed() < answer_by + CLOSE_TIMEOUT))
        {
            closed = None;
            continue;
        }
        let since = *closed.get_or_insert_with(Instant::now);
        if parting == 0 || since.elapsed() > CLOSE_TIMEOUT {
            log("stopped: nothing is left to answer");
            return Ok(());
        }
    }
}

/// When connections are closed after a signal to stop, and by when what comes after it is answered.
fn moments(longest: Duration) -> (Duration, Duration) {
    let killed = longest.min(MAX_COUNTED_DEADLINE) + KILL_GRACE;
    (
        killed
            .saturating_sub(CLOSE_BEFORE_KILL)
            .max(ACCEPT_AFTER_SIGNAL),
        killed.saturating_sub(ANSWER_BEFORE_KILL),
    )
}

/// What starts to accept at each front's listener.
type Accepts = Vec<Box<dyn Fn(&Net) -> Task<()>>>;

fn bind(address: &str) -> Result<Async<TcpListener>, Box<dyn Error>> {
    let parsed: SocketAddr = address
        .parse()
        .map_err(|e| format!("listen {address:?}: {e}"))?;
    Ok(indigofold::net::listen(parsed).map_err(|e| format!("listen {address:?}: {e}"))?)
}

/// Takes one of the old process's listeners.
fn take(old: &mut Inherited, name: &str) -> Option<TcpListener> {
    let at = old.listeners.iter().position(|(of, _)| of == name)?;
    Some(old.listeners.swap_remove(at).1)
}

/// The listener of the process that serves now, if there is one and it answers; else one of our own. Where somebody
/// listens who does not answer (it is about to end, or about to be asked), that is tried again for a while.
async fn listen_or_inherit(
    path: Option<&Path>,
    address: &str,
    old: &mut Option<Inherited>,
) -> Result<Rc<Async<TcpListener>>, Box<dyn Error>> {
    let begin = Instant::now();
    loop {
        if let Some(path) = path {
            *old = handover::request_listeners(path).await;
        }
        if let Some(listener) = old.as_mut().and_then(|old| take(old, "platform")) {
            return Ok(Rc::new(Async::new(listener)?));
        }
        let parsed: SocketAddr = address
            .parse()
            .map_err(|e| format!("listen {address:?}: {e}"))?;
        match indigofold::net::listen(parsed) {
            Ok(listener) => return Ok(Rc::new(listener)),
            Err(e)
                if e.kind() == ErrorKind::AddrInUse
                    && path.is_some()
                    && begin.elapsed() < LISTEN_TIMEOUT =>
            {
                Timer::after(RETRY_INTERVAL).await;
            }
            Err(e) => return Err(format!("listen {address:?}: {e}").into()),
        }
    }
}

/// Reads the configuration again at each SIGHUP, also while the program stops. The whole file is checked first; then
/// what it says of discovery and its settings take effect, without a break in anything else. A file that cannot be used
/// leaves all as it was.
async fn reload(mut hangups: Signals, front: Rc<Platform>, mut used: config::Platform) {
    while hangups.next().await.is_some() {
        let path = std::env::var_os("GW_CONFIG").unwrap_or_default();
        let new = std::fs::read(path)
            .map_err(|e| e.to_string())
            .and_then(|text| used.reread(text));
        let new = new.and_then(|new| {
            let to = new.in_file.parse::<SocketAddr>();
            Ok((
                to.map_err(|e| format!("discovery {:?}: {e}", new.in_file))?,
                new,
            ))
        });
        let (applied, rejected) = front.metrics.config_files.get();
        match new {
            Err(why) => {
                front.metrics.config_files.set((applied, rejected + 1));
                log(format_args!("reload failed, all stays as it was: {why}"));
            }
            Ok((to, new)) => {
                front.reconfigure(new.site.clone()).await;
                let (classes, limits) = (&new.site.settings.classes, &new.site.settings.limits);
                let (classes, attempts) = (classes.len(), limits.attempts);
                log(format_args!(
                    "reload: settings taken classes={classes} attempts={attempts}"
                ));
                if new.in_file == used.in_file {
                    log("reload: discovery is where it was");
                } else {
                    front.move_discovery(to).await;
                    log(format_args!("reload: discovery is at {to} from now on"));
                }
                front.metrics.config_files.set((applied + 1, rejected));
                used = new;
            }
        }
    }
}

/// Starts the platform's front.
async fn start_platform(
    net: &Net,
    clock: Clock,
    lifecycle: &Rc<Lifecycle>,
    config: config::Platform,
    listener: &Async<TcpListener>,
    replaces: bool,
) -> Result<Rc<Platform>, Box<dyn Error>> {
    let discovery = config
        .discovery
        .parse()
        .map_err(|e| format!("discovery {:?}: {e}", config.discovery))?;
    let address = listener.get_ref().local_addr()?;
    let (core, inbox) = actor::mailbox();
    let (membership, requests) = async_channel::bounded(MAX_QUEUED_REQUESTS);
    let settings = Settings {
        module: config.site.settings.clone(),
        seed: config.seed,
        answer_margin: ANSWER_MARGIN_US,
    };
    let metrics = Rc::new(Metrics::default());
    let front = Platform::new(
        net.clone(),
        clock,
        lifecycle.clone(),
        metrics.clone(),
        config.site,
        core.clone(),
        membership,
    );
    net.spawn(Actor::new(settings, front.clone(), clock, inbox, metrics).run());
    let known = InitialMembership {
        seq: (!config.known.hosts.is_empty()).then_some(config.known.seq),
        replaces,
    };
    let entries = front.apply_membership(config.known);
    core.send(CoreInput::Membership(Scope::Cached, entries))
        .await?;
    net.spawn(MembershipWatcher::new(front.clone(), discovery, known, config.seed).run(requests));
    match config.management.as_str() {
        "" => {}
        address => match bind(address) {
            Ok(listener) => open_admin(&front, listener)?,
            // The old process still has it: the admin endpoint opens once that one has ended.
            Err(why) if replaces => {
                log(format_args!("door: {why}, tried again"));
                let (front, address) = (front.clone(), address.to_string());
                net.spawn(async move {
                    let listener = loop {
                        Timer::after(RETRY_INTERVAL).await;
                        match bind(&address) {
                            Ok(listener) => break listener,
                            Err(_) => continue,
                        }
                    };
                    let _ = open_admin(&front, listener);
                });
            }
            Err(why) => return Err(why),
        },
    }
    log(format_args!(
        "start front=platform name={} listen={address}",
        config.name
    ));
    Ok(front)
}

/// Opens the admin endpoint, which shows this front.
fn open_admin(front: &Rc<Platform>, listener: Async<TcpListener>) -> Result<(), Box<dyn Error>> {
    log(format_args!(
        "door listen={}",
        listener.get_ref().local_addr()?
    ));
    let (net, lifecycle, metrics) = (
        front.net.clone(),
        front.lifecycle.clone(),
        front.metrics.clone(),
    );
    let (serving, named) = (front.clone(), front.clone());
    let serves = Box::new(move || {
        serving.ready.get() && serving.lifecycle.accepting.get() && !serving.lifecycle.drained.get()
    });
    let classes = Box::new(move || {
        named
            .site
            .borrow()
            .classes
            .all()
            .map(str::to_string)
            .collect()
    });
    let admin = AdminEndpoint {
        net,
        lifecycle,
        metrics,
        serves,
        classes,
        draining: RefCell::default(),
    };
    front.net.spawn(admin::listen(Rc::new(admin), listener));
    Ok(())
}

/// Starts the Faktory front.
async fn start_faktory(
    net: &Net,
    clock: Clock,
    lifecycle: &Rc<Lifecycle>,
    file: config::Faktory,
    listener: &Async<TcpListener>,
) -> Result<Rc<Faktory>, Box<dyn Error>> {
    let (core, inbox) = actor::mailbox();
    let settings = Settings {
        module: file.site.settings.clone(),
        seed: clock.now(),
        answer_margin: ANSWER_MARGIN_US,
    };
    let address = listener.get_ref().local_addr()?;
    let front = Faktory::new(net.clone(), clock, lifecycle.clone(), file, core);
    net.spawn(Actor::new(settings, front.clone(), clock, inbox, Rc::default()).run());
    front.open().await;
    log(format_args!("start front=faktory listen={address}"));
    Ok(front)
}
