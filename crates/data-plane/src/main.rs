//! `indigofold-data`: the edge or the node agent, as the settings say.

use std::process::ExitCode;

fn main() -> ExitCode {
    indigofold_data_plane::program::run(std::env::args_os().skip(1).collect())
}
