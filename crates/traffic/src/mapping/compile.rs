//! Compiles a mapping file into a mapping, collecting all errors.

use super::error::{EntryError, EntryProblem, MappingError};
use super::extractor::Extractor;
use super::file::{File, Rule};
use super::{Extractors, Mapping};
use crate::networks::Networks;
use jiff::tz::TimeZone;

/// Collects the errors in the entries of a file.
#[derive(Default)]
struct Problems(Vec<EntryError>);

impl Problems {
    fn add(&mut self, pointer: String, source: impl Into<EntryProblem>) {
        self.0.push(EntryError {
            pointer,
            source: source.into(),
        });
    }

    fn add_network(&mut self, networks: &mut Networks, pointer: String, text: &str, name: &str) {
        if let Err(error) = networks.add(text, name) {
            self.add(pointer, error);
        }
    }

    /// Compiles the rules of the named entry, and adds an error for each rule that is invalid.
    fn compile_rules(
        &mut self,
        entry: &str,
        rules: &[Rule],
        networks: &Networks,
    ) -> Vec<Extractor> {
        let mut extractors = Vec::new();
        for (n, rule) in rules.iter().enumerate() {
            match Extractor::compile(rule, networks.is_empty()) {
                Ok(extractor) => extractors.push(extractor),
                Err(error) => self.add(format!("/{entry}/{n}"), error),
            }
        }
        extractors
    }
}

pub(super) fn compile(file: File) -> Result<Mapping, MappingError> {
    let mut problems = Problems::default();
    let zone = TimeZone::get(&file.zone).unwrap_or_else(|_| {
        problems.add("/zone".into(), EntryProblem::Zone(file.zone.clone()));
        TimeZone::UTC
    });
    let (mut proxies, mut networks) = (Networks::default(), Networks::default());
    for (n, network) in file.trusted.iter().enumerate() {
        problems.add_network(&mut proxies, format!("/trusted/{n}"), network, "trusted");
    }
    for (name, prefixes) in &file.networks {
        for (n, network) in prefixes.iter().enumerate() {
            problems.add_network(
                &mut networks,
                format!("/networks/{name}/{n}"),
                network,
                name,
            );
        }
    }
    let mut rules = |entry, rules: &[Rule]| problems.compile_rules(entry, rules, &networks);
    let extractors = Extractors {
        class: rules("class", &file.class),
        parish: rules("parish", &file.parish),
        subject: rules("subject", &file.subject),
        key: rules("key", &file.key),
        id: rules("id", &file.id),
        retry_marker: rules("retry-mark", &file.retry_marker),
        deadline: rules("deadline-ms", &file.deadline_ms),
        slots: rules("slots", &file.slots),
    };
    if file.id_kept && file.id.is_empty() {
        problems.add("/id-kept".into(), EntryProblem::NoIdRule);
    }
    match problems.0.is_empty() {
        true => Ok(Mapping {
            file,
            zone,
            proxies,
            networks,
            extractors,
        }),
        false => Err(MappingError::Entries(problems.0)),
    }
}
