//! Ids and times, which all other modules use. Ids are numbers chosen by the caller, without a meaning of their own;
//! times are whole microseconds. Nothing here depends on another module of this crate.

pub use indigofold_placement::runs::Time;

/// A worker. The id is kept when the worker's process restarts.
pub type WorkerId = u32;
/// A request; unique while the dispatcher runs.
pub type RequestId = u64;
/// Index into [`Settings::classes`](crate::api::Settings::classes). An index past the end is treated as
/// [`Class::UNKNOWN`](crate::api::Class::UNKNOWN).
pub type ClassId = u32;
/// A worker kind (machine type).
pub type KindId = u32;
/// A zone (location) of workers and dispatchers.
pub type ZoneId = u32;
/// Index into [`Settings::tenants`](crate::api::Settings::tenants). An index past the end is a tenant without a
/// quota.
pub type TenantId = u32;
/// The number of an attempt of one request: 0, 1, 2 ... in the order of its [`Send`](crate::api::Action::Send) actions.
pub type AttemptNo = u32;
