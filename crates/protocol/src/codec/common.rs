//! Encoding of values that occur in several messages.

use crate::internal_capnp::{resources, run_id, socket_address};
use crate::job::Resources;
use crate::task::{JobId, RunId, TaskName};
use capnp::{struct_list, text, text_list};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::{IpAddr, SocketAddr};

/// Reads a text.
pub(super) fn read_text(from: capnp::Result<text::Reader>) -> capnp::Result<String> {
    Ok(from?.to_str()?.to_owned())
}

/// Reads a list of texts.
pub(super) fn read_texts(from: text_list::Reader) -> capnp::Result<Vec<String>> {
    from.iter().map(read_text).collect()
}

/// Writes texts to a list of the same length.
pub(super) fn write_texts(mut to: text_list::Builder, texts: &[String]) {
    for (index, text) in (0..).zip(texts) {
        to.set(index, text.as_str());
    }
}

/// Returns the bytes of an IP address: 4 (IPv4) or 16 (IPv6).
pub(super) fn ip_bytes(ip: IpAddr) -> Vec<u8> {
    match ip {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    }
}

/// Reads an IP address from its bytes.
pub(super) fn read_ip(bytes: &[u8]) -> capnp::Result<IpAddr> {
    if let Ok(octets) = <[u8; 4]>::try_from(bytes) {
        return Ok(IpAddr::from(octets));
    }
    if let Ok(octets) = <[u8; 16]>::try_from(bytes) {
        return Ok(IpAddr::from(octets));
    }
    Err(capnp::Error::failed(format!(
        "an IP address has {} bytes: 4 or 16 are expected",
        bytes.len()
    )))
}

/// Writes a socket address.
pub(super) fn write_address(mut to: socket_address::Builder, address: SocketAddr) {
    to.set_ip(&ip_bytes(address.ip()));
    to.set_port(address.port());
}

/// Reads a socket address.
pub(super) fn read_address(from: socket_address::Reader) -> capnp::Result<SocketAddr> {
    let ip = read_ip(from.get_ip()?)?;
    Ok(SocketAddr::new(ip, from.get_port()))
}

/// Writes [`Resources`].
pub(super) fn write_resources(mut to: resources::Builder, resources: &Resources) {
    to.set_cpu(resources.cpu);
    to.set_mem_mb(resources.mem_mb);
    to.set_gpu(resources.gpu);
}

/// Reads [`Resources`].
pub(super) fn read_resources(from: resources::Reader) -> Resources {
    Resources {
        cpu: from.get_cpu(),
        mem_mb: from.get_mem_mb(),
        gpu: from.get_gpu(),
    }
}

/// Writes a [`RunId`].
pub(super) fn write_run(mut to: run_id::Builder, run: &RunId) {
    to.set_job(run.task.job.0);
    to.set_repeat(run.task.repeat);
    to.set_step(run.task.step);
    to.set_index(run.task.index);
    to.set_attempt(run.attempt);
}

/// Reads a [`RunId`].
pub(super) fn read_run(from: run_id::Reader) -> RunId {
    let job = JobId(from.get_job());
    let task = TaskName {
        job,
        repeat: from.get_repeat(),
        step: from.get_step(),
        index: from.get_index(),
    };
    RunId {
        task,
        attempt: from.get_attempt(),
    }
}

/// Writes run ids to a list of the same length.
pub(super) fn write_runs(mut to: struct_list::Builder<run_id::Owned>, runs: &[RunId]) {
    for (index, run) in (0..).zip(runs) {
        write_run(to.reborrow().get(index), run);
    }
}

/// Reads a list of run ids.
pub(super) fn read_runs(from: struct_list::Reader<run_id::Owned>) -> Vec<RunId> {
    from.iter().map(read_run).collect()
}

/// Encodes a value as JSON.
pub(super) fn to_json(value: &impl Serialize) -> String {
    // The types that are sent as JSON contain no maps and no numbers that JSON cannot represent, so encoding succeeds.
    serde_json::to_string(value).unwrap_or_default()
}

/// Decodes a value from JSON.
pub(super) fn from_json<T: DeserializeOwned>(text: text::Reader) -> capnp::Result<T> {
    serde_json::from_slice(text.as_bytes()).map_err(|error| capnp::Error::failed(error.to_string()))
}
