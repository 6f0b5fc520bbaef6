//! The real scheduler: one program on sockets round the decision module.

fn main() {}
