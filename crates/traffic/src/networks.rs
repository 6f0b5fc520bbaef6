//! Named IP networks, with longest-prefix lookup in one prefix tree each for IPv4 and IPv6.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::net::{IpAddr, Ipv6Addr, SocketAddr};
use std::sync::Arc;

/// A set of networks, each with a name.
#[derive(Clone, Default)]
pub struct Networks {
    v4: PrefixMap<Ipv4Net, Arc<str>>,
    v6: PrefixMap<Ipv6Net, Arc<str>>,
}

impl std::fmt::Debug for Networks {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Networks({} + {})", self.v4.len(), self.v6.len())
    }
}

/// Why a network is invalid or cannot be added.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NetworkError {
    /// The text is neither a CIDR prefix nor an address.
    #[error(
        "{0:?} is not a network: expected a prefix such as 10.4.0.0/16 or 2001:db8::/32, or a single address"
    )]
    Invalid(String),
    /// The host part of the prefix is not zero, so that most likely another network was meant.
    #[error("{text:?} has bits set beyond its prefix length; the network is {network}")]
    HostBits {
        /// The text given.
        text: String,
        /// The network with these bits cleared.
        network: IpNet,
    },
    /// The same prefix was added before under another name.
    #[error("{text:?} is named both {old:?} and {new:?}")]
    NamedTwice {
        /// The text given.
        text: String,
        /// The name under which it was added first.
        old: String,
        /// The second name.
        new: String,
    },
}

/// Parses a network: a CIDR prefix, or a single address.
///
/// # Errors
/// The text is not a network, or has host bits set.
pub fn parse_network(text: &str) -> Result<IpNet, NetworkError> {
    match text.parse::<IpNet>() {
        Ok(net) if net.trunc() != net => Err(NetworkError::HostBits {
            text: text.into(),
            network: net.trunc(),
        }),
        Ok(net) => Ok(net),
        Err(_) => text
            .parse::<IpAddr>()
            .map(IpNet::from)
            .map_err(|_| NetworkError::Invalid(text.into())),
    }
}

impl Networks {
    /// Adds a network under a name. Adding it again under the same name has no effect.
    ///
    /// # Errors
    /// The text is invalid, or the same prefix has another name already.
    pub fn add(&mut self, text: &str, name: &str) -> Result<(), NetworkError> {
        let name: Arc<str> = name.into();
        let old = match parse_network(text)? {
            IpNet::V4(net) => self.v4.insert(net, name.clone()),
            IpNet::V6(net) => self.v6.insert(net, name.clone()),
        };
        match old.filter(|old| *old != name) {
            Some(old) => Err(NetworkError::NamedTwice {
                text: text.into(),
                old: old.to_string(),
                new: name.to_string(),
            }),
            None => Ok(()),
        }
    }

    /// Returns the name of the longest prefix that contains an address.
    pub fn find(&self, address: IpAddr) -> Option<&Arc<str>> {
        match address {
            IpAddr::V4(v4) => self.v4.get_lpm(&Ipv4Net::from(v4)).map(|(_, name)| name),
            IpAddr::V6(v6) => match v6.to_ipv4_mapped() {
                Some(v4) => self.find(IpAddr::V4(v4)),
                None => self.v6.get_lpm(&Ipv6Net::from(v6)).map(|(_, name)| name),
            },
        }
    }

    /// Returns true if any network contains the address.
    pub fn contains(&self, address: IpAddr) -> bool {
        self.find(address).is_some()
    }

    /// Returns true if there are no networks.
    pub fn is_empty(&self) -> bool {
        self.v4.is_empty() && self.v6.is_empty()
    }
}

/// Parses an address as written in logs: alone, with a port, or in brackets. IPv4-mapped IPv6 addresses become IPv4.
pub fn parse_address(text: &str) -> Option<IpAddr> {
    let text = text.trim().trim_matches('"');
    if let Ok(address) = text.parse::<IpAddr>() {
        return Some(unmap_v4(address));
    }
    if let Ok(address) = text.parse::<SocketAddr>() {
        return Some(unmap_v4(address.ip()));
    }
    let bracketed_address = text.strip_prefix('[')?.split(']').next()?;
    bracketed_address
        .parse::<Ipv6Addr>()
        .ok()
        .map(|v6| unmap_v4(IpAddr::V6(v6)))
}

/// Converts an IPv4-mapped IPv6 address to IPv4 and leaves others unchanged.
fn unmap_v4(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V6(v6) => v6.to_ipv4_mapped().map_or(address, IpAddr::V4),
        v4 => v4,
    }
}

/// Returns the address of the client. That is the connected peer, unless it is a trusted proxy; then it is the last
/// address in `X-Forwarded-For` that is not a trusted proxy. If all are trusted, it is the first address in the header.
///
/// # Errors
/// An entry written by a trusted proxy is not an address; returns the last valid address before it was reached.
pub fn forwarded_client(
    peer: IpAddr,
    forwarded_header: Option<&str>,
    trusted_proxies: &Networks,
) -> Result<IpAddr, IpAddr> {
    let mut last_address = peer;
    if !trusted_proxies.contains(peer) {
        return Ok(peer);
    }
    for text in forwarded_header
        .unwrap_or("")
        .rsplit(',')
        .filter(|t| !t.trim().is_empty())
    {
        match parse_address(text) {
            Some(address) => last_address = address,
            None => return Err(last_address),
        }
        if !trusted_proxies.contains(last_address) {
            break;
        }
    }
    Ok(last_address)
}
