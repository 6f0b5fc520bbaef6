//! The Faktory front end with test clients and test job workers, which count the runs of each job. A plain Faktory server
//! serves as control: tests against it show that the scenarios detect a second run.

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use indigofold::api::{Scope, WorkerState};
use indigofold::front::{Lifecycle, faktory};
use indigofold::{config, net::Net};
use indigofold_core::{CoreInput, actor, clock::Clock};
use rstest::rstest;
use sha2::{Digest, Sha256};
use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::spawn;
use std::time::Duration;

const SETTINGS: &str = include_str!("exchanges/settings.json");
/// Maximum number of fetches of a job worker. Each waits up to two seconds, so a scenario that fails still ends.
const MAX_FETCHES: usize = 60;
/// How long a FETCH waits at the plain server. When the server answered at once, a job worker used up its fetches before the
/// client's thread had started.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
const PASSWORD: &str = "sesame";

fn operators_file(warm_after: &str) -> String {
    let settings = SETTINGS.replace(
        "\"warmAfter\": 9000000",
        &format!("\"warmAfter\": {warm_after}"),
    );
    format!(
        r#"{{"listen":"127.0.0.1:0","password":"{PASSWORD}","iterations":5,"reconnect_within_ms":100,"settings":{settings},
        "machines":[{{"machine":"m1","wids":["w-1","w-2"],"zone":"north","kind":"big"}}]}}"#
    )
}

/// The program, started with an operator's file, and its address; killed when dropped.
struct Program(Child, String);

impl Program {
    fn start(name: &str, warm_after: &str) -> Self {
        let path = format!(
            "{}/{name}-{}.json",
            env!("CARGO_TARGET_TMPDIR"),
            std::process::id()
        );
        std::fs::write(&path, operators_file(warm_after))
            .expect("cannot write the operator's file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_indigofold"));
        command
            .env("INDIGOFOLD_FAKTORY", path)
            .env_remove("GW_CONFIG")
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("cannot start the program");
        let mut log = BufReader::new(
            child
                .stderr
                .take()
                .expect("the program's stderr must be piped"),
        );
        let mut text = String::new();
        log.read_line(&mut text).expect("cannot read a line");
        spawn(move || log.lines().for_each(drop));
        let address = text
            .trim()
            .rsplit("listen=")
            .next()
            .expect("the first log line must end with the address")
            .to_string();
        Program(child, address)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A test client, or a test job worker if it connects with a `wid`.
struct Client(BufReader<TcpStream>);

impl Client {
    fn connect(address: &str, wid: &str, pid: u32) -> Self {
        let stream = TcpStream::connect(address).expect("cannot connect to the server");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("cannot set the read timeout");
        let mut client = Client(BufReader::new(stream));
        let hi = client.read_reply();
        let field = |key: &str| {
            hi.split(key).nth(1).map(|t| {
                t.split([',', '}', '"'])
                    .next()
                    .expect("the greeting's field must have a value")
            })
        };
        let mut hash = String::new();
        if let (Some(salt), Some(times)) = (field("\"s\":\""), field("\"i\":")) {
            let mut bytes = Sha256::digest(format!("{PASSWORD}{salt}"));
            (1..times
                .parse()
                .expect("the greeting must give a number of iterations"))
                .for_each(|_: u32| bytes = Sha256::digest(bytes));
            hash = bytes.iter().map(|b| format!("{b:02x}")).collect();
        }
        let hello = format!(
            r#"HELLO {{"v":2,"wid":"{wid}","hostname":"h","pid":{pid},"pwdhash":"{hash}"}}"#
        );
        assert_eq!(client.send_command(&hello), "+OK");
        client
    }

    fn read_reply(&mut self) -> String {
        let mut text = String::new();
        self.0.read_line(&mut text).expect("cannot read a line");
        text.trim_end().to_string()
    }

    fn send_command(&mut self, command: &str) -> String {
        self.0
            .get_mut()
            .write_all(format!("{command}\r\n").as_bytes())
            .expect("cannot send");
        self.read_reply()
    }

