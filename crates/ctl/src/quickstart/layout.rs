//! The simulated machines of the cluster and their loopback addresses.

use std::net::{Ipv4Addr, SocketAddr};

/// Number of workers; each has a node agent.
const WORKERS: usize = 2;

/// First port of `port_range`, on which core members accept internal connections.
pub(super) const INTERNAL_PORT: u16 = 7_380;
/// Last port of `port_range`.
pub(super) const INTERNAL_PORT_LAST: u16 = 7_395;
/// Port of `bind_addrs.control_plane`.
const CONTROL_PORT: u16 = 8_144;
/// Port of `bind_addrs.frontend`.
const FRONTEND_PORT: u16 = 8_149;
/// Port of `bind_addrs.readiness`.
const READINESS_PORT: u16 = 8_141;

/// Kind of a machine: which daemon runs on it. A `Side` machine runs a node agent beside a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MachineClass {
    Core,
    Edge,
    Side,
}

/// A simulated machine: one daemon with a loopback address of its own.
#[derive(Clone, Debug)]
pub(super) struct Machine {
    pub name: String,
    pub class: MachineClass,
    pub ip: Ipv4Addr,
}

/// All machines of the cluster.
#[derive(Clone, Debug)]
pub(super) struct Layout {
    pub machines: Vec<Machine>,
}

impl Layout {
    /// Lays out `members` core members, one edge and [`WORKERS`] node agents. `salt` selects their network among the
    /// loopback addresses, so that several clusters can run on one machine at the same time.
    pub(super) fn new(members: usize, salt: u32) -> Layout {
        let [.., high, low] = salt.to_be_bytes();
        let network = |host: usize| Ipv4Addr::new(127, 64 + high % 64, low, host as u8);
        let mut machines = Vec::new();
        for (class, count) in [
            (MachineClass::Core, members),
            (MachineClass::Edge, 1),
            (MachineClass::Side, WORKERS),
        ] {
            for number in 1..=count {
                machines.push(Machine {
                    name: format!("{}-{number}", class.name()),
                    class,
                    ip: network(machines.len() + 1),
                });
            }
        }
        Layout { machines }
    }

    /// The machines of a class.
    pub(super) fn machines_of(&self, class: MachineClass) -> impl Iterator<Item = &Machine> {
        self.machines
            .iter()
            .filter(move |machine| machine.class == class)
    }

    /// Addresses at which the core members accept operators' requests.
    pub(super) fn control_addresses(&self) -> Vec<SocketAddr> {
        self.machines_of(MachineClass::Core)
            .map(Machine::control)
            .collect()
    }

    /// Address at which the edge accepts clients' requests; `None` if there is no edge.
    pub(super) fn frontend(&self) -> Option<SocketAddr> {
        self.machines_of(MachineClass::Edge)
            .next()
            .map(Machine::frontend)
    }

    /// The core members' internal addresses, separated by commas as in the argument of `--at`.
    pub(super) fn internal_addresses(&self) -> String {
        let addresses = self
            .machines_of(MachineClass::Core)
            .map(|machine| machine.socket_address(INTERNAL_PORT).to_string());
        addresses.collect::<Vec<_>>().join(",")
    }
}

impl Machine {
    /// Address at which a core member accepts operators' requests, or a node agent accepts its worker's heartbeats.
    pub(super) fn control(&self) -> SocketAddr {
        self.socket_address(CONTROL_PORT)
    }

    /// Address at which an edge accepts clients' requests.
    pub(super) fn frontend(&self) -> SocketAddr {
        self.socket_address(FRONTEND_PORT)
    }

    /// Address at which an edge answers `GET /readiness`.
    pub(super) fn readiness(&self) -> SocketAddr {
        self.socket_address(READINESS_PORT)
    }

    fn socket_address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }
}

impl MachineClass {
    /// Name of the class in the settings file.
    pub(super) fn name(self) -> &'static str {
        match self {
            MachineClass::Core => "core",
            MachineClass::Edge => "edge",
            MachineClass::Side => "side",
        }
    }

    /// The callers that the role of this class serves, as named in the settings file.
    pub(super) fn serves(self) -> &'static str {
        match self {
            MachineClass::Core => "control",
            MachineClass::Edge => "edge",
            MachineClass::Side => "side",
        }
    }
}
