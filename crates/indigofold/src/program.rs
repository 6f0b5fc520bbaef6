//! The program: reads the configuration, starts the fronts on their listeners, and shuts down after a signal.

mod listeners;
mod platform;
mod reload;
mod shutdown;

use crate::api::Time;
use crate::config;
use crate::front::Lifecycle;
use crate::front::faktory::{Faktory, serve};
use crate::front::platform::{Platform, clients};
use crate::handover::{self, Handover, Inherited, NamedListener};
use crate::net::{Net, log};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use indigofold_core::Settings;
use indigofold_core::actor::{self, Actor};
use indigofold_core::clock::Clock;
use listeners::{bind, listen_or_inherit, take_listener};
use std::cell::RefCell;
use std::error::Error;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// A job's deadline is this long before the time until which its client waits: the answer takes time to reach the client,
/// whose wait begins when it starts to send. Microseconds.
const ANSWER_MARGIN_US: u64 = 40_000;

/// Runs the program until SIGTERM or SIGINT has stopped it.
///
/// # Errors
///
/// The configuration cannot be used, or a listener or the signal handler cannot be set up.
pub async fn run(tasks: Rc<LocalExecutor<'static>>) -> Result<(), Box<dyn Error>> {
    // Handlers are installed first: without one, each of these signals ends the program.
    let (mut signals, hangups) = (
        Signals::new([Signal::Term, Signal::Int])?,
        Signals::new([Signal::Hup])?,
    );
    let configuration = Configuration::read()?;
    let shared = Shared::new(tasks, &configuration);
    let path = configuration
        .platform
        .as_ref()
        .and_then(|config| handover::socket_path(&config.listen));
    let (mut old, mut fronts) = (None, Fronts::default());
    let platform = match configuration.platform {
        Some(config) => Some(
            fronts
                .add_platform(&shared, config, hangups, (path.as_deref(), &mut old))
                .await?,
        ),
        None => {
            // The Faktory front's file is read only at startup.
            shared.net.spawn(hangups.for_each(|_| {
                log("reload: ignored, the Faktory configuration is read only at startup");
            }));
            None
        }
    };
    if let Some(file) = configuration.faktory {
        fronts.add_faktory(&shared, file, &mut old).await?;
    }
    // The tasks that accept connections stop when this value is dropped, at the end of the function.
    let _accepting = fronts.start_accepting(&shared, platform, path, old);
    signals.next().await;
    shutdown::run(&shared, &fronts).await;
    Ok(())
}

/// The configuration files that the environment variables name, and the lower of their limits.
struct Configuration {
    platform: Option<config::Platform>,
    faktory: Option<config::Faktory>,
    /// Number of file descriptors that the process may hold.
    sockets: usize,
    /// Memory that the process may use, in MiB.
    memory_mb: usize,
}

impl Configuration {
    fn read() -> Result<Self, Box<dyn Error>> {
        let platform = match read_file("GW_CONFIG")? {
            Some(text) => Some(config::Platform::read(text, |name| {
                std::env::var(name).ok()
            })?),
            None => None,
        };
        let faktory = read_file("INDIGOFOLD_FAKTORY")?
            .map(config::Faktory::read)
            .transpose()?;
        let sockets = [
            platform.as_ref().map(|p| p.sockets),
            faktory.as_ref().map(|f| f.sockets),
        ];
        let memory_mb = [
            platform.as_ref().map(|p| p.memory_mb),
            faktory.as_ref().map(|f| f.memory_mb),
        ];
        let sockets = sockets
            .into_iter()
            .flatten()
            .min()
            .ok_or("neither GW_CONFIG nor INDIGOFOLD_FAKTORY names a configuration")?;
        let memory_mb = memory_mb.into_iter().flatten().min();
        Ok(Configuration {
            platform,
            faktory,
            sockets,
            memory_mb: memory_mb.unwrap_or(config::MEMORY_MB),
        })
    }
}

/// Reads the file that an environment variable names; `None` if the variable is not set.
fn read_file(variable: &str) -> Result<Option<Vec<u8>>, Box<dyn Error>> {
    let Some(path) = std::env::var_os(variable) else {
        return Ok(None);
    };
    Ok(Some(std::fs::read(&path).map_err(|e| {
        format!("{variable}: {}: {e}", path.to_string_lossy())
    })?))
}

/// State that the fronts and the shutdown share.
struct Shared {
    net: Net,
    clock: Clock,
    lifecycle: Rc<Lifecycle>,
    /// File descriptors, and memory in MiB, that the process may use when no other process of the scheduler runs.
    limits: (usize, usize),
}

impl Shared {
    fn new(tasks: Rc<LocalExecutor<'static>>, configuration: &Configuration) -> Self {
        let (sockets, memory_mb) = (configuration.sockets, configuration.memory_mb);
        Shared {
            net: Net::new(tasks, sockets, memory_mb),
            clock: Clock::new(),
            lifecycle: Rc::default(),
            limits: (sockets, memory_mb),
        }
    }
}

