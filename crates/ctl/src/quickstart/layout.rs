//! The machines of the small cluster and their loopback addresses.

use std::net::{Ipv4Addr, SocketAddr};

/// Number of workers, each beside a node agent.
const WORKERS: usize = 2;

/// First and last port of `port_range`.
pub(super) const INTERNAL_PORT: u16 = 7_380;
pub(super) const INTERNAL_PORT_LAST: u16 = 7_395;
/// Ports of `bind_addrs`.
const CONTROL_PORT: u16 = 8_144;
const FRONTEND_PORT: u16 = 8_149;
const READINESS_PORT: u16 = 8_141;

/// What a machine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MachineClass {
    Core,
    Edge,
    Side,
}

/// A machine of the small cluster: an address of its own.
#[derive(Clone, Debug)]
pub(super) struct Machine {
    pub name: String,
    pub class: MachineClass,
    pub ip: Ipv4Addr,
}

/// All machines.
#[derive(Clone, Debug)]
pub(super) struct Layout {
    pub machines: Vec<Machine>,
}

impl Layout {
    /// `members` core members, an edge and node agents. `salt` chooses their network among the loopback addresses, so
    /// that several clusters can run on one machine.
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

    /// Where the core members take the operator's requests.
    pub(super) fn control_addresses(&self) -> Vec<SocketAddr> {
        self.machines_of(MachineClass::Core)
            .map(Machine::control)
            .collect()
    }

    /// Where the edge takes clients' requests.
    pub(super) fn frontend(&self) -> Option<SocketAddr> {
        self.machines_of(MachineClass::Edge)
            .next()
            .map(Machine::frontend)
    }

    /// The core members' internal addresses, as `--at` takes them.
    pub(super) fn internal_addresses(&self) -> String {
        let addresses = self
            .machines_of(MachineClass::Core)
            .map(|machine| machine.at(INTERNAL_PORT).to_string());
        addresses.collect::<Vec<_>>().join(",")
    }
}

impl Machine {
    /// Where a core member takes the operator's requests, and a node agent its worker's heartbeats.
    pub(super) fn control(&self) -> SocketAddr {
        self.at(CONTROL_PORT)
    }

    /// Where an edge takes clients' requests.
    pub(super) fn frontend(&self) -> SocketAddr {
        self.at(FRONTEND_PORT)
    }

    /// Where an edge answers whether it is ready.
    pub(super) fn readiness(&self) -> SocketAddr {
        self.at(READINESS_PORT)
    }

    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }
}

impl MachineClass {
    /// Its name in the settings file.
    pub(super) fn name(self) -> &'static str {
        match self {
            MachineClass::Core => "core",
            MachineClass::Edge => "edge",
            MachineClass::Side => "side",
        }
    }

    /// The callers that its role serves, as the settings file names them.
    pub(super) fn serves(self) -> &'static str {
        match self {
            MachineClass::Core => "control",
            MachineClass::Edge => "edge",
            MachineClass::Side => "side",
        }
    }
}
