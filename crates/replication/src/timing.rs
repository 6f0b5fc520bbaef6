//! Times and sizes of the replication protocol.

/// How long a voter that has answered a heartbeat supports nobody but its sender.
pub const LEASE_MS: u64 = 600;
/// Part of [`LEASE_MS`], in percent, for which the head counts on an answer, from when it sent the heartbeat.
pub const LEASE_USED_PERCENT: u64 = 90;
/// Time between two heartbeats of the head.
pub const HEARTBEAT_INTERVAL_MS: u64 = 120;
/// Bytes of rows in one message of a transfer, roughly.
pub const TRANSFER_BYTES: usize = 128 << 10;
/// A member of the chain that has not stored a write for so long while others have is left out. A sync takes 10 ms.
pub const SLOW_MEMBER_MS: u64 = 150;
/// A head whose own store takes so long hands its role over, if another member's disk is fast.
pub const SLOW_HEAD_MS: u64 = 200;
/// A member of the chain that has not answered heartbeats for so long is left out.
pub const UNRESPONSIVE_MEMBER_MS: u64 = 800;
/// A member of the chain that has not taken over the view's first state for so long is left out.
pub const INSTALL_MS: u64 = 1_500;
/// A voter that has been silent for so long may be replaced by a newcomer.
pub const REPLACE_AFTER_MS: u64 = 1_000;
/// A voter that has been silent for so long is removed while there are more voters than wanted.
pub const REMOVE_AFTER_MS: u64 = 2_000;
/// The same for the only silent one of an odd number of voters: without it an even number is left.
pub const REMOVE_LONE_AFTER_MS: u64 = 8_000;
/// A newcomer that has been silent for so long is forgotten.
pub const FORGET_NEWCOMER_MS: u64 = 10_000;
/// Most voters.
pub const VOTERS_MAX: usize = 9;
/// A member left out of the chain stays out for so long at first.
pub const REJOIN_AFTER_MS: u64 = 1_500;
/// A member left out again and again stays out for at most so long.
pub const REJOIN_AFTER_MAX_MS: u64 = 8_000;
/// A member whose store has taken this long is not taken into the chain.
pub const REJOIN_STORE_AGE_MS: u64 = 100;
/// A member that lacks at most so many writes may be taken into the chain.
pub const REJOIN_LAG_WRITES: u64 = 100;
/// Time between two attempts of the head to change the view.
pub const RECONFIGURE_MS: u64 = 300;
/// Writes that a member has not stored for so long are sent to it again, by the head itself.
pub const RESEND_MS: u64 = 150;
/// A head serves at least this long before it hands its role over because of its disk.
pub const LEADERSHIP_MIN_MS: u64 = 3_000;
/// A head about to stop waits at most so long for its writes before it hands its role over.
pub const DRAIN_WAIT_MS: u64 = 400;

/// How long a candidate waits for answers to its canvass.
pub const PRE_VOTE_MS: u64 = 250;
/// The same for a head that has been started again, whose voters may have been started again as well.
pub const RESUME_PRE_VOTE_MS: u64 = 80;
/// Time after which such a head stands (again), until others may.
pub const RESUME_CAMPAIGN_MS: u64 = 20;
/// How long a candidate waits for each further step.
pub const PHASE_MS: u64 = 1_000;
/// How long a candidate waits for the others once a voter has promised another one's number.
pub const REJECTED_WAIT_MS: u64 = 150;
/// How long a candidate that has a majority of promises waits for the others'.
pub const MORE_PREPARE_OKS_MS: u64 = 60;
/// How long a voter that has said it would support a candidate supports no other.
pub const PRE_VOTE_GRANTED_MS: u64 = 100;
/// How long a voter that has promised leaves the candidate time.
pub const PREPARED_DEFER_MS: u64 = 700;
/// Least time before a failed candidate stands again.
pub const BACKOFF_MS: u64 = 50;
/// Random part of the time before a candidate stands.
pub const BACKOFF_SPREAD_MS: u64 = 150;
/// A voter that is not in the chain waits longer by this.
pub const BACKOFF_OUTSIDE_CHAIN_MS: u64 = 150;
/// A head that has handed its role over does not stand for so long.
pub const RESIGNED_DEFER_MS: u64 = 3_000;

/// Time between two announcements of a member that hears of no head.
pub const ANNOUNCE_INTERVAL_MS: u64 = 500;
/// A member that has not heard the head for so long announces itself.
pub const UNRESPONSIVE_HEAD_MS: u64 = 600;
/// A request of a transfer is repeated after this.
pub const FETCH_RETRY_MS: u64 = 250;
/// A transfer without an answer for so long is given up.
pub const TRANSFER_TIMEOUT_MS: u64 = 1_000;
/// A store that has failed is tried again after this.
pub const STORE_RETRY_MS: u64 = 300;

/// Time between two notes of how far the table had come.
pub const TRIM_INTERVAL_MS: u64 = 30_000;
/// Traces of deleted rows are kept for so long at least.
pub const TRIM_AFTER_MS: u64 = 120_000;
/// Views that a member remembers.
pub const HISTORY_MAX: usize = 64;
/// Addresses that a member remembers.
pub const ADDRESSES_MAX: usize = 32;
/// Bytes of submitted changes that may wait for a change of view.
pub const PENDING_BYTES_MAX: usize = 4 << 20;
