//! Encoding of the handshake messages, with which each connection begins.

use super::common::{ip_bytes, read_address, read_ip, read_text, write_address};
use crate::config::IngressLimits;
use crate::internal::{Hello, MemberAddress, ProcessKind, Welcome};
use crate::internal_capnp::{self as wire, hello, ingress_limits, member_address, welcome};

/// Writes a [`Hello`].
pub(super) fn write_hello(mut to: hello::Builder, hello: &Hello) {
    to.set_node_name(hello.node_name.as_str());
    to.set_kind(match hello.kind {
        ProcessKind::Edge => wire::ProcessKind::Edge,
        ProcessKind::Agent => wire::ProcessKind::Agent,
        ProcessKind::Core => wire::ProcessKind::Core,
    });
    to.set_zone(hello.zone.as_str());
    to.set_incarnation(hello.incarnation);
    if let Some(ip) = hello.ip {
        to.set_ip(&ip_bytes(ip));
    }
}

/// Reads a [`Hello`].
pub(super) fn read_hello(from: hello::Reader) -> capnp::Result<Hello> {
    Ok(Hello {
        node_name: read_text(from.get_node_name())?,
        kind: match from.get_kind()? {
            wire::ProcessKind::Edge => ProcessKind::Edge,
            wire::ProcessKind::Agent => ProcessKind::Agent,
            wire::ProcessKind::Core => ProcessKind::Core,
        },
        zone: read_text(from.get_zone())?,
        incarnation: from.get_incarnation(),
        ip: match from.get_ip()? {
            [] => None,
            bytes => Some(read_ip(bytes)?),
        },
    })
}

/// Writes a [`Welcome`].
pub(super) fn write_welcome(mut to: welcome::Builder, welcome: &Welcome) {
    to.set_view(welcome.view);
    to.set_acting(welcome.acting);
    to.set_config_version(welcome.config_version);
    if let Some(head) = &welcome.head {
        write_member(to.reborrow().init_head(), head);
    }
    let mut members = to.reborrow().init_members(welcome.members.len() as u32);
    for (index, member) in (0..).zip(&welcome.members) {
        write_member(members.reborrow().get(index), member);
    }
    write_limits(to.init_limits(), &welcome.limits);
}

/// Reads a [`Welcome`].
pub(super) fn read_welcome(from: welcome::Reader) -> capnp::Result<Welcome> {
    let head = from
        .has_head()
        .then(|| read_member(from.get_head()?))
        .transpose()?;
    Ok(Welcome {
        view: from.get_view(),
        head,
        members: from
            .get_members()?
            .iter()
            .map(read_member)
            .collect::<Result<_, _>>()?,
        acting: from.get_acting(),
        config_version: from.get_config_version(),
        limits: read_limits(from.get_limits()?),
    })
}

/// Writes a [`MemberAddress`].
fn write_member(mut to: member_address::Builder, member: &MemberAddress) {
    to.set_node_name(member.node_name.as_str());
    write_address(to.reborrow().init_internal(), member.internal);
    write_address(to.init_control(), member.control);
}

/// Reads a [`MemberAddress`].
fn read_member(from: member_address::Reader) -> capnp::Result<MemberAddress> {
    Ok(MemberAddress {
        node_name: read_text(from.get_node_name())?,
        internal: read_address(from.get_internal()?)?,
        control: read_address(from.get_control()?)?,
    })
}

/// Writes [`IngressLimits`].
fn write_limits(mut to: ingress_limits::Builder, limits: &IngressLimits) {
    to.set_max_header_bytes(limits.max_header_bytes);
    to.set_max_body_bytes(limits.max_body_bytes);
    to.set_header_timeout_ms(limits.header_timeout_ms);
    to.set_idle_timeout_ms(limits.idle_timeout_ms);
}

/// Reads [`IngressLimits`].
fn read_limits(from: ingress_limits::Reader) -> IngressLimits {
    IngressLimits {
        max_header_bytes: from.get_max_header_bytes(),
        max_body_bytes: from.get_max_body_bytes(),
        header_timeout_ms: from.get_header_timeout_ms(),
        idle_timeout_ms: from.get_idle_timeout_ms(),
    }
}
