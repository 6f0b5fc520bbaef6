//! Tests of the core member without sockets: of single components, of one member, and of a simulated cluster.

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
