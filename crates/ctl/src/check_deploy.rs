//! `check-deploy`: checks the deploy file (`deploy/system.toml`) by the rules in the operators' documentation. The file
//! says how the programs are built and on which machines each role runs.

use crate::files::{self, FileError};
use crate::report::Report;
use serde_json::json;
use std::path::Path;
use toml::{Table, Value};

/// Allowed keys at the top level of the file.
const TOP_KEYS: [&str; 3] = ["build", "packages", "roles"];
/// Allowed keys in the table of a role.
const ROLE_KEYS: [&str; 6] = ["run", "on", "share", "count", "apart", "serves"];
/// Machine classes, the values of `on`.
const MACHINE_CLASSES: [&str; 3] = ["edge", "side", "core"];
/// Kinds of callers that a role may serve, the values of `serves`.
const CALLERS: [&str; 3] = ["edge", "side", "control"];
/// Maximum number of roles on a machine.
const ROLES_MAX: usize = 2;

/// Checks a deploy file.
///
/// # Errors
///
/// [`FileError`] if the file cannot be read. Problems of its content are findings of the report.
pub fn run(path: &Path) -> Result<Report, FileError> {
    let text = files::read_text(path)?;
    let (roles, findings) = match text.parse::<Table>() {
        Ok(document) => (role_tables(&document).count(), findings(&document)),
        Err(error) => {
            let problem = error.to_string();
            (0, vec![format!("it is no TOML: {}", problem.trim_end())])
        }
    };
    Ok(report(path, roles, findings))
}

fn report(path: &Path, roles: usize, findings: Vec<String>) -> Report {
    let path = path.display();
    Report {
        text: format!("{path}: {roles} roles\n"),
        data: json!({ "roles": roles }),
        findings: findings
            .into_iter()
            .map(|finding| format!("{path}: {finding}"))
            .collect(),
    }
}

/// All problems of a parsed deploy file, one sentence each.
pub fn findings(document: &Table) -> Vec<String> {
    let mut findings = unknown_keys("", document, &TOP_KEYS);
    findings.extend(text_finding("build", document.get("build")));
    findings.extend(array_finding("packages", document.get("packages"), None));
    match document.get("roles") {
        Some(Value::Table(roles)) if !roles.is_empty() => {
            for (name, role) in roles {
                findings.extend(role_findings(name, role));
            }
        }
        _ => findings.push("`roles`: at least one table [roles.NAME] is expected".to_owned()),
    }
    findings.extend(class_findings(document));
    findings
}

fn role_findings(name: &str, role: &Value) -> Vec<String> {
    let key = format!("roles.{name}");
    let Value::Table(role) = role else {
        return vec![format!("`{key}`: a table is expected")];
    };
    let mut findings = unknown_keys(&format!("{key}."), role, &ROLE_KEYS);
    findings.extend(text_finding(&format!("{key}.run"), role.get("run")));
    let class = role.get("on").and_then(Value::as_str);
    if !class.is_some_and(|class| MACHINE_CLASSES.contains(&class)) {
        findings.push(format!(
            "`{key}.on` is {}: one of {MACHINE_CLASSES:?} is expected",
            value_text(role.get("on"))
        ));
    }
    findings.extend(machine_count_findings(&key, class, role));
    findings.extend(array_finding(
        &format!("{key}.serves"),
        role.get("serves"),
        Some(&CALLERS),
    ));
    if serves(role).any(|caller| caller == "side") && class != Some("side") {
        findings.push(format!(
            "`{key}.serves` has \"side\": only a role on \"side\" machines may serve it"
        ));
    }
    findings
}

/// Problems of `share`, `count` and `apart`, which say how many machines of its class the role runs on.
fn machine_count_findings(key: &str, class: Option<&str>, role: &Table) -> Vec<String> {
    let mut findings = Vec::new();
    if let Some(value) = role.get("share")
        && !is_valid_share(value)
    {
        findings.push(format!(
            "`{key}.share` is {value}: a number over 0 and up to 1 is expected"
        ));
    }
    if let Some(value) = role.get("count")
        && value.as_integer().is_none_or(|count| count <= 0)
    {
        findings.push(format!(
            "`{key}.count` is {value}: a whole number above 0 is expected"
        ));
    }
    findings.extend(share_or_count_finding(key, class, role));
    if let Some(value) = role.get("apart")
        && !value.is_bool()
    {
        findings.push(format!(
            "`{key}.apart` is {value}: true or false is expected"
        ));
    }
    findings
}

