//! Starts the parts of a core member: the database, the state machine and the signal handler.

use super::error::{DriverError, MissingSnafu, NetSnafu, StorageThreadSnafu};
use super::event::Event;
use super::{clock, operator_api};
use crate::core_member::{CoreMember, CoreMemberSettings, Input};
use crate::inbox::Inbox;
use crate::storage_thread::{self, StorageRequest};
use futures_util::StreamExt;
use indigofold_net::runtime;
use indigofold_net::signals::Signals;
use indigofold_net::wall_ms;
use indigofold_protocol::internal::{Hello, MemberAddress, ProcessKind};
use indigofold_replication::{Opened, Storage};
use indigofold_settings::Settings;
use snafu::{OptionExt, ResultExt};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::Sender;
use std::time::Duration;

/// Wait between attempts to open the database.
const OPEN_RETRY: Duration = Duration::from_millis(500);

/// Opens the database, starts the storage thread and creates the core member. Responses of the thread go to the inbox.
///
/// # Errors
///
/// A setting is missing, or the storage thread cannot be started.
pub(super) async fn core_member(
    settings: &Settings,
    inbox: &Inbox<Event>,
) -> Result<(CoreMember, Sender<StorageRequest>), DriverError> {
    let directory = settings.data_dir.as_deref();
    let directory = directory.context(MissingSnafu {
        field: "data_dir",
        needed: "a folder on the disk",
    })?;
    let opened = open(directory).await;
    log_opened(&opened, settings.bootstrap);
    let (requests, mut responses) =
        storage_thread::start(opened.storage).context(StorageThreadSnafu)?;
    let inbox = inbox.clone();
    runtime::spawn(async move {
        while let Some(response) = responses.next().await {
            inbox.push(Event::CoreMember(Input::Storage(response)));
        }
    });
    let clocks = clock::now();
    let mut member_settings = member_settings(settings)?;
    // A member that has lost its record may have made promises in earlier views. It must not vote like one that has never
    // taken part in a view.
    member_settings.bootstrap &= !opened.has_quarantined;
    let member = CoreMember::new(member_settings, opened.record, clocks);
    Ok((member, requests))
}

fn log_opened(opened: &Opened, bootstrap: bool) {
    if let Some(quarantined) = &opened.quarantined {
        log::error!(
            "database quarantined path={} reason={}",
            quarantined.path.display(),
            quarantined.reason
        );
    }
    if opened.has_quarantined && bootstrap {
        log::warn!("setting `bootstrap` ignored, a database was quarantined here");
    }
    log::info!(
        "database opened has_state={} bootstrap={}",
        opened.record.is_some(),
        bootstrap
    );
}

/// Opens the database. Errors are retried without limit, as a fault of the disk may be temporary; only the first is logged.
async fn open(directory: &Path) -> Opened {
    let mut is_first = true;
    loop {
        match Storage::open(directory) {
            Ok(opened) => return opened,
            Err(error) if is_first => {
                log::error!("database cannot be opened, will retry error={error}");
            }
            Err(_) => {}
        }
        is_first = false;
        runtime::sleep(OPEN_RETRY).await;
    }
}

/// Registers the signal handlers and pushes signals to the inbox.
///
/// # Errors
///
/// A signal cannot be caught.
pub(super) fn watch_signals(inbox: &Inbox<Event>) -> Result<(), DriverError> {
    let mut signals = Signals::register().context(NetSnafu)?;
    let inbox = inbox.clone();
    runtime::spawn(async move {
        loop {
            inbox.push(Event::Signal(signals.next().await));
        }
    });
    Ok(())
}

/// Returns the internal addresses of the seeds.
pub(super) fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    settings
        .seed_internal_addresses()
        .into_iter()
        .map(|seed| seed.internal)
        .collect()
}

fn member_settings(settings: &Settings) -> Result<CoreMemberSettings, DriverError> {
    let random = RandomState::new();
    let address = MemberAddress {
        node_name: settings.node_name.clone(),
        internal: settings.internal_address(),
        control: operator_api::address(settings)?,
    };
    let hello = Hello {
        node_name: settings.node_name.clone(),
        kind: ProcessKind::Core,
        zone: settings.zone.clone(),
        incarnation: random.hash_one((wall_ms(), "incarnation")),
        ip: Some(settings.ip),
    };
    Ok(CoreMemberSettings {
        hello,
        address,
        seeds: seeds(settings),
        bootstrap: settings.bootstrap,
        tolerated_losses: settings.fault_tolerance.machines as usize,
        bounds: scheduler_bounds(&settings.bounds),
        random_seed: random.hash_one((wall_ms(), "seed")),
    })
}

/// Converts the bounds of the settings to those of the scheduler.
fn scheduler_bounds(bounds: &indigofold_settings::Bounds) -> indigofold_scheduler::Bounds {
    indigofold_scheduler::Bounds {
        max_lease_ms: bounds.max_hold_ms as u64,
        stop_ms: bounds.stop_ms as u64,
        gang_ms: bounds.gang_ms as u64,
        cancel_ms: bounds.cancel_ms as u64,
        status_s: bounds.status_s as u64,
        remote_slowdown: bounds.far_x,
        checkpoint_interval_s: bounds.save_s as u64,
        resume_cost_ms: bounds.restore_ms as u64,
    }
}