    fn push(&mut self, jid: &str, class: &str, deadline: u32) -> String {
        let custom = format!(r#"{{"key":"{jid}","deadline":{deadline}}}"#);
        self.send_command(&format!(
            r#"PUSH {{"jid":"{jid}","jobtype":"{class}","args":[],"custom":{custom}}}"#
        ))
    }

    /// Fetches a job, and counts it as a run.
    fn fetch(&mut self, runs: &Runs) -> Option<String> {
        let length: i64 = self
            .send_command("FETCH default")
            .strip_prefix('$')?
            .parse()
            .expect("the reply must start with the job's length");
        let mut text = vec![0; usize::try_from(length).ok()? + 2];
        self.0.read_exact(&mut text).expect("cannot read the job");
        let text = String::from_utf8(text).expect("the job must be UTF-8");
        let jid = text
            .split("\"jid\":\"")
            .nth(1)?
            .split('"')
            .next()?
            .to_string();
        *runs
            .lock()
            .expect("the lock on the runs is poisoned")
            .entry(jid.clone())
            .or_default() += 1;
        Some(jid)
    }

    fn ack(&mut self, jid: &str) -> String {
        self.send_command(&format!(r#"ACK {{"jid":"{jid}"}}"#))
    }
}

type Runs = Arc<Mutex<HashMap<String, usize>>>;

fn count(runs: &Runs, jid: &str) -> usize {
    runs.lock()
        .expect("the lock on the runs is poisoned")
        .get(jid)
        .copied()
        .unwrap_or(0)
}

fn count_all(runs: &Runs) -> usize {
    runs.lock().expect("the lock on the runs is poisoned").len()
}

/// Starts a plain Faktory server as the protocol's specification describes it: one queue; PUSH is answered when the job is
/// queued; FETCH waits for a job for a limited time; jobs fetched by a lost connection are queued again. Returns its address.
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, in the order in which it happens"
)]
fn plain_server() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a loopback port");
    let address = listener
        .local_addr()
        .expect("the listener must have an address")
        .to_string();
    let queue = Arc::new((Mutex::new(VecDeque::<String>::new()), Condvar::new()));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let queue = queue.clone();
            spawn(move || {
                let (mut to, from) = (
                    stream.try_clone().expect("cannot clone the stream"),
                    BufReader::new(stream),
                );
                let mut reserved: Vec<String> = Vec::new();
                let _ = to.write_all(b"+HI {\"v\":2}\r\n");
                for command in from.lines().map_while(Result::ok) {
                    let (verb, rest) = command.split_once(' ').unwrap_or((&command, ""));
                    let reply = match verb {
                        "PUSH" => {
                            queue
                                .0
                                .lock()
                                .expect("the lock on the queue is poisoned")
                                .push_back(rest.to_string());
                            queue.1.notify_one();
                            "+OK\r\n".to_string()
                        }
                        "FETCH" => {
                            let jobs = queue.0.lock().expect("the lock on the queue is poisoned");
                            let wait = queue
                                .1
                                .wait_timeout_while(jobs, FETCH_TIMEOUT, |jobs| jobs.is_empty());
                            match wait
                                .expect("the lock on the queue is poisoned")
                                .0
                                .pop_front()
                            {
                                Some(job) => {
                                    reserved.push(job.clone());
                                    format!("${}\r\n{job}\r\n", job.len())
                                }
                                None => "$-1\r\n".to_string(),
                            }
                        }
                        "ACK" | "FAIL" => {
                            let jid = rest.split('"').nth(3).unwrap_or("").to_string();
                            reserved.retain(|job| !job.contains(&jid));
                            "+OK\r\n".to_string()
                        }
                        _ => "+OK\r\n".to_string(),
                    };
                    if to.write_all(reply.as_bytes()).is_err() {
                        break;
                    }
                }
                queue
                    .0
                    .lock()
                    .expect("the lock on the queue is poisoned")
                    .extend(reserved);
                queue.1.notify_all();
            });
        }
    });
    address
}

/// Returns how often a `reserve` job runs if its job worker loses the connection after the fetch, reconnects, and fetches
/// until it gets no job.
fn runs_after_a_reconnect(address: &str) -> usize {
    let runs = Runs::default();
    let mut worker = Client::connect(address, "w-1", 7);
    let to = address.to_string();
    let client = spawn(move || Client::connect(&to, "", 1).push("job-00001", "reserve", 5000));
    assert!(
        (0..MAX_FETCHES).any(|_| worker.fetch(&runs).is_some()),
        "no fetch returned the job"
    );
    drop(worker);
    let mut worker = Client::connect(address, "w-1", 7);
    while count(&runs, "job-00001") < 2 && worker.fetch(&runs).is_some() {}
    // The plain server queues the job again shortly after the connection is lost, so one more fetch is made.
    if count(&runs, "job-00001") < 2 {
        worker.fetch(&runs);
    }
    assert_eq!(worker.ack("job-00001"), "+OK");
    assert_eq!(client.join().expect("the client's thread panicked"), "+OK");
    count(&runs, "job-00001")
}

