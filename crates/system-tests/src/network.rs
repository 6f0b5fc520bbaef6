//! Loopback addresses. Each system reserves its own /24 of 127.0.0.0/8, so that all of its machines can use the same
//! ports, as real machines do, and tests can run concurrently.

use crate::random;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Port on the first address of a /24 that stays bound for as long as the /24 is in use.
const GUARD_PORT: u16 = 10_007;
/// Lowest port for the machines. All ports stay below the range that the kernel uses for outgoing connections.
const FIRST_PORT: u16 = 12_000;
/// Size of the port range from which a system's ports are chosen.
const PORTS: u64 = 16_000;
/// Ports reserved for one machine.
const PORTS_PER_MACHINE: u16 = 24;
/// Ports of a machine for traffic between the cluster's processes.
const INTERNAL_PORTS: u16 = 16;
/// Number of random /24s that are tried; far more than are in use at once.
const ATTEMPTS_MAX: usize = 1_000;

/// The ports that each machine of a system uses.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// Port of an edge for clients.
    pub frontend: u16,
    /// Port of an edge for the platform's readiness checks.
    pub readiness: u16,
    /// Port for workers and the operator.
    pub control_plane: u16,
    /// First port for traffic between the cluster's processes.
    pub internal_first: u16,
    /// Last port for traffic between the cluster's processes, inclusive.
    pub internal_last: u16,
}

/// The /24 of one system, reserved until this value is dropped.
#[derive(Debug)]
pub struct Network {
    /// First three bytes of the addresses.
    subnet: [u8; 3],
    ports: Ports,
    /// Keeps other tests from reserving the /24.
    _guard: TcpListener,
}

impl Network {
    /// Reserves a /24 that is not in use.
    ///
    /// # Panics
    ///
    /// If no free /24 is found; no test can run then.
    pub fn reserve() -> Self {
        let guarded = (0..ATTEMPTS_MAX).find_map(|_| {
            let subnet = [127, 1 + random::below(253) as u8, random::below(256) as u8];
            let at = SocketAddr::new(host(subnet, 1), GUARD_PORT);
            TcpListener::bind(at).ok().map(|guard| (subnet, guard))
        });
        let (subnet, guard) =
            guarded.expect("one of the /24s tried below 127.0.0.0/8 should be free");
        Network {
            subnet,
            ports: choose_ports(),
            _guard: guard,
        }
    }

    /// The address of machine `number`, counted from 0.
    pub fn machine_address(&self, number: usize) -> IpAddr {
        host(self.subnet, number as u8 + 2)
    }

    /// The ports, the same on all machines.
    pub fn ports(&self) -> Ports {
        self.ports
    }
}

fn host(subnet: [u8; 3], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(subnet[0], subnet[1], subnet[2], last))
}

fn choose_ports() -> Ports {
    let first = FIRST_PORT + random::below(PORTS - u64::from(PORTS_PER_MACHINE)) as u16;
    let outer = first + INTERNAL_PORTS;
    Ports {
        internal_first: first,
        internal_last: first + INTERNAL_PORTS - 1,
        frontend: outer,
        readiness: outer + 1,
        control_plane: outer + 2,
    }
}
