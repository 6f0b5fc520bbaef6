//! The simulator's text protocol: round trips, invalid input, and the adapter program run as a process.

use indigofold::wire::Session;
use proptest::prelude::*;
use std::io::Write;
use std::process::{Command, Output, Stdio};

const ENV: &str = r#"{"balancers":2,"me":0,"myZone":"b","zones":["a","b"],"kinds":["k0","k1"],"discovery":"on_request","granularity":5000,"customers":[{"name":"t0","quotaPerS":5,"fraction":1}],"profiles":[{"name":"read","aim":400000,"deadline":6000000,"effect":"safe","worth":1,"lateWorth":0.3},{"name":"pay","aim":400000,"deadline":6000000,"effect":"unsafe","worth":5}],"policyLimits":{"attemptsCap":3,"cancel":true,"mayDuplicate":true},"rules":{"answerSlack":20000,"askWithin":10000000,"coldFrom":0.3,"warmAfter":8000000,"drainGrace":500000,"tipMultiple":3,"overloadFor":1000000},"telemetry":{"source":"inline"},"domain":{"tellsStart":true,"classStretch":[2.5,2.5],"reportX0":"free slots"},"somethingNew":[1]}"#;

fn boot(session: &mut Session, extra: &[&str]) -> Result<String, String> {
    let boot = format!("BOOT randomSeed=77 env={ENV}");
    let mut lines = vec![
        "TICK wall=1000",
        "INSTANCE who=3",
        &boot,
        "REGISTRY scope=C index=1 hosts=2",
    ];
    lines.push("ROW worker=11 dc=b machine=k0 stripe=0 stageState=active powerHint=1");
    lines.push(
        "ROW worker=4000000000 dc=a machine=k1 stripe=1 stageState=active powerHint=1.5 readyAt=5",
    );
    lines.extend(extra);
    feed(session, &lines)
}

fn feed(session: &mut Session, lines: &[&str]) -> Result<String, String> {
    let mut replies = String::new();
    for line in lines {
        if let Some(reply) = session.feed(line).map_err(|e| e.to_string())? {
            replies.push_str(&reply);
        }
    }
    Ok(replies)
}

#[test]
fn empty_batches_are_answered() {
    let mut s = Session::new();
    assert_eq!(
        feed(&mut s, &["TICK wall=5", "EOB", "TICK wall=6", "EOB"]).as_deref(),
        Ok("OK\nOK\n")
    );
    assert!(s.finish().is_ok());
}

#[test]
fn a_request_is_assigned_and_its_ids_return_unaltered() {
    let mut s = Session::new();
    let reply = boot(
        &mut s,
        &[
            "ACCEPT requestId=c:zq7 type=read realm=t0 left=6000000 needs=1 mem=0.5",
            "EOB",
        ],
    );
    let reply = reply.expect("the input must be accepted");
    assert!(reply.starts_with("FOR who=3\nSET_TIMER when="), "{reply}");
    assert!(
        reply.contains("KEEP_INFORMED enable=1\n") && reply.ends_with("OK\n"),
        "{reply}"
    );
    let line = reply
        .lines()
        .find(|l| l.starts_with("ASSIGN requestId=c:zq7 worker="))
        .expect("the request must be assigned");
    let worker = line
        .rsplit('=')
        .next()
        .expect("the line must end with a worker");
    assert!(worker == "11" || worker == "4000000000");
    let start = format!("HINT_UPDATE requestId=c:zq7 trial=0 worker={worker} what=1");
    let end = format!(
        "RESOLVED requestId=c:zq7 trial=0 worker={worker} result=S timeTaken=9 over=1 feedback=served_ps:1,x0:2"
    );
    let lines = [
        "TICK wall=2000",
        "INSTANCE who=3",
        &start,
        &end,
        "DROPPED requestId=c:zq7",
        "EOB",
    ];
    assert_eq!(feed(&mut s, &lines).as_deref(), Ok("OK\n"));
}

#[test]
fn refusals_and_failures_are_encoded() {
    let mut s = Session::new();
    let lines = ["ACCEPT requestId=c:a type=pay left=0", "EOB"];
    assert!(
        boot(&mut s, &lines)
            .expect("the input must be accepted")
            .contains("PUSH_BACK requestId=c:a\n")
    );
    let lines = [
        "TICK wall=2000",
        "INSTANCE who=3",
        "ACCEPT requestId=c:b type=pay left=5000000",
        "EOB",
    ];
    let reply = feed(&mut s, &lines).expect("the input must be accepted");
    let worker = reply
        .lines()
        .find_map(|l| l.strip_prefix("ASSIGN requestId=c:b worker="))
        .expect("the request must be assigned");
    let end =
        format!("RESOLVED requestId=c:b trial=0 worker={worker} result=E timeTaken=9 feedback=-");
    let lines = ["TICK wall=3000", "INSTANCE who=3", &end, "EOB"];
    assert!(
        feed(&mut s, &lines)
            .expect("the input must be accepted")
            .contains("SURRENDER requestId=c:b\n")
    );
}

