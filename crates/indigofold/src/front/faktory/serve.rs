//! One actor for each accepted connection of the Faktory front end: clients and job workers.

use super::codec::{self, Command, Hello, Job};
use super::machine::{Assignment, Order};
use super::{Faktory, JobRecord};
use crate::api::{Effect, Request, Status, Time};
use crate::net::buffer::Buffer;
use crate::net::set::Rank;
use crate::net::{Link, MESSAGE_TIMEOUT, Reason, WRITE_TIMEOUT, within};
use async_channel::{Sender, bounded};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use indigofold_core::Answer;
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io::Write;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a FETCH waits for a job before it is answered with none.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper limit of the waiting time that a client can set, in milliseconds.
const MAX_CLIENT_WAIT_MS: u64 = 24 * 3600 * 1000;

/// Accepts connections while the program runs.
pub async fn listen(front: Rc<Faktory>, listener: Rc<Async<TcpListener>>) {
    front
        .net
        .serve(&listener, |link| serve(front.clone(), link))
        .await;
}

/// A job worker's name, and its machine's mailbox.
struct Worker {
    wid: String,
    orders: Sender<Order>,
}

struct Connection {
    front: Rc<Faktory>,
    link: Link,
    number: u64,
    worker: Option<Worker>,
}

async fn serve(front: Rc<Faktory>, link: Link) {
    let number = front.next_number();
    let mut connection = Connection {
        front,
        link,
        number,
        worker: None,
    };
    let reason = match connection.run().await {
        Ok(()) => Reason::Done,
        Err(reason) => reason,
    };
    let side = if connection.worker.is_some() {
        "faktory-worker"
    } else {
        "faktory-submitter"
    };
    let wid = connection
        .worker
        .as_ref()
        .map_or("-", |w| &w.wid)
        .to_string();
    if let Some(worker) = connection.worker.take() {
        let _ = worker
            .orders
            .send(Order::Disconnected(worker.wid, number))
            .await;
    }
    connection
        .link
        .log_end(side, reason, format_args!("wid={wid:?}"));
}

impl Connection {
    /// Serves the connection until it ends: the handshake, then one command after another.
    async fn run(&mut self) -> Result<(), Reason> {
        let salt = RandomState::new().build_hasher().finish();
        let salt = format!("{salt:016x}");
        let file = &self.front.file;
        let challenge = (!file.password.is_empty()).then_some((salt.as_str(), file.iterations));
        self.reply(&codec::greeting(challenge)).await?;
        let (hello, buffer) = self.read_hello().await?;
        self.check_hello(&hello, &salt).await?;
        self.register_worker(hello).await?;
        self.reply(codec::OK).await?;
        self.serve_commands(Some(buffer).filter(|b| !b.filled().is_empty()))
            .await
    }

    /// Reads the first command, which must be HELLO, and returns it with the buffer, which may hold further commands.
    async fn read_hello(&self) -> Result<(Hello, Buffer), Reason> {
        let (net, accepted) = (&self.front.net, Instant::now());
        let first = async {
            net.first_unless_evicted(accepted, Rank::NothingSent, async {
                self.link.readable().await.map_err(|_| Reason::IoError)
            })
            .await?;
            let mut buffer = net.buffer().await?;
            let read = receive_command(&self.link, &mut buffer);
            let read = net
                .first_unless_evicted(accepted, Rank::PartialMessage, read)
                .await;
            Ok((read, buffer))
        };
        let (length, mut buffer) = within(MESSAGE_TIMEOUT, Reason::Slow, first).await?;
        let length = match length {
            Err(Reason::Malformed) => return self.reject("the command is too long").await,
            other => other?,
        };
        let hello = match Command::parse(without_line_end(&buffer.filled()[..length])) {
            Ok(Command::Hello(hello)) => hello,
            Ok(_) => return self.reject("HELLO must come first").await,
            Err(why) => return self.reject(&why).await,
        };
        buffer.consume(length);
        Ok((hello, buffer))
    }

