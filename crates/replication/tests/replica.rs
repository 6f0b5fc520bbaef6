//! One member with messages handed in one by one: what it may answer, store and count, and when.

use indigofold_protocol::internal::MemberAddress;
use indigofold_replication::timing::{LEASE_MS, LEASE_USED_PERCENT};
use indigofold_replication::{
    Batch, Durable, Envelope, Input, Member, Message, Output, Replica, RowChange, Settings, View,
    ViewStart, Viewstamp,
};
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Reading of the steady clock when the member under test starts.
const START_MS: u64 = 10_000;
/// Number of the view at work.
const VIEW: u64 = 5;
/// Writes that the member under test has.
const SEQ: u64 = 40;
/// Long after every lease and every wait of the start.
const CALM_MS: u64 = START_MS + 10 * LEASE_MS;

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

/// Member 0 leads it; members 0 and 1 are its chain.
fn view(number: u64, voters: &[u8], previous: &[u8]) -> View {
    View {
        number,
        voters: members(voters),
        previous_voters: members(previous),
        chain: members(&[0, 1]),
        base: Viewstamp {
            view: number - 1,
            seq: SEQ,
        },
    }
}

/// A member that has been started again, and what it has been told to do.
struct Bench {
    replica: Replica,
    own: u8,
    now_ms: u64,
    stores: Vec<u64>,
    sent: Vec<(SocketAddr, Message)>,
    others: Vec<Output>,
}

impl Bench {
    /// Member `own`, with this view and the state of view [`VIEW`] on its disk.
    fn restarted(own: u8, view: View) -> Bench {
        let viewstamp = Viewstamp {
            view: VIEW,
            seq: SEQ,
        };
        let durable = Durable {
            member: member(own),
            promised: view.number,
            agreed: true,
            viewstamp,
            history: vec![ViewStart { view: VIEW, seq: 0 }],
            view: Some(view),
            trimmed: 0,
            addresses: (0..4).map(address).collect(),
        };
        let settings = Settings {
            address: address(own),
            seeds: (0..3).map(|seed| address(seed).internal).collect(),
            bootstrap: false,
            tolerated_losses: 1,
            random_seed: 1,
        };
        let replica = Replica::new(settings, Some(durable), START_MS);
        Bench {
            replica,
            own,
            now_ms: START_MS,
            stores: Vec::new(),
            sent: Vec::new(),
            others: Vec::new(),
        }
    }

    /// The same, long after its start.
    fn calm(own: u8, view: View) -> Bench {
        let mut bench = Bench::restarted(own, view);
        bench.now_ms = CALM_MS;
        bench
    }

    fn input(&mut self, input: Input) {
        for output in self.replica.handle(self.now_ms, input) {
            match output {
                Output::Store { store, .. } => self.stores.push(store),
                Output::Send { to, envelope } => self.sent.push((to, envelope.message)),
                other => self.others.push(other),
            }
        }
    }

    fn message(&mut self, from: u8, message: Message) {
        self.input(Input::Message(Envelope {
            from: member(from),
            message,
        }));
    }

    /// The disk has done all that it was asked.
    fn store_all(&mut self) {
        while !self.stores.is_empty() {
            let store = self.stores.remove(0);
            self.input(Input::Stored { store });
        }
    }

    fn told(&self, to: u8, is_wanted: impl Fn(&Message) -> bool) -> bool {
        self.sent
            .iter()
            .any(|(address, message)| *address == member(to).internal && is_wanted(message))
    }

    /// Lets time pass until the member asks for support; the number of its question.
    fn canvass(&mut self) -> u64 {
        for _ in 0..200 {
            self.now_ms = self.replica.next_timer_ms().max(self.now_ms);
            self.input(Input::Timer);
            let asked = self
                .sent
                .iter()
                .rev()
                .find_map(|(_, message)| match message {
                    Message::PreVote { round, .. } => Some(*round),
                    _ => None,
                });
            if let Some(round) = asked {
                return round;
            }
        }
        panic!("member {} does not stand", self.own);
    }

    fn support(&mut self, from: u8, round: u64, view: &View) {
        let reply = Message::PreVoteReply {
            round,
            support: true,
            promised: view.number,
            view: Some(view.clone()),
            agreed: true,
        };
        self.message(from, reply);
    }
}

fn is_prepare(message: &Message) -> bool {
    matches!(message, Message::Prepare { .. })
}

fn is_promise(message: &Message) -> bool {
    matches!(message, Message::PrepareOk { .. })
}

fn is_refusal(message: &Message) -> bool {
    matches!(message, Message::PrepareReject { .. })
}

fn is_grant(message: &Message) -> bool {
    matches!(message, Message::Grant { .. })
}

fn heartbeat(view: &View, sent_ms: u64) -> Message {
    Message::Heartbeat {
        view: view.clone(),
        sent_ms,
        seq: SEQ,
        address: address(0),
    }
}

fn same_voters() -> View {
    view(VIEW, &[0, 1, 2], &[0, 1, 2])
}