#[test]
fn instances_are_isolated_and_a_stopped_one_restarts_empty() {
    let mut s = Session::new();
    boot(&mut s, &["EOB"]).expect("the input must be accepted");
    let again = format!("BOOT randomSeed=1 env={ENV}");
    let lines = [
        "TICK wall=2000",
        "INSTANCE who=3",
        "CRASH_NOW",
        "ACCEPT requestId=c:a type=read left=0",
        &again,
        "REGISTRY scope=C index=1 hosts=0",
        "ACCEPT requestId=c:a type=read left=0",
        "INSTANCE who=9",
        "DUE name=1",
        "EOB",
    ];
    let reply = feed(&mut s, &lines).expect("the input must be accepted");
    assert_eq!(
        reply.matches("PUSH_BACK requestId=c:a").count(),
        1,
        "{reply}"
    );
    assert_eq!(reply.matches("FOR who=").count(), 1, "{reply}");
    assert_eq!(
        s.take_warnings()
            .iter()
            .filter(|n| n.contains("not started"))
            .count(),
        2
    );
}

#[test]
fn unknown_messages_fields_and_values_are_skipped_with_one_warning_each() {
    let mut s = Session::new();
    let lines = [
        "NEWS what=1",
        "NEWS what=2",
        "DUE name=1 colour=red",
        "ECHO worker=11 result=S timeTaken=3 feedback=mood:3,x0:1,x1:9",
        "EOB",
    ];
    assert!(boot(&mut s, &lines).is_ok());
    let warnings = s.take_warnings();
    assert_eq!(warnings.len(), 2, "{warnings:?}");
    assert!(warnings[0].contains("NEWS") && warnings[1].contains("colour"));
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, in the order in which it happens"
)]
fn errors_of_malformed_input_name_the_position_and_the_field() {
    for (line, what) in [
        ("ACCEPT type=read left=5", "requestId"),
        ("ACCEPT requestId=c:a type=read", "left"),
        ("ACCEPT requestId=c:a type=read left=soon", "integer"),
        ("ACCEPT requestId=c:a type=read left=5 needs=NaN", "number"),
        ("ACCEPT requestId", "name=value"),
        (
            "RESOLVED requestId=c:a trial=0 worker=1 result=Q timeTaken=1",
            "result",
        ),
        (
            "RESOLVED requestId=c:a trial=-1 worker=1 result=S timeTaken=1",
            "trial",
        ),
        (
            "RESOLVED requestId=c:a trial=0 worker=1 result=S timeTaken=1 feedback=x0",
            "feedback",
        ),
        ("DUE name=-3", "whole number"),
        ("ECHO result=S timeTaken=1", "worker"),
        ("MAIL originPeer=1 content=%%%", "base64"),
        ("REGISTRY scope=Z index=1 hosts=0", "scope"),
        (
            "ROW worker=1 dc=a machine=k0 stripe=0 stageState=active",
            "ROW outside",
        ),
        ("HINT_UPDATE requestId=c:a trial=0 worker=1", "what"),
        ("BOOT randomSeed=1 env={", "JSON"),
        ("BOOT randomSeed=1 env={}", "lack"),
        ("BOOT env={}", "randomSeed"),
        ("TICK wall=7", "EOB"),
    ] {
        let mut s = Session::new();
        let error = boot(&mut s, &[line]).expect_err(line);
        assert!(
            error.starts_with("line 7: ") && error.contains(what),
            "{line}: {error}"
        );
    }
    let mut s = Session::new();
    let error = boot(&mut s, &["REGISTRY scope=F index=2 hosts=2", "DUE name=1"])
        .expect_err("missing rows must be rejected");
    assert!(
        error.starts_with("line 8: ") && error.contains("ROW"),
        "{error}"
    );
    for line in ["EOB", "INSTANCE who=1", "DUE name=1"] {
        let error = feed(&mut Session::new(), &[line]).expect_err(line);
        assert!(error.contains("outside a batch"), "{error}");
    }
    let error = feed(&mut Session::new(), &["TICK wall=1", "DUE name=1"])
        .expect_err("DUE before any INSTANCE must be rejected");
    assert!(error.contains("before any INSTANCE"), "{error}");
}

