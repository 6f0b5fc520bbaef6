//! `check-deploy`: the deploy file (`deploy/system.toml`) held against the operators' page.

use crate::files;
use crate::files::FileError;
use crate::report::Report;
use serde_json::json;
use std::path::Path;
use toml::{Table, Value};

const TOP_KEYS: [&str; 3] = ["build", "packages", "roles"];
const ROLE_KEYS: [&str; 6] = ["run", "on", "share", "count", "apart", "serves"];
const CLASSES: [&str; 3] = ["edge", "side", "core"];
const CALLERS: [&str; 3] = ["edge", "side", "control"];
/// Roles that a machine runs at most.
const ROLES_MAX: usize = 2;

/// Checks the file.
pub fn run(path: &Path) -> Result<Report, FileError> {
    let text = files::read_text(path)?;
    let (findings, roles) = match text.parse::<Table>() {
        Err(error) => (
            vec![format!("it is no TOML: {}", error.to_string().trim_end())],
            0,
        ),
        Ok(document) => (findings(&document), tables(&document).count()),
    };
    let path = path.display();
    Ok(Report {
        text: format!("{path}: {roles} roles\n"),
        data: json!({ "roles": roles }),
        findings: findings
            .into_iter()
            .map(|finding| format!("{path}: {finding}"))
            .collect(),
    })
}

/// All that is wrong with a deploy file.
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
    let place = format!("roles.{name}");
    let Value::Table(role) = role else {
        return vec![format!("`{place}`: a table is expected")];
    };
    let mut findings = unknown_keys(&format!("{place}."), role, &ROLE_KEYS);
    findings.extend(text_finding(&format!("{place}.run"), role.get("run")));
    let class = role.get("on").and_then(Value::as_str);
    if !class.is_some_and(|class| CLASSES.contains(&class)) {
        findings.push(format!(
            "`{place}.on` is {}: one of {CLASSES:?} is expected",
            shown(role.get("on"))
        ));
    }
    findings.extend(extent_findings(&place, class, role));
    findings.extend(array_finding(
        &format!("{place}.serves"),
        role.get("serves"),
        Some(&CALLERS),
    ));
    if serves(role).any(|caller| caller == "side") && class != Some("side") {
        findings.push(format!(
            "`{place}.serves` has \"side\": only a role on \"side\" machines may"
        ));
    }
    findings
}

/// `share`, `count` and `apart`.
fn extent_findings(place: &str, class: Option<&str>, role: &Table) -> Vec<String> {
    let mut findings = Vec::new();
    let number = |value: &Value| {
        value
            .as_float()
            .or_else(|| value.as_integer().map(|integer| integer as f64))
    };
    if let Some(share) = role.get("share")
        && !number(share).is_some_and(|share| share > 0.0 && share <= 1.0)
    {
        findings.push(format!(
            "`{place}.share` is {share}: a number over 0 and up to 1 is expected"
        ));
    }
    if let Some(count) = role.get("count")
        && count.as_integer().is_none_or(|count| count <= 0)
    {
        findings.push(format!(
            "`{place}.count` is {count}: a whole number above 0 is expected"
        ));
    }
    match (
        role.contains_key("share"),
        role.contains_key("count"),
        class,
    ) {
        (true, true, _) => {
            findings.push(format!(
                "`{place}` has both `share` and `count`: one of them is expected"
            ));
        }
        (false, false, Some("core")) => {
            findings.push(format!(
                "`{place}` has neither `share` nor `count`: one of them is expected"
            ));
        }
        _ => {}
    }
    if role.get("apart").is_some_and(|apart| !apart.is_bool()) {
        findings.push(format!(
            "`{place}.apart` is {}: true or false is expected",
            shown(role.get("apart"))
        ));
    }
    findings
}

/// What the roles of one class must not do together, and what nobody does.
fn class_findings(document: &Table) -> Vec<String> {
    let mut findings = Vec::new();
    for class in CLASSES {
        let on_class = |role: &&Table| role.get("on").and_then(Value::as_str) == Some(class);
        let roles: Vec<&Table> = tables(document).filter(on_class).collect();
        if roles.len() > ROLES_MAX {
            findings.push(format!(
                "{} roles on \"{class}\": a machine runs {ROLES_MAX} at most",
                roles.len()
            ));
        }
        for caller in CALLERS {
            let served = roles
                .iter()
                .filter(|role| serves(role).any(|c| c == caller))
                .count();
            if served > 1 {
                findings.push(format!(
                    "{served} roles on \"{class}\" serve \"{caller}\": one may"
                ));
            }
        }
    }
    for caller in CALLERS {
        if !tables(document).any(|role| serves(role).any(|c| c == caller)) {
            findings.push(format!("no role serves \"{caller}\""));
        }
    }
    findings
}

fn tables(document: &Table) -> impl Iterator<Item = &Table> {
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

fn unknown_keys(place: &str, table: &Table, known: &[&str]) -> Vec<String> {
    let unknown = table.keys().filter(|key| !known.contains(&key.as_str()));
    unknown
        .map(|key| format!("`{place}{key}` is unknown: {known:?} are allowed"))
        .collect()
}

fn text_finding(place: &str, value: Option<&Value>) -> Option<String> {
    let sound = value
        .and_then(Value::as_str)
        .is_some_and(|text| !text.trim().is_empty());
    (!sound).then(|| format!("`{place}` is {}: a text is expected", shown(value)))
}

/// A list of texts, which may be missing.
fn array_finding(place: &str, value: Option<&Value>, allowed: Option<&[&str]>) -> Option<String> {
    let value = value?;
    let text = |item: &Value| {
        item.as_str()
            .is_some_and(|t| allowed.is_none_or(|all| all.contains(&t)))
    };
    let sound = value.as_array().is_some_and(|items| items.iter().all(text));
    let expected = allowed.map_or("a list of texts".to_owned(), |all| {
        format!("a list of some of {all:?}")
    });
    (!sound).then(|| format!("`{place}` is {value}: {expected} is expected"))
}

fn shown(value: Option<&Value>) -> String {
    value.map_or("missing".to_owned(), ToString::to_string)
}
