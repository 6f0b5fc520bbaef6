//! A small deployment on loopback addresses: the project's programs as processes of their own, started with the commands
//! of the deploy file.

use crate::http::{self, Answer};
use crate::record::Record;
use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

const INTERNAL_PORT: u16 = 7_380;
const CONTROL_PORT: u16 = 8_144;
const FRONTEND_PORT: u16 = 8_149;
const READINESS_PORT: u16 = 8_141;

/// The bounds of the small site `smab-cozinha`, as SYSTEM.md and `fleetbench wire` give them.
const BOUNDS: &str = "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nliveness_ms = 3000\nack_timeout_ms = 4000\n\
catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n\
max_skew_ms = 5000\nrecovery_s = 12\nmax_hold_ms = 6000\nstop_ms = 900\ngang_ms = 3000\ncancel_ms = 3000\n\
visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfar_x = 1.5\nsave_s = 2\nrestore_ms = 600\n";

struct Machine {
    name: String,
    process: Child,
    program: &'static str,
    settings: PathBuf,
}

/// The running deployment; its processes end when it is dropped.
pub struct Cluster {
    machines: Vec<Machine>,
    folder: PathBuf,
    pub cores: Vec<SocketAddr>,
    pub frontends: Vec<SocketAddr>,
    pub readiness: Vec<SocketAddr>,
    pub agents: Vec<SocketAddr>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            signal(&machine.process, SIGCONT);
            let _ = machine.process.kill();
            let _ = machine.process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn signal(process: &Child, number: i32) {
    // SAFETY: `kill` only sends a signal to a process that this program has started.
    unsafe { kill(process.id() as i32, number) };
}

/// Finds a loopback network on which the ports are free.
fn network() -> Option<[u8; 2]> {
    let seed = std::process::id().wrapping_mul(2_654_435_761);
    (0..200u32).find_map(|attempt| {
        let number = seed.wrapping_add(attempt.wrapping_mul(40_503));
        let network = [64 + (number >> 16) as u8 % 120, (number >> 8) as u8];
        let is_free = |port: u16| {
            let ip = Ipv4Addr::new(127, network[0], network[1], 1);
            TcpListener::bind((ip, port)).is_ok()
        };
        [INTERNAL_PORT, CONTROL_PORT, FRONTEND_PORT, READINESS_PORT]
            .into_iter()
            .all(is_free)
            .then_some(network)
    })
}

impl Cluster {
    /// Starts `cores` core machines, `edges` edges and `sides` node agents.
    pub fn start(cores: usize, edges: usize, sides: usize, record: &Record) -> io::Result<Cluster> {
        let [high, low] = network().ok_or_else(|| io::Error::other("no free addresses"))?;
        let folder = std::env::temp_dir().join(format!("indigofold-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut cluster = Cluster {
            machines: Vec::new(),
            folder: folder.clone(),
            cores: Vec::new(),
            frontends: Vec::new(),
            readiness: Vec::new(),
            agents: Vec::new(),
        };
        let at = |host: usize, port: u16| {
            SocketAddr::from((Ipv4Addr::new(127, high, low, host as u8 + 1), port))
        };
        let seeds: Vec<String> = (0..cores.min(3))
            .map(|core| format!("\"{}\"", at(core, CONTROL_PORT)))
            .collect();
        let classes = [("core", cores), ("edge", edges), ("side", sides)];
        let mut host = 0;
        for (class, count) in classes {
            for number in 1..=count {
                let name = format!("{class}-{number}");
                let control = at(host, CONTROL_PORT);
                let (serves, addresses) = match class {
                    "edge" => {
                        let (frontend, readiness) =
                            (at(host, FRONTEND_PORT), at(host, READINESS_PORT));
                        cluster.frontends.push(frontend);
                        cluster.readiness.push(readiness);
                        (
                            "edge",
                            format!("frontend = \"{frontend}\"\nreadiness = \"{readiness}\"\n"),
                        )
                    }
                    "core" => {
                        cluster.cores.push(control);
                        ("control", format!("control_plane = \"{control}\"\n"))
                    }
                    _ => {
                        cluster.agents.push(control);
                        ("side", format!("control_plane = \"{control}\"\n"))
                    }
                };
                let disk = if class == "core" {
                    let data = folder.join(format!("{name}-data"));
                    fs::create_dir_all(&data)?;
                    format!("data_dir = \"{}\"\n", data.display())
                } else {
                    String::new()
                };
                let text = format!(
                    "node_name = \"{name}\"\nrole = \"{class}\"\nmachine_class = \"{class}\"\nserves = [\"{serves}\"]\n\
                     ip = \"{}\"\nzone = \"sala\"\nregion = \"minho\"\nport_range = [{INTERNAL_PORT},{}]\n\
                     seed_nodes = [{}]\nbootstrap = true\ncounts_for_quorum = {}\n{disk}discovery = \"local\"\n\
                     entry = \"vip\"\nheartbeat_ms = 1500\n\
                     contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\ncommands = \"heartbeat\"\n\
                     [zones]\nsala = \"minho\"\n[bind_addrs]\n{addresses}[fault_tolerance]\nmachines = 1\nzones = 0\n\
                     regions = 0\n{BOUNDS}",
                    control.ip(),
                    INTERNAL_PORT + 15,
                    seeds.join(","),
                    class == "core",
                );
                let settings = folder.join(format!("{name}.toml"));
                fs::write(&settings, text)?;
                let program = match class {
                    "core" => "target/cluster/indigofold-control",
                    _ => "target/cluster/indigofold-data",
                };
                let process = spawn(program, &settings, &folder.join(format!("{name}.log")))?;
                record.write(&format!("started {name} on {}", control.ip()));
                cluster.machines.push(Machine {
                    name,
                    process,
                    program,
                    settings,
                });
                host += 1;
            }
        }
        Ok(cluster)
    }

    /// Planned work: stops the process of a machine with SIGTERM, and with SIGKILL after `grace_s`, and starts it again.
    pub fn roll(&mut self, name: &str, record: &Record) -> io::Result<()> {
        let folder = self.folder.clone();
        let Some(machine) = self
            .machines
            .iter_mut()
            .find(|machine| machine.name == name)
        else {
            return Err(io::Error::other("no such machine"));
        };
        signal(&machine.process, SIGTERM);
        record.write(&format!("SIGTERM to {name}"));
        let deadline = Instant::now() + Duration::from_secs(6);
        while machine.process.try_wait()?.is_none() {
            if Instant::now() > deadline {
                machine.process.kill()?;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        std::thread::sleep(Duration::from_millis(100));
        let text = fs::read_to_string(&machine.settings)?;
        fs::write(
            &machine.settings,
            text.replace("bootstrap = true", "bootstrap = false"),
        )?;
        let log = folder.join(format!("{name}-again.log"));
        machine.process = spawn(machine.program, &machine.settings, &log)?;
        record.write(&format!("{name} is started again"));
        Ok(())
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, name: &str, number: i32) {
        if let Some(machine) = self.machines.iter().find(|machine| machine.name == name) {
            signal(&machine.process, number);
        }
    }

    /// Name of the core machine that acts as the head: the one that answers the operator itself.
    pub fn head(&self) -> Option<String> {
        let position = self.cores.iter().position(|core| {
            let headers = format!("Host: {core}\r\n");
            let limit = Duration::from_secs(1);
            http::call(*core, "GET", "/config", &headers, "", limit)
                .is_ok_and(|answer| answer.status == 200)
        })?;
        Some(format!("core-{}", position + 1))
    }

    /// Whether all processes are still running.
    pub fn all_run(&mut self) -> bool {
        self.machines
            .iter_mut()
            .all(|machine| matches!(machine.process.try_wait(), Ok(None)))
    }

    /// Sends the first configuration again and again until it is taken.
    pub fn configure(&self, config: &str, record: &Record) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        let mut turn = 0;
        while Instant::now() < deadline {
            let core = self.cores[turn % self.cores.len()];
            turn += 1;
            if let Ok(answer) = operator_call(core, "PUT", config, "If-Match: 0\r\n")
                && answer.status == 200
            {
                record.write("operator: the configuration is acknowledged");
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until all edges say that they are ready.
    pub fn wait_ready(&self, record: &Record) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            let is_ready = |address: &SocketAddr| {
                let headers = format!("Host: {address}\r\n");
                let limit = Duration::from_secs(1);
                http::call(*address, "GET", "/readiness", &headers, "", limit)
                    .is_ok_and(|answer| answer.status == 200)
            };
            if self.readiness.iter().all(is_ready) {
                record.write("all edges are ready");
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

fn spawn(program: &str, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::create(log)?;
    Command::new(program)
        .env("INDIGOFOLD_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// A call of the operator, which follows a 307 twice.
pub fn operator_call(
    core: SocketAddr,
    method: &str,
    body: &str,
    headers: &str,
) -> io::Result<Answer> {
    let mut address = core;
    for _ in 0..3 {
        let headers = format!("Host: {address}\r\n{headers}");
        let limit = Duration::from_secs(1);
        let answer = http::call(address, method, "/config", &headers, body, limit)?;
        let location = answer.location.as_deref().filter(|_| answer.status == 307);
        let Some(location) = location else {
            return Ok(answer);
        };
        let host = location.trim_start_matches("http://");
        let host = host.split('/').next().unwrap_or_default();
        match host.parse::<SocketAddr>() {
            Ok(next) if matches!(next.ip(), IpAddr::V4(ip) if ip.is_loopback()) => address = next,
            _ => return Ok(answer),
        }
    }
    Err(io::Error::other("redirected too often"))
}
