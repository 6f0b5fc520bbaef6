//! Why the settings cannot be used.

use snafu::Snafu;
use std::path::PathBuf;

/// Settings that cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The variable that names the file is not set.
    #[snafu(display(
        "the variable {variable} is not set: it must hold the path of the settings file"
    ))]
    NoVariable {
        /// The variable's name.
        variable: &'static str,
    },
    /// The file cannot be read.
    #[snafu(display("the settings file {} cannot be read: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not TOML, or one of its fields is missing or of the wrong type. The source gives line and field.
    #[snafu(display("the settings cannot be parsed: {source}"))]
    Parse {
        /// What, where and what is allowed.
        source: toml::de::Error,
    },
    /// A field has a value that is not allowed.
    #[snafu(display("`{field}` is {found}: {allowed} is allowed"))]
    NotAllowed {
        /// The field.
        field: &'static str,
        /// Its value.
        found: String,
        /// The values that are allowed.
        allowed: &'static str,
    },
}
