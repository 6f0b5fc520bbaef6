//! Serialized form of a job: one line of a recording.

use crate::job::{Evidence, Job, Micros, Retry};
use crate::names::NameInterner;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// A job's line, with one-letter field names. Error texts of serde contain the name of this struct.
#[derive(Serialize, Deserialize)]
pub(super) struct Line<'a> {
    #[serde(rename = "t")]
    pub at: Micros,
    #[serde(borrow, rename = "c")]
    class: Cow<'a, str>,
    #[serde(borrow, default, rename = "p", skip_serializing_if = "is_default")]
    parish: Cow<'a, str>,
    #[serde(borrow, default, rename = "s", skip_serializing_if = "is_default")]
    subject: Cow<'a, str>,
    #[serde(borrow, default, rename = "k", skip_serializing_if = "Option::is_none")]
    key: Option<Cow<'a, str>>,
    #[serde(default, rename = "d", skip_serializing_if = "Option::is_none")]
    deadline: Option<Micros>,
    #[serde(default, rename = "b", skip_serializing_if = "is_default")]
    bytes: u64,
    #[serde(default, rename = "w", skip_serializing_if = "Option::is_none")]
    slots: Option<f32>,
    #[serde(default, rename = "u", skip_serializing_if = "is_default")]
    client: u64,
    #[serde(default, rename = "a", skip_serializing_if = "is_default")]
    status: u16,
    #[serde(default, rename = "l", skip_serializing_if = "Option::is_none")]
    took: Option<Micros>,
    #[serde(default, rename = "r", skip_serializing_if = "Vec::is_empty")]
    retries: Vec<RetryEntry>,
}

/// A retry as written: time after the first attempt, status, response time, evidence, confidence.
type RetryEntry = (Micros, u16, Option<Micros>, Evidence, f32);

fn entry_of(retry: &Retry, job_at: Micros) -> RetryEntry {
    (
        retry.at - job_at,
        retry.status,
        retry.took,
        retry.evidence,
        retry.confidence,
    )
}

fn retry_of(entry: RetryEntry, job_at: Micros) -> Retry {
    let (offset, status, took, evidence, confidence) = entry;
    Retry {
        at: job_at + offset,
        status,
        took,
        evidence,
        confidence,
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl<'a> Line<'a> {
    pub(super) fn new(job: &'a Job) -> Self {
        let retry = |retry: &Retry| entry_of(retry, job.at);
        Line {
            at: job.at,
            class: Cow::Borrowed(&job.class),
            parish: Cow::Borrowed(&job.parish),
            subject: Cow::Borrowed(&job.subject),
            key: job.key.as_deref().map(Cow::Borrowed),
            deadline: job.deadline,
            bytes: job.bytes,
            slots: job.slots,
            client: job.client,
            status: job.status,
            took: job.took,
            retries: job.retries.iter().map(retry).collect(),
        }
    }

    pub(super) fn into_job(self, names: &mut NameInterner) -> Job {
        let at = self.at;
        let retries = self.retries.into_iter();
        Job {
            at,
            class: names.intern(&self.class),
            parish: names.intern(&self.parish),
            subject: self.subject.into_owned(),
            key: self.key.map(Cow::into_owned),
            deadline: self.deadline,
            bytes: self.bytes,
            slots: self.slots,
            client: self.client,
            status: self.status,
            took: self.took,
            retries: retries.map(|entry| retry_of(entry, at)).collect(),
        }
    }
}
