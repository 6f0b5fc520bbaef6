//! Errors of configuration files and other documents.

use snafu::Snafu;

/// The reason why a document cannot be used: the entry at fault, the value found and the values allowed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ConfigError {
    /// Objects and arrays are nested more deeply than any valid document.
    #[snafu(display("brackets too deep within each other"))]
    TooDeep,
    /// The text is not JSON, or does not have the expected form.
    #[snafu(display("{source}"))]
    Json {
        /// The parser's error, with the position in the text.
        source: simd_json::Error,
    },
    /// A document cannot be parsed.
    #[snafu(display("{document}: {source}"))]
    Document {
        /// The beginning of the message, which names the document.
        document: &'static str,
        /// The cause.
        source: Box<ConfigError>,
    },
    /// A class of the settings cannot be used.
    #[snafu(display("profiles[{index}] {name:?}: {source}"))]
    Class {
        /// The position in `profiles`, from 0.
        index: usize,
        /// The class's name; empty if it has none.
        name: String,
        /// The setting at fault.
        source: Box<ConfigError>,
    },
    /// A setting that must be a number is missing or not a number.
    #[snafu(display("settings lack a number '{key}'"))]
    NotANumber {
        /// The key of the setting.
        key: String,
    },
    /// A number is not within its bounds.
    #[snafu(display("setting '{key}' must be a number from {least} {}, got {found}", up_to(*most)))]
    OutOfRange {
        /// The key of the setting.
        key: String,
        /// The smallest allowed value.
        least: f64,
        /// The largest allowed value; infinite if there is no upper bound.
        most: f64,
        /// The number found.
        found: f64,
    },
    /// A value in `rules` is not a number, or is negative.
    #[snafu(display("setting 'rules.{key}' must be a number from 0 up, got '{found}'"))]
    NegativeRule {
        /// The key within `rules`.
        key: String,
        /// The value found, cut to 40 characters.
        found: String,
    },
    /// A text setting has a value that is not allowed.
    #[snafu(display("setting '{key}' must be one of {}, got {found}", choices.join(", ")))]
    UnknownChoice {
        /// The key of the setting.
        key: String,
        /// The allowed values, in quotes.
        choices: Vec<String>,
        /// The value found, cut to 40 characters.
        found: String,
    },
    /// A required setting is missing.
    #[snafu(display("setting '{key}' is missing"))]
    Missing {
        /// The key of the setting.
        key: &'static str,
    },
    /// A setting is neither true nor false.
    #[snafu(display("setting '{key}' must be true or false"))]
    NotABoolean {
        /// The key of the setting.
        key: &'static str,
    },
    /// The settings define no classes.
    #[snafu(display("there are no classes ('profiles')"))]
    NoClasses,
    /// The limit on attempts is 0.
    #[snafu(display("'attemptsCap' must be over 0"))]
    NoAttempts,
    /// The deadline of a class is 0.
    #[snafu(display("the deadline of class {class:?} must be over 0"))]
    NoDeadline {
        /// The name of the class.
        class: String,
    },
    /// Two classes have the same name, or one has none.
    #[snafu(display("each class must have a name of its own"))]
    ClassName,
    /// A job worker's id is listed more than once.
    #[snafu(display("wid {wid:?} is listed more than once in 'machines'"))]
    DuplicateWorker {
        /// The job worker's id.
        wid: String,
    },
    /// A reloaded file lacks a key that the present configuration has, or has a value of another type there.
    #[snafu(display("'{key}' is missing or of another kind"))]
    ChangedKey {
        /// The key, with the keys of the enclosing objects before it.
        key: String,
    },
}

/// Formats the upper bound of a range for an error message.
fn up_to(most: f64) -> String {
    if most.is_finite() {
        format!("to {most}")
    } else {
        "up".into()
    }
}
