//! `indigofold-data`: runs as the edge or the node agent, depending on the settings.

use std::process::ExitCode;

fn main() -> ExitCode {
    indigofold_data_plane::program::run(std::env::args_os().skip(1).collect())
}
