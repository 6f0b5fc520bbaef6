//! Tests of a single member that receives messages one by one: which answers, stores and counts are allowed, and when.

use indigofold_protocol::internal::MemberAddress;
use indigofold_replication::message::{Grant, Heartbeat, PreVote, PreVoteReply, PrepareOk, Write};
use indigofold_replication::timing::{LEASE_MS, LEASE_USED_PERCENT};
use indigofold_replication::{
    Batch, Envelope, Input, Member, MemberRecord, Message, Output, Replica, RowChange, Settings,
    SubmissionId, View, ViewNumber, ViewStart, Viewstamp,
};
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Time of the monotonic clock when the member under test starts.
const START_MS: u64 = 10_000;
/// Number of the view on the disk of the member under test.
const VIEW: u64 = 5;
/// Sequence number of the last write of the member under test.
const SEQ: u64 = 40;
/// Time long after every lease and every waiting period that follows the start.
const AFTER_START_WAITS_MS: u64 = START_MS + 10 * LEASE_MS;

fn address(index: u8) -> MemberAddress {
    let ip = Ipv4Addr::new(10, 0, 0, index + 1);
    MemberAddress {
        node_name: format!("core-{index}"),
        internal: SocketAddr::from((ip, 7380)),
        control: SocketAddr::from((ip, 8144)),
    }
}

fn member(index: u8) -> Member {
    Member {
        internal: address(index).internal,
        disk: u64::from(index) + 1,
    }
}

fn members(indexes: &[u8]) -> Vec<Member> {
    indexes.iter().copied().map(member).collect()
}

/// Returns a view that member 0 leads, with members 0 and 1 as its chain.
fn view(number: u64, voters: &[u8], previous: &[u8]) -> View {
    View {
        number: ViewNumber(number),
        voters: members(voters),
        previous_voters: members(previous),
        chain: members(&[0, 1]),
        base: Viewstamp {
            view: ViewNumber(number - 1),
            seq: SEQ,
        },
    }
}

/// A restarted member with the outputs that it has returned.
struct Harness {
    replica: Replica,
    own_index: u8,
    now_ms: u64,
    stores: Vec<u64>,
    sent_messages: Vec<(SocketAddr, Message)>,
    other_outputs: Vec<Output>,
}

impl Harness {
    /// Starts member `own_index` with this view and the state of view [`VIEW`] on its disk.
    fn restarted(own_index: u8, view: View) -> Harness {
        let viewstamp = Viewstamp {
            view: ViewNumber(VIEW),
            seq: SEQ,
        };
        let record = MemberRecord {
            member: member(own_index),
            promised: view.number,
            agreed: true,
            viewstamp,
            history: vec![ViewStart {
                view: ViewNumber(VIEW),
                seq: 0,
            }],
            view: Some(view),
            trimmed: 0,
            addresses: (0..4).map(address).collect(),
        };
        let settings = Settings {
            address: address(own_index),
            seeds: (0..3).map(|seed| address(seed).internal).collect(),
            bootstrap: false,
            tolerated_losses: 1,
            random_seed: 1,
        };
        let replica = Replica::new(settings, Some(record), START_MS);
        Harness {
            replica,
            own_index,
            now_ms: START_MS,
            stores: Vec::new(),
            sent_messages: Vec::new(),
            other_outputs: Vec::new(),
        }
    }

    /// Like [`Harness::restarted`], at a time long after the start.
    fn after_start_waits(own_index: u8, view: View) -> Harness {
        let mut harness = Harness::restarted(own_index, view);
        harness.now_ms = AFTER_START_WAITS_MS;
        harness
    }

    fn input(&mut self, input: Input) {
        for output in self.replica.handle(self.now_ms, input) {
            match output {
                Output::Store { store, .. } => self.stores.push(store),
                Output::Send { to, envelope } => self.sent_messages.push((to, envelope.message)),
                other => self.other_outputs.push(other),
            }
        }
    }

    fn message(&mut self, from: u8, message: Message) {
        self.input(Input::Message(Envelope {
            from: member(from),
            message,
        }));
    }

    /// Completes all requested stores.
    fn store_all(&mut self) {
        while !self.stores.is_empty() {
            let store = self.stores.remove(0);
            self.input(Input::Stored { store });
        }
    }

