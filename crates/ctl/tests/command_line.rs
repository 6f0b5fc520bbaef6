//! Tests of the command line parser.

use indigofold_ctl::command_line::{Command, Verb, parse};
use indigofold_protocol::task::JobId;
use rstest::rstest;
use std::ffi::OsString;
use std::path::PathBuf;

fn arguments(text: &str) -> Vec<OsString> {
    text.split_whitespace().map(OsString::from).collect()
}

fn parse_verb(text: &str) -> Verb {
    match parse(arguments(text)) {
        Ok(Command::Run { verb, json: false }) => verb,
        other => panic!("`{text}`: a verb without --json is expected, found {other:?}"),
    }
}

#[test]
fn verbs_take_their_arguments() {
    let addresses = vec![([10, 0, 0, 1], 7380).into(), ([10, 0, 0, 2], 7380).into()];
    assert_eq!(
        parse_verb("status --at 10.0.0.1:7380,10.0.0.2:7380"),
        Verb::Status {
            addresses: addresses.clone()
        }
    );
    let job = Verb::Job {
        id: JobId(0xaa),
        addresses,
    };
    assert_eq!(
        parse_verb("job --at 10.0.0.1:7380,10.0.0.2:7380 00000000000000aa"),
        job
    );
    let check = Verb::CheckConfig {
        file: "new.json".into(),
        current: Some("now.json".into()),
    };
    assert_eq!(
        parse_verb("check-config new.json --current now.json"),
        check
    );
    let folders = ["a", "b", "c"].map(PathBuf::from).to_vec();
    assert_eq!(
        parse_verb("compare-copies a b c"),
        Verb::CompareReplicas { folders }
    );
    let Verb::Quickstart(options) = parse_verb("quickstart --members 3 --once --programs bin")
    else {
        panic!("`quickstart` is expected")
    };
    assert_eq!((options.members, options.once), (3, true));
    assert_eq!(
        options.programs.control,
        PathBuf::from("bin/indigofold-control")
    );
}

#[test]
fn the_json_option_is_accepted_at_any_position() {
    let prints_json = |text| matches!(parse(arguments(text)), Ok(Command::Run { json: true, .. }));
    assert!(prints_json("--json check-deploy a") && prints_json("check-deploy a --json"));
}

#[rstest]
#[case("--help", "Verbs:")]
#[case("status --help", "status --at")]
#[case("job -h", "job ID")]
#[case("check-config --help", "--current")]
#[case("check-settings --help", "boot.toml")]
#[case("check-deploy --help", "packages")]
#[case("compare-copies --help", "DIR DIR")]
#[case("quickstart --help", "--once")]
fn each_verb_has_its_help(#[case] command: &str, #[case] expected: &str) {
    let Ok(Command::Help(text)) = parse(arguments(command)) else {
        panic!("`{command}`: a help text is expected")
    };
    assert!(text.contains(expected), "{text}");
}

#[rstest]
#[case("", "a verb is missing")]
#[case("stats", "`stats` is no verb")]
#[case("stats --help", "`stats` is no verb")]
#[case("status", "--at")]
#[case("status --at 10.0.0.1", "`10.0.0.1` is no address")]
#[case("job --at 10.0.0.1:1", "ID is missing")]
#[case("job --at 10.0.0.1:1 7", "16 hexadecimal digits")]
#[case("check-config", "FILE is missing")]
#[case("check-deploy a b", "`b` is not understood")]
#[case("compare-copies a", "DIR is missing")]
#[case("quickstart --members 2", "1 or 3")]
fn errors_name_the_invalid_or_missing_argument(#[case] command: &str, #[case] expected: &str) {
    let error = parse(arguments(command))
        .expect_err("the command line is invalid")
        .to_string();
    assert!(error.contains(expected), "{error}");
}
