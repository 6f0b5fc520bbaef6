//! Timeouts, intervals and size limits of the replication protocol.

// Leases and heartbeats.

/// Length of a lease: for this long after it has answered a heartbeat, a voter votes only for the head that sent it.
pub const LEASE_MS: u64 = 600;
/// Percentage of [`LEASE_MS`] for which the head relies on a lease, counted from when it sent the heartbeat. The rest
/// allows for clocks that run at different rates.
pub const LEASE_USED_PERCENT: u64 = 90;
/// Time between two heartbeats of the head.
pub const HEARTBEAT_INTERVAL_MS: u64 = 120;

// Membership of the chain and of the voters.

/// A member of the chain is excluded if it has not stored a write for this long while enough others have. A sync takes
/// 10 ms.
pub const SLOW_MEMBER_MS: u64 = 150;
/// A head whose own store takes this long transfers its leadership if another member's disk is fast.
pub const SLOW_HEAD_MS: u64 = 200;
/// A member of the chain that has sent nothing to the head for this long is excluded.
pub const UNRESPONSIVE_MEMBER_MS: u64 = 800;
/// A member of the chain that has not taken over the view's first state after this time is excluded.
pub const SYNCHRONIZE_TIMEOUT_MS: u64 = 1_500;
/// A voter that has been unresponsive for this long may be replaced by a newcomer.
pub const REPLACE_AFTER_MS: u64 = 1_000;
/// A voter that has been unresponsive for this long is removed if there are more voters than required.
pub const REMOVE_AFTER_MS: u64 = 2_000;
/// Same as [`REMOVE_AFTER_MS`], for the only unresponsive voter of an odd number: its removal leaves an even number.
pub const REMOVE_LONE_AFTER_MS: u64 = 8_000;
/// The head forgets a newcomer that has been unresponsive for this long.
pub const FORGET_NEWCOMER_MS: u64 = 10_000;
/// Maximum number of voters that the head aims at.
pub const VOTERS_MAX: usize = 9;
/// A member that is excluded from the chain stays out for this long the first time.
pub const REJOIN_AFTER_MS: u64 = 1_500;
/// A member that is excluded repeatedly stays out for at most this long.
pub const REJOIN_AFTER_MAX_MS: u64 = 8_000;
/// A member whose current store has taken this long is not taken into the chain.
pub const REJOIN_STORE_AGE_MS: u64 = 100;
/// Maximum number of writes that a member may lack when it is taken into the chain.
pub const REJOIN_LAG_WRITES: u64 = 100;
/// Minimum time between two attempts of the head to change the view.
pub const RECONFIGURE_INTERVAL_MS: u64 = 300;
/// The head itself resends writes that a member has not stored for this long.
pub const RESEND_AFTER_MS: u64 = 150;
/// Minimum time for which a head leads before it transfers its leadership because of its disk.
pub const LEADERSHIP_MIN_MS: u64 = 3_000;
/// Maximum time for which a draining head waits for its writes before it transfers its leadership.
pub const DRAIN_WAIT_MS: u64 = 400;

// Elections.

/// How long a candidate waits for answers to its pre-vote requests.
pub const PRE_VOTE_TIMEOUT_MS: u64 = 250;
/// Same as [`PRE_VOTE_TIMEOUT_MS`], for a restarted head, whose voters may have been restarted as well.
pub const RESUME_PRE_VOTE_TIMEOUT_MS: u64 = 80;
/// Time between two campaigns of a restarted head, until other members may campaign.
pub const RESUME_CAMPAIGN_INTERVAL_MS: u64 = 20;
/// How long a candidate waits in each phase after the pre-vote.
pub const PHASE_TIMEOUT_MS: u64 = 1_000;
/// How long a candidate still waits for other answers once a voter has promised a higher number.
pub const REJECTED_GRACE_MS: u64 = 150;
/// How long a candidate with a majority of promises waits for the remaining ones.
pub const PREPARE_GRACE_MS: u64 = 60;
/// How long a voter that has granted a pre-vote grants none to other candidates.
pub const PRE_VOTE_HOLD_MS: u64 = 100;
/// How long a voter that has promised does not campaign itself, to leave the candidate time.
pub const PREPARED_DEFER_MS: u64 = 700;
/// Minimum time before a failed candidate campaigns again.
pub const BACKOFF_MS: u64 = 50;
/// Maximum random part of the time before a campaign.
pub const BACKOFF_SPREAD_MS: u64 = 150;
/// Additional time before the campaign of a voter that is not in the chain.
pub const BACKOFF_OUTSIDE_CHAIN_MS: u64 = 150;
/// How long a head that has transferred its leadership does not campaign.
pub const RESIGNED_DEFER_MS: u64 = 3_000;

// Discovery, state transfer and storage.

/// Time between two announcements of a member that knows no head.
pub const ANNOUNCE_INTERVAL_MS: u64 = 500;
/// A member that has received no heartbeat for this long announces itself.
pub const UNRESPONSIVE_HEAD_MS: u64 = 600;
/// Approximate size of one chunk of a state transfer, in bytes.
pub const TRANSFER_BYTES: usize = 128 << 10;
/// Time after which an unanswered request of a state transfer is repeated.
pub const FETCH_RETRY_MS: u64 = 250;
/// A state transfer that has received nothing for this long is given up.
pub const TRANSFER_TIMEOUT_MS: u64 = 1_000;
/// Time after which a failed store is retried.
pub const STORE_RETRY_MS: u64 = 300;

// Limits of retained data.

/// Time between two samples of the sequence number on disk, from which the age of tombstones is derived.
pub const TRIM_INTERVAL_MS: u64 = 30_000;
/// Minimum age of the tombstone of a deleted row when it is dropped.
pub const TRIM_AFTER_MS: u64 = 120_000;
/// Maximum number of earlier views in a member's record.
pub const HISTORY_MAX: usize = 64;
/// Maximum number of member addresses in a member's record.
pub const ADDRESSES_MAX: usize = 32;
/// Maximum size of the submitted changes that wait for the next batch, in bytes.
pub const PENDING_BYTES_MAX: usize = 4 << 20;
