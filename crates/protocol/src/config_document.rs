//! Schema of the operator's configuration: its fields, which of them are required, and the allowed values of each.
//! `schematic` parses and validates the text; the rules that involve several fields are in the module `config_check`.

use crate::config::{Config, IngressLimits, Route, Service};
use crate::config_error::ConfigError;
use crate::json;
use schematic::{
    Config as Document, ConfigError as DocumentError, ConfigLoader, Source, SourceFormat,
    ValidateError, ValidateResult,
};
use serde::de::DeserializeOwned;
use std::path::Path;

/// Name of the text in the library's error messages; no file of this name is read.
const SOURCE_NAME: &str = "configuration.json";

/// A route as the operator writes it.
#[derive(Document)]
#[config(allow_unknown_fields)]
struct RouteDocument {
    #[setting(required, validate = not_empty)]
    name: Option<String>,
    host: String,
    path_prefix: String,
    route_type: String,
    #[setting(required, validate = above_zero)]
    timeout_ms: Option<u64>,
    target_latency_ms: u64,
    priority: u32,
    #[setting(required, validate = not_empty)]
    backend: Option<String>,
    max_retries: u32,
    stretch: f64,
}

/// A service as the operator writes it.
#[derive(Document)]
#[config(allow_unknown_fields)]
struct ServiceDocument {
    #[setting(required, validate = not_empty)]
    name: Option<String>,
    health_path: String,
    max_connections: u32,
    guards: bool,
}

/// Limits as the operator writes them; missing fields get the defaults of [`IngressLimits`].
#[derive(Document)]
#[config(allow_unknown_fields)]
struct LimitsDocument {
    max_header_bytes: Option<u64>,
    max_body_bytes: Option<u64>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
}

/// A complete configuration as the operator writes it.
#[derive(Document)]
#[config(allow_unknown_fields)]
struct ConfigDocument {
    #[setting(required, validate = above_zero)]
    version: Option<u64>,
    #[setting(nested, required)]
    routes: Option<Vec<RouteDocument>>,
    #[setting(nested, required)]
    services: Option<Vec<ServiceDocument>>,
    #[setting(nested)]
    limits: Option<LimitsDocument>,
}

/// Validates that a text is not empty.
fn not_empty<Data, Context>(text: &str, _: &Data, _: &Context, _: bool) -> ValidateResult {
    if text.is_empty() {
        Err(ValidateError::new("is empty: a name is expected"))
    } else {
        Ok(())
    }
}

/// Validates that a number is above 0.
fn above_zero<Data, Context>(number: &u64, _: &Data, _: &Context, _: bool) -> ValidateResult {
    if *number == 0 {
        Err(ValidateError::new(
            "is 0: a whole number above 0 is expected",
        ))
    } else {
        Ok(())
    }
}

/// Strict JSON. The library's own JSON format also accepts comments.
struct StrictJson;

impl<T: DeserializeOwned> SourceFormat<T> for StrictJson {
    fn should_parse(&self, _: &Source) -> bool {
        true
    }

    fn parse(&self, _: &Source, text: &str, _: Option<&Path>) -> Result<T, DocumentError> {
        json::read(text.as_bytes()).map_err(|error| schematic::HandlerError::new(error).into())
    }
}

/// Parses a complete configuration and validates each field.
pub(crate) fn read(text: &str) -> Result<Config, ConfigError> {
    let mut loader = ConfigLoader::<ConfigDocument>::new();
    loader.add_format(StrictJson);
    let loaded = loader
        .code(text, SOURCE_NAME)
        .and_then(|loader| loader.load())
        .map_err(convert_error)?;
    Ok(loaded.config.into())
}

/// Converts the library's error; of several invalid fields, only the first is reported.
fn convert_error(error: DocumentError) -> ConfigError {
    match error {
        DocumentError::Validator { error, .. } if !error.errors.is_empty() => {
            let first = &error.errors[0];
            ConfigError::Field {
                path: first.path.to_string(),
                problem: first.message.clone(),
            }
        }
        other => ConfigError::Unreadable {
            problem: other.to_string(),
        },
    }
}

impl From<ConfigDocument> for Config {
    fn from(document: ConfigDocument) -> Config {
        Config {
            version: document.version.unwrap_or_default(),
            routes: document
                .routes
                .unwrap_or_default()
                .into_iter()
                .map(Route::from)
                .collect(),
            services: document
                .services
                .unwrap_or_default()
                .into_iter()
                .map(Service::from)
                .collect(),
            limits: document.limits.map(IngressLimits::from).unwrap_or_default(),
        }
    }
}

impl From<RouteDocument> for Route {
    fn from(document: RouteDocument) -> Route {
        Route {
            name: document.name.unwrap_or_default(),
            // Host names are case-insensitive.
            host: document.host.to_ascii_lowercase(),
            path_prefix: document.path_prefix,
            route_type: document.route_type,
            timeout_ms: document.timeout_ms.unwrap_or_default(),
            target_latency_ms: document.target_latency_ms,
            priority: document.priority,
            backend: document.backend.unwrap_or_default(),
            max_retries: document.max_retries,
            stretch: document.stretch,
        }
    }
}

impl From<ServiceDocument> for Service {
    fn from(document: ServiceDocument) -> Service {
        Service {
            name: document.name.unwrap_or_default(),
            health_path: document.health_path,
            max_connections: document.max_connections,
            guards: document.guards,
        }
    }
}

impl From<LimitsDocument> for IngressLimits {
    fn from(document: LimitsDocument) -> IngressLimits {
        let default = IngressLimits::default();
        IngressLimits {
            max_header_bytes: document
                .max_header_bytes
                .unwrap_or(default.max_header_bytes),
            max_body_bytes: document.max_body_bytes.unwrap_or(default.max_body_bytes),
            header_timeout_ms: document
                .header_timeout_ms
                .unwrap_or(default.header_timeout_ms),
            idle_timeout_ms: document.idle_timeout_ms.unwrap_or(default.idle_timeout_ms),
        }
    }
}
