//! Settings of a process: the TOML file that the variable `INDIGOFOLD_CONFIG` names. Unknown fields are skipped; a
//! missing or invalid field is an error with the field, its value and what is allowed.

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
pub use role::{MachineClass, OrderDelivery, Serves};
pub use settings::{CONFIG_VARIABLE, Settings};
