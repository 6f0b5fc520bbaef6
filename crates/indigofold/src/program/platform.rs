//! Startup of the platform's front: its core, the membership watcher and the admin endpoint.

use super::listeners::{RETRY_INTERVAL, bind};
use super::{ANSWER_MARGIN_US, Shared};
use crate::admin::{self, AdminEndpoint};
use crate::api::Scope;
use crate::config;
use crate::front::platform::Platform;
use crate::front::platform::membership::{InitialMembership, MembershipWatcher};
use crate::net::log;
use async_io::{Async, Timer};
use indigofold_core::actor::{self, Actor};
use indigofold_core::metrics::Metrics;
use indigofold_core::{CoreInput, Settings};
use std::cell::RefCell;
use std::error::Error;
use std::net::TcpListener;
use std::rc::Rc;

/// Capacity of the queue of membership requests.
const MAX_QUEUED_REQUESTS: usize = 16;

/// Starts the platform's front. `replaces`: this process replaces another process of this scheduler, which still serves.
pub(super) async fn start(
    shared: &Shared,
    config: config::Platform,
    listener: &Async<TcpListener>,
    replaces: bool,
) -> Result<Rc<Platform>, Box<dyn Error>> {
    let discovery = config
        .discovery
        .parse()
        .map_err(|e| format!("discovery {:?}: {e}", config.discovery))?;
    let address = listener.get_ref().local_addr()?;
    let (core, inbox) = actor::mailbox();
    let (membership, requests) = async_channel::bounded(MAX_QUEUED_REQUESTS);
    let settings = Settings {
        module: config.site.settings.clone(),
        seed: config.seed,
        answer_margin: ANSWER_MARGIN_US,
    };
    let (net, clock, metrics) = (&shared.net, shared.clock, Rc::new(Metrics::default()));
    let front = Platform::new(
        net.clone(),
        clock,
        shared.lifecycle.clone(),
        metrics.clone(),
        config.site,
        core.clone(),
        membership,
    );
    net.spawn(Actor::new(settings, front.clone(), clock, inbox, metrics).run());
    let known = InitialMembership {
        seq: (!config.known.hosts.is_empty()).then_some(config.known.seq),
        replaces,
    };
    let entries = front.apply_membership(config.known);
    core.send(CoreInput::Membership(Scope::Cached, entries))
        .await?;
    let watcher = MembershipWatcher::new(front.clone(), discovery, known, config.seed);
    net.spawn(watcher.run(requests));
    start_admin(&front, &config.management, replaces)?;
    log(format_args!(
        "start front=platform name={} listen={address}",
        config.name
    ));
    Ok(front)
}

/// Opens the admin endpoint, if its address is not empty. If the old process still holds the address, binding is retried
/// until that process has ended.
fn start_admin(front: &Rc<Platform>, address: &str, replaces: bool) -> Result<(), Box<dyn Error>> {
    if address.is_empty() {
        return Ok(());
    }
    match bind(address) {
        Ok(listener) => open_admin(front, listener)?,
        Err(why) if replaces => {
            log(format_args!("door: {why}, retrying"));
            let (front, address) = (front.clone(), address.to_string());
            front.net().clone().spawn(async move {
                let listener = loop {
                    Timer::after(RETRY_INTERVAL).await;
                    if let Ok(listener) = bind(&address) {
                        break listener;
                    }
                };
                let _ = open_admin(&front, listener);
            });
        }
        Err(why) => return Err(why),
    }
    Ok(())
}

/// Starts to serve the admin endpoint for this front on a listener.
fn open_admin(front: &Rc<Platform>, listener: Async<TcpListener>) -> Result<(), Box<dyn Error>> {
    log(format_args!(
        "door listen={}",
        listener.get_ref().local_addr()?
    ));
    let (net, lifecycle, metrics) = (
        front.net().clone(),
        front.lifecycle().clone(),
        front.metrics().clone(),
    );
    let (serving, named) = (front.clone(), front.clone());
    let serves = Box::new(move || {
        serving.has_membership()
            && serving.lifecycle().accepting.get()
            && !serving.lifecycle().drained.get()
    });
    let classes = Box::new(move || named.class_names());
    let admin = AdminEndpoint {
        net,
        lifecycle,
        metrics,
        serves,
        classes,
        draining: RefCell::default(),
    };
    front.net().spawn(admin::listen(Rc::new(admin), listener));
    Ok(())
}
