//! Generates the settings files (`boot.toml`) of the cluster's machines.

use super::layout::{INTERNAL_PORT, INTERNAL_PORT_LAST, Layout, Machine, MachineClass};
use std::path::Path;

/// Least number of core members that tolerates the loss of one machine.
const FAULT_TOLERANT_MEMBERS_MIN: usize = 3;

/// The content of a machine's settings file. The data folders of core members are inside `folder`.
pub(super) fn text(layout: &Layout, machine: &Machine, folder: &Path) -> String {
    let tolerated = u32::from(layout.control_addresses().len() >= FAULT_TOLERANT_MEMBERS_MIN);
    let mut text = general(layout, machine);
    if machine.class == MachineClass::Core {
        // The path of the system's temporary folder is arbitrary, so it is escaped as a TOML string.
        let data_dir = toml::Value::from(folder.join(&machine.name).display().to_string());
        text.push_str(&format!("data_dir = {data_dir}\n"));
    }
    text.push_str("[zones]\nlocal = \"local\"\n[bind_addrs]\n");
    text.push_str(&bind_addresses(machine));
    text.push_str(&format!(
        "[fault_tolerance]\nmachines = {tolerated}\n[bounds]\ngrace_s = 2\n"
    ));
    text
}

fn general(layout: &Layout, machine: &Machine) -> String {
    let class = machine.class.name();
    let seeds: Vec<String> = layout
        .control_addresses()
        .iter()
        .map(|seed| format!("\"{seed}\""))
        .collect();
    format!(
        "node_name = \"{}\"\nrole = \"{class}\"\nmachine_class = \"{class}\"\nserves = [\"{}\"]\n\
         ip = \"{}\"\nzone = \"local\"\nregion = \"local\"\nport_range = [{INTERNAL_PORT},{INTERNAL_PORT_LAST}]\n\
         seed_nodes = [{}]\nbootstrap = true\nheartbeat_ms = 500\n",
        machine.name,
        machine.class.serves(),
        machine.ip,
        seeds.join(","),
    )
}

fn bind_addresses(machine: &Machine) -> String {
    match machine.class {
        MachineClass::Edge => format!(
            "frontend = \"{}\"\nreadiness = \"{}\"\n",
            machine.frontend(),
            machine.readiness()
        ),
        MachineClass::Core | MachineClass::Side => {
            format!("control_plane = \"{}\"\n", machine.control())
        }
    }
}
