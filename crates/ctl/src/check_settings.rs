//! `check-settings`: parses a settings file (`boot.toml`) as the daemons do, and checks that it has the optional fields
//! that its role needs.

use crate::files::{self, FileError};
use crate::report::Report;
use indigofold_settings::{CallerKind, MachineClass, Settings};
use serde_json::json;
use std::path::Path;

/// Checks a settings file.
///
/// # Errors
///
/// [`FileError`] if the file cannot be read. Problems of its content are findings of the report.
pub fn run(path: &Path) -> Result<Report, FileError> {
    let text = files::read_text(path)?;
    Ok(match Settings::from_toml(&text) {
        Err(error) => Report {
            findings: vec![format!("{}: {error}", path.display())],
            ..Report::default()
        },
        Ok(settings) => report(path, &settings),
    })
}

fn report(path: &Path, settings: &Settings) -> Report {
    let findings = role_findings(settings);
    let summary = format!(
        "{}: {} ({}), role {}, internal address {}, {} seeds\n",
        path.display(),
        settings.node_name,
        settings.zone,
        settings.role,
        settings.internal_address(),
        settings.seed_nodes.len(),
    );
    let data = json!({
        "node_name": settings.node_name, "zone": settings.zone, "role": settings.role,
        "internal": settings.internal_address(), "seeds": settings.seed_nodes,
    });
    Report {
        text: summary,
        data,
        findings,
    }
}

/// An optional field that is required if the role serves certain callers.
struct Requirement {
    serves: CallerKind,
    field: &'static str,
    present: bool,
}

fn requirements(settings: &Settings) -> [Requirement; 5] {
    let addresses = &settings.bind_addrs;
    let requirement = |serves, field, present| Requirement {
        serves,
        field,
        present,
    };
    let control_plane = addresses.control_plane.is_some();
    [
        requirement(
            CallerKind::Edge,
            "bind_addrs.frontend",
            addresses.frontend.is_some(),
        ),
        requirement(
            CallerKind::Edge,
            "bind_addrs.readiness",
            addresses.readiness.is_some(),
        ),
        requirement(CallerKind::Side, "bind_addrs.control_plane", control_plane),
        requirement(
            CallerKind::Control,
            "bind_addrs.control_plane",
            control_plane,
        ),
        requirement(CallerKind::Control, "data_dir", settings.data_dir.is_some()),
    ]
}

/// Problems of parsed settings: fields that a daemon with these settings would need at its start or later.
pub fn role_findings(settings: &Settings) -> Vec<String> {
    let mut findings: Vec<String> = requirements(settings)
        .into_iter()
        .filter(|requirement| settings.serves(requirement.serves) && !requirement.present)
        .map(|Requirement { serves, field, .. }| {
            format!("`{field}` is missing: a role that serves {serves:?} needs it")
        })
        .collect();
    if settings.serves.is_empty() {
        findings
            .push("`serves` is empty: \"edge\", \"side\" or \"control\" is expected".to_owned());
    }
    if settings.seed_nodes.is_empty() {
        findings
            .push("`seed_nodes` is empty: the addresses of core members are expected".to_owned());
    }
    if settings.serves(CallerKind::Side) && settings.machine_class != MachineClass::Side {
        findings.push("`serves` has \"side\": `machine_class` must be \"side\" too".to_owned());
    }
    findings
}
