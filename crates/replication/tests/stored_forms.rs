//! Compares the formats of stored data and of messages with those of an earlier release: a member must be able to open
//! the database of the previous release, and members of two releases run side by side during an update.
//!
//! `fixtures/control.sqlite` and each of the encoded messages were written by the code of commit 13256bf.

use indigofold_protocol::internal::MemberAddress;
use indigofold_replication::message::{
    self, Fetch, Grant, Heartbeat, PreVote, PreVoteReply, PrepareOk, Rows, Write,
};
use indigofold_replication::{
    Batch, Envelope, Member, MemberRecord, Message, Row, RowChange, Storage, StoreRequest, View,
    ViewNumber, ViewStart, Viewstamp,
};
use std::collections::BTreeMap;
use std::fs;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use tempfile::TempDir;

/// Name of the database file.
const DATABASE: &str = "control.sqlite";
/// Sequence number of the last write in the fixture.
const LAST_SEQ: u64 = 42;
/// Tombstones of rows deleted at or before this write have been dropped in the fixture.
const TRIMMED_SEQ: u64 = 22;

fn address(index: u8) -> MemberAddress {
    MemberAddress {
        node_name: format!("core-{index}"),
        internal: SocketAddr::from((Ipv4Addr::new(10, 0, 0, index), 7380)),
        control: SocketAddr::from((Ipv6Addr::LOCALHOST, 8144)),
    }
}

fn member(index: u8) -> Member {
    Member {
        internal: address(index).internal,
        disk: 0x0123_4567_89ab_cdef >> index,
    }
}

fn view() -> View {
    View {
        number: ViewNumber(300),
        voters: vec![member(1), member(2), member(3)],
        previous_voters: vec![member(1), member(2), member(4)],
        chain: vec![member(2), member(1)],
        base: Viewstamp {
            view: ViewNumber(299),
            seq: 20,
        },
    }
}

fn viewstamp() -> Viewstamp {
    Viewstamp {
        view: ViewNumber(300),
        seq: LAST_SEQ,
    }
}

fn history() -> Vec<ViewStart> {
    vec![
        ViewStart {
            view: ViewNumber(1),
            seq: 0,
        },
        ViewStart {
            view: ViewNumber(299),
            seq: 7,
        },
        ViewStart {
            view: ViewNumber(300),
            seq: 20,
        },
    ]
}

/// Returns the record in the fixture.
fn record() -> MemberRecord {
    MemberRecord {
        member: member(2),
        promised: ViewNumber(301),
        view: Some(view()),
        agreed: true,
        viewstamp: viewstamp(),
        history: history(),
        trimmed: TRIMMED_SEQ,
        addresses: (1..=4).map(address).collect(),
    }
}

fn row(seq: u64, key: &str, value: Option<&[u8]>) -> Row {
    Row {
        key: key.as_bytes().to_vec(),
        value: value.map(<[u8]>::to_vec),
        seq,
    }
}

