//! Runs the real program as a child process under its resource limits.

use super::http::HttpConnection;
use super::{Environment, lock};
use crate::error::{FileSnafu, NoPortSnafu, NotReadySnafu, ReplayError};
use serde_json::json;
use smol::Timer;
use smol::net::TcpStream;
use snafu::ResultExt;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// A scheduler process; it is killed and its directory removed on drop.
pub(crate) struct Program {
    /// The address at which the scheduler listens.
    pub address: SocketAddr,
    child: Child,
    dir: PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Starts the scheduler with this index; `discovery` is the address from which it reads the membership.
pub(crate) fn start(
    environment: &Environment,
    program: &Path,
    index: u32,
    discovery: &SocketAddr,
) -> Result<Program, ReplayError> {
    let dir =
        std::env::temp_dir().join(format!("indigofold-replay-{}-{index}", std::process::id()));
    std::fs::create_dir_all(&dir).context(FileSnafu { path: &dir })?;
    // Binding to port 0 finds a free port; the listener closes here, and the program binds to the same port.
    let free = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .context(NoPortSnafu)?;
    let limits = &environment.scenario.limits;
    let known = lock(&environment.membership).since(0, index).body;
    let config = json!({"name": format!("n{index}"), "listen": free.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:016x}", environment.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(index)),
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
        "known": known, "settings": environment.scenario.settings(index)});
    let path = dir.join("config.json");
    std::fs::write(&path, config.to_string()).context(FileSnafu { path: &path })?;
    let log = dir.join("log");
    let log = std::fs::File::create(&log).context(FileSnafu { path: &log })?;
    let run = format!("ulimit -n {}; exec \"$0\"", limits.sockets);
    let child = Command::new("/bin/sh")
        .args(["-c", &run])
        .arg(program)
        .env("GW_CONFIG", &path)
        .env("TMPDIR", &dir)
        .env_remove("INDIGOFOLD_FAKTORY")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .context(FileSnafu { path: program })?;
    Ok(Program {
        address: free,
        child,
        dir,
    })
}

impl Program {
    /// Polls the readiness endpoint until it returns 200, for at most `within`.
    pub(crate) async fn wait_until_ready(&self, within: Duration) -> Result<(), ReplayError> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(stream) = TcpStream::connect(self.address).await {
                let mut connection = HttpConnection::new(stream);
                let request = b"GET /-/ready HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n";
                if connection.write(request).await.is_ok()
                    && connection.read(true).await.is_ok_and(|a| a.status == 200)
                {
                    return Ok(());
                }
            }
            Timer::after(Duration::from_millis(20)).await;
        }
        let log = std::fs::read_to_string(self.dir.join("log")).unwrap_or_default();
        let last = log.lines().rev().take(5).map(str::to_owned);
        let log: Vec<String> = last.collect();
        NotReadySnafu { within, log }.fail()
    }

    /// The exit status; `None` while the process runs.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}
