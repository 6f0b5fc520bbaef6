//! Network lookup and client addresses.

use indigofold_traffic::networks::{Networks, forwarded_client, parse_address};
use std::net::IpAddr;

fn ip(text: &str) -> IpAddr {
    parse_address(text).expect("the address is valid")
}

#[test]
fn the_longest_network_prefix_names_an_address() {
    let mut nets = Networks::default();
    for (net, name) in [
        ("10.0.0.0/8", "all"),
        ("10.4.0.0/16", "gualtar"),
        ("10.4.7.1", "till"),
        ("2001:db8::/32", "six"),
    ] {
        nets.add(net, name).expect("the network is valid");
    }
    let name = |text: &str| nets.find(ip(text)).map(ToString::to_string);
    assert_eq!(name("10.4.7.1:4711").as_deref(), Some("till"));
    assert_eq!(name("10.4.7.2").as_deref(), Some("gualtar"));
    assert_eq!(name("10.5.7.2").as_deref(), Some("all"));
    assert_eq!(name("::ffff:10.4.9.9").as_deref(), Some("gualtar"));
    assert_eq!(name("[2001:db8::7]:80").as_deref(), Some("six"));
    assert_eq!(name("192.0.2.1"), None);
    assert!(
        nets.add("10.4.0.0/16", "other").is_err() && nets.add("10.4.0.1/16", "gualtar").is_err()
    );
    assert!(nets.add("ten", "gualtar").is_err());
}

/// Guards against a client that sets `X-Forwarded-For` itself to be assigned to another parish (tenant).
#[test]
fn only_trusted_proxies_forwarded_addresses_are_used() {
    let mut trusted = Networks::default();
    trusted
        .add("10.0.0.0/8", "proxy")
        .expect("the network is valid");
    let client_of = |peer: &str, forwarded| {
        forwarded_client(ip(peer), forwarded, &trusted).map(|a| a.to_string())
    };
    assert_eq!(
        client_of("192.0.2.1", Some("198.51.100.7")),
        Ok("192.0.2.1".into())
    );
    assert_eq!(
        client_of("10.0.0.1", Some("203.0.113.9, 198.51.100.7, 10.0.0.2")),
        Ok("198.51.100.7".into())
    );
    assert_eq!(
        client_of("10.0.0.1", Some("unknown, 10.0.0.2")),
        Err(ip("10.0.0.2"))
    );
    assert_eq!(client_of("10.0.0.1", None), Ok("10.0.0.1".into()));
}
