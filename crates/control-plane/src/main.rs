//! `indigofold-control`: a member of the cluster's core.

use std::process::ExitCode;

fn main() -> ExitCode {
    indigofold_control_plane::program::run(std::env::args_os().skip(1).collect())
}
