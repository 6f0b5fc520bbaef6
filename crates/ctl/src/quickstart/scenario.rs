//! The steps of `quickstart` after the daemons are started: apply a configuration, run a job, then serve.

use super::children::Children;
use super::error::{
    AttemptError, HttpSnafu, InterruptedSnafu, JobNotCompletedSnafu, NoMembersSnafu, OutputSnafu,
    QuickstartError, SameStateSnafu, StatusSnafu, StepTimeoutSnafu,
};
use super::http::{Request, Response};
use super::layout::{Layout, Machine, MachineClass};
use super::workload::{FIRST_JOB, HOST, QUEUE_PATH, configuration, first_job};
use serde_json::Value;
use snafu::{OptionExt, ResultExt, ensure};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit of each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of the attempts at a step, and of the checks whether all daemons still run.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

struct Scenario<'a, W> {
    children: &'a mut Children,
    interrupted: &'a AtomicBool,
    out: &'a mut W,
}

/// Runs all steps. With `once` it returns after the job has completed, otherwise it serves until a signal arrives.
pub(super) fn run(
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
    scenario.print_started(&layout.machines)?;
    scenario.configure(&layout.control_addresses())?;
    let Some(frontend) = layout.frontend() else {
        return Ok(());
    };
    scenario.await_readiness(layout)?;
    scenario.run_job(frontend)?;
    if once {
        return Ok(());
    }
    scenario.print_usage(layout, frontend)?;
    scenario.serve()
}

impl<W: Write> Scenario<'_, W> {
    fn print(&mut self, text: &str) -> Result<(), QuickstartError> {
        writeln!(self.out, "{text}")
            .and_then(|()| self.out.flush())
            .context(OutputSnafu)
    }

    fn print_started(&mut self, machines: &[Machine]) -> Result<(), QuickstartError> {
        for machine in machines {
            self.print(&format!("started {} at {}", machine.name, machine.ip))?;
        }
        Ok(())
    }

    /// Repeats an attempt until it succeeds or [`STEP_TIMEOUT`] has passed. `step` names the step in the error.
    fn retry<T>(
        &mut self,
        step: &'static str,
        mut attempt: impl FnMut() -> Result<T, AttemptError>,
    ) -> Result<T, QuickstartError> {
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            ensure!(!self.interrupted.load(Ordering::Relaxed), InterruptedSnafu);
            self.children.check_running()?;
            let result = attempt();
            if result.is_ok() || Instant::now() >= deadline {
                return result.context(StepTimeoutSnafu {
                    step,
                    seconds: STEP_TIMEOUT.as_secs(),
                });
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }

    /// Sends the first configuration to each member in turn until one accepts it.
    fn configure(&mut self, controls: &[SocketAddr]) -> Result<(), QuickstartError> {
        let body = configuration().to_string();
        let put = Request {
            method: "PUT",
            host: "operator",
            path: "/config",
            headers: "If-Match: 0\r\n",
            body: &body,
        };
        let mut members = controls.iter().cycle();
        self.retry("the acceptance of the first configuration", || {
            let member = members.next().context(NoMembersSnafu)?;
            send(&put, *member)
        })?;
        self.print("configuration 1 is accepted")
    }

    fn await_readiness(&mut self, layout: &Layout) -> Result<(), QuickstartError> {
        let get = Request::get("platform", "/readiness");
        for edge in layout.machines_of(MachineClass::Edge) {
            let readiness = edge.readiness();
            self.retry("the readiness of the edge", || send(&get, readiness))?;
        }
        self.print("the edge is ready")
    }

    fn run_job(&mut self, frontend: SocketAddr) -> Result<(), QuickstartError> {
        let path = format!("{QUEUE_PATH}{FIRST_JOB}");
        let body = first_job().to_string();
        let post = Request {
            method: "POST",
            host: HOST,
            path: &path,
            headers: "",
            body: &body,
        };
        self.retry("the acceptance of the job", || send(&post, frontend))?;
        self.print(&format!("job {FIRST_JOB} is accepted: 4 tasks, then 1"))?;
        self.follow_job(frontend, &Request::get(HOST, &path))
    }

    /// Prints each change of the job's state until the job has completed.
    fn follow_job(
        &mut self,
        frontend: SocketAddr,
        get: &Request<'_>,
    ) -> Result<(), QuickstartError> {
        let mut last = String::new();
        loop {
            let state = self.retry("a change of the job's state", || {
                let response = send(get, frontend)?;
                job_state(&response)
                    .filter(|state| *state != last)
                    .context(SameStateSnafu {
                        body: response.body,
                    })
            })?;
            self.print(&format!("job {FIRST_JOB} is {state}"))?;
            if state == "completed" {
                return Ok(());
            }
            ensure!(
                state == "queued" || state == "running",
                JobNotCompletedSnafu { state }
            );
            last = state;
        }
    }

    fn print_usage(
        &mut self,
        layout: &Layout,
        frontend: SocketAddr,
    ) -> Result<(), QuickstartError> {
        self.print(&format!(
            "\nserving until Ctrl-C. Try, in another terminal:\n  \
             indigofold-ctl status --at {}\n  \
             curl -H 'Host: {HOST}' http://{frontend}{QUEUE_PATH}{FIRST_JOB}\n  \
             curl -H 'Host: {HOST}' -d '{}' http://{frontend}{QUEUE_PATH}00000000000000f2",
            layout.internal_addresses(),
            first_job(),
        ))
    }

    fn serve(&mut self) -> Result<(), QuickstartError> {
        while !self.interrupted.load(Ordering::Relaxed) {
            self.children.check_running()?;
            thread::sleep(RETRY_INTERVAL);
        }
        Ok(())
    }
}

/// Sends a request; a response with a status other than 200 is an error.
fn send(request: &Request<'_>, address: SocketAddr) -> Result<Response, AttemptError> {
    let response = request.send(address).context(HttpSnafu)?;
    let Response { status, body } = &response;
    ensure!(
        *status == 200,
        StatusSnafu {
            status: *status,
            body
        }
    );
    Ok(response)
}

fn job_state(response: &Response) -> Option<String> {
    let body: Value = serde_json::from_str(&response.body).ok()?;
    body.get("state")?.as_str().map(str::to_owned)
}
