//! The instances of the worker: the current one, those that have sent heartbeats but are not registered, and former
//! ones. Decides which instance a heartbeat makes the current one.

use super::event::AgentEvent;
use super::former_instances::FormerInstances;
use super::heartbeat::HeartbeatSource;
use super::heartbeat_interval::{BUSY_HEARTBEAT_MS, REGISTRATION_HEARTBEAT_MS};
use super::pending_instances::{Evidence, PendingInstances};
use super::worker_instance::WorkerInstance;
use indigofold_protocol::task::RunId;

/// Whether a heartbeat is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// The instance is the current one; the heartbeat is to be read.
    Current,
    /// The instance has just become the current one; the heartbeat is to be read. `has_deregistered`: the instance sent
    /// `DELETE` before.
    Registered { has_deregistered: bool },
    /// The instance may have ended; a running one is to send its next heartbeat after `retry_delay_ms`.
    Pending { retry_delay_ms: u64 },
    /// A newer heartbeat was read before, or the instance has ended.
    Superseded,
}

/// The instances of the worker on this machine.
#[derive(Debug)]
pub(super) struct Instances {
    started_ms: u64,
    /// The current instance; `None` before the first registration and once a deregistered instance has ended. An
    /// instance whose leases have expired stays here, as it may return.
    current: Option<WorkerInstance>,
    pending: PendingInstances,
    former: FormerInstances,
    /// Whether an instance waits for the head to settle the ends of former instances before it registers.
    registration_deferred: bool,
    events: Vec<AgentEvent>,
}

impl Instances {
    /// Creates the state without any known instance. A previous agent process may have granted a lease until
    /// `started_ms`.
    pub(super) fn new(started_ms: u64) -> Self {
        Instances {
            started_ms,
            current: None,
            pending: PendingInstances::default(),
            former: FormerInstances::new(started_ms),
            registration_deferred: false,
            events: Vec::new(),
        }
    }

    /// The current instance, with or without leases.
    pub(super) fn current(&self) -> Option<&WorkerInstance> {
        self.current.as_ref()
    }

    /// Mutable access to the current instance.
    pub(super) fn current_mut(&mut self) -> Option<&mut WorkerInstance> {
        self.current.as_mut()
    }

    /// Mutable access to the current instance if it has this id.
    pub(super) fn find_current_mut(&mut self, id: &str) -> Option<&mut WorkerInstance> {
        self.current_mut().filter(|instance| instance.id() == id)
    }

    /// The former instances.
    pub(super) fn former(&self) -> &FormerInstances {
        &self.former
    }

    /// Mutable access to the former instances.
    pub(super) fn former_mut(&mut self) -> &mut FormerInstances {
        &mut self.former
    }

    /// Handles the arrival of heartbeat `seq_no`. An instance that is not registered, or whose leases have expired, is
    /// registered if it is known to have started after all others, or if no other one can hold a lease.
    pub(super) fn admit(
        &mut self,
        now_ms: u64,
        source: HeartbeatSource<'_>,
        seq_no: u64,
    ) -> Admission {
        let id = source.instance;
        if self.former.is_closed(id) {
            return Admission::Superseded;
        }
        if let Some(instance) = self.find_current_mut(id) {
            if instance.is_superseded(seq_no) {
                return Admission::Superseded;
            }
            if !instance.is_expired() {
                return Admission::Current;
            }
        }
        let evidence = self.pending.handle_heartbeat(source, seq_no);
        let can_register = match evidence {
            Evidence::First | Evidence::Outdated => false,
            Evidence::Repeated => !self.may_another_hold_lease(now_ms, id),
            Evidence::FollowsReply => true,
        };
        if !can_register {
            self.keep_pending(id, evidence)
        } else if self.current_id() != Some(id) && self.former.is_full() {
            self.defer_registration(id)
        } else {
            self.register(id, evidence)
        }
    }

    /// Handles `DELETE` of an instance that is not registered: it counts once the instance registers.
    pub(super) fn handle_pending_deregistration(&mut self, id: &str) {
        self.pending.handle_deregistration(id);
    }

    /// Closes the current instance: it has ended, and so have its runs. Returns whether there was one.
    pub(super) fn end_current(&mut self) -> bool {
        let Some(instance) = self.current.take() else {
            return false;
        };
        self.former.close(instance.id().to_owned());
        true
    }

