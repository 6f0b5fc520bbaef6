//! Tests of the core member's process, without sockets: each part alone, one member, and a cluster of members.

mod builders;
mod cluster;
mod command_line;
mod config_authority;
mod core_member;
mod inspection;
mod operator;
mod peers;
mod simulated_cluster;
mod test_head;
mod test_node;