#[test]
fn a_promise_is_told_once_it_is_on_disk() {
    let mut bench = Bench::calm(1, same_voters());
    bench.message(
        2,
        Message::Prepare {
            number: VIEW + 1,
            headed: 0,
        },
    );
    assert!(
        !bench.told(2, is_promise),
        "it would be forgotten with the process"
    );
    assert_eq!(bench.stores.len(), 1);
    bench.store_all();
    assert!(bench.told(2, is_promise));
}

#[test]
fn a_number_that_was_promised_is_promised_to_nobody_else() {
    let mut bench = Bench::calm(1, same_voters());
    bench.message(
        2,
        Message::Prepare {
            number: VIEW + 1,
            headed: 0,
        },
    );
    bench.store_all();
    bench.message(
        0,
        Message::Prepare {
            number: VIEW + 1,
            headed: 0,
        },
    );
    bench.store_all();
    assert!(bench.told(0, is_refusal) && !bench.told(0, is_promise));
}

#[test]
fn a_member_that_has_promised_takes_no_writes_of_an_older_view() {
    let mut bench = Bench::calm(1, same_voters());
    let write = |seq| {
        let changes = vec![RowChange {
            key: b"row".to_vec(),
            value: None,
        }];
        Message::Write {
            number: VIEW,
            batches: vec![Arc::new(Batch { seq, changes })],
            relay: false,
        }
    };
    bench.message(0, write(SEQ + 1));
    bench.store_all();
    assert_eq!(
        bench.replica.stored_viewstamp().seq,
        SEQ + 1,
        "before the promise it takes them"
    );
    bench.message(
        2,
        Message::Prepare {
            number: VIEW + 1,
            headed: 0,
        },
    );
    bench.store_all();
    bench.message(0, write(SEQ + 2));
    bench.store_all();
    assert_eq!(bench.replica.stored_viewstamp().seq, SEQ + 1);
}

#[test]
fn a_voter_with_a_lease_supports_and_promises_nobody_but_its_holder() {
    let mut bench = Bench::calm(1, same_voters());
    bench.message(0, heartbeat(&same_voters(), 1));
    assert!(bench.told(0, is_grant));
    bench.now_ms += LEASE_MS - 1;
    bench.message(
        2,
        Message::PreVote {
            round: 1,
            viewstamp: Viewstamp {
                view: VIEW,
                seq: SEQ + 9,
            },
            headed: 0,
        },
    );
    let support =
        |message: &Message| matches!(message, Message::PreVoteReply { support: true, .. });
    assert!(!bench.told(2, support));
    bench.message(
        2,
        Message::Prepare {
            number: VIEW + 1,
            headed: 0,
        },
    );
    bench.store_all();
    assert!(bench.told(2, is_refusal) && !bench.told(2, is_promise));
    bench.now_ms += 1;
    bench.message(
        2,
        Message::Prepare {
            number: VIEW + 1,
            headed: 0,
        },
    );
    bench.store_all();
    assert!(bench.told(2, is_promise), "the lease is over");
}

/// A voter that was started again may have granted a lease to the head of the view on its disk, and to no other.
#[rstest]
#[case::the_head_of_the_view_on_both_disks(0, VIEW, true)]
#[case::a_head_of_an_older_view(0, VIEW - 1, false)]
#[case::a_head_of_a_later_view(0, VIEW + 1, false)]
#[case::the_head_without_its_disk(0, 0, false)]
#[case::another_member(2, 0, false)]
#[case::another_member_that_says_it_heads_the_view(2, VIEW, false)]
fn a_voter_that_was_started_again_waits_for_the_lease_it_may_have_granted(
    #[case] candidate: u8,
    #[case] headed: u64,
    #[case] at_once: bool,
) {
    let mut bench = Bench::restarted(1, same_voters());
    bench.message(
        candidate,
        Message::Prepare {
            number: VIEW + 3,
            headed,
        },
    );
    bench.store_all();
    assert_eq!(bench.told(candidate, is_promise), at_once);
    bench.now_ms = START_MS + LEASE_MS;
    bench.message(
        candidate,
        Message::Prepare {
            number: VIEW + 4,
            headed,
        },
    );
    bench.store_all();
    assert!(bench.told(candidate, is_promise));
}

#[test]
fn a_lease_is_granted_once_its_view_is_on_disk() {
    let mut bench = Bench::calm(1, same_voters());
    let next = view(VIEW + 1, &[0, 1, 2], &[0, 1, 2]);
    bench.message(0, heartbeat(&next, 1));
    assert!(
        !bench.told(0, is_grant),
        "after a restart nobody would know of it"
    );
    bench.store_all();
    assert!(bench.told(0, is_grant));
}

