//! The real scheduler: one program on sockets round the decision module. This file only wires the parts.

#![forbid(unsafe_code)]

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use indigofold::api::Scope;
use indigofold::config;
use indigofold::core::clock::Clock;
use indigofold::core::desk::{Desk, View};
use indigofold::core::{Settings, Told};
use indigofold::front::platform::machines::Machines;
use indigofold::front::platform::{Platform, submitters};
use indigofold::net::{Net, log};
use std::error::Error;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// A job is answered this long before its submitter's time is up: the answer has its way to go, and the time
/// runs from when the submitter began to send.
const EARLY: u64 = 40_000;
/// After a signal to stop, submitters keep coming for a while: this long the program stays in any case ...
const STAY: Duration = Duration::from_millis(800);
/// ... and this long after the last job came.
const QUIET: u64 = 400_000;
/// What may be asked of the machine list's actor at once.
const ASKED: usize = 16;

fn main() -> ExitCode {
    let tasks = Rc::new(LocalExecutor::new());
    match async_io::block_on(tasks.run(run(tasks.clone()))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log(format_args!("indigofold: {error}"));
            ExitCode::FAILURE
        }
    }
}

async fn run(tasks: Rc<LocalExecutor<'static>>) -> Result<(), Box<dyn Error>> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let path = std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG names no configuration")?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    let config = config::Platform::read(text, |name| std::env::var(name).ok())?;
    let listener = Async::<TcpListener>::bind(
        config
            .listen
            .parse::<std::net::SocketAddr>()
            .map_err(|e| format!("listen {:?}: {e}", config.listen))?,
    )?;
    let discovery = config.discovery.parse().map_err(|e| format!("discovery {:?}: {e}", config.discovery))?;
    let (net, clock, view) = (Net::new(tasks, config.sockets), Clock::new(), View::default());
    let (core, inbox) = Desk::<Platform>::mailbox();
    let (list, asked) = async_channel::bounded(ASKED);
    let settings = Settings { module: config.site.settings.clone(), seed: config.seed, early: EARLY };
    let front = Platform::new(net.clone(), clock, config.site, core.clone(), view.clone(), list);
    net.start(Desk::new(settings, front.clone(), clock, inbox, view.clone()).run());
    let seq = config.known.seq;
    let known = front.learn(config.known);
    core.send(Told::List(Scope::Cached, known)).await?;
    net.start(Machines::new(front.clone(), discovery, seq).run(asked));
    net.start(submitters::listen(front.clone(), listener));
    log(format_args!("start name={} listen={}", config.name, config.listen));

    signals.next().await;
    // What still comes is taken and answered; each answer says that the connection closes after it.
    front.stopping.set(true);
    log(format_args!("stop jobs={} connections={}", view.jobs(), net.set.open()));
    Timer::after(STAY).await;
    loop {
        net.set.shed_all(); // between two messages a connection may be closed
        let quiet = clock.now().saturating_sub(front.last_heard.get()) > QUIET;
        if quiet && view.jobs() == 0 && front.open_jobs() == 0 {
            log("stopped: nothing is left to answer");
            return Ok(());
        }
        Timer::after(Duration::from_millis(20)).await;
    }
}
