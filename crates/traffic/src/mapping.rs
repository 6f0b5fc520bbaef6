//! What a record means: its class, parish, subject and key, by an operator's file.

mod extractor;
mod file;

pub use file::{File, From, Guess, Jobs, Rule, schema};

use crate::document;
use crate::job::{Job, Micros, number};
use crate::networks::{Networks, address, client};
use crate::raw::RawRecord;
use crate::tally::{Reason, Remark};
use extractor::{Extractor, RecordContext, compile};
use jiff::tz::TimeZone;
use rustc_hash::FxHashMap;
use std::borrow::Cow;
use std::sync::Arc;

/// An error in a mapping file: where, what, and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MappingError(pub Vec<String>);

impl std::fmt::Display for MappingError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for MappingError {}

/// A mapping, compiled.
#[derive(Clone, Debug)]
pub struct Mapping {
    /// The file that it was made from.
    pub file: File,
    /// The zone of times without an offset.
    pub zone: TimeZone,
    trusted: Networks,
    networks: Networks,
    class: Vec<Extractor>,
    parish: Vec<Extractor>,
    subject: Vec<Extractor>,
    key: Vec<Extractor>,
    id: Vec<Extractor>,
    retry_marker: Vec<Extractor>,
    deadline: Vec<Extractor>,
    slots: Vec<Extractor>,
}

/// What a record means.
#[derive(Clone, Debug, PartialEq)]
pub struct MappedRecord {
    /// The job, as if it were a first try. Its time is that of the stamp, which may be of the request's end.
    pub job: Job,
    /// How exactly the time is known.
    pub within: Micros,
    /// The request's id, as a number; 0: none.
    pub id: u64,
    /// The client marked it as a retry.
    pub marked: bool,
    /// What was odd.
    pub remarks: Vec<Remark>,
}

/// Names that come again and again, kept once.
#[derive(Clone, Debug, Default)]
pub struct NameInterner(FxHashMap<String, Arc<str>>);

impl NameInterner {
    /// The one copy of a name.
    pub fn name(&mut self, text: &str) -> Arc<str> {
        if let Some(name) = self.0.get(text) {
            return name.clone();
        }
        let name: Arc<str> = text.into();
        // Names out of hostile input are not kept for ever.
        if self.0.len() < 65_536 {
            self.0.insert(text.to_string(), name.clone());
        }
        name
    }
}

impl Mapping {
    /// Reads a mapping file: against its schema first, so that all errors in its form are told at once.
    ///
    /// # Errors
    /// Each thing that is wrong, with its place.
    pub fn read(text: &str) -> Result<Self, MappingError> {
        let file: File = document::read("mapping", text).map_err(MappingError)?;
        Mapping::new(file)
    }

    /// Compiles a mapping.
    ///
    /// # Errors
    /// Each thing that is wrong, with its place.
    pub fn new(file: File) -> Result<Self, MappingError> {
        let mut wrong = Vec::new();
        let zone = TimeZone::get(&file.zone).unwrap_or_else(|_| {
            wrong.push(format!(
                "at /zone: {:?} is no time zone; Europe/Lisbon is one",
                file.zone
            ));
            TimeZone::UTC
        });
        let (mut trusted, mut networks) = (Networks::default(), Networks::default());
        for (n, net) in file.trusted.iter().enumerate() {
            let _ = trusted
                .add(net, "trusted")
                .inspect_err(|e| wrong.push(format!("at /trusted/{n}: {e}")));
        }
        for (name, nets) in &file.networks {
            for (n, net) in nets.iter().enumerate() {
                let _ = networks
                    .add(net, name)
                    .inspect_err(|e| wrong.push(format!("at /networks/{name}/{n}: {e}")));
            }
        }
        let mut compile_all = |name: &str, rules: &[Rule]| -> Vec<Extractor> {
            let mut extractors = Vec::new();
            for (n, rule) in rules.iter().enumerate() {
                match compile(rule, networks.is_empty()) {
                    Ok(extractor) => extractors.push(extractor),
                    Err(e) => wrong.push(format!("at /{name}/{n}: {e}")),
                }
            }
            extractors
        };
        let [class, parish, subject, key] = [
            compile_all("class", &file.class),
            compile_all("parish", &file.parish),
            compile_all("subject", &file.subject),
            compile_all("key", &file.key),
        ];
        let [id, retry_marker, deadline, slots] = [
            compile_all("id", &file.id),
            compile_all("retry-mark", &file.retry_marker),
            compile_all("deadline-ms", &file.deadline_ms),
            compile_all("slots", &file.slots),
        ];
        if file.id_kept && file.id.is_empty() {
            wrong.push("at /id-kept: there is no rule for the id that is kept".into());
        }
        match wrong.is_empty() {
            true => Ok(Mapping {
                file,
                zone,
                trusted,
                networks,
                class,
                parish,
                subject,
                key,
                id,
                retry_marker,
                deadline,
                slots,
            }),
            false => Err(MappingError(wrong)),
        }
    }