/// The view's chain may not have its first state: what was committed before may be on disks of former voters only.
#[test]
fn a_view_that_is_not_established_needs_the_former_voters_too() {
    let unestablished = view(VIEW + 1, &[0, 2, 3], &[0, 1, 2]);
    let mut bench = Bench::calm(2, unestablished.clone());
    let round = bench.canvass();
    bench.support(3, round, &unestablished);
    assert!(
        !bench.told(3, is_prepare),
        "2 and 3 are a majority of the new voters only"
    );
    bench.support(1, round, &unestablished);
    assert!(bench.told(3, is_prepare) && bench.told(1, is_prepare));
}

#[test]
fn the_voters_of_an_established_view_decide_alone() {
    let unestablished = view(VIEW + 1, &[0, 2, 3], &[0, 1, 2]);
    let established = unestablished.clone().established();
    let mut bench = Bench::calm(2, unestablished);
    bench.message(0, heartbeat(&established, 1));
    bench.store_all();
    let round = bench.canvass();
    bench.support(3, round, &established);
    assert!(bench.told(3, is_prepare));
}

/// A member that has been told of it by another one knows it too.
#[test]
fn that_a_view_is_established_is_learned_from_any_voter() {
    let unestablished = view(VIEW + 1, &[0, 2, 3], &[0, 1, 2]);
    let mut bench = Bench::calm(2, unestablished.clone());
    let round = bench.canvass();
    bench.support(3, round, &unestablished.established());
    assert!(bench.told(3, is_prepare));
}

/// Member 0, made head by the answers of member 1.
fn head() -> Bench {
    let mut bench = Bench::restarted(0, same_voters());
    let round = bench.canvass();
    bench.support(1, round, &same_voters());
    bench.store_all();
    let number = VIEW + 1;
    let viewstamp = Viewstamp {
        view: VIEW,
        seq: SEQ,
    };
    bench.message(
        1,
        Message::PrepareOk {
            number,
            view: Some(same_voters()),
            agreed: true,
            viewstamp,
            leaving: false,
        },
    );
    bench.now_ms += 100;
    bench.input(Input::Timer);
    bench.store_all();
    bench.message(1, Message::Accepted { number });
    bench.store_all();
    bench
}

fn grant(number: u64, sent_ms: u64, viewstamp: Viewstamp) -> Message {
    Message::Grant {
        number,
        sent_ms,
        viewstamp,
        store_age_ms: 0,
        leaving: false,
        address: address(1),
    }
}

fn installed() -> Viewstamp {
    Viewstamp {
        view: VIEW + 1,
        seq: SEQ,
    }
}

#[test]
fn a_head_acts_while_a_majority_has_granted_and_stops_before_the_end() {
    let mut bench = head();
    let sent_ms = bench.now_ms;
    assert!(!bench.replica.may_act(sent_ms));
    bench.message(1, grant(VIEW + 1, sent_ms, installed()));
    let until_ms = sent_ms + LEASE_MS * LEASE_USED_PERCENT / 100;
    assert!(bench.replica.may_act(until_ms - 1) && !bench.replica.may_act(until_ms));
}

#[rstest]
#[case::of_a_view_before_its_time(VIEW, 0, installed())]
#[case::of_a_view_never_given_out(VIEW + 2, 0, installed())]
#[case::for_a_heartbeat_not_sent_yet(VIEW + 1, 100_000, installed())]
#[case::without_the_first_state(VIEW + 1, 0, Viewstamp { view: VIEW, seq: SEQ })]
fn a_grant_that_the_head_cannot_have_asked_for_gives_no_lease(
    #[case] number: u64,
    #[case] later_ms: u64,
    #[case] viewstamp: Viewstamp,
) {
    let mut bench = head();
    let sent_ms = bench.now_ms + later_ms;
    bench.message(1, grant(number, sent_ms, viewstamp));
    assert!(!bench.replica.may_act(bench.now_ms));
}

#[test]
fn a_write_is_committed_once_the_whole_chain_has_stored_it_and_not_by_states_never_given_out() {
    let mut bench = head();
    bench.message(1, grant(VIEW + 1, bench.now_ms, installed()));
    let changes = vec![RowChange {
        key: b"row".to_vec(),
        value: Some(b"value".to_vec()),
    }];
    bench.input(Input::Submit {
        write_id: 7,
        changes,
    });
    bench.store_all();
    let is_committed = |bench: &Bench| {
        bench
            .others
            .iter()
            .any(|output| matches!(output, Output::Committed { write_id: 7 }))
    };
    bench.message(
        1,
        Message::Stored {
            viewstamp: Viewstamp {
                view: VIEW + 1,
                seq: SEQ + 2,
            },
        },
    );
    bench.message(
        1,
        Message::Stored {
            viewstamp: Viewstamp {
                view: VIEW + 9,
                seq: SEQ + 1,
            },
        },
    );
    bench.message(
        3,
        Message::Stored {
            viewstamp: Viewstamp {
                view: VIEW + 1,
                seq: SEQ + 1,
            },
        },
    );
    assert!(!is_committed(&bench));
    bench.message(
        1,
        Message::Stored {
            viewstamp: Viewstamp {
                view: VIEW + 1,
                seq: SEQ + 1,
            },
        },
    );
    assert!(is_committed(&bench));
}
