//! Plain ids and times, which all other modules name things by. They are numbers chosen by the caller; nothing here has a
//! meaning of its own, and nothing here depends on another module of this crate.

pub use indigofold_placement::runs::Time;

/// A worker. The id is kept when the worker's process restarts.
pub type WorkerId = u32;
/// A request, unique over the dispatcher's life.
pub type RequestId = u64;
/// Index into [`Settings::classes`](crate::api::Settings::classes). An index past the end is treated as an unsafe class of worth 1.
pub type ClassId = u32;
/// A worker kind (machine type).
pub type KindId = u32;
/// A zone (location) of workers and dispatchers.
pub type ZoneId = u32;
/// Index into [`Settings::tenants`](crate::api::Settings::tenants). An index past the end is a tenant without a stated share.
pub type TenantId = u32;
/// The number of an attempt of one request: 0, 1, 2 ... in the order of its `Send` actions.
pub type AttemptNo = u32;
