//! `indigofold-control`: the process of a core member.

use std::process::ExitCode;

fn main() -> ExitCode {
    indigofold_control_plane::program::run(std::env::args_os().skip(1).collect())
}
