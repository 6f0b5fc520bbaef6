//! Runs the tool's program against real daemons on loopback addresses.

use indigofold_ctl::quickstart::{Options, Programs, run};
use rstest::rstest;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Output, Stdio};

const JOB: &str = "00000000000000f1";

fn programs() -> Programs {
    Programs {
        control: env!("CARGO_BIN_EXE_ctl-test-control").into(),
        data: env!("CARGO_BIN_EXE_ctl-test-data").into(),
        are_this_program: false,
    }
}

fn run_tool(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_indigofold-ctl"))
        .args(arguments)
        .output()
        .expect("the tool can be run")
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// A folder with links to the daemons' programs under their usual names.
fn program_folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let Programs { control, data, .. } = programs();
    let link = |from: &Path, to: &str| std::os::unix::fs::symlink(from, folder.path().join(to));
    link(&control, "indigofold-control")
        .and(link(&data, "indigofold-data"))
        .expect("the programs can be linked");
    folder
}

/// A running `quickstart` that serves until it is interrupted.
struct RunningQuickstart {
    child: Child,
    printed: Vec<String>,
    /// Kept open so that the tool can go on writing to its standard output.
    output: BufReader<ChildStdout>,
}

impl RunningQuickstart {
    fn start(programs: &Path) -> RunningQuickstart {
        let mut child = Command::new(env!("CARGO_BIN_EXE_indigofold-ctl"))
            .args(["quickstart", "--programs"])
            .arg(programs)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the tool can be started");
        let mut printed: Vec<String> = Vec::new();
        let mut output = BufReader::new(child.stdout.take().expect("standard output is piped"));
        for text in output.by_ref().lines() {
            printed.push(text.expect("the output is UTF-8 text"));
            if printed
                .last()
                .is_some_and(|text| text.contains("status --at"))
            {
                break;
            }
        }
        RunningQuickstart {
            child,
            printed,
            output,
        }
    }

    fn member_addresses(&self) -> String {
        let command = self
            .printed
            .iter()
            .find_map(|text| text.split_once("status --at "));
        command
            .unwrap_or_else(|| {
                panic!(
                    "no `status --at` in the output of quickstart: {:?}",
                    self.printed
                )
            })
            .1
            .to_owned()
    }

    /// Sends SIGINT, as Ctrl-C does, and checks that the tool ends its daemons and exits with 0.
    fn interrupt(&mut self) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, rustix::process::Signal::INT)
            .expect("SIGINT can be sent");
        assert_eq!(
            self.child
                .wait()
                .expect("the tool can be waited for")
                .code(),
            Some(0)
        );
        let mut rest = String::new();
        self.output
            .read_to_string(&mut rest)
            .expect("the output is UTF-8 text");
        assert!(rest.ends_with("all processes have ended\n"), "{rest}");
    }
}

impl Drop for RunningQuickstart {
    fn drop(&mut self) {
        let pid = rustix::process::Pid::from_child(&self.child);
        if matches!(self.child.try_wait(), Ok(None)) {
            // The tool ends its daemons on SIGTERM; after SIGKILL they would go on running.
            let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
            let _ = self.child.wait();
        }
    }
}

#[rstest]
#[case::one_member(1)]
#[case::three_members(3)]
fn quickstart_runs_a_job_to_its_end(#[case] members: usize) {
    // The loopback network is derived from the tool's process id, so that cases running in parallel do not collide.
    let folder = program_folder();
    let programs = folder.path().display().to_string();
    let output = run_tool(&[
        "quickstart",
        "--once",
        "--members",
        &members.to_string(),
        "--programs",
        &programs,
    ]);
    let printed = stdout_text(&output);
    assert_eq!(
        output.status.code(),
        Some(0),
        "{printed}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(
        printed.contains(&format!("job {JOB} is completed")),
        "{printed}"
    );
    assert_eq!(
        printed
            .lines()
            .filter(|text| text.starts_with("started core-"))
            .count(),
        members
    );
}

#[test]
fn a_serving_cluster_can_be_inspected_and_ends_on_an_interrupt() {
    let folder = program_folder();
    let mut serving = RunningQuickstart::start(folder.path());
    let addresses = serving.member_addresses();
    let status = run_tool(&["status", "--at", &addresses]);
    let printed = stdout_text(&status);
    assert_eq!(status.status.code(), Some(0), "{printed}");
    for expected in [
        "head:    core-1",
        "configuration: version 1",
        "2 companions, 1 edges",
        "1 completed",
    ] {
        assert!(
            printed.contains(expected),
            "`{expected}` is missing: {printed}"
        );
    }
    let json: serde_json::Value =
        serde_json::from_slice(&run_tool(&["--json", "status", "--at", &addresses]).stdout)
            .expect("status prints JSON");
    assert_eq!(
        (&json["ok"], &json["report"]["members"][0]["acting"]),
        (&true.into(), &true.into())
    );
    let job = run_tool(&["job", JOB, "--at", &addresses]);
    assert!(
        stdout_text(&job).contains("completed") && job.status.success(),
        "{}",
        stdout_text(&job)
    );
    let unknown = run_tool(&["job", "00000000000000ff", "--at", &addresses]);
    assert_eq!(unknown.status.code(), Some(1));
    serving.interrupt();
    assert_eq!(
        run_tool(&["status", "--at", &addresses]).status.code(),
        Some(3)
    );
}

/// `quickstart` must be able to start a cluster with the tool's program alone, so that one command on a fresh clone
/// starts it and no other program has to be built first.
#[test]
fn quickstart_needs_no_program_beside_the_tool() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let alone = folder.path().join("indigofold-ctl");
    std::fs::copy(env!("CARGO_BIN_EXE_indigofold-ctl"), &alone).expect("the tool can be copied");
    let output = Command::new(&alone).args(["quickstart", "--once"]).output();
    let output = output.expect("the tool can be run");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(
        stdout_text(&output).to_lowercase().contains("completed"),
        "{}",
        stdout_text(&output)
    );
}

#[rstest]
#[case::unknown("edge", 2, "unknown daemon `edge`: `control` or `data` is expected")]
#[case::control_without_settings("control", 2, "indigofold-control: ")]
#[case::data_without_settings("data", 2, "indigofold-data: ")]
fn the_daemon_argument_selects_the_daemon(
    #[case] daemon: &str,
    #[case] code: i32,
    #[case] message: &str,
) {
    let output = Command::new(env!("CARGO_BIN_EXE_indigofold-ctl"))
        .args(["daemon", daemon])
        .env_remove("INDIGOFOLD_CONFIG")
        .output()
        .expect("the tool can be run");
    assert_eq!(output.status.code(), Some(code));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains(message), "{error}");
}

#[test]
fn an_error_names_the_missing_program() {
    let programs = Programs::in_folder(&PathBuf::from("/nowhere"));
    let options = Options {
        members: 1,
        once: true,
        programs,
    };
    let error = run(&options, &mut Vec::new()).expect_err("the programs are missing");
    assert!(
        error.is_input()
            && error
                .to_string()
                .contains("/nowhere/indigofold-control is missing")
    );
}

#[rstest]
#[case(&["status"], 2)]
#[case(&["status", "--at", "127.0.0.1:1"], 3)]
#[case(&["job", JOB, "--at", "127.0.0.1:1"], 3)]
#[case(&["check-deploy", "/nowhere"], 2)]
#[case(&["--version"], 0)]
#[case(&["status", "--help"], 0)]
fn the_exit_code_tells_success_bad_input_and_unreachable_members(
    #[case] arguments: &[&str],
    #[case] code: i32,
) {
    assert_eq!(run_tool(arguments).status.code(), Some(code));
}