    /// Marks the current instance as ended once all leases granted to it have expired. Returns its starts that were
    /// never sent to the worker; `None` if no instance expires now.
    pub(super) fn expire_current(&mut self, now_ms: u64) -> Option<Vec<RunId>> {
        let current_instance = self.current.as_mut();
        let instance = current_instance.filter(|instance| instance.is_expiry_due(now_ms))?;
        let withdrawn_runs = instance.expire();
        let instance = instance.id().to_owned();
        self.former.expire(instance.clone());
        self.events.push(AgentEvent::Unresponsive { instance });
        Some(withdrawn_runs)
    }

    /// Records an event for the log.
    pub(super) fn push_event(&mut self, event: AgentEvent) {
        self.events.push(event);
    }

    /// Returns the events since the last call, oldest first.
    pub(super) fn poll_events(&mut self) -> Vec<AgentEvent> {
        std::mem::take(&mut self.events)
    }

    /// Time at which an instance expires next; `None` if none can.
    pub(super) fn next_timeout_ms(&self) -> Option<u64> {
        let current_timeout_ms = self
            .current
            .as_ref()
            .and_then(WorkerInstance::next_timeout_ms);
        [current_timeout_ms, self.former.next_timeout_ms()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Whether an instance other than `id` may hold a run lease.
    fn may_another_hold_lease(&self, now_ms: u64, id: &str) -> bool {
        let is_current_leased = self
            .current
            .as_ref()
            .is_some_and(|instance| instance.id() != id && !instance.is_expired());
        is_current_leased || self.former.may_hold_lease(now_ms, id)
    }

    fn keep_pending(&mut self, id: &str, evidence: Evidence) -> Admission {
        if evidence != Evidence::First {
            return Admission::Pending {
                retry_delay_ms: BUSY_HEARTBEAT_MS,
            };
        }
        let other_id = self.current_id().filter(|other| *other != id);
        let current = other_id.map(str::to_owned);
        self.events.push(AgentEvent::Pending {
            instance: id.to_owned(),
            current,
        });
        Admission::Pending {
            retry_delay_ms: REGISTRATION_HEARTBEAT_MS,
        }
    }

    /// Lets an instance wait, since the head has not settled the ends of so many former ones: the end of the current one
    /// would be one more. Without a head that answers, the instance would get no lease in any case.
    fn defer_registration(&mut self, id: &str) -> Admission {
        if !std::mem::replace(&mut self.registration_deferred, true) {
            self.events.push(AgentEvent::RegistrationDeferred {
                instance: id.to_owned(),
            });
        }
        Admission::Pending {
            retry_delay_ms: BUSY_HEARTBEAT_MS,
        }
    }

    fn current_id(&self) -> Option<&str> {
        self.current.as_ref().map(WorkerInstance::id)
    }

    /// Makes an instance the current one.
    fn register(&mut self, id: &str, evidence: Evidence) -> Admission {
        let has_deregistered = self.pending.has_deregistered(id);
        self.pending.clear();
        self.registration_deferred = false;
        if self.find_current_mut(id).is_none() {
            self.remove_predecessor(id, evidence);
        }
        let instance = id.to_owned();
        let event = if let Some(returning) = &mut self.current {
            returning.handle_return();
            AgentEvent::Returned { instance }
        } else {
            let has_returned = self.former.has_expired(&instance);
            let registered = WorkerInstance::new(instance.clone(), self.started_ms, has_returned);
            self.current = Some(registered);
            AgentEvent::Registered { instance }
        };
        self.events.push(event);
        self.former.handle_registered(id);
        Admission::Registered { has_deregistered }
    }

    /// Removes the current instance, since `successor` registers. If it is not known that `successor` started later,
    /// the leases of the current instance have expired, and it may return.
    fn remove_predecessor(&mut self, successor: &str, evidence: Evidence) {
        if evidence != Evidence::FollowsReply {
            self.current = None;
            return;
        }
        if let Some(instance) = &self.current {
            self.events.push(AgentEvent::Replaced {
                instance: instance.id().to_owned(),
                successor: successor.to_owned(),
            });
        }
        self.end_current();
    }
}
