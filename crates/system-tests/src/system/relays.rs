//! Relays between core machines and the machines that connect to them.

use super::{MachineId, System};
use crate::relay::Relay;
use std::io;
use std::net::SocketAddr;

/// Number of the first relay's address in the network; those of machines are below it.
const FIRST_RELAY: usize = 200;
impl System {
    /// Starts a relay before each of these core machines. The relays are the only seeds of `callers` from their next start
    /// on.
    ///
    /// # Errors
    ///
    /// A relay's address cannot be listened on.
    pub fn relays(&mut self, cores: &[MachineId], callers: &[MachineId]) -> io::Result<Vec<Relay>> {
        let (mut relays, mut seeds) = (Vec::new(), Vec::new());
        for core in cores {
            let settings = self.settings(*core);
            let ports = settings.ports;
            let target = settings.address(ports.internal_first);
            let ip = self.network.machine_address(FIRST_RELAY + self.relay_count);
            self.relay_count += 1;
            relays.push(Relay::start(
                SocketAddr::new(ip, ports.internal_first),
                target,
            )?);
            seeds.push(SocketAddr::new(ip, ports.control_plane));
        }
        for caller in callers {
            self.machines[caller.0].settings.seeds.clone_from(&seeds);
        }
        Ok(relays)
    }
}
