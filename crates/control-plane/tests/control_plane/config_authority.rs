//! Tests of which configuration changes are accepted, and of the response to each.

use crate::builders::{config_text, put};
use indigofold_control_plane::config_authority::{
    CONFIG_KEY, ChangeResponse, ConfigAuthority, ConfigChange, ConfigEffect, ConfigMethod,
    OperatorCallId, REMEMBERED_CHANGES_MAX,
};
use indigofold_replication::RowChange;
use rstest::rstest;
use std::collections::BTreeMap;

/// Returns a change from `base_version` to a configuration with this version and this timeout.
fn put_version(base_version: u64, version: u64, timeout_ms: u64) -> ConfigChange {
    put(base_version, &config_text(version, timeout_ms))
}

fn patch(base_version: u64, body: &str) -> ConfigChange {
    let if_match = Some(base_version.to_string());
    ConfigChange {
        method: ConfigMethod::Patch,
        if_match,
        body: body.as_bytes().to_vec(),
    }
}

/// An authority, the rows of its committed writes, and the effects that it has returned.
#[derive(Default)]
struct TestAuthority {
    authority: ConfigAuthority,
    rows: BTreeMap<String, Vec<u8>>,
    /// Requested writes that are not committed, oldest first.
    pending_writes: Vec<Vec<RowChange>>,
    /// Responses with the ID of their request, in order.
    responses: Vec<(u64, ChangeResponse)>,
    /// Versions that came into force, in order.
    activated: Vec<u64>,
}

impl TestAuthority {
    fn apply_effects(&mut self, effects: Vec<ConfigEffect>) {
        for effect in effects {
            match effect {
                ConfigEffect::Write(rows) => self.pending_writes.push(rows),
                ConfigEffect::Activated(config) => self.activated.push(config.version),
                ConfigEffect::Respond(call, response) => self.responses.push((call.0, response)),
            }
        }
    }

    fn change(&mut self, call: u64, change: ConfigChange) {
        let mut effects = Vec::new();
        self.authority
            .handle_change(OperatorCallId(call), change, &mut effects);
        self.apply_effects(effects);
    }

    fn commit(&mut self) {
        for row in self.pending_writes.remove(0) {
            let key = String::from_utf8(row.key).expect("the key is UTF-8");
            match row.value {
                Some(value) => drop(self.rows.insert(key, value)),
                None => drop(self.rows.remove(&key)),
            }
        }
        let mut effects = Vec::new();
        self.authority.committed(&mut effects);
        self.apply_effects(effects);
    }

    /// Sends a change, commits its write if there is one, and returns the response.
    fn change_and_commit(&mut self, change: ConfigChange) -> ChangeResponse {
        self.responses.clear();
        self.change(0, change);
        if !self.pending_writes.is_empty() {
            self.commit();
        }
        self.responses.remove(0).1
    }

    /// Returns the authority of the next head, loaded from the committed rows.
    fn successor(self) -> TestAuthority {
        let rows = self
            .rows
            .iter()
            .map(|(key, value)| (key.as_str(), value.as_slice()));
        let authority =
            ConfigAuthority::load(rows).expect("rows of another authority can be loaded");
        TestAuthority {
            authority,
            rows: self.rows,
            ..TestAuthority::default()
        }
    }
}

#[test]
fn change_is_acknowledged_and_activated_only_after_its_commit() {
    let mut test = TestAuthority::default();
    test.change(1, put_version(0, 5, 1000));
    assert!(
        test.responses.is_empty() && test.activated.is_empty() && test.authority.text().is_none()
    );
    test.commit();
    assert_eq!(
        test.responses,
        [(1, ChangeResponse::Accepted { version: 5 })]
    );
    assert_eq!(test.activated, [5]);
    assert_eq!(test.authority.text(), Some(config_text(5, 1000).as_bytes()));
}

#[test]
fn first_of_two_changes_on_one_version_wins() {
    let mut test = TestAuthority::default();
    test.change(1, put_version(0, 5, 1000));
    test.change(2, put_version(0, 5, 2000));
    test.change(3, put_version(0, 6, 1000));
    assert_eq!(test.pending_writes.len(), 1);
    test.commit();
    let conflict = ChangeResponse::VersionConflict { current: 5 };
    assert_eq!(
        test.responses,
        [
            (1, ChangeResponse::Accepted { version: 5 }),
            (2, conflict.clone()),
            (3, conflict)
        ]
    );
    assert!(test.pending_writes.is_empty());
}

#[test]
fn duplicate_change_is_decided_after_the_write_of_the_first() {
    let mut test = TestAuthority::default();
    test.change(1, put_version(0, 5, 1000));
    test.change(2, put_version(0, 5, 1000));
    assert!(test.responses.is_empty());
    test.commit();
    let accepted = ChangeResponse::Accepted { version: 5 };
    assert_eq!(test.responses, [(1, accepted.clone()), (2, accepted)]);
    assert_eq!(test.activated, [5]);
}

#[test]
fn change_on_the_pending_version_is_accepted_after_its_commit() {
    let mut test = TestAuthority::default();
    test.change(1, put_version(0, 5, 1000));
    test.change(2, put_version(5, 8, 1000));
    test.commit();
    assert_eq!(test.pending_writes.len(), 1);
    test.commit();
    assert_eq!(
        test.responses,
        [
            (1, ChangeResponse::Accepted { version: 5 }),
            (2, ChangeResponse::Accepted { version: 8 })
        ]
    );
}