fn adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_indigofold-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("cannot start the adapter");
    let mut stdin = child.stdin.take().expect("stdin must be piped");
    // Some tests expect the adapter to exit before it has read all of its input, so a failed write is ignored.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child
        .wait_with_output()
        .expect("cannot wait for the adapter")
}

#[test]
fn the_adapter_answers_and_exits_at_end_of_input() {
    let out = adapter("TICK wall=1\nEOB\n\nTICK wall=2\nEOB\n");
    assert!(out.status.success());
    assert_eq!(String::from_utf8_lossy(&out.stdout), "OK\nOK\n");
    assert!(out.stderr.is_empty());
}

#[test]
fn the_adapter_exits_with_an_error_on_bad_input() {
    for (input, what) in [
        ("TICK wall=1\n", "line 1: input ended inside a batch"),
        ("TICK wall=1\nEOB\nEOB\n", "line 3: EOB outside a batch"),
        (
            "TICK wall=x\n",
            "line 1: TICK: field 'wall' must be an integer",
        ),
    ] {
        let out = adapter(input);
        let err = String::from_utf8_lossy(&out.stderr).to_string();
        assert!(
            !out.status.success() && err.lines().count() == 1 && err.contains(what),
            "{input}: {err}"
        );
    }
}

#[test]
fn instances_act_alike_in_one_process_or_two() {
    let batch = |who: &str| {
        let mut text = format!("TICK wall=1000\nINSTANCE who={who}\nBOOT randomSeed=5 env={ENV}\n");
        text.push_str("REGISTRY scope=C index=1 hosts=1\n");
        text.push_str("ROW worker=11 dc=b machine=k0 stripe=0 stageState=active powerHint=1\n");
        for i in 0..20 {
            text.push_str(&format!("ACCEPT requestId=c:{i} type=read left=6000000\n"));
        }
        text
    };
    let alone = String::from_utf8(adapter(&(batch("1") + "EOB\n")).stdout)
        .expect("the output must be UTF-8");
    let both = batch("1") + &batch("2").replacen("TICK wall=1000\n", "", 1) + "EOB\n";
    let both = String::from_utf8(adapter(&both).stdout).expect("the output must be UTF-8");
    let second = alone.replace("FOR who=1", "FOR who=2");
    assert_eq!(both, alone.replace("OK\n", "") + &second);
}

#[test]
fn peer_messages_survive_a_round_trip() {
    let mut s = Session::new();
    let env = ENV.replace(
        r#""mayDuplicate":true"#,
        r#""mayDuplicate":true,"peers":true"#,
    );
    let boot = format!("BOOT randomSeed=77 env={env}");
    let lines = [
        "TICK wall=1000",
        "INSTANCE who=3",
        &boot,
        "REGISTRY scope=C index=1 hosts=1",
        "ROW worker=4000000000 dc=b machine=k0 stripe=0 stageState=active",
        "ACCEPT requestId=c:a type=read left=6000000",
        "EOB",
        "TICK wall=26000",
        "INSTANCE who=3",
        "DUE name=1",
        "MAIL originPeer=1 content=-",
        "MAIL originPeer=1 content=AChr7gE=",
        "EOB",
    ];
    let reply = feed(&mut s, &lines).expect("the input must be accepted");
    assert!(
        reply.contains("SAY neighbourId=-1 content=AChr7gE=\n"),
        "{reply}"
    );
}

