//! Settings of a process: the TOML file that the variable `INDIGOFOLD_CONFIG` names. Unknown fields are skipped; what
//! is missing or wrong is an error that says what, where and what is allowed.

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
