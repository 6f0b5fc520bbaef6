//! Tests of the command line of `indigofold-control`.

use indigofold_control_plane::command_line::{Command, parse};
use log::LevelFilter;
use rstest::rstest;
use std::ffi::OsString;

fn arguments(text: &str) -> Vec<OsString> {
    text.split_whitespace().map(OsString::from).collect()
}

#[rstest]
#[case("", Command::Run { log_level: LevelFilter::Info })]
#[case("--log-level debug", Command::Run { log_level: LevelFilter::Debug })]
#[case("--help", Command::Help)]
#[case("-V", Command::Version)]
fn parses_valid_arguments(#[case] text: &str, #[case] command: Command) {
    assert_eq!(
        parse(arguments(text)).expect("the arguments are valid"),
        command
    );
}

#[rstest]
#[case("--log-level loud", "trace are allowed")]
#[case("--log-level", "--log-level")]
#[case("run", "`run` is not understood")]
fn error_names_the_invalid_argument(#[case] text: &str, #[case] expected: &str) {
    let error = parse(arguments(text))
        .expect_err("the arguments are invalid")
        .to_string();
    assert!(error.contains(expected), "{error}");
}
