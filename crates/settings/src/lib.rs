//! Settings of a process: the TOML file that the variable `INDIGOFOLD_CONFIG` names. Unknown fields are skipped; a
//! missing or invalid field is an error with the field, its value and what is allowed.

#![forbid(unsafe_code)]

mod bounds;
mod error;
mod lenient;
mod settings;

pub use bounds::Bounds;
pub use error::SettingsError;
pub use settings::{
    BindAddresses, CONFIG_VARIABLE, Commands, FaultTolerance, Limits, MachineClass, PortRange,
    SeedAddress, Serves, Settings,
};
