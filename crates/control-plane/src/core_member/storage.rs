//! Handles responses of the storage thread.

use super::{CoreMember, Output};
use crate::clocks::Clocks;
use crate::storage_thread::StorageResponse;
use indigofold_replication::{Input as ReplicaInput, RowsChunk, StorageError};

impl CoreMember {
    /// Handles a response of the storage thread. If it shows damage to the database, the process has to end.
    pub(super) fn handle_storage(&mut self, clocks: Clocks, response: StorageResponse) {
        let response = match response.check_damage() {
            Ok(response) => response,
            Err(error) => return self.outputs.push(Output::Damaged { error }),
        };
        match response {
            StorageResponse::Scrub { result } => self.scrub.finish(clocks.steady_ms, result),
            StorageResponse::Store { store, result } => self.handle_stored(clocks, store, result),
            StorageResponse::Read { read, result } => self.handle_read(clocks, read, result),
            StorageResponse::Summarize { summary, result } => {
                self.handle_summary(clocks, summary, result);
            }
            StorageResponse::Load {
                view,
                result: Ok(rows),
            } => self.rows_loaded(clocks, view, rows),
            StorageResponse::Load {
                view,
                result: Err(error),
            } => {
                log::error!("loading rows failed, will retry view={view} error={error}");
                self.head_role.load_failed(view, clocks.steady_ms);
            }
        }
    }

    fn handle_stored(&mut self, clocks: Clocks, store: u64, result: Result<(), StorageError>) {
        match result {
            Ok(()) => {
                if std::mem::take(&mut self.storage_failing) {
                    log::info!("disk writes succeed again");
                }
                self.replica_input(clocks, ReplicaInput::Stored { store });
            }
            Err(error) => {
                if !std::mem::replace(&mut self.storage_failing, true) {
                    log::error!("disk write failed, will retry error={error}");
                }
                self.replica_input(clocks, ReplicaInput::StoreFailed { store });
            }
        }
    }

    fn handle_read(&mut self, clocks: Clocks, read: u64, result: Result<RowsChunk, StorageError>) {
        match result {
            Ok(chunk) => self.replica_input(clocks, ReplicaInput::RowsRead { read, chunk }),
            Err(error) => {
                log::error!("reading rows for another member failed error={error}");
                self.replica_input(clocks, ReplicaInput::ReadFailed { read });
            }
        }
    }
}