#[rstest]
#[case::at_the_same_head(false)]
#[case::at_a_successor(true)]
fn accepted_change_is_acknowledged_on_retry_after_later_changes(#[case] at_successor: bool) {
    let mut test = TestAuthority::default();
    assert_eq!(
        test.change_and_commit(put_version(0, 5, 1000)),
        ChangeResponse::Accepted { version: 5 }
    );
    assert_eq!(
        test.change_and_commit(put_version(5, 9, 1000)),
        ChangeResponse::Accepted { version: 9 }
    );
    let mut test = if at_successor { test.successor() } else { test };
    assert_eq!(
        test.change_and_commit(put_version(0, 5, 1000)),
        ChangeResponse::Accepted { version: 5 }
    );
    assert_eq!(test.authority.version(), 9);
    assert_eq!(
        test.change_and_commit(put_version(0, 5, 1001)),
        ChangeResponse::VersionConflict { current: 9 }
    );
}

#[rstest]
#[case::no_json(put(5, "{"))]
#[case::no_header(ConfigChange { if_match: None, ..put_version(5, 9, 1000) })]
#[case::header_without_number(ConfigChange { if_match: Some("*".to_owned()), ..put_version(5, 9, 1000) })]
#[case::timeout_zero(put_version(5, 9, 0))]
#[case::version_not_higher(put_version(5, 5, 1001))]
#[case::unknown_service(put(5, &config_text(9, 1000).replace(r#""backend":"s""#, r#""backend":"t""#)))]
#[case::patch_without_version(patch(5, r#"{"remove":{"routes":["r"]}}"#))]
fn invalid_change_is_rejected_without_effect(#[case] change: ConfigChange) {
    let mut test = TestAuthority::default();
    test.change_and_commit(put_version(0, 5, 1000));
    let response = test.change_and_commit(change);
    assert!(
        matches!(&response, ChangeResponse::Invalid { reason } if !reason.is_empty()),
        "{response:?}"
    );
    assert_eq!(test.activated, [5]);
}

#[test]
fn if_match_version_may_be_quoted() {
    let mut test = TestAuthority::default();
    let quoted = ConfigChange {
        if_match: Some("\"0\"".to_owned()),
        ..put_version(0, 5, 1000)
    };
    assert_eq!(
        test.change_and_commit(quoted),
        ChangeResponse::Accepted { version: 5 }
    );
    assert_eq!(
        test.change_and_commit(put_version(0, 5, 1000)),
        ChangeResponse::Accepted { version: 5 }
    );
}

#[test]
fn patch_changes_the_items_it_names() {
    let mut test = TestAuthority::default();
    test.change_and_commit(put_version(0, 5, 1000));
    let change = config_text(5, 2000);
    let route = &change[change.find("[{").unwrap_or(0)..=change.find("}]").unwrap_or(0) + 1];
    let body = format!(r#"{{"version":7,"upsert":{{"routes":{route}}}}}"#);
    assert_eq!(
        test.change_and_commit(patch(5, &body)),
        ChangeResponse::Accepted { version: 7 }
    );
    let config = test
        .authority
        .config()
        .expect("a configuration is in force");
    assert_eq!(
        (
            config.version,
            config.routes.len(),
            config.routes[0].timeout_ms
        ),
        (7, 1, 2000)
    );
    assert_eq!(
        test.change_and_commit(patch(5, &body)),
        ChangeResponse::Accepted { version: 7 }
    );
}

#[test]
fn changes_are_undetermined_after_the_head_is_lost() {
    let mut test = TestAuthority::default();
    test.change(1, put_version(0, 5, 1000));
    test.change(2, put_version(0, 5, 1000));
    test.change(3, put_version(0, 6, 1000));
    let mut effects = Vec::new();
    test.authority.aborted(&mut effects);
    test.apply_effects(effects);
    assert_eq!(
        test.responses,
        [
            (1, ChangeResponse::Undetermined),
            (2, ChangeResponse::Undetermined),
            (3, ChangeResponse::Undetermined)
        ]
    );
    assert!(test.activated.is_empty());
}

#[test]
fn only_the_newest_changes_are_remembered() {
    let mut test = TestAuthority::default();
    let last = REMEMBERED_CHANGES_MAX as u64 + 1;
    for version in 1..=last {
        assert_eq!(
            test.change_and_commit(put_version(version - 1, version, 1000)),
            ChangeResponse::Accepted { version }
        );
    }
    assert_eq!(test.rows.len(), REMEMBERED_CHANGES_MAX + 1);
    assert_eq!(
        test.rows.get(CONFIG_KEY),
        Some(&config_text(last, 1000).into_bytes())
    );
    // The first change was accepted and then forgotten: it must not be rejected.
    assert_eq!(
        test.change_and_commit(put_version(0, 1, 1000)),
        ChangeResponse::Forgotten { remembered_from: 2 }
    );
    // All accepted changes to version 2 are remembered, and this change is not one of them: it can be rejected.
    assert_eq!(
        test.change_and_commit(put_version(2, 3, 2000)),
        ChangeResponse::VersionConflict { current: last }
    );
    assert_eq!(
        test.change_and_commit(put_version(1, 2, 1000)),
        ChangeResponse::Accepted { version: 2 }
    );
}

#[test]
fn damaged_row_is_an_error() {
    assert!(ConfigAuthority::load([("order/ab", b"x".as_slice())]).is_err());
    assert!(ConfigAuthority::load([(CONFIG_KEY, b"{".as_slice())]).is_err());
    assert!(ConfigAuthority::load([("job/0", b"x".as_slice())]).is_ok());
}