/// Returns all rows in the fixture in the order of the writes: keys of the configuration and of the scheduler, deleted
/// rows, and values that are empty, long or binary.
fn rows() -> Vec<Row> {
    let long = vec![0xa5; 700];
    vec![
        row(23, "config", Some(br#"{"schema_version":7,"queues":[]}"#)),
        row(24, "order/1f2e3d", Some(&[0, 1, 2, 255])),
        row(25, "order/4c5b6a", None),
        row(26, "job/1", Some(b"first job")),
        row(27, "job/2", Some(&long)),
        row(28, "job/3", None),
        row(29, "job/18446744073709551615", Some(&[0x80, 0xff, 0])),
        row(30, "progress/1", Some(&[1, 0, 0, 3])),
        row(31, "progress/2", Some(b"")),
        row(32, "progress/3", None),
        row(33, "life/worker-a", Some(&[9; 33])),
        row(34, "life/worker-b", Some(b"\0")),
        row(35, "life/worker-c", None),
        row(36, "row-1", Some(b"value-1")),
        row(37, "row-2", Some(b"value-2")),
        row(38, "row-3", Some("\u{e4}\u{f6}\u{fc}".as_bytes())),
        row(39, "shared-0", Some(b"39")),
        row(40, "shared-1", Some(b"40")),
        row(41, "gone-0", None),
        row(LAST_SEQ, "gone-1", Some(b"42")),
        row(LAST_SEQ, "gone-2", None),
    ]
}

fn batch() -> Arc<Batch> {
    Arc::new(Batch {
        seq: LAST_SEQ,
        changes: vec![
            RowChange {
                key: b"job/1".to_vec(),
                value: Some(vec![1, 2, 3]),
            },
            RowChange {
                key: b"job/2".to_vec(),
                value: None,
            },
        ],
    })
}

/// Returns one message of each kind, in the order of the variants.
#[expect(clippy::too_many_lines, reason = "one literal for each kind")]
fn messages() -> Vec<Message> {
    vec![
        Message::Announce {
            address: address(1),
        },
        Message::Addresses {
            addresses: vec![address(1), address(2)],
        },
        Message::PreVote(PreVote {
            request_id: 70_000,
            viewstamp: viewstamp(),
            headed_view: ViewNumber(300),
        }),
        Message::PreVoteReply(PreVoteReply {
            request_id: 70_000,
            granted: true,
            promised: ViewNumber(301),
            view: Some(view()),
            agreed: false,
        }),
        Message::Prepare {
            number: ViewNumber(302),
            headed_view: ViewNumber(0),
        },
        Message::PrepareOk(PrepareOk {
            number: ViewNumber(302),
            view: None,
            agreed: true,
            viewstamp: viewstamp(),
            draining: false,
        }),
        Message::PrepareReject {
            number: ViewNumber(302),
            promised: ViewNumber(303),
        },
        Message::Accept { view: view() },
        Message::Accepted {
            number: ViewNumber(302),
        },
        Message::Heartbeat(Heartbeat {
            view: view(),
            sent_ms: 1_234_567,
            seq: LAST_SEQ,
            address: address(2),
        }),
        Message::Grant(Grant {
            number: ViewNumber(300),
            sent_ms: 1_234_567,
            viewstamp: viewstamp(),
            store_age_ms: 17,
            draining: true,
            address: address(3),
        }),
        Message::Release {
            number: ViewNumber(300),
        },
        Message::CampaignNow {
            number: ViewNumber(300),
        },
        Message::Write(Write {
            number: ViewNumber(300),
            batches: vec![batch()],
            relay: true,
        }),
        Message::Stored {
            viewstamp: viewstamp(),
        },
        Message::WriteGap {
            viewstamp: viewstamp(),
        },
        Message::Fetch(Fetch {
            request_id: 70_001,
            viewstamp: viewstamp(),
            after: Some(9),
        }),
        Message::Rows(Rows {
            request_id: 70_001,
            after: 9,
            clear: true,
            rows: vec![row(41, "job/1", Some(b"x")), row(LAST_SEQ, "job/2", None)],
            more: false,
            viewstamp: viewstamp(),
            history: history(),
        }),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn encoded(message: Message) -> Vec<u8> {
    message::encode(&Envelope {
        from: member(1),
        message,
    })
}

/// The envelopes of [`messages`], as encoded by the earlier release.
const ENCODED: [&str; 18] = [
    // Announce
    "000a000001d439f7cdd7a6bcd6e8480006636f72652d31000a000001d4390100000000000000000000000000\
     000001d03f",
    // Addresses
    "000a000001d439f7cdd7a6bcd6e848010206636f72652d31000a000001d43901000000000000000000000000\
     00000001d03f06636f72652d32000a000002d4390100000000000000000000000000000001d03f",
    // PreVote
    "000a000001d439f7cdd7a6bcd6e84802f0a204ac022aac02",
    // PreVoteReply
    "000a000001d439f7cdd7a6bcd6e84803f0a20401ad0201ac0203000a000001d439f7cdd7a6bcd6e848000a00\
     0002d439fbe6ab939eabb424000a000003d439bdf3d589cf959a1203000a000001d439f7cdd7a6bcd6e84800\
     0a000002d439fbe6ab939eabb424000a000004d439def9eac4e78a8d0902000a000002d439fbe6ab939eabb4\
     24000a000001d439f7cdd7a6bcd6e848ab021400",
    // Prepare
    "000a000001d439f7cdd7a6bcd6e84804ae0200",
    // PrepareOk
    "000a000001d439f7cdd7a6bcd6e84805ae020001ac022a00",
    // PrepareReject
    "000a000001d439f7cdd7a6bcd6e84806ae02af02",
    // Accept
    "000a000001d439f7cdd7a6bcd6e84807ac0203000a000001d439f7cdd7a6bcd6e848000a000002d439fbe6ab\
     939eabb424000a000003d439bdf3d589cf959a1203000a000001d439f7cdd7a6bcd6e848000a000002d439fb\
     e6ab939eabb424000a000004d439def9eac4e78a8d0902000a000002d439fbe6ab939eabb424000a000001d4\
     39f7cdd7a6bcd6e848ab0214",
    // Accepted
    "000a000001d439f7cdd7a6bcd6e84808ae02",
    // Heartbeat
    "000a000001d439f7cdd7a6bcd6e84809ac0203000a000001d439f7cdd7a6bcd6e848000a000002d439fbe6ab\
     939eabb424000a000003d439bdf3d589cf959a1203000a000001d439f7cdd7a6bcd6e848000a000002d439fb\
     e6ab939eabb424000a000004d439def9eac4e78a8d0902000a000002d439fbe6ab939eabb424000a000001d4\
     39f7cdd7a6bcd6e848ab021487ad4b2a06636f72652d32000a000002d4390100000000000000000000000000\
     000001d03f",
    // Grant
    "000a000001d439f7cdd7a6bcd6e8480aac0287ad4bac022a110106636f72652d33000a000003d43901000000\
     00000000000000000000000001d03f",
    // Release
    "000a000001d439f7cdd7a6bcd6e8480bac02",
    // CampaignNow
    "000a000001d439f7cdd7a6bcd6e8480cac02",
    // Write
    "000a000001d439f7cdd7a6bcd6e8480dac02012a02056a6f622f310103010203056a6f622f320001",
    // Stored
    "000a000001d439f7cdd7a6bcd6e8480eac022a",
    // WriteGap
    "000a000001d439f7cdd7a6bcd6e8480fac022a",
    // Fetch
    "000a000001d439f7cdd7a6bcd6e84810f1a204ac022a0109",
    // Rows
    "000a000001d439f7cdd7a6bcd6e84811f1a204090102056a6f622f3101017829056a6f622f32002a00ac022a\
     030100ab0207ac0214",
];

#[test]
fn messages_are_encoded_as_in_the_earlier_release() {
    let messages = messages();
    assert_eq!(messages.len(), ENCODED.len());
    for (message, expected) in messages.into_iter().zip(ENCODED) {
        let bytes = encoded(message.clone());
        assert_eq!(hex(&bytes), expected, "{message:?}");
        let decoded = message::decode(&bytes).expect("an encoded message can be decoded");
        assert_eq!(decoded.message, message);
        assert_eq!(decoded.from, member(1));
    }
}

/// Creates a folder with a copy of the fixture.
fn folder_with_fixture() -> TempDir {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let fixture = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/control.sqlite");
    fs::copy(fixture, dir.path().join(DATABASE)).expect("the fixture can be copied");
    dir
}

/// Checks the whole content of the database: the record, each row including tombstones, and the table that a head
/// loads.
fn assert_content(dir: &TempDir) {
    let opened = Storage::open(dir.path()).expect("the database can be opened");
    assert!(opened.quarantined.is_none(), "{:?}", opened.quarantined);
    assert!(!opened.has_quarantined);
    assert_eq!(opened.record, Some(record()));
    let chunk = opened
        .storage
        .rows_since(0, usize::MAX)
        .expect("the rows can be read");
    assert_eq!(chunk.rows, rows());
    assert!(!chunk.more);
    assert_eq!((chunk.viewstamp, chunk.history), (viewstamp(), history()));
    let mut table = BTreeMap::new();
    let insert = |key: &[u8], value: &[u8]| {
        table.insert(key.to_vec(), value.to_vec());
    };
    opened
        .storage
        .all_rows(insert)
        .expect("the rows can be read");
    let live = rows()
        .into_iter()
        .filter_map(|row| Some((row.key, row.value?)));
    assert_eq!(table, live.collect());
    assert_eq!(
        opened
            .storage
            .scrub(b"", 100)
            .expect("the rows are undamaged"),
        None
    );
}

#[test]
fn a_database_of_the_earlier_release_has_all_of_its_content() {
    let dir = folder_with_fixture();
    assert_content(&dir);
    // The database is opened a second time, because the first opening may have changed it.
    assert_content(&dir);
}

#[test]
fn an_unchanged_record_is_stored_as_the_same_bytes() {
    let dir = folder_with_fixture();
    let stored_record = || -> Vec<u8> {
        let connection = rusqlite::Connection::open(dir.path().join(DATABASE))
            .expect("the database can be opened");
        let query = "SELECT value FROM meta WHERE name = 'record'";
        let read = |row: &rusqlite::Row<'_>| row.get(0);
        connection
            .query_row(query, [], read)
            .expect("the database contains a record")
    };
    let before = stored_record();
    let mut storage = Storage::open(dir.path())
        .expect("the database can be opened")
        .storage;
    let request = StoreRequest {
        record: record(),
        operations: Vec::new(),
    };
    storage.apply(&request).expect("the request can be stored");
    drop(storage);
    assert_eq!(stored_record(), before);
}