    /// Rejects a connection with an unsupported protocol version or a wrong password.
    async fn check_hello(&self, hello: &Hello, salt: &str) -> Result<(), Reason> {
        if hello.v != 2 {
            return self
                .reject("only version 2 of the protocol is spoken here")
                .await;
        }
        let (password, times) = (&self.front.file.password, self.front.file.iterations);
        if !password.is_empty()
            && !codec::constant_time_eq(&codec::hashed(password, salt, times), &hello.pwdhash)
        {
            return self.reject("invalid password").await;
        }
        Ok(())
    }

    /// Notifies the machine's actor that a job worker has connected; does nothing for a client, whose `wid` is empty.
    async fn register_worker(&mut self, hello: Hello) -> Result<(), Reason> {
        if hello.wid.is_empty() {
            return Ok(());
        }
        let Some(orders) = self.front.machine_of(&hello.wid) else {
            return self
                .reject("this wid is on no machine of the operator's file")
                .await;
        };
        let identity = format!("{}:{}", hello.hostname, hello.pid);
        self.worker = Some(Worker {
            wid: hello.wid.clone(),
            orders: orders.clone(),
        });
        let _ = orders
            .send(Order::Connected(hello.wid, identity, self.number))
            .await;
        Ok(())
    }

    /// Executes commands until END or the end of the connection. `kept` holds bytes already read of the next command.
    async fn serve_commands(&self, mut kept: Option<Buffer>) -> Result<(), Reason> {
        let mut since = self.front.clock.now();
        loop {
            let mut buffer = match kept.take() {
                Some(buffer) => buffer,
                None => {
                    self.idle().await?;
                    since = self.front.clock.now();
                    self.front.net.buffer().await?
                }
            };
            let (command, text) = self.next_command(&mut buffer).await?;
            match command {
                Ok(Command::End) => return self.reply(codec::OK).await,
                Ok(command) => {
                    kept = Some(buffer).filter(|b| !b.filled().is_empty());
                    self.execute(command, text, since, &mut kept).await?;
                    if self.link.overrun() {
                        return self.reject("too much was sent before the answer").await;
                    }
                }
                Err(why) => {
                    self.reply(&codec::error(&why)).await?;
                    kept = Some(buffer).filter(|b| !b.filled().is_empty());
                }
            }
            since = self.front.clock.now();
        }
    }

    /// Reads the next command and removes it from the buffer. For PUSH, also returns the text of the job.
    async fn next_command(
        &self,
        buffer: &mut Buffer,
    ) -> Result<(Result<Command, String>, Option<Buffer>), Reason> {
        let length = receive_command(&self.link, buffer);
        let length = match within(MESSAGE_TIMEOUT, Reason::Slow, length).await {
            Err(Reason::Malformed) => return self.reject("the command is too long").await,
            other => other?,
        };
        let commands = &self.front.counts[0];
        commands.set(commands.get() + 1);
        let message = without_line_end(&buffer.filled()[..length]);
        let command = Command::parse(message);
        let text = matches!(command, Ok(Command::Push(_))).then(|| {
            // The job's text is passed on unchanged.
            let mut text = self.front.net.pool.take();
            let _ = text.write_all(message.trim_ascii_start());
            text.consume("PUSH ".len());
            text
        });
        buffer.consume(length);
        Ok((command, text))
    }

    /// Waits for the next command. A client's connection may be evicted, a job worker's only when the program ends.
    async fn idle(&self) -> Result<(), Reason> {
        let readable = async { self.link.readable().await.map_err(|_| Reason::IoError) };
        let stopping = |r| {
            if r == Reason::Evicted && self.front.lifecycle.stopping.get() {
                Reason::Stopping
            } else {
                r
            }
        };
        let rank = if self.worker.is_some() {
            Rank::Worker
        } else {
            Rank::Used
        };
        self.front
            .net
            .unless_evicted(rank, readable)
            .await
            .map_err(stopping)
    }

    async fn reply(&self, text: &str) -> Result<(), Reason> {
        self.link.send(text.as_bytes(), WRITE_TIMEOUT).await
    }

    async fn reject<T>(&self, why: &str) -> Result<T, Reason> {
        self.reply(&codec::error(why)).await?;
        self.front.net.linger(&self.link).await;
        Err(Reason::Rejected)
    }