    fn has_sent(&self, to: u8, is_expected: impl Fn(&Message) -> bool) -> bool {
        self.sent_messages
            .iter()
            .any(|(address, message)| *address == member(to).internal && is_expected(message))
    }

    /// Advances the time until the member asks for pre-votes; returns the ID of its request.
    fn run_until_pre_vote(&mut self) -> u64 {
        for _ in 0..200 {
            self.now_ms = self.replica.next_timer_ms().max(self.now_ms);
            self.input(Input::Timer);
            let newest_request_id =
                self.sent_messages
                    .iter()
                    .rev()
                    .find_map(|(_, message)| match message {
                        Message::PreVote(PreVote { request_id, .. }) => Some(*request_id),
                        _ => None,
                    });
            if let Some(request_id) = newest_request_id {
                return request_id;
            }
        }
        panic!(
            "member {} has not campaigned after 200 timers",
            self.own_index
        );
    }

    /// Passes in a prepare request of member `from`.
    fn prepare(&mut self, from: u8, number: u64, headed_view: u64) {
        let prepare = Message::Prepare {
            number: ViewNumber(number),
            headed_view: ViewNumber(headed_view),
        };
        self.message(from, prepare);
    }

    /// Passes in a report of member `from` about the viewstamp on its disk.
    fn report_stored(&mut self, from: u8, view: u64, seq: u64) {
        let view = ViewNumber(view);
        let viewstamp = Viewstamp { view, seq };
        self.message(from, Message::Stored { viewstamp });
    }

    fn grant_pre_vote(&mut self, from: u8, request_id: u64, view: &View) {
        let reply = Message::PreVoteReply(PreVoteReply {
            request_id,
            granted: true,
            promised: view.number,
            view: Some(view.clone()),
            agreed: true,
        });
        self.message(from, reply);
    }
}

fn is_prepare(message: &Message) -> bool {
    matches!(message, Message::Prepare { .. })
}

fn is_prepare_ok(message: &Message) -> bool {
    matches!(message, Message::PrepareOk(PrepareOk { .. }))
}

fn is_prepare_reject(message: &Message) -> bool {
    matches!(message, Message::PrepareReject { .. })
}

fn is_grant(message: &Message) -> bool {
    matches!(message, Message::Grant(Grant { .. }))
}

fn heartbeat(view: &View, sent_ms: u64) -> Message {
    Message::Heartbeat(Heartbeat {
        view: view.clone(),
        sent_ms,
        seq: SEQ,
        address: address(0),
    })
}

fn same_voters() -> View {
    view(VIEW, &[0, 1, 2], &[0, 1, 2])
}

#[test]
fn prepare_ok_is_sent_once_it_is_on_disk() {
    let mut harness = Harness::after_start_waits(1, same_voters());
    harness.prepare(2, VIEW + 1, 0);
    assert!(
        !harness.has_sent(2, is_prepare_ok),
        "the promise was sent before it was on disk"
    );
    assert_eq!(harness.stores.len(), 1);
    harness.store_all();
    assert!(harness.has_sent(2, is_prepare_ok));
}

#[test]
fn a_prepared_number_is_rejected_for_other_candidates() {
    let mut harness = Harness::after_start_waits(1, same_voters());
    harness.prepare(2, VIEW + 1, 0);
    harness.store_all();
    harness.prepare(0, VIEW + 1, 0);
    harness.store_all();
    assert!(harness.has_sent(0, is_prepare_reject) && !harness.has_sent(0, is_prepare_ok));
}

#[test]
fn a_prepared_member_ignores_writes_of_an_older_view() {
    let mut harness = Harness::after_start_waits(1, same_voters());
    let write = |seq| {
        let changes = vec![RowChange {
            key: b"row".to_vec(),
            value: None,
        }];
        Message::Write(Write {
            number: ViewNumber(VIEW),
            batches: vec![Arc::new(Batch { seq, changes })],
            relay: false,
        })
    };
    harness.message(0, write(SEQ + 1));
    harness.store_all();
    assert_eq!(
        harness.replica.stored_viewstamp().seq,
        SEQ + 1,
        "a write before the promise was not stored"
    );
    harness.prepare(2, VIEW + 1, 0);
    harness.store_all();
    harness.message(0, write(SEQ + 2));
    harness.store_all();
    assert_eq!(harness.replica.stored_viewstamp().seq, SEQ + 1);
}