fn is_valid_share(value: &Value) -> bool {
    let integer = || value.as_integer().map(|integer| integer as f64);
    let fraction = value.as_float().or_else(integer);
    fraction.is_some_and(|fraction| fraction > 0.0 && fraction <= 1.0)
}

/// A role may have `share` or `count` but not both; a role on core machines must have one of them.
fn share_or_count_finding(key: &str, class: Option<&str>, role: &Table) -> Option<String> {
    let (has_share, has_count) = (role.contains_key("share"), role.contains_key("count"));
    match (has_share, has_count) {
        (true, true) => Some(format!(
            "`{key}` has both `share` and `count`: one of them is expected"
        )),
        (false, false) if class == Some("core") => Some(format!(
            "`{key}` has neither `share` nor `count`: one of them is expected"
        )),
        _ => None,
    }
}

/// Problems of several roles together: too many roles on one machine class, two roles of a class that serve the same
/// callers, and callers that no role serves.
fn class_findings(document: &Table) -> Vec<String> {
    let mut findings = Vec::new();
    for class in MACHINE_CLASSES {
        let is_on_class = |role: &&Table| role.get("on").and_then(Value::as_str) == Some(class);
        let roles: Vec<&Table> = role_tables(document).filter(is_on_class).collect();
        if roles.len() > ROLES_MAX {
            findings.push(format!(
                "{} roles on \"{class}\": a machine runs {ROLES_MAX} at most",
                roles.len()
            ));
        }
        for caller in CALLERS {
            let served = roles
                .iter()
                .filter(|role| serves(role).any(|served| served == caller))
                .count();
            if served > 1 {
                findings.push(format!(
                    "{served} roles on \"{class}\" serve \"{caller}\": at most one may"
                ));
            }
        }
    }
    for caller in CALLERS {
        if !role_tables(document).any(|role| serves(role).any(|served| served == caller)) {
            findings.push(format!("no role serves \"{caller}\""));
        }
    }
    findings
}

fn role_tables(document: &Table) -> impl Iterator<Item = &Table> {
    let roles = document.get("roles").and_then(Value::as_table);
    roles
        .into_iter()
        .flat_map(|roles| roles.values())
        .filter_map(Value::as_table)
}

fn serves(role: &Table) -> impl Iterator<Item = &str> {
    let callers = role.get("serves").and_then(Value::as_array);
    callers.into_iter().flatten().filter_map(Value::as_str)
}

fn unknown_keys(table_path: &str, table: &Table, known: &[&str]) -> Vec<String> {
    let unknown = table.keys().filter(|key| !known.contains(&key.as_str()));
    unknown
        .map(|key| format!("`{table_path}{key}` is unknown: {known:?} are allowed"))
        .collect()
}

fn text_finding(key: &str, value: Option<&Value>) -> Option<String> {
    let valid = value
        .and_then(Value::as_str)
        .is_some_and(|text| !text.trim().is_empty());
    (!valid).then(|| format!("`{key}` is {}: a text is expected", value_text(value)))
}

/// Checks an optional list of texts; `allowed` are its permitted items, `None` permits any text.
fn array_finding(key: &str, value: Option<&Value>, allowed: Option<&[&str]>) -> Option<String> {
    let value = value?;
    let text = |item: &Value| {
        item.as_str()
            .is_some_and(|t| allowed.is_none_or(|all| all.contains(&t)))
    };
    let valid = value.as_array().is_some_and(|items| items.iter().all(text));
    let expected = allowed.map_or("a list of texts".to_owned(), |all| {
        format!("a list of some of {all:?}")
    });
    (!valid).then(|| format!("`{key}` is {value}: {expected} is expected"))
}

fn value_text(value: Option<&Value>) -> String {
    value.map_or("missing".to_owned(), ToString::to_string)
}
