//! Settings of a process, read from the TOML file that the environment variable `INDIGOFOLD_CONFIG` names. Unknown fields are
//! ignored. A missing required field or an invalid value is an error that names the field, its value and what is allowed.

#![forbid(unsafe_code)]

mod addresses;
mod bounds;
mod error;
mod lenient;
mod limits;
mod role;
mod settings;

pub use addresses::{BindAddresses, PortRange, SeedAddress};
pub use bounds::Bounds;
pub use error::SettingsError;
pub use limits::{FaultTolerance, Limits};
pub use role::{CallerKind, MachineClass, OrderDelivery};
pub use settings::{CONFIG_VARIABLE, Settings};
