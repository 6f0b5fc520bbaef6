//! What is wrong with a configuration or another document.

use snafu::Snafu;

/// A document that cannot be used: what is wrong, where, and what is allowed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ConfigError {
    /// Brackets stand within each other more often than any document needs.
    #[snafu(display("brackets too deep within each other"))]
    TooDeep,
    /// The text is no JSON, or not of the form that is expected.
    #[snafu(display("{source}"))]
    Json {
        /// Where and why.
        source: simd_json::Error,
    },
    /// A whole document cannot be read.
    #[snafu(display("{document}: {source}"))]
    Document {
        /// Which, as the message begins.
        document: &'static str,
        /// Why.
        source: Box<ConfigError>,
    },
    /// A class of the settings cannot be used.
    #[snafu(display("profiles[{index}] {name:?}: {source}"))]
    Class {
        /// Its position.
        index: usize,
        /// Its name.
        name: String,
        /// Why.
        source: Box<ConfigError>,
    },
    /// A number is missing, or is none.
    #[snafu(display("settings lack a number '{key}'"))]
    NoNumber {
        /// Its key.
        key: String,
    },
    /// A number is not within its bounds.
    #[snafu(display("setting '{key}' must be a number from {least} {}, got {found}", up_to(*most)))]
    OutOfRange {
        /// Its key.
        key: String,
        /// The least allowed.
        least: f64,
        /// The most allowed; infinite for no bound.
        most: f64,
        /// The number there.
        found: f64,
    },
    /// A number of the rules is none, or negative.
    #[snafu(display("setting 'rules.{key}' must be a number from 0 up, got '{found}'"))]
    NegativeRule {
        /// Its key.
        key: String,
        /// The value there, cut off.
        found: String,
    },
    /// A text is none of those allowed.
    #[snafu(display("setting '{key}' must be one of {}, got {found}", choices.join(", ")))]
    UnknownChoice {
        /// Its key.
        key: String,
        /// Those allowed, in quotes.
        choices: Vec<String>,
        /// The value there, cut off.
        found: String,
    },
    /// A setting is missing.
    #[snafu(display("setting '{key}' is missing"))]
    Missing {
        /// Its key.
        key: &'static str,
    },
    /// A setting is neither true nor false.
    #[snafu(display("setting '{key}' must be true or false"))]
    NoFlag {
        /// Its key.
        key: &'static str,
    },
    /// There are no classes.
    #[snafu(display("there are no classes ('profiles')"))]
    NoClasses,
    /// No attempt is allowed.
    #[snafu(display("'attemptsCap' must be over 0"))]
    NoAttempts,
    /// A class has no time.
    #[snafu(display("the deadline of class {class:?} must be over 0"))]
    NoDeadline {
        /// Its name.
        class: String,
    },
    /// Two classes have one name, or one has none.
    #[snafu(display("each class must have a name of its own"))]
    ClassName,
    /// A job worker's id stands on two machines.
    #[snafu(display("wid {wid:?} stands on two machines"))]
    DuplicateWorker {
        /// The id.
        wid: String,
    },
    /// A file that replaces another lacks a key of it.
    #[snafu(display("'{key}' is missing or of another kind"))]
    ChangedKey {
        /// The key, with those around it.
        key: String,
    },
}

/// The upper bound of a range, as messages name it.
fn up_to(most: f64) -> String {
    if most.is_finite() {
        format!("to {most}")
    } else {
        "up".into()
    }
}