    async fn execute(
        &self,
        command: Command,
        text: Option<Buffer>,
        since: Time,
        rest: &mut Option<Buffer>,
    ) -> Result<(), Reason> {
        let ended = match command {
            Command::Push(job) => match text {
                Some(text) => return self.push(*job, text, since, rest).await,
                None => return Ok(()),
            },
            Command::Info => return self.reply(&codec::bulk(&self.info())).await,
            Command::Fetch(queues) => return self.fetch(queues, rest).await,
            Command::Hello(_) | Command::End => {
                return self.reply(&codec::error("HELLO was said")).await;
            }
            Command::Heartbeat(wid, quiet) => match &self.worker {
                Some(worker) if worker.wid == wid => Order::Heartbeat(wid, quiet),
                _ => {
                    return self
                        .reply(&codec::error("BEAT is for the job worker that said HELLO"))
                        .await;
                }
            },
            Command::Ack(jid) | Command::Fail(jid) if self.worker.is_none() => {
                let _ = jid;
                return self
                    .reply(&codec::error("only a job worker can say how a job went"))
                    .await;
            }
            Command::Ack(jid) => Order::Ended(self.wid(), jid, Status::Ok),
            Command::Fail(jid) => Order::Ended(self.wid(), jid, Status::Error),
        };
        if let Some(worker) = &self.worker {
            let _ = worker.orders.send(ended).await;
        }
        self.reply(codec::OK).await
    }

    fn wid(&self) -> String {
        self.worker
            .as_ref()
            .map_or_else(String::new, |w| w.wid.clone())
    }

    fn info(&self) -> String {
        let front = &self.front;
        let [commands, served, failed] = [0, 1, 2].map(|n| front.counts[n].get());
        let (open, uptime) = (
            front.open_jobs(),
            front.clock.now().saturating_sub(front.since) / 1_000_000,
        );
        format!(
            "{{\"faktory\":{{\"total_enqueued\":{open},\"total_processed\":{},\"total_failures\":{failed}}},\
             \"server\":{{\"description\":\"indigofold\",\"faktory_version\":\"{}\",\"uptime\":{uptime},\
             \"connections\":{},\"command_count\":{commands}}}}}",
            served + failed,
            env!("CARGO_PKG_VERSION"),
            front.net.set.open(),
        )
    }

    /// Submits a job and replies once its final answer is known.
    async fn push(
        &self,
        job: Job,
        text: Buffer,
        since: Time,
        rest: &mut Option<Buffer>,
    ) -> Result<(), Reason> {
        let request = match self.request(&job) {
            Ok(request) => request,
            Err(why) => return self.reply(&codec::error(&why)).await,
        };
        let (to, from) = bounded(1);
        let jid = job.jid.clone();
        let record = JobRecord {
            jid: job.jid,
            queue: job.queue,
            text,
            assigned: Cell::new(0),
            assigned_attempts: RefCell::default(),
            withdrawn: RefCell::default(),
        };
        self.front.lifecycle.last_job.set(self.front.clock.now());
        // The client's waiting time starts when its command begins to arrive.
        let until = self.front.lifecycle.cap_deadline(since + request.left);
        let number = self.front.push(request, until, record, to).await;
        let answered = async { Ok(from.recv().await.unwrap_or(Answer::Failed)) };
        match answered
            .or(async {
                Err(self
                    .link
                    .wait_until_closed(rest, &self.front.net.pool)
                    .await)
            })
            .await
        {
            Ok(Answer::Served) => self.reply(codec::OK).await,
            Ok(Answer::Rejected(after)) => {
                let text = format!("refused, come back in {} ms", after.div_ceil(1000));
                self.reply(&codec::error(&text)).await
            }
            Ok(Answer::Failed) => self.reply(&codec::error("failed, it may have run")).await,
            Err(reason) => {
                self.front.client_left(&jid, number).await;
                Err(reason)
            }
        }
    }

