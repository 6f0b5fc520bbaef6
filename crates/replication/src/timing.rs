//! Times and sizes of the replication protocol.

// Leases and heartbeats.

/// How long a voter that has answered a heartbeat votes for nobody but its sender.
pub const LEASE_MS: u64 = 600;
/// Part of [`LEASE_MS`], in percent, for which the head counts on an answer, from when it sent the heartbeat. The rest
/// covers clocks that run at different rates.
pub const LEASE_USED_PERCENT: u64 = 90;
/// Time between two heartbeats of the head.
pub const HEARTBEAT_INTERVAL_MS: u64 = 120;

// Membership of the chain and of the voters.

/// A member of the chain that has not stored a write for so long while others have is excluded. A sync takes 10 ms.
pub const SLOW_MEMBER_MS: u64 = 150;
/// A head whose own store takes so long transfers its leadership, if another member's disk is fast.
pub const SLOW_HEAD_MS: u64 = 200;
/// A member of the chain that has not answered heartbeats for so long is excluded.
pub const UNRESPONSIVE_MEMBER_MS: u64 = 800;
/// A member of the chain that has not taken over the view's first state for so long is excluded.
pub const SYNCHRONIZE_MS: u64 = 1_500;
/// A voter that has been unresponsive for so long may be replaced by a newcomer.
pub const REPLACE_AFTER_MS: u64 = 1_000;
/// A voter that has been unresponsive for so long is removed while there are more voters than needed.
pub const REMOVE_AFTER_MS: u64 = 2_000;
/// The same for the only unresponsive one of an odd number of voters, because its removal leaves an even number.
pub const REMOVE_LONE_AFTER_MS: u64 = 8_000;
/// A newcomer that has been unresponsive for so long is forgotten.
pub const FORGET_NEWCOMER_MS: u64 = 10_000;
/// Most voters.
pub const VOTERS_MAX: usize = 9;
/// A member excluded from the chain stays out for so long at first.
pub const REJOIN_AFTER_MS: u64 = 1_500;
/// A member excluded again and again stays out for at most so long.
pub const REJOIN_AFTER_MAX_MS: u64 = 8_000;
/// A member whose store has taken this long is not taken into the chain.
pub const REJOIN_STORE_AGE_MS: u64 = 100;
/// A member that lacks at most so many writes may be taken into the chain.
pub const REJOIN_LAG_WRITES: u64 = 100;
/// Time between two attempts of the head to change the view.
pub const RECONFIGURE_MS: u64 = 300;
/// Writes that a member has not stored for so long are sent to it again, by the head itself.
pub const RESEND_MS: u64 = 150;
/// A head leads at least this long before it transfers its leadership because of its disk.
pub const LEADERSHIP_MIN_MS: u64 = 3_000;
/// A draining head waits at most so long for its writes before it transfers its leadership.
pub const DRAIN_WAIT_MS: u64 = 400;

// Elections.

/// How long a candidate waits for answers to its pre-vote.
pub const PRE_VOTE_MS: u64 = 250;
/// The same for a head that has been started again, whose voters may have been started again as well.
pub const RESUME_PRE_VOTE_MS: u64 = 80;
/// Time between two campaigns of such a head, until others may campaign.
pub const RESUME_CAMPAIGN_MS: u64 = 20;
/// How long a candidate waits in each later phase.
pub const PHASE_MS: u64 = 1_000;
/// How long a candidate waits for the others once a voter has promised a higher number.
pub const REJECTED_WAIT_MS: u64 = 150;
/// How long a candidate that has a majority of promises waits for the others'.
pub const MORE_PREPARE_OKS_MS: u64 = 60;
/// How long a voter that has granted a pre-vote grants none to other candidates.
pub const PRE_VOTE_GRANTED_MS: u64 = 100;
/// How long a voter that has promised does not campaign, to leave the candidate time.
pub const PREPARED_DEFER_MS: u64 = 700;
/// Least time before a failed candidate campaigns again.
pub const BACKOFF_MS: u64 = 50;
/// Random part of the time before a campaign.
pub const BACKOFF_SPREAD_MS: u64 = 150;
/// A voter that is not in the chain waits longer by this.
pub const BACKOFF_OUTSIDE_CHAIN_MS: u64 = 150;
/// A head that has transferred its leadership does not campaign for so long.
pub const RESIGNED_DEFER_MS: u64 = 3_000;

// Discovery, state transfer and storage.

/// Time between two announcements of a member that hears of no head.
pub const ANNOUNCE_INTERVAL_MS: u64 = 500;
/// A member that has had no heartbeat for so long announces itself.
pub const UNRESPONSIVE_HEAD_MS: u64 = 600;
/// Bytes of rows in one chunk of a transfer, roughly.
pub const TRANSFER_BYTES: usize = 128 << 10;
/// A request of a transfer is repeated after this.
pub const FETCH_RETRY_MS: u64 = 250;
/// A transfer without an answer for so long is given up.
pub const TRANSFER_TIMEOUT_MS: u64 = 1_000;
/// A store that has failed is retried after this.
pub const STORE_RETRY_MS: u64 = 300;

// Sizes of what is kept.

/// Time between two samples of the table's sequence number.
pub const TRIM_INTERVAL_MS: u64 = 30_000;
/// Tombstones of deleted rows are kept for so long at least.
pub const TRIM_AFTER_MS: u64 = 120_000;
/// Views that a member remembers.
pub const HISTORY_MAX: usize = 64;
/// Addresses that a member remembers.
pub const ADDRESSES_MAX: usize = 32;
/// Bytes of submitted changes that may wait for the next batch.
pub const PENDING_BYTES_MAX: usize = 4 << 20;
