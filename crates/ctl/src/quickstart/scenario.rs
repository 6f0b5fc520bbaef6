//! What the small cluster goes through: first configuration, first job, then serving.

use super::children::Children;
use super::http::{Answer, Call, call};
use super::layout::{
    Class, FIRST_JOB, HOST, Layout, Machine, QUEUE_PATH, configuration, first_job,
};
use super::{InterruptedSnafu, JobEndSnafu, LateSnafu, OutputSnafu, QuickstartError};
use serde_json::Value;
use snafu::{ResultExt, ensure};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time that each step has.
const STEP_LIMIT: Duration = Duration::from_secs(30);
/// Time between two tries.
const RETRY: Duration = Duration::from_millis(50);

struct Scenario<'a, W> {
    children: &'a mut Children,
    interrupted: &'a AtomicBool,
    out: &'a mut W,
}

/// Goes through it all; with `once` it ends after the job, else at Ctrl-C.
pub(super) fn tell(
    layout: &Layout,
    children: &mut Children,
    interrupted: &AtomicBool,
    out: &mut impl Write,
    once: bool,
) -> Result<(), QuickstartError> {
    let mut scenario = Scenario {
        children,
        interrupted,
        out,
    };
    scenario.say("started", &layout.machines)?;
    scenario.configure(&layout.controls())?;
    let Some(frontend) = layout.frontend() else {
        return Ok(());
    };
    scenario.await_readiness(layout)?;
    scenario.run_job(frontend)?;
    if once {
        return Ok(());
    }
    scenario.explain(layout, frontend)?;
    scenario.serve()
}

impl<W: Write> Scenario<'_, W> {
    fn line(&mut self, text: &str) -> Result<(), QuickstartError> {
        writeln!(self.out, "{text}")
            .and_then(|()| self.out.flush())
            .context(OutputSnafu)
    }

    fn say(&mut self, what: &str, machines: &[Machine]) -> Result<(), QuickstartError> {
        for machine in machines {
            self.line(&format!("{what} {} at {}", machine.name, machine.ip))?;
        }
        Ok(())
    }

    /// Tries again and again until something has happened. `attempt` gives the last answer while it has not.
    fn until<T>(
        &mut self,
        what: &'static str,
        mut attempt: impl FnMut() -> Result<T, String>,
    ) -> Result<T, QuickstartError> {
        let deadline = Instant::now() + STEP_LIMIT;
        loop {
            ensure!(!self.interrupted.load(Ordering::Relaxed), InterruptedSnafu);
            self.children.check()?;
            match attempt() {
                Ok(happened) => return Ok(happened),
                Err(last) => {
                    let seconds = STEP_LIMIT.as_secs();
                    ensure!(
                        Instant::now() < deadline,
                        LateSnafu {
                            what,
                            seconds,
                            last
                        }
                    );
                }
            }
            thread::sleep(RETRY);
        }
    }

    /// Hands the first configuration to one member after the other, until one takes it.
    fn configure(&mut self, controls: &[SocketAddr]) -> Result<(), QuickstartError> {
        let body = configuration().to_string();
        let mut members = controls.iter().cycle();
        self.until("the first configuration", || {
            let Some(member) = members.next() else {
                return Err("there are no members".to_owned());
            };
            let headers = "If-Match: 0\r\n";
            expect_200(call(
                *member,
                &Call {
                    method: "PUT",
                    host: "operator",
                    path: "/config",
                    headers,
                    body: &body,
                },
            ))
        })?;
        self.line("configuration 1 is taken")
    }

    fn await_readiness(&mut self, layout: &Layout) -> Result<(), QuickstartError> {
        let edges: Vec<SocketAddr> = layout.of(Class::Edge).map(Machine::readiness).collect();
        for edge in edges {
            let look = || expect_200(call(edge, &get("platform", "/readiness")));
            self.until("the readiness of the edge", look)?;
        }
        self.line("the edge is ready")
    }

    fn run_job(&mut self, frontend: SocketAddr) -> Result<(), QuickstartError> {
        let path = format!("{QUEUE_PATH}{FIRST_JOB}");
        let body = first_job().to_string();
        self.until("the taking of the job", || {
            let post = Call {
                method: "POST",
                host: HOST,
                path: &path,
                headers: "",
                body: &body,
            };
            expect_200(call(frontend, &post))
        })?;
        self.line(&format!("job {FIRST_JOB} is taken: 4 tasks, then 1"))?;
        let mut last = String::new();
        loop {
            let state = self.until("a change of the job's state", || {
                let answer = expect_200(call(frontend, &get(HOST, &path)))?;
                state_of(&answer)
                    .filter(|state| *state != last)
                    .ok_or(answer.body)
            })?;
            self.line(&format!("job {FIRST_JOB} is {state}"))?;
            if state == "completed" {
                return Ok(());
            }
            ensure!(
                state == "queued" || state == "running",
                JobEndSnafu { state }
            );
            last = state;
        }
    }

    fn explain(&mut self, layout: &Layout, frontend: SocketAddr) -> Result<(), QuickstartError> {
        self.line(&format!(
            "\nserving until Ctrl-C. Try, in another terminal:\n  \
             indigofold-ctl status --at {}\n  \
             curl -H 'Host: {HOST}' http://{frontend}{QUEUE_PATH}{FIRST_JOB}\n  \
             curl -H 'Host: {HOST}' -d '{}' http://{frontend}{QUEUE_PATH}00000000000000f2",
            layout.internals(),
            first_job(),
        ))
    }

    fn serve(&mut self) -> Result<(), QuickstartError> {
        while !self.interrupted.load(Ordering::Relaxed) {
            self.children.check()?;
            thread::sleep(RETRY);
        }
        Ok(())
    }
}

fn get<'a>(host: &'a str, path: &'a str) -> Call<'a> {
    Call {
        method: "GET",
        host,
        path,
        headers: "",
        body: "",
    }
}

fn expect_200(answered: std::io::Result<Answer>) -> Result<Answer, String> {
    match answered {
        Ok(answer) if answer.status == 200 => Ok(answer),
        Ok(answer) => Err(format!("{} {}", answer.status, answer.body)),
        Err(error) => Err(error.to_string()),
    }
}

fn state_of(answer: &Answer) -> Option<String> {
    let body: Value = serde_json::from_str(&answer.body).ok()?;
    body.get("state")?.as_str().map(str::to_owned)
}