    fn request(&self, job: &Job) -> Result<Request, String> {
        let site = &self.front.file.site;
        let unknown = || "unknown jobtype: it names a class of the settings".to_string();
        let class = site.classes.find(&job.jobtype).ok_or_else(unknown)?;
        let settings = &site.settings.classes[class as usize];
        let custom = job.custom.as_ref();
        if matches!(settings.effect, Effect::Keyed { .. }) && custom.is_none_or(|c| c.key.is_none())
        {
            return Err("custom.key is missing: jobs of this class carry a key".into());
        }
        let tenant = custom
            .and_then(|c| c.tenant.as_ref())
            .and_then(|name| site.tenants.find(name));
        let left = custom
            .and_then(|c| c.deadline)
            .map(|ms| ms.min(MAX_CLIENT_WAIT_MS) * 1000);
        Ok(Request {
            id: 0,
            class,
            tenant: tenant.unwrap_or(u32::MAX),
            left: left.unwrap_or(settings.deadline),
            estimate: None,
            slots: custom.and_then(|c| c.slots).unwrap_or(1.0),
            memory: 0.0,
            subject: None,
        })
    }

    /// Waits for a job that the decision module has assigned to this job worker's machine, and sends it.
    async fn fetch(&self, queues: Vec<String>, rest: &mut Option<Buffer>) -> Result<(), Reason> {
        let Some(worker) = &self.worker else {
            return self
                .reply(&codec::error("only a job worker with a wid can FETCH"))
                .await;
        };
        let (to, from) = bounded(1);
        let _ = worker
            .orders
            .send(Order::Fetch(self.number, worker.wid.clone(), queues, to))
            .await;
        let assignment = async { Ok(from.recv().await.ok()) };
        let timeout = async {
            Timer::after(FETCH_TIMEOUT).await;
            Ok(None)
        };
        let mut found = assignment
            .or(async {
                Err(self
                    .link
                    .wait_until_closed(rest, &self.front.net.pool)
                    .await)
            })
            .or(timeout)
            .await;
        // A job that was assigned just as the wait timed out must not be lost.
        from.close();
        if let Ok(None) = found {
            found = Ok(from.try_recv().ok());
        }
        match found {
            Ok(Some(assignment)) => self.send_assignment(&worker.orders, assignment).await,
            Ok(None) => {
                let _ = worker.orders.send(Order::CancelFetch(self.number)).await;
                self.reply(codec::NOTHING).await
            }
            Err(reason) => {
                if let Ok(assignment) = from.try_recv() {
                    let _ = worker.orders.send(Order::Written(assignment, false)).await;
                }
                Err(reason)
            }
        }
    }

    /// Writes a job to a job worker. The job may have run if its last byte was sent.
    async fn send_assignment(
        &self,
        orders: &Sender<Order>,
        assignment: Assignment,
    ) -> Result<(), Reason> {
        let mut message = self.front.net.pool.take();
        let text = assignment.record.text.filled();
        let fits = write!(message, "${}\r\n", text.len())
            .and_then(|()| message.write_all(text))
            .and_then(|()| message.write_all(b"\r\n"));
        let mut bytes_written = 0;
        let written = match fits {
            // The peer has closed the connection: a write would succeed but never be read.
            Ok(()) if self.link.closed() => Err(Reason::PeerLeft),
            Ok(()) => {
                let write = self.link.write(message.filled(), &mut bytes_written);
                within(WRITE_TIMEOUT, Reason::Stalled, async {
                    write.await.map_err(|_| Reason::IoError)
                })
                .await
            }
            Err(_) => Err(Reason::Malformed),
        };
        let all = bytes_written == message.filled().len();
        let _ = orders.send(Order::Written(assignment, all)).await;
        written
    }
}

/// Reads until the buffer starts with a complete command, and returns its length with the line end.
async fn receive_command(link: &Link, buffer: &mut Buffer) -> Result<usize, Reason> {
    loop {
        if let Some(end) = buffer.filled().iter().position(|b| *b == b'\n') {
            return Ok(end + 1);
        }
        if buffer.spare().is_empty() {
            return Err(Reason::Malformed);
        }
        let empty = buffer.filled().is_empty();
        match link.read(buffer).await {
            Ok(0) if empty => return Err(Reason::PeerClosed),
            Ok(0) => return Err(Reason::PeerLeft),
            Ok(_) => {}
            Err(_) => return Err(Reason::IoError),
        }
    }
}

fn without_line_end(command: &[u8]) -> &[u8] {
    command.trim_ascii_end()
}