/// Starts the task that accepts connections on a front's listener.
type Accept = Box<dyn Fn(&Net) -> Task<()>>;
/// The owner of the accepting tasks: a handover, which can pass the listeners on, or the tasks themselves.
type Accepting = (Option<Rc<Handover>>, Vec<Task<()>>);

/// The fronts that were started: their listeners, and the queries that the shutdown needs.
#[derive(Default)]
struct Fronts {
    listeners: Vec<NamedListener>,
    accepts: Vec<Accept>,
    open_jobs: Vec<Box<dyn Fn() -> usize>>,
    longest_deadlines: Vec<Box<dyn Fn() -> Time>>,
}

impl Fronts {
    /// The number of jobs over all fronts whose answer is owed or not yet written.
    fn open_jobs(&self) -> usize {
        self.open_jobs.iter().map(|jobs| jobs()).sum()
    }

    /// The longest deadline of a class over all fronts, in microseconds.
    fn longest_deadline(&self) -> Time {
        let deadlines = self.longest_deadlines.iter().map(|longest| longest());
        deadlines.max().unwrap_or_default()
    }

    /// Starts the platform's front, with the listener of the process that serves at present if there is one.
    async fn add_platform(
        &mut self,
        shared: &Shared,
        config: config::Platform,
        hangups: Signals,
        (path, old): (Option<&Path>, &mut Option<Inherited>),
    ) -> Result<Rc<Platform>, Box<dyn Error>> {
        let listener = listen_or_inherit(path, &config.listen, old).await?;
        if let Some(old) = old {
            shared.net.set_limits(old.descriptors, shared.limits.1 / 2);
        }
        let used = config.clone();
        let front = platform::start(shared, config, &listener, old.is_some()).await?;
        shared
            .net
            .spawn(reload::reload(hangups, front.clone(), used));
        let (jobs, site, accept) = (front.clone(), front.clone(), front.clone());
        self.open_jobs.push(Box::new(move || jobs.open_jobs()));
        self.longest_deadlines
            .push(Box::new(move || site.longest_deadline()));
        self.listeners.push(("platform", listener.clone()));
        self.accepts.push(Box::new(move |net| {
            net.spawn_scoped(clients::listen(accept.clone(), listener.clone()))
        }));
        Ok(front)
    }

    /// Starts the Faktory front, with the old process's listener if it was passed on.
    async fn add_faktory(
        &mut self,
        shared: &Shared,
        file: config::Faktory,
        old: &mut Option<Inherited>,
    ) -> Result<(), Box<dyn Error>> {
        let inherited = old.as_mut().and_then(|old| take_listener(old, "faktory"));
        let listener = Rc::new(match inherited {
            Some(listener) => Async::new(listener)?,
            None => bind(&file.listen)?,
        });
        let deadline = file.site.longest_deadline();
        self.longest_deadlines.push(Box::new(move || deadline));
        let front = start_faktory(shared, file, &listener).await?;
        let jobs = front.clone();
        self.open_jobs.push(Box::new(move || jobs.open_jobs()));
        self.listeners.push(("faktory", listener.clone()));
        self.accepts.push(Box::new(move |net| {
            net.spawn_scoped(serve::listen(front.clone(), listener.clone()))
        }));
        Ok(())
    }

    /// Starts accepting on all listeners: at once without a platform front, with one when the handover begins to serve.
    fn start_accepting(
        &mut self,
        shared: &Shared,
        platform: Option<Rc<Platform>>,
        path: Option<PathBuf>,
        old: Option<Inherited>,
    ) -> Accepting {
        let (net, accepts) = (shared.net.clone(), std::mem::take(&mut self.accepts));
        let accept = Box::new(move || accepts.iter().map(|accept| accept(&net)).collect());
        let Some(front) = platform else {
            return (None, accept());
        };
        let [answering, closing] = Default::default();
        let handover = Rc::new(Handover {
            front,
            path,
            limits: shared.limits,
            listeners: std::mem::take(&mut self.listeners),
            accept,
            accepting: RefCell::default(),
            answering,
            closing,
        });
        shared.net.spawn(handover.clone().serve(old));
        (Some(handover), Vec::new())
    }
}

async fn start_faktory(
    shared: &Shared,
    file: config::Faktory,
    listener: &Async<TcpListener>,
) -> Result<Rc<Faktory>, Box<dyn Error>> {
    let (core, inbox) = actor::mailbox();
    let (net, clock) = (&shared.net, shared.clock);
    let settings = Settings {
        module: file.site.settings.clone(),
        seed: clock.now(),
        answer_margin: ANSWER_MARGIN_US,
    };
    let address = listener.get_ref().local_addr()?;
    let front = Faktory::new(net.clone(), clock, shared.lifecycle.clone(), file, core);
    net.spawn(Actor::new(settings, front.clone(), clock, inbox, Rc::default()).run());
    front.open().await;
    log(format_args!("start front=faktory listen={address}"));
    Ok(front)
}
