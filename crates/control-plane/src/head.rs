//! What the acting head runs: the configuration authority and the schedulers, with the writes that they wait for.

use crate::config_authority::{self, Answer, CallId, ConfigAuthority, LoadError, Order};
use crate::sessions::ConnectionId;
use crate::storage_thread::KeyValue;
use indigofold_protocol::config::Config;
use indigofold_protocol::internal::{AgentOrders, ClientReply};
use indigofold_replication::RowChange;
use indigofold_scheduler::{Bounds, Effect, Event, LateEnd, RowError, Scheduler, WriteId};
use snafu::{ResultExt, Snafu};
use std::collections::HashMap;
use std::sync::Arc;

/// A reading of both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clocks {
    /// The steady clock, in milliseconds.
    pub steady_ms: u64,
    /// The time of day, in milliseconds since 1970.
    pub wall_ms: u64,
}

/// What the head wants done, in this order.
#[derive(Debug)]
pub enum HeadOutput {
    /// Write these rows; the ticket's fate is to be told to [`Head::committed`].
    Submit {
        /// Number of the write.
        write_id: u64,
        /// The rows.
        changes: Vec<RowChange>,
    },
    /// Reply to an edge.
    Reply {
        /// Its connection.
        to: ConnectionId,
        /// The reply.
        reply: ClientReply,
    },
    /// Orders for a companion.
    Orders {
        /// Its connection.
        to: ConnectionId,
        /// The orders.
        orders: AgentOrders,
    },
    /// Answer the operator.
    Answer {
        /// The call.
        call: CallId,
        /// Its answer.
        answer: Answer,
    },
    /// A job ended after its objective, or failed: for the log.
    Late(Box<LateEnd>),
    /// A configuration is in force from now on.
    ConfigTaken {
        /// Its version.
        version: u64,
    },
}

/// Rows on disk that a head cannot work with.
#[derive(Debug, Snafu)]
pub enum HeadError {
    /// Rows of the configuration.
    #[snafu(display("{source}"))]
    Config {
        /// Which, and why.
        source: LoadError,
    },
    /// Rows of the scheduler.
    #[snafu(display("{source}"))]
    Scheduler {
        /// Which, and why.
        source: RowError,
    },
}

/// Who waits for a write.
#[derive(Clone, Copy, Debug)]
enum Writer {
    Scheduler(WriteId),
    Config,
}

/// What a head leaves behind.
#[derive(Debug)]
pub struct Unsettled {
    /// Where a later head goes on counting.
    pub next_write_id: u64,
    /// Writes whose fate is open.
    pub write_ids: Vec<u64>,
}

/// The acting head's state.
pub struct Head {
    scheduler: Scheduler,
    authority: ConfigAuthority,
    writers: HashMap<u64, Writer>,
    next_write_id: u64,
}

impl Head {
    /// The head of view `epoch`, from all rows on disk. Tickets of its writes are counted from `first_write_id`.
    pub fn load(
        bounds: Bounds,
        epoch: u64,
        first_write_id: u64,
        clocks: Clocks,
        rows: Vec<KeyValue>,
    ) -> Result<Self, HeadError> {
        let texts = rows
            .iter()
            .filter_map(|(key, value)| Some((str::from_utf8(key).ok()?, value.as_slice())));
        let authority = ConfigAuthority::load(texts).context(ConfigSnafu)?;
        let mut scheduler = Scheduler::new(bounds, epoch, epoch, clocks.steady_ms, clocks.wall_ms);
        let rows = rows.into_iter().filter(|(key, _)| Scheduler::is_row(key));
        scheduler.load(rows).context(SchedulerSnafu)?;
        Ok(Head {
            scheduler,
            authority,
            writers: HashMap::new(),
            next_write_id: first_write_id,
        })
    }

    /// Begins with the configuration on disk, if there is one.
    pub fn begin(&mut self, clocks: Clocks, outputs: &mut Vec<HeadOutput>) {
        if let Some(config) = self.authority.config().cloned() {
            self.event(clocks, Event::Config(config), outputs);
        }
    }