#[test]
fn a_reserve_job_is_not_run_twice_when_its_worker_reconnects() {
    // Guards against booking stock twice, which a server that queues lost jobs again would do.
    let program = Program::start("again", "9000000");
    assert_eq!(runs_after_a_reconnect(&program.1), 1);
}

#[test]
fn a_plain_server_runs_the_job_twice_when_its_worker_reconnects() {
    let address = plain_server();
    assert_eq!(
        runs_after_a_reconnect(&address),
        2,
        "the plain server did not hand out the job a second time"
    );
}

#[test]
fn a_client_disconnect_causes_no_second_run() {
    let program = Program::start("vanish", "9000000");
    let (runs, address) = (Runs::default(), &program.1);
    let mut worker = Client::connect(address, "w-1", 7);
    let mut client = Client::connect(address, "", 1);
    let push = br#"PUSH {"jid":"job-00001","jobtype":"reserve","args":[]}"#;
    client
        .0
        .get_mut()
        .write_all(&[push, &b"\r\n"[..]].concat())
        .expect("cannot send");
    assert_eq!(worker.fetch(&runs).as_deref(), Some("job-00001"));
    drop(client);
    let to = address.clone();
    let retried = spawn(move || Client::connect(&to, "", 2).push("job-00001", "reserve", 5000));
    assert_eq!(worker.fetch(&runs), None);
    assert_eq!(worker.ack("job-00001"), "+OK");
    assert_eq!(retried.join().expect("the client's thread panicked"), "+OK");
    assert_eq!(count(&runs, "job-00001"), 1);
}

/// Jobs of both classes from four clients run on two job workers: all are served, and each runs once.
#[rstest]
#[case::program(true)]
#[case::plain_server(false)]
fn many_jobs_run_once_each(#[case] program: bool) {
    let program = program.then(|| Program::start("many", "1"));
    let address = program.as_ref().map_or_else(plain_server, |p| p.1.clone());
    let runs = Runs::default();
    let workers = ["w-1", "w-2"].map(|wid| {
        let (runs, address) = (runs.clone(), address.clone());
        spawn(move || {
            let mut worker = Client::connect(&address, wid, 7);
            for _ in 0..MAX_FETCHES {
                if count_all(&runs) == 40 {
                    break;
                }
                if let Some(jid) = worker.fetch(&runs) {
                    assert_eq!(worker.ack(&jid), "+OK");
                }
            }
        })
    });
    let clients = [0, 1, 2, 3].map(|n| {
        let address = address.clone();
        spawn(move || {
            let mut client = Client::connect(&address, "", n);
            for job in 0..10 {
                let class = if job % 2 == 0 { "reserve" } else { "book" };
                assert_eq!(
                    client.push(&format!("job-{n}-{job:04}"), class, 20_000),
                    "+OK"
                );
            }
        })
    });
    clients
        .into_iter()
        .chain(workers)
        .for_each(|t| t.join().expect("a client or job worker panicked"));
    let runs = runs.lock().expect("the lock on the runs is poisoned");
    assert!(
        runs.len() == 40 && runs.values().all(|n| *n == 1),
        "{runs:?}"
    );
}

/// Returns how many of twenty jobs, pushed at once, are handed to a machine that has just started.
fn assigned_at_once(name: &str, warm_after: &str, deadline: u32) -> usize {
    let program = Program::start(name, warm_after);
    let runs = Runs::default();
    let mut worker = Client::connect(&program.1, "w-1", 7);
    let clients: Vec<_> = (0..20)
        .map(|n| {
            let address = program.1.clone();
            spawn(move || {
                Client::connect(&address, "", n).push(&format!("job-{n:05}"), "reserve", deadline)
            })
        })
        .collect();
    for _ in 0..MAX_FETCHES {
        if clients.iter().all(std::thread::JoinHandle::is_finished) || count_all(&runs) == 20 {
            break;
        }
        worker.fetch(&runs);
    }
    count_all(&runs)
}

