//! Errors of reading the settings.

use snafu::Snafu;
use std::path::PathBuf;

/// The settings cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The environment variable that names the settings file is not set.
    #[snafu(display(
        "the variable {variable} is not set: it must hold the path of the settings file"
    ))]
    NoVariable {
        /// Name of the variable.
        variable: &'static str,
    },
    /// The file cannot be read.
    #[snafu(display("the settings file {} cannot be read: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The text is not TOML, or a field is missing or of the wrong type. The source gives the line and the field.
    #[snafu(display("the settings cannot be parsed: {source}"))]
    Parse {
        /// What is wrong, in which line, and what is allowed.
        source: toml::de::Error,
    },
    /// A field has a value that is not allowed.
    #[snafu(display("`{field}` is {found}: {allowed} is allowed"))]
    NotAllowed {
        /// Name of the field.
        field: &'static str,
        /// Value that was found.
        found: String,
        /// The values that are allowed.
        allowed: &'static str,
    },
}