    /// Hands an event to the scheduler.
    pub fn event(&mut self, clocks: Clocks, event: Event, outputs: &mut Vec<HeadOutput>) {
        let mut effects = Vec::new();
        self.scheduler
            .handle(clocks.steady_ms, clocks.wall_ms, event, &mut effects);
        for effect in effects {
            let output = match effect {
                Effect::Write { write, changes } => {
                    let changes = changes.into_iter().map(|row| RowChange {
                        key: row.key,
                        value: row.value,
                    });
                    self.submit(Writer::Scheduler(write), changes.collect())
                }
                Effect::Reply { to, reply } => HeadOutput::Reply {
                    to: ConnectionId(to.0),
                    reply,
                },
                Effect::Late(end) => HeadOutput::Late(end),
                Effect::Orders { agent, orders } => HeadOutput::Orders {
                    to: ConnectionId(agent.0),
                    orders,
                },
            };
            outputs.push(output);
        }
    }

    /// Hands an order of the operator to the authority.
    pub fn order(
        &mut self,
        clocks: Clocks,
        call: CallId,
        order: Order,
        outputs: &mut Vec<HeadOutput>,
    ) {
        let mut effects = Vec::new();
        self.authority.order(call, order, &mut effects);
        self.config_effects(clocks, effects, outputs);
    }

    /// A write is on the disks of the whole chain.
    pub fn committed(&mut self, clocks: Clocks, write_id: u64, outputs: &mut Vec<HeadOutput>) {
        match self.writers.remove(&write_id) {
            Some(Writer::Scheduler(write)) => self.event(clocks, Event::Committed(write), outputs),
            Some(Writer::Config) => {
                let mut effects = Vec::new();
                self.authority.committed(&mut effects);
                self.config_effects(clocks, effects, outputs);
            }
            None => {}
        }
    }

    /// Whether this is one of its writes whose fate is open.
    pub fn waits_for(&self, write_id: u64) -> bool {
        self.writers.contains_key(&write_id)
    }

    /// Writes that are not committed yet.
    pub fn open_writes(&self) -> u64 {
        self.writers.len() as u64
    }

    /// Ends its work: orders that are not decided are left unclear.
    pub fn end(mut self, outputs: &mut Vec<HeadOutput>) -> Unsettled {
        let mut effects = Vec::new();
        self.authority.aborted(&mut effects);
        let answers = effects.into_iter().filter_map(|effect| match effect {
            config_authority::Effect::Reply(call, answer) => {
                Some(HeadOutput::Answer { call, answer })
            }
            _ => None,
        });
        outputs.extend(answers);
        Unsettled {
            next_write_id: self.next_write_id,
            write_ids: self.writers.into_keys().collect(),
        }
    }

    /// When the scheduler wants [`Event::Timer`].
    pub fn next_timer_ms(&self) -> u64 {
        self.scheduler.next_timer_ms()
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.authority.config()
    }

    /// The configuration in force, as text.
    pub fn config_text(&self) -> Option<&[u8]> {
        self.authority.text()
    }

    fn config_effects(
        &mut self,
        clocks: Clocks,
        effects: Vec<config_authority::Effect>,
        outputs: &mut Vec<HeadOutput>,
    ) {
        for effect in effects {
            match effect {
                config_authority::Effect::Write(rows) => {
                    let changes = rows.into_iter();
                    let changes = changes
                        .map(|row| RowChange {
                            key: row.key.into_bytes(),
                            value: row.value,
                        })
                        .collect();
                    let output = self.submit(Writer::Config, changes);
                    outputs.push(output);
                }
                config_authority::Effect::InForce(config) => {
                    outputs.push(HeadOutput::ConfigTaken {
                        version: config.version,
                    });
                    self.event(clocks, Event::Config(config), outputs);
                }
                config_authority::Effect::Reply(call, answer) => {
                    outputs.push(HeadOutput::Answer { call, answer });
                }
            }
        }
    }

    fn submit(&mut self, writer: Writer, changes: Vec<RowChange>) -> HeadOutput {
        let write_id = self.next_write_id;
        self.next_write_id += 1;
        self.writers.insert(write_id, writer);
        HeadOutput::Submit { write_id, changes }
    }
}
