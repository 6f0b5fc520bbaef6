//! Mapping of records to jobs: an operator's file contains the rules that extract class, parish (tenant), subject, key and
//! other values from a record.

mod compile;
mod error;
mod extractor;
mod file;

pub use crate::names::NameInterner;
pub use error::{EntryError, EntryProblem, MappingError};
pub use file::{File, From, Guess, Jobs, Rule, schema};

use crate::document;
use crate::job::{Job, Micros, number};
use crate::networks::{Networks, forwarded_client, parse_address};
use crate::raw::RawRecord;
use crate::tally::{Reason, Remark};
use crate::timestamp::RecordedTime;
use extractor::{Extractor, RecordContext};
use jiff::tz::TimeZone;
use std::borrow::Cow;
use std::net::IpAddr;
use std::sync::Arc;

/// Maximum deadline in milliseconds: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Maximum number of slots of a job.
const MAX_SLOTS: f64 = 65_536.0;

/// A compiled mapping.
#[derive(Clone, Debug)]
pub struct Mapping {
    /// The mapping file that it was compiled from.
    pub file: File,
    /// Time zone of timestamps without an offset.
    pub zone: TimeZone,
    /// Networks of proxies whose `X-Forwarded-For` is used.
    proxies: Networks,
    /// Named networks of clients.
    networks: Networks,
    extractors: Extractors,
}

/// The rules for each value of a job. The first rule that yields a value applies.
#[derive(Clone, Debug)]
struct Extractors {
    class: Vec<Extractor>,
    parish: Vec<Extractor>,
    subject: Vec<Extractor>,
    key: Vec<Extractor>,
    id: Vec<Extractor>,
    retry_marker: Vec<Extractor>,
    deadline: Vec<Extractor>,
    slots: Vec<Extractor>,
}

/// A record mapped to a job.
#[derive(Clone, Debug, PartialEq)]
pub struct MappedRecord {
    /// The job, as if the record were its first attempt.
    pub job: Job,
    /// Resolution of the job's time.
    pub resolution: Micros,
    /// Hash of the request id; 0: none.
    pub id: u64,
    /// Whether the client marked the request as a retry.
    pub marked: bool,
    /// Anomalies found in the record.
    pub remarks: Vec<Remark>,
}

impl Mapping {
    /// Parses and compiles a mapping file. It is validated against its schema first, so that all schema violations are
    /// reported at once.
    ///
    /// # Errors
    /// Every schema violation, or every entry that cannot be compiled, with its location.
    pub fn read(text: &str) -> Result<Self, MappingError> {
        let file: File = document::read("mapping", text)?;
        Mapping::new(file)
    }

    /// Compiles a mapping.
    ///
    /// # Errors
    /// Every entry that cannot be compiled, with its location.
    pub fn new(file: File) -> Result<Self, MappingError> {
        compile::compile(file)
    }

    /// Maps a record to a job.
    ///
    /// # Errors
    /// The reason why the record is rejected.
    pub fn map_record(
        &self,
        raw: &RawRecord<'_>,
        names: &mut NameInterner,
    ) -> Result<MappedRecord, Reason> {
        let time = raw.time.ok_or(Reason::NoTime)?;
        let path = raw.path().ok_or(Reason::BadRequest)?;
        if !self.is_job(raw.method.as_deref(), path) {
            return Err(Reason::NotAJob);
        }
        let mut remarks = Vec::new();
        let context = RecordContext {
            raw,
            path,
            client: self.client_address(raw, &mut remarks),
            networks: &self.networks,
        };
        let rules = &self.extractors;
        let class = names.intern(&context.first_value(&rules.class).ok_or(Reason::NoClass)?);
        let parish = self.parish(&context, names)?;
        let numbers = self.numbers(&context, &class, &mut remarks);
        let at = start_time(raw, time, &mut remarks);
        Ok(MappedRecord {
            job: Job {
                at,
                class,
                parish,
                subject: text(context.first_value(&rules.subject)).unwrap_or_default(),
                key: text(context.first_value(&rules.key)),
                deadline: numbers.deadline,
                bytes: raw.received.unwrap_or(0),
                slots: numbers.slots,
                client: client_number(context.client, raw.user.as_deref()),
                status: raw.status.unwrap_or(0),
                took: raw.took,
                retries: Vec::new(),
            },
            resolution: time.resolution,
            id: context
                .first_value(&rules.id)
                .map_or(0, |id| number(&id).max(1)),
            marked: context
                .first_value(&rules.retry_marker)
                .is_some_and(is_marked),
            remarks,
        })
    }