#[test]
fn a_voter_with_a_lease_rejects_pre_vote_and_prepare_of_other_candidates() {
    let mut harness = Harness::after_start_waits(1, same_voters());
    harness.message(0, heartbeat(&same_voters(), 1));
    assert!(harness.has_sent(0, is_grant));
    harness.now_ms += LEASE_MS - 1;
    harness.message(
        2,
        Message::PreVote(PreVote {
            request_id: 1,
            viewstamp: Viewstamp {
                view: ViewNumber(VIEW),
                seq: SEQ + 9,
            },
            headed_view: ViewNumber(0),
        }),
    );
    let is_granted = |message: &Message| {
        matches!(
            message,
            Message::PreVoteReply(PreVoteReply { granted: true, .. })
        )
    };
    assert!(!harness.has_sent(2, is_granted));
    harness.prepare(2, VIEW + 1, 0);
    harness.store_all();
    assert!(harness.has_sent(2, is_prepare_reject) && !harness.has_sent(2, is_prepare_ok));
    harness.now_ms += 1;
    harness.prepare(2, VIEW + 1, 0);
    harness.store_all();
    assert!(
        harness.has_sent(2, is_prepare_ok),
        "no promise was given after the end of the lease"
    );
}

/// Before its restart a voter can only have granted a lease to the head of the view on its disk.
#[rstest]
#[case::the_head_of_the_view_on_both_disks(0, VIEW, true)]
#[case::a_head_of_an_older_view(0, VIEW - 1, false)]
#[case::a_head_of_a_later_view(0, VIEW + 1, false)]
#[case::the_head_without_its_disk(0, 0, false)]
#[case::another_member(2, 0, false)]
#[case::another_member_that_claims_to_head_the_view(2, VIEW, false)]
fn a_restarted_voter_waits_until_a_lease_it_may_have_granted_has_expired(
    #[case] candidate: u8,
    #[case] headed_view: u64,
    #[case] at_once: bool,
) {
    let mut harness = Harness::restarted(1, same_voters());
    harness.prepare(candidate, VIEW + 3, headed_view);
    harness.store_all();
    assert_eq!(harness.has_sent(candidate, is_prepare_ok), at_once);
    harness.now_ms = START_MS + LEASE_MS;
    harness.prepare(candidate, VIEW + 4, headed_view);
    harness.store_all();
    assert!(harness.has_sent(candidate, is_prepare_ok));
}

#[test]
fn a_lease_is_granted_once_its_view_is_on_disk() {
    let mut harness = Harness::after_start_waits(1, same_voters());
    let next = view(VIEW + 1, &[0, 1, 2], &[0, 1, 2]);
    harness.message(0, heartbeat(&next, 1));
    assert!(
        !harness.has_sent(0, is_grant),
        "the lease was granted before its view was on disk"
    );
    harness.store_all();
    assert!(harness.has_sent(0, is_grant));
}

/// The chain of such a view may not have its first state yet, so committed writes may be only on disks of previous
/// voters.
#[test]
fn a_view_that_is_not_established_needs_majorities_of_both_electorates() {
    let unestablished = view(VIEW + 1, &[0, 2, 3], &[0, 1, 2]);
    let mut harness = Harness::after_start_waits(2, unestablished.clone());
    let request_id = harness.run_until_pre_vote();
    harness.grant_pre_vote(3, request_id, &unestablished);
    assert!(
        !harness.has_sent(3, is_prepare),
        "promises were requested with a majority of the new voters only (2 and 3)"
    );
    harness.grant_pre_vote(1, request_id, &unestablished);
    assert!(harness.has_sent(3, is_prepare) && harness.has_sent(1, is_prepare));
}

#[test]
fn the_voters_of_an_established_view_decide_alone() {
    let unestablished = view(VIEW + 1, &[0, 2, 3], &[0, 1, 2]);
    let established = unestablished.clone().established();
    let mut harness = Harness::after_start_waits(2, unestablished);
    harness.message(0, heartbeat(&established, 1));
    harness.store_all();
    let request_id = harness.run_until_pre_vote();
    harness.grant_pre_vote(3, request_id, &established);
    assert!(harness.has_sent(3, is_prepare));
}

