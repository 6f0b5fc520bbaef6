//! Id and time types used by all other modules. The caller chooses the ids; their values carry no meaning. Times are
//! whole microseconds. This module depends on no other module of this crate.

pub use indigofold_placement::runs::Time;

/// Id of a worker. The id stays the same when the worker's process restarts.
pub type WorkerId = u32;
/// Id of a request; unique while the dispatcher runs.
pub type RequestId = u64;
/// Index into [`Settings::classes`](crate::api::Settings::classes). An index past the end is treated as
/// [`Class::UNKNOWN`](crate::api::Class::UNKNOWN).
pub type ClassId = u32;
/// Id of a worker kind (machine type).
pub type KindId = u32;
/// Id of a zone (location) of workers and dispatchers.
pub type ZoneId = u32;
/// Index into [`Settings::tenants`](crate::api::Settings::tenants). An index past the end is a tenant without a
/// quota.
pub type TenantId = u32;
/// Number of an attempt of one request: 0, 1, 2 ... in the order of its [`Send`](crate::api::Action::Send) actions.
pub type AttemptNo = u32;