    /// Returns true if method and path of a request are those of a job submission.
    fn is_job(&self, method: Option<&str>, path: &str) -> bool {
        let jobs = &self.file.jobs;
        let begins_with_any = |prefixes: &[String]| {
            prefixes
                .iter()
                .any(|prefix| path.starts_with(prefix.as_str()))
        };
        let has_method = jobs.methods.is_empty()
            || method.is_some_and(|m| jobs.methods.iter().any(|j| j.eq_ignore_ascii_case(m)));
        has_method
            && (jobs.paths.is_empty() || begins_with_any(&jobs.paths))
            && !begins_with_any(&jobs.not_paths)
    }

    fn parish(
        &self,
        context: &RecordContext<'_>,
        names: &mut NameInterner,
    ) -> Result<Arc<str>, Reason> {
        match context.first_value(&self.extractors.parish) {
            Some(name) => Ok(names.intern(&name)),
            None if self.file.parish_required => Err(Reason::NoParish),
            None => Ok(names.intern("")),
        }
    }

    /// Returns the client's address, which may be forwarded by trusted proxies; `None`: the log has no readable peer address.
    fn client_address(&self, raw: &RawRecord<'_>, remarks: &mut Vec<Remark>) -> Option<IpAddr> {
        let peer = parse_address(raw.peer.as_deref()?)?;
        match forwarded_client(peer, raw.header("x-forwarded-for"), &self.proxies) {
            Ok(address) => Some(address),
            Err(last_readable) => {
                remarks.push(Remark::BadForwarded);
                Some(last_readable)
            }
        }
    }

    /// Returns deadline and slots from the record; a missing deadline is taken from `deadline-of` by class.
    fn numbers(
        &self,
        context: &RecordContext<'_>,
        class: &str,
        remarks: &mut Vec<Remark>,
    ) -> JobNumbers {
        let mut has_unreadable = context.raw.has_unreadable_number;
        let mut positive = |extractors: &[Extractor], max: f64| {
            let text = context.first_value(extractors)?;
            let value = text.trim().parse::<f64>().ok();
            let value = value.filter(|v| v.is_finite() && *v > 0.0 && *v <= max);
            has_unreadable |= value.is_none();
            value
        };
        let deadline = positive(&self.extractors.deadline, MAX_DEADLINE_MS as f64)
            .map(|ms| (ms * 1000.0) as Micros);
        let class_deadline = self.file.deadline_of.get(class);
        let class_deadline = class_deadline.map(|ms| (*ms).min(MAX_DEADLINE_MS) as Micros * 1000);
        let slots = positive(&self.extractors.slots, MAX_SLOTS).map(|v| v as f32);
        if has_unreadable {
            remarks.push(Remark::BadNumber);
        }
        JobNumbers {
            deadline: deadline.or(class_deadline),
            slots,
        }
    }
}

/// Optional numeric values of a job.
struct JobNumbers {
    deadline: Option<Micros>,
    slots: Option<f32>,
}

/// Returns true if the value of a retry marker means that the request is a retry.
fn is_marked(marker: Cow<'_, str>) -> bool {
    !matches!(marker.trim(), "" | "0" | "false")
}

fn text(value: Option<Cow<'_, str>>) -> Option<String> {
    value.map(Cow::into_owned)
}

/// Returns the start time of a request. If the log has the time of its end, the duration is subtracted; without a duration
/// the end time is used.
fn start_time(raw: &RawRecord<'_>, time: RecordedTime, remarks: &mut Vec<Remark>) -> Micros {
    if raw.status.is_none() {
        remarks.push(Remark::NoAnswer);
    }
    match raw.took {
        Some(took) if time.is_end => return time.at - took,
        None if raw.status.is_some() => remarks.push(Remark::NoDuration),
        _ => {}
    }
    time.at
}

/// Returns a number for a client, derived from its address and its user; 0: neither is known.
fn client_number(address: Option<IpAddr>, user: Option<&str>) -> u64 {
    let user = user.map_or(0, |user| number(user).rotate_left(32));
    address.map_or(0, address_number) ^ user
}

/// Returns a number other than 0 for an address.
fn address_number(address: IpAddr) -> u64 {
    let bits = match address {
        IpAddr::V4(v4) => u128::from(v4.to_bits()),
        IpAddr::V6(v6) => v6.to_bits(),
    };
    let folded_bits = (bits as u64) ^ ((bits >> 64) as u64).rotate_left(29);
    // The finalizer of SplitMix64, so that the numbers of adjacent addresses differ in many bits.
    let mixed_bits = (folded_bits ^ (folded_bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed_bits = (mixed_bits ^ (mixed_bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed_bits ^ (mixed_bits >> 31)).max(1)
}
