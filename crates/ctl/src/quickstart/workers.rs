//! Runs the stand-in workers, one thread for each node agent.

use super::http::Request;
use super::layout::{Layout, MachineClass};
use super::stand_in::{StandInWorker, WorkerLimits};
use indigofold_protocol::worker::{Heartbeat, HeartbeatReply};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The running stand-in workers. Dropping this value ends them and waits for their threads.
pub(super) struct Workers {
    threads: Vec<WorkerThread>,
}

struct WorkerThread {
    /// Nothing is sent on this channel; the worker ends when the sender is dropped.
    stop: Sender<()>,
    handle: JoinHandle<()>,
}

impl Workers {
    /// Starts a worker for each node agent.
    pub(super) fn start(layout: &Layout) -> Workers {
        let agents = layout.machines_of(MachineClass::Side);
        let threads = agents.map(|machine| {
            let agent = machine.control();
            let id = format!("worker-{}", machine.name);
            let (stop, stopped) = channel();
            let handle = thread::spawn(move || run_worker(agent, &id, &stopped));
            WorkerThread { stop, handle }
        });
        Workers {
            threads: threads.collect(),
        }
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        for WorkerThread { stop, handle } in self.threads.drain(..) {
            drop(stop);
            // An error means that the worker panicked; the panic message is already on standard error.
            let _ = handle.join();
        }
    }
}

/// Runs a worker until the sender that belongs to `stopped` is dropped.
fn run_worker(agent: SocketAddr, id: &str, stopped: &Receiver<()>) {
    let clock = Instant::now();
    let now_ms = || clock.elapsed().as_millis() as u64;
    let mut worker = StandInWorker::new(agent.to_string(), WorkerLimits::default());
    loop {
        let sent_ms = now_ms();
        if let Some(heartbeat) = worker.advance(sent_ms)
            && let Some(reply) = send_heartbeat(agent, id, &heartbeat)
        {
            worker.handle_reply(sent_ms, now_ms(), reply);
        }
        let idle_ms = worker.next_due_ms().saturating_sub(now_ms()).max(1);
        let wake_up = stopped.recv_timeout(Duration::from_millis(idle_ms));
        if !matches!(wake_up, Err(RecvTimeoutError::Timeout)) {
            return;
        }
    }
}

/// Sends a heartbeat. Returns `None` if the node agent does not answer, or answers with an error.
fn send_heartbeat(agent: SocketAddr, id: &str, heartbeat: &Heartbeat) -> Option<HeartbeatReply> {
    let body = serde_json::to_string(heartbeat).ok()?;
    let path = format!("/instances/{id}");
    let put = Request {
        method: "PUT",
        host: "companion",
        path: &path,
        headers: "",
        body: &body,
    };
    let response = put.send(agent).ok()?;
    if response.status != 200 {
        return None;
    }
    serde_json::from_str(&response.body).ok()
}
