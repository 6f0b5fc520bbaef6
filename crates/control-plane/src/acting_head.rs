//! The head: configuration authority and scheduler, with the writes whose results they wait for.

use crate::clocks::Clocks;
use crate::config_authority::{
    ChangeResponse, ConfigAuthority, ConfigChange, ConfigEffect, LoadError, OperatorCallId,
};
use crate::sessions::ConnectionId;
use crate::storage_thread::StoredRow;
use indigofold_protocol::config::Config;
use indigofold_protocol::internal::{AgentOrders, ClientReply};
use indigofold_replication::{RowChange, SubmissionId, ViewNumber};
use indigofold_scheduler::{Bounds, Effect, Epoch, Event, LateEnd, RowError, Scheduler, WriteId};
use snafu::{ResultExt, Snafu};
use std::collections::HashMap;
use std::sync::Arc;

/// An action that the caller has to take for the head, in this order.
#[derive(Debug)]
pub enum HeadOutput {
    /// Write these rows; the commit is to be reported by [`ActingHead::committed`].
    Submit {
        /// Id of the write.
        write_id: SubmissionId,
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
    /// Send orders to a node agent.
    Orders {
        /// Its connection.
        to: ConnectionId,
        /// The orders.
        orders: AgentOrders,
    },
    /// Respond to the operator.
    Respond {
        /// Number of the request.
        call: OperatorCallId,
        /// The response.
        response: ChangeResponse,
    },
    /// A job ended after its latency target, or failed: for the log.
    Late(Box<LateEnd>),
    /// A configuration is in force from now on.
    ConfigActivated {
        /// Its version.
        version: u64,
    },
}

/// Stored rows that a head cannot use.
#[derive(Debug, Snafu)]
pub enum HeadError {
    /// Rows of the configuration authority.
    #[snafu(display("{source}"))]
    Config {
        /// The row, and what is wrong.
        source: LoadError,
    },
    /// Rows of the scheduler.
    #[snafu(display("{source}"))]
    Scheduler {
        /// The row, and what is wrong.
        source: RowError,
    },
}

/// The part that waits for a write.
#[derive(Clone, Copy, Debug)]
enum Writer {
    Scheduler(WriteId),
    Config,
}

/// State of the writes of a head that ends.
#[derive(Debug)]
pub struct UncommittedWrites {
    /// Id of the first write of a later head.
    pub next_write_id: SubmissionId,
    /// Writes without a result.
    pub write_ids: Vec<SubmissionId>,
}

/// State of the head, once its rows are loaded.
pub struct ActingHead {
    scheduler: Scheduler,
    authority: ConfigAuthority,
    /// Writes without a result, by id.
    writers: HashMap<SubmissionId, Writer>,
    /// Id of the next write; also counted on by later heads of this process.
    next_write_id: SubmissionId,
}

impl ActingHead {
    /// The head of a view, from all stored rows. The number of the view is the epoch of its orders. The ids of its writes count from `first_write_id`.
    ///
    /// # Errors
    ///
    /// A row has another form than this program writes.
    pub fn load(
        bounds: Bounds,
        view: ViewNumber,
        first_write_id: SubmissionId,
        clocks: Clocks,
        rows: Vec<StoredRow>,
    ) -> Result<Self, HeadError> {
        let texts = rows
            .iter()
            .filter_map(|row| Some((str::from_utf8(&row.key).ok()?, row.value.as_slice())));
        let authority = ConfigAuthority::load(texts).context(ConfigSnafu)?;
        let (epoch, seed) = (Epoch(view.0), view.0);
        let mut scheduler = Scheduler::new(bounds, epoch, seed, clocks.steady_ms, clocks.wall_ms);
        let rows = rows.into_iter().filter(|row| Scheduler::is_row(&row.key));
        let rows = rows.map(|row| (row.key, row.value));
        scheduler.load(rows).context(SchedulerSnafu)?;
        Ok(ActingHead {
            scheduler,
            authority,
            writers: HashMap::new(),
            next_write_id: first_write_id,
        })
    }

    /// Starts the scheduler with the stored configuration, if there is one.
    pub fn begin(&mut self, clocks: Clocks, outputs: &mut Vec<HeadOutput>) {
        if let Some(config) = self.authority.config().cloned() {
            self.handle_event(clocks, Event::Config(config), outputs);
        }
    }

    /// Passes an event to the scheduler.
    pub fn handle_event(&mut self, clocks: Clocks, event: Event, outputs: &mut Vec<HeadOutput>) {
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

    /// Passes a change of the configuration to the authority.
    pub fn handle_change(
        &mut self,
        clocks: Clocks,
        call: OperatorCallId,
        change: ConfigChange,
        outputs: &mut Vec<HeadOutput>,
    ) {
        let mut effects = Vec::new();
        self.authority.handle_change(call, change, &mut effects);
        self.apply_config_effects(clocks, effects, outputs);
    }

    /// A write is on the disks of the whole chain.
    pub fn committed(
        &mut self,
        clocks: Clocks,
        write_id: SubmissionId,
        outputs: &mut Vec<HeadOutput>,
    ) {
        match self.writers.remove(&write_id) {
            Some(Writer::Scheduler(write)) => {
                self.handle_event(clocks, Event::Committed(write), outputs);
            }
            Some(Writer::Config) => {
                let mut effects = Vec::new();
                self.authority.committed(&mut effects);
                self.apply_config_effects(clocks, effects, outputs);
            }
            None => {}
        }
    }

    /// Whether this is one of its writes without a result.
    pub fn waits_for(&self, write_id: SubmissionId) -> bool {
        self.writers.contains_key(&write_id)
    }

    /// Number of writes that are not committed yet.
    pub fn open_writes(&self) -> u64 {
        self.writers.len() as u64
    }

    /// Ends the head: changes without a decision are answered as undetermined.
    pub fn end(mut self, outputs: &mut Vec<HeadOutput>) -> UncommittedWrites {
        let mut effects = Vec::new();
        self.authority.aborted(&mut effects);
        let responses = effects.into_iter().filter_map(|effect| match effect {
            ConfigEffect::Respond(call, response) => Some(HeadOutput::Respond { call, response }),
            ConfigEffect::Write(_) | ConfigEffect::Activated(_) => None,
        });
        outputs.extend(responses);
        UncommittedWrites {
            next_write_id: self.next_write_id,
            write_ids: self.writers.into_keys().collect(),
        }
    }

    /// When [`Event::Timer`] is due, on the steady clock in milliseconds.
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

    fn apply_config_effects(
        &mut self,
        clocks: Clocks,
        effects: Vec<ConfigEffect>,
        outputs: &mut Vec<HeadOutput>,
    ) {
        for effect in effects {
            match effect {
                ConfigEffect::Write(changes) => {
                    outputs.push(self.submit(Writer::Config, changes));
                }
                ConfigEffect::Activated(config) => {
                    outputs.push(HeadOutput::ConfigActivated {
                        version: config.version,
                    });
                    self.handle_event(clocks, Event::Config(config), outputs);
                }
                ConfigEffect::Respond(call, response) => {
                    outputs.push(HeadOutput::Respond { call, response });
                }
            }
        }
    }

    /// Numbers a write and records who waits for it.
    fn submit(&mut self, writer: Writer, changes: Vec<RowChange>) -> HeadOutput {
        let write_id = self.next_write_id;
        self.next_write_id = SubmissionId(write_id.0 + 1);
        self.writers.insert(write_id, writer);
        HeadOutput::Submit { write_id, changes }
    }
}