/// A voter reports the view that it has accepted with its answer to a pre-vote.
#[test]
fn a_candidate_learns_from_any_voter_that_a_view_is_established() {
    let unestablished = view(VIEW + 1, &[0, 2, 3], &[0, 1, 2]);
    let mut harness = Harness::after_start_waits(2, unestablished.clone());
    let request_id = harness.run_until_pre_vote();
    harness.grant_pre_vote(3, request_id, &unestablished.established());
    assert!(harness.has_sent(3, is_prepare));
}

/// Returns member 0, elected head by the answers of member 1.
fn head() -> Harness {
    let mut harness = Harness::restarted(0, same_voters());
    let request_id = harness.run_until_pre_vote();
    harness.grant_pre_vote(1, request_id, &same_voters());
    harness.store_all();
    let number = VIEW + 1;
    let viewstamp = Viewstamp {
        view: ViewNumber(VIEW),
        seq: SEQ,
    };
    harness.message(
        1,
        Message::PrepareOk(PrepareOk {
            number: ViewNumber(number),
            view: Some(same_voters()),
            agreed: true,
            viewstamp,
            draining: false,
        }),
    );
    harness.now_ms += 100;
    harness.input(Input::Timer);
    harness.store_all();
    harness.message(
        1,
        Message::Accepted {
            number: ViewNumber(number),
        },
    );
    harness.store_all();
    harness
}

fn grant(number: u64, sent_ms: u64, viewstamp: Viewstamp) -> Message {
    Message::Grant(Grant {
        number: ViewNumber(number),
        sent_ms,
        viewstamp,
        store_age_ms: 0,
        draining: false,
        address: address(1),
    })
}

fn first_state() -> Viewstamp {
    Viewstamp {
        view: ViewNumber(VIEW + 1),
        seq: SEQ,
    }
}

#[test]
fn a_head_acts_until_the_lease_of_its_majority_expires() {
    let mut harness = head();
    let sent_ms = harness.now_ms;
    assert!(!harness.replica.may_act(sent_ms));
    harness.message(1, grant(VIEW + 1, sent_ms, first_state()));
    let until_ms = sent_ms + LEASE_MS * LEASE_USED_PERCENT / 100;
    assert!(harness.replica.may_act(until_ms - 1) && !harness.replica.may_act(until_ms));
}

#[rstest]
#[case::of_a_view_before_the_leadership(VIEW, 0, first_state())]
#[case::of_a_view_not_led_yet(VIEW + 2, 0, first_state())]
#[case::for_a_heartbeat_not_sent_yet(VIEW + 1, 100_000, first_state())]
#[case::without_the_first_state(VIEW + 1, 0, Viewstamp { view: ViewNumber(VIEW), seq: SEQ })]
fn a_grant_without_a_matching_heartbeat_gives_no_lease(
    #[case] number: u64,
    #[case] later_ms: u64,
    #[case] viewstamp: Viewstamp,
) {
    let mut harness = head();
    let sent_ms = harness.now_ms + later_ms;
    harness.message(1, grant(number, sent_ms, viewstamp));
    assert!(!harness.replica.may_act(harness.now_ms));
}

#[test]
fn a_write_is_committed_once_the_chain_has_stored_it_and_impossible_reports_are_ignored() {
    let mut harness = head();
    harness.message(1, grant(VIEW + 1, harness.now_ms, first_state()));
    let changes = vec![RowChange {
        key: b"row".to_vec(),
        value: Some(b"value".to_vec()),
    }];
    harness.input(Input::Submit {
        write_id: SubmissionId(7),
        changes,
    });
    harness.store_all();
    let is_committed = |harness: &Harness| {
        harness.other_outputs.iter().any(|output| {
            matches!(
                output,
                Output::Committed {
                    write_id: SubmissionId(7)
                }
            )
        })
    };
    harness.report_stored(1, VIEW + 1, SEQ + 2);
    harness.report_stored(1, VIEW + 9, SEQ + 1);
    harness.report_stored(3, VIEW + 1, SEQ + 1);
    assert!(!is_committed(&harness));
    harness.report_stored(1, VIEW + 1, SEQ + 1);
    assert!(is_committed(&harness));
}