    /// What a record means.
    ///
    /// # Errors
    /// Why it is no job.
    pub fn map_record(
        &self,
        raw: &RawRecord<'_>,
        names: &mut NameInterner,
    ) -> Result<MappedRecord, Reason> {
        let time = raw.time.ok_or(Reason::NoTime)?;
        let path = raw.path().ok_or(Reason::BadRequest)?;
        let (jobs, method) = (&self.file.jobs, raw.method.as_deref());
        let begins = |prefixes: &[String]| prefixes.iter().any(|p| path.starts_with(p.as_str()));
        let of_method = jobs.methods.is_empty()
            || method.is_some_and(|m| jobs.methods.iter().any(|j| j.eq_ignore_ascii_case(m)));
        if !of_method || (!jobs.paths.is_empty() && !begins(&jobs.paths)) || begins(&jobs.not_paths)
        {
            return Err(Reason::NotAJob);
        }
        let mut remarks = Vec::new();
        let mut from = None;
        if let Some(peer) = raw.peer.as_deref() {
            match address(peer)
                .map(|peer| client(peer, raw.header("x-forwarded-for"), &self.trusted))
            {
                Some(Ok(address)) => from = Some(address),
                Some(Err(address)) => {
                    from = Some(address);
                    remarks.push(Remark::BadForwarded);
                }
                None => {}
            }
        }
        let context = RecordContext {
            raw,
            path,
            from,
            networks: &self.networks,
        };
        let class = context.first(&self.class).ok_or(Reason::NoClass)?;
        let class = names.name(&class);
        let parish = match context.first(&self.parish) {
            Some(name) => names.name(&name),
            None if self.file.parish_required => return Err(Reason::NoParish),
            None => names.name(""),
        };
        let mut odd = raw.odd_number;
        let mut count = |extractors: &[Extractor], most: f64| {
            let text = context.first(extractors)?;
            let value = text
                .trim()
                .parse::<f64>()
                .ok()
                .filter(|v| v.is_finite() && *v > 0.0 && *v <= most);
            odd |= value.is_none();
            value
        };
        let deadline = count(&self.deadline, 86_400_000.0).map(|ms| (ms * 1000.0) as Micros);
        let deadline = deadline.or_else(|| {
            self.file
                .deadline_of
                .get(&*class)
                .map(|ms| (*ms).min(86_400_000) as Micros * 1000)
        });
        let slots = count(&self.slots, 65_536.0).map(|v| v as f32);
        if odd {
            remarks.push(Remark::BadNumber);
        }
        if raw.status.is_none() {
            remarks.push(Remark::NoAnswer);
        }
        let mut at = time.at;
        match raw.took {
            Some(took) if time.end => at -= took,
            None if raw.status.is_some() => remarks.push(Remark::NoDuration),
            _ => {}
        }
        let who = from.map_or(0, address_number);
        let user = raw.user.as_deref().map_or(0, |u| number(u).rotate_left(32));
        let job = Job {
            at,
            class,
            parish,
            subject: context
                .first(&self.subject)
                .map(Cow::into_owned)
                .unwrap_or_default(),
            key: context.first(&self.key).map(Cow::into_owned),
            deadline,
            bytes: raw.received.unwrap_or(0),
            slots,
            client: who ^ user,
            status: raw.status.unwrap_or(0),
            took: raw.took,
            retries: Vec::new(),
        };
        let marked = context
            .first(&self.retry_marker)
            .is_some_and(|m| !matches!(m.trim(), "" | "0" | "false"));
        let id = context.first(&self.id).map_or(0, |id| number(&id).max(1));
        Ok(MappedRecord {
            job,
            within: time.within,
            id,
            marked,
            remarks,
        })
    }
}

/// A number for an address.
fn address_number(address: std::net::IpAddr) -> u64 {
    let bits = match address {
        std::net::IpAddr::V4(v4) => u128::from(v4.to_bits()),
        std::net::IpAddr::V6(v6) => v6.to_bits(),
    };
    let folded = (bits as u64) ^ ((bits >> 64) as u64).rotate_left(29);
    // The finalizer of SplitMix64: neighbouring addresses become unlike numbers.
    let mixed = (folded ^ (folded >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)).max(1)
}