/// A valid line of each message, to be damaged by the property test.
const LEGAL: [&str; 12] = [
    "ACCEPT requestId=c:zq7 type=read realm=t0 left=6000000 needs=1 mem=0.5",
    "HINT_UPDATE requestId=c:zq7 trial=0 worker=11 what=1 level=0",
    "RESOLVED requestId=c:zq7 trial=0 worker=11 result=S timeTaken=9 over=1 feedback=served_ps:1,x0:2",
    "RESOLVED requestId=c:zq7 trial=0 worker=11 result=F timeTaken=9",
    "DROPPED requestId=c:zq7",
    "DUE name=1",
    "ECHO worker=11 result=S timeTaken=1014 feedback=x0:2.5",
    "MAIL originPeer=1 content=AAEC",
    "REGISTRY scope=D index=2 hosts=1",
    "ROW worker=12 dc=a machine=k1 stripe=1 stageState=leaving powerHint=1.5",
    "INSTANCE who=3",
    "EOB",
];

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), cases: 400, ..ProptestConfig::default() })]
    /// Cut, doubled and overwritten lines are either accepted or rejected with a one-line error; they never cause a fault.
    #[test]
    fn damaged_input_is_accepted_or_rejected_with_its_position(
        damage in prop::collection::vec((0..LEGAL.len(), 0usize..120, 0u8..4, any::<char>()), 1..12),
    ) {
        let mut s = Session::new();
        prop_assert!(boot(&mut s, &[]).is_ok());
        for (n, (line, at, how, with)) in damage.into_iter().enumerate() {
            let mut chars: Vec<char> = LEGAL[line].chars().collect();
            let at = at % chars.len();
            match how {
                0 => chars.truncate(at),
                1 => chars[at] = if with == '\n' { ' ' } else { with },
                2 => chars.extend_from_within(at..),
                _ => {}
            }
            let line: String = chars.into_iter().collect();
            match s.feed(&line) {
                Ok(reply) => prop_assert!(!reply.unwrap_or_default().contains("FAULT"), "{line}"),
                Err(error) => {
                    prop_assert_eq!(error.line, 7 + n as u64, "{}", line);
                    let message = error.source.to_string();
                    prop_assert!(!message.is_empty() && !message.contains('\n'), "{}", error);
                    return Ok(());
                }
            }
        }
    }
}

/// Optional rules are accepted if valid; otherwise the error is one line that names the input line and the key.
#[test]
fn optional_rules_must_be_nonnegative_numbers() {
    let with = |extra: &str| {
        let env = ENV.replace("\"overloadFor\"", &format!("{extra}\"overloadFor\""));
        let boot = format!("BOOT randomSeed=77 env={env}");
        feed(
            &mut Session::new(),
            &["TICK wall=1000", "INSTANCE who=3", &boot, "EOB"],
        )
    };
    for right in [
        "",
        "\"freeResends\":5,\"resendRatio\":0.1,\"countedOver\":10000000,",
        "\"resendRatio\":0.1,",
        "\"letGoIn\":800000,\"fullMayHaveRun\":true,",
        "\"fullMayHaveRun\":false,",
    ] {
        assert_eq!(with(right).as_deref(), Ok("OK\n"), "{right}");
    }
    for (key, wrong) in [
        ("freeResends", "-1"),
        ("resendRatio", "\"few\""),
        ("countedOver", "null"),
        ("letGoIn", "[1]"),
        ("letGoIn", "-800000"),
        ("fullMayHaveRun", "\"yes\""),
        ("fullMayHaveRun", "1"),
    ] {
        let error = with(&format!("\"{key}\":{wrong},")).expect_err(key);
        assert!(
            error.starts_with("line 3: ") && error.contains(key) && !error.contains('\n'),
            "{error}"
        );
    }
}

#[test]
fn a_resend_budget_is_enforced_and_connections_to_a_draining_worker_are_closed() {
    let extra_rules =
        "\"freeResends\":0,\"letGoIn\":800000,\"fullMayHaveRun\":true,\"overloadFor\"";
    let boot = format!(
        "BOOT randomSeed=77 env={}",
        ENV.replace("\"overloadFor\"", extra_rules)
    );
    let mut s = Session::new();
    let row = "ROW worker=11 dc=b machine=k0 stripe=0 powerHint=1 stageState=";
    let lines = [
        "TICK wall=1000",
        "INSTANCE who=3",
        &boot,
        "REGISTRY scope=C index=1 hosts=1",
        &format!("{row}active"),
        "ACCEPT requestId=c:a type=read realm=t0 left=6000000",
        "EOB",
    ];
    assert!(
        feed(&mut s, &lines)
            .expect("the input must be accepted")
            .contains("ASSIGN requestId=c:a worker=11\n")
    );
    let end = "RESOLVED requestId=c:a trial=0 worker=11 result=F timeTaken=9";
    let lines = [
        "TICK wall=2000",
        "INSTANCE who=3",
        "REGISTRY scope=D index=2 hosts=1",
    ];
    let reply = feed(
        &mut s,
        &[&lines[..], &[&format!("{row}leaving"), end, "EOB"]].concat(),
    )
    .expect("the input must be accepted");
    assert_eq!(
        reply.matches("DISCONNECT worker=11\n").count(),
        1,
        "after the outcome"
    );
    assert!(
        reply.contains("PUSH_BACK requestId=c:a\n") && !reply.contains("ASSIGN"),
        "{reply}"
    );
}