#[test]
fn a_machine_in_warm_up_is_assigned_few_jobs_and_a_warm_one_all() {
    // The budget of a cold machine admits at most two seconds of its present capacity, here five jobs.
    let warming_up = assigned_at_once("cold", "9000000000", 400);
    assert!(
        warming_up <= 6,
        "{warming_up} jobs were handed to a cold machine"
    );
    assert_eq!(assigned_at_once("warm", "1", 15_000), 20);
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, in the order in which it happens"
)]
fn the_core_is_notified_of_starts_drains_and_lost_connections() {
    let tasks = Rc::new(LocalExecutor::new());
    async_io::block_on(tasks.run(async {
        let file =
            config::Faktory::read(operators_file("9000000").replace(PASSWORD, "").into_bytes())
                .expect("the operator's file must be valid");
        let (net, clock, (core, inputs)) = (
            Net::new(tasks.clone(), 64, 64),
            Clock::new(),
            actor::mailbox(),
        );
        let front = faktory::Faktory::new(
            net.clone(),
            clock,
            Rc::new(Lifecycle::default()),
            file,
            core,
        );
        front.open().await;
        let listener =
            Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("cannot bind a loopback port");
        let address = listener
            .get_ref()
            .local_addr()
            .expect("the listener must have an address");
        net.spawn(faktory::serve::listen(front, Rc::new(listener)));
        let next = || async {
            match inputs.recv().await.expect("the core's mailbox is closed") {
                CoreInput::Membership(scope, entries) => {
                    (scope, entries[0].state, entries[0].ready_at)
                }
                other => panic!("{other:?}"),
            }
        };
        assert_eq!(next().await, (Scope::Full, WorkerState::Left, 0));
        let begun = clock.now();
        let connect = |pid: u32| async move {
            let mut link = Async::<TcpStream>::connect(address)
                .await
                .expect("cannot connect to the front end");
            let hello =
                format!("HELLO {{\"v\":2,\"hostname\":\"h\",\"wid\":\"w-1\",\"pid\":{pid}}}\r\n");
            link.write_all(hello.as_bytes()).await.expect("cannot send");
            let mut got = Vec::new();
            while !got.ends_with(b"+OK\r\n") {
                let mut byte = [0];
                link.read_exact(&mut byte)
                    .await
                    .expect("cannot read the reply");
                got.push(byte[0]);
            }
            link
        };
        // The first start makes the machine active; its warm-up starts now.
        let mut first = connect(7).await;
        let (scope, state, first_start) = next().await;
        assert!(scope == Scope::Delta && state == WorkerState::Active && first_start >= begun);
        // A drain and its end don't restart the warm-up.
        first
            .write_all(b"BEAT {\"wid\":\"w-1\",\"current_state\":\"quiet\"}\r\n")
            .await
            .expect("cannot send");
        assert_eq!(
            next().await,
            (Scope::Delta, WorkerState::Draining, first_start)
        );
        first
            .write_all(b"BEAT {\"wid\":\"w-1\"}\r\n")
            .await
            .expect("cannot send");
        assert_eq!(
            next().await,
            (Scope::Delta, WorkerState::Active, first_start)
        );
        // Another process under the same wid restarts the warm-up.
        let second = connect(8).await;
        let (_, state, second_start) = next().await;
        assert!(state == WorkerState::Active && second_start > first_start);
        // All connections are closed and none is made again, so the machine leaves.
        drop((first, second));
        assert_eq!(
            next().await,
            (Scope::Delta, WorkerState::Left, second_start)
        );
    }));
}

/// Guards against example and deployment files that the program can't read.
#[test]
fn shipped_configuration_files_are_valid() {
    let example = include_str!("../examples/config.json").as_bytes().to_vec();
    let config =
        config::Platform::read(example, |_| None).expect("the example configuration must be valid");
    assert_eq!(config.site.settings.classes.len(), 2);
    let file = config::Faktory::read(
        include_str!("../../../deploy/faktory.json")
            .as_bytes()
            .to_vec(),
    );
    assert_eq!(
        file.expect("deploy/faktory.json must be valid")
            .machines
            .len(),
        2
    );
}
