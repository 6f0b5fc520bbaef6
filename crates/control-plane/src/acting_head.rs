//! The head: runs the configuration authority and the scheduler, and tracks the writes that they wait for.

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

/// An action that the caller has to take for the head. Actions are to be taken in the order in which they are returned.
#[derive(Debug)]
pub enum HeadOutput {
    /// Write these rows atomically; the caller reports the commit with [`ActingHead::committed`].
    Submit {
        /// ID of the write.
        write_id: SubmissionId,
        /// The rows to set or delete.
        changes: Vec<RowChange>,
    },
    /// Reply to a call of an edge.
    Reply {
        /// Connection of the edge.
        to: ConnectionId,
        /// Outcome of the call, with the number that the edge gave it.
        reply: ClientReply,
    },
    /// Send orders to a node agent.
    Orders {
        /// Connection of the node agent.
        to: ConnectionId,
        /// Runs to start and to stop, and the newest report that they answer.
        orders: AgentOrders,
    },
    /// Respond to an operator request.
    Respond {
        /// ID of the request.
        call: OperatorCallId,
        /// Result of the configuration change.
        response: ChangeResponse,
    },
    /// Log that a job ended after its latency target, or failed.
    LateEnd(Box<LateEnd>),
    /// Log that a new configuration is in force.
    ConfigActivated {
        /// Version of the configuration.
        version: u64,
    },
}

/// The head cannot be loaded from the stored rows.
#[derive(Debug, Snafu)]
pub enum HeadError {
    /// A row of the configuration authority is not usable.
    #[snafu(display("{source}"))]
    Config {
        /// Names the row and what is wrong with it.
        source: LoadError,
    },
    /// A row of the scheduler is not usable.
    #[snafu(display("{source}"))]
    Scheduler {
        /// Names the row and what is wrong with it.
        source: RowError,
    },
}

/// The component that waits for the result of a write.
#[derive(Clone, Copy, Debug)]
enum Writer {
    Scheduler(WriteId),
    Config,
}

/// Writes of a head that has ended.
#[derive(Debug)]
pub struct UncommittedWrites {
    /// ID for the first write of the next head of this process.
    pub next_write_id: SubmissionId,
    /// IDs of the writes that have no result yet.
    pub write_ids: Vec<SubmissionId>,
}

/// The head of a view, with its rows loaded. Whether its lease holds is not checked here.
pub struct ActingHead {
    scheduler: Scheduler,
    authority: ConfigAuthority,
    /// For each write without a result yet, the component that waits for it.
    writers: HashMap<SubmissionId, Writer>,
    /// ID of the next write. IDs are unique across all heads of this process: the next head continues from here.
    next_write_id: SubmissionId,
}

impl ActingHead {
    /// Creates the head of `view` from all stored rows. The number of the view is the epoch that fences the head's orders. Write
    /// IDs are assigned from `first_write_id` upwards.
    ///
    /// # Errors
    ///
    /// A row is not in the format that this program writes.
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
        let rows = rows.into_iter().filter(|row| Scheduler::owns_row(&row.key));
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

    /// Handles the announcement that the head acts again, after one that it did not.
    pub fn handle_resumed(&mut self) {
        self.scheduler.expect_full_reports();
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
                Effect::LateEnd(end) => HeadOutput::LateEnd(end),
                Effect::Orders { agent, orders } => HeadOutput::Orders {
                    to: ConnectionId(agent.0),
                    orders,
                },
            };
            outputs.push(output);
        }
    }

    /// Passes a configuration change to the authority.
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

    /// Reports to the waiting component that a write is on the disks of the whole chain.
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

    /// Whether `write_id` is a write of this head that has no result yet.
    pub fn waits_for(&self, write_id: SubmissionId) -> bool {
        self.writers.contains_key(&write_id)
    }

    /// Returns the number of writes that are not committed yet.
    pub fn open_writes(&self) -> u64 {
        self.writers.len() as u64
    }

    /// Ends the head. Configuration changes without a response are answered as undetermined.
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

    /// Returns when the scheduler's [`Event::Timer`] is due, on the monotonic clock in milliseconds.
    pub fn next_timer_ms(&self) -> u64 {
        self.scheduler.next_timer_ms()
    }

    /// Returns the configuration in force; `None` before the first.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.authority.config()
    }

    /// Returns the configuration in force as JSON; `None` before the first.
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

    /// Assigns an ID to a write and records the component that waits for it.
    fn submit(&mut self, writer: Writer, changes: Vec<RowChange>) -> HeadOutput {
        let write_id = self.next_write_id;
        self.next_write_id = SubmissionId(write_id.0 + 1);
        self.writers.insert(write_id, writer);
        HeadOutput::Submit { write_id, changes }
    }
}
