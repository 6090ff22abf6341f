/** Status of a member; a later value overrides an earlier one of the same version. */
export enum MemberStatus {
  Alive = 'alive',
  /** Probes failed; the member is considered dead unless it refutes in time. */
  Suspect = 'suspect',
  Dead = 'dead',
  /** The member announced that it is leaving. */
  Left = 'left'
}

/** Kind of a datagram between entries. */
export enum DatagramKind {
  Ping = 'ping',
  Ack = 'ack',
  /** Requests that the receiver ping a third member. */
  PingRequest = 'ping-request',
  Gossip = 'gossip',
  /** Requests the records that differ from the digest in the datagram. */
  SyncRequest = 'sync-request',
  SyncPage = 'sync-page'
}

/** Kind of a membership update in a datagram. */
export enum RumorKind {
  /** A complete member record. */
  Record = 'record',
  /** A status change of a member, without the identity, which the receiver should already have. */
  Status = 'status',
  /** The free capacity of a member. */
  Load = 'load',
  Broadcast = 'broadcast'
}

export enum BroadcastTopic {
  ConfigurationOffset = 'configuration-offset',
  Draining = 'draining',
  Suspect = 'suspect',
  QuarantineVerdict = 'quarantine-verdict',
  CrashedParts = 'crashed-parts'
}

/** A larger datagram may be fragmented, and the loss of one fragment loses the whole datagram. */
export const DATAGRAM_BYTES_MAX = 1_200
/** IP and UDP headers, which count toward the send budget. */
export const DATAGRAM_HEADER_BYTES = 28
/** Upper bound of a datagram's bytes without rumors, sender and target: key id, MAC, kind, sequence. */
export const DATAGRAM_FIXED_BYTES = 120
/** A record must leave room for the sender and the target of the datagram that carries it. */
export const RECORD_BYTES_MAX = 500
export const MAC_BYTES = 16
export const KEY_ID_BYTES_MAX = 64

export const GOSSIP_TICK_MS = 200
export const PROBE_INTERVAL_MS = 1_000
/** An unacknowledged probe is retried, directly and through helpers, at each multiple of this time. */
export const PROBE_RETRY_MS = 300
export const PROBE_HELPERS = 3
export const PROBE_ROUNDS = 3
export const RELAY_LIFETIME_MS = 2_000
/** After this many consecutive failed probes the node considers itself isolated and suspects no one. */
export const ISOLATION_FAILED_PROBES = 3
/** Covers the spread of a suspicion and of its refutation, about 3 s each at 340 entries with packet loss. */
export const SUSPICION_MS = 6_000
/** Peers that are asked for a refutation halfway through a suspicion. */
export const REFUTATION_REQUEST_PEERS = 3
/** Longer than for entries, because a broken link takes time to be reopened. */
export const AGENT_SUSPICION_MS = 10_000
/** A longer gap between ticks is a process pause; timers that expired in it prove no failure of others. */
export const PAUSE_GAP_MS = 1_500
/** An isolated node suspects a member only after this many consecutive failed probes of that member. */
export const ISOLATION_TARGET_FAILURES = 2
/** Longer than partitions, which last minutes: a member that is still known rejoins with a small update. */
export const DEAD_FORGET_MS = 3_600_000
export const REJOIN_INTERVAL_MS = 10_000
export const SYNC_INTERVAL_MS = 10_000
/** A starting process syncs more often, because its member list is still incomplete. */
export const START_SYNC_INTERVAL_MS = 1_500
export const SYNC_RETRY_MS = 400
export const SYNC_TRIES = 3
/**
 * Time after its start in which a process attributes a record of its node id with a higher version to an
 * earlier run of itself.
 */
export const RESTART_GRACE_MS = 60_000

/** Half of a node's 6,000 B/s budget is reserved for received bytes, and a fifth of the rest for bursts. */
export const SEND_BYTES_PER_S = 2_400
export const SEND_BURST_BYTES = 7_200
/** A starting process syncs the complete member list, 90 KB at full size, so its send rate is higher. */
export const START_SEND_BYTES_PER_S = 12_000
export const START_MS = 60_000
/** Load rumors are batched, because a datagram has an overhead of about 100 bytes. */
export const LOAD_FLUSH_INTERVAL_MS = 1_000
/** Number of times that each node sends a load rumor; a member that misses it gets the next one. */
export const LOAD_SENDS = 3
export const LOAD_ANNOUNCE_INTERVAL_MS = 20_000
/** Smaller relative changes of free capacity are not announced. */
export const LOAD_CHANGE_MIN = 0.125

export const SYNC_BUCKETS = 64
/** Records that a sync request lists by hash while many differ, so that the page holds only missing ones. */
export const SYNC_LISTED_ROWS_MAX = 200
export const RELAYS_MAX = 256
export const BROADCASTS_MAX = 4_096
export const BROADCAST_PAYLOAD_BYTES_MAX = 400
export const BROADCAST_LIFETIME_MAX_MS = 3_600_000
/** Copies in flight expire slightly later than the original; ids are kept this long to detect them. */
export const BROADCAST_MEMORY_MS = 10_000
export const MEMBERS_MAX = 16_384

export const ADDRESS_LIFETIME_MS = 30_000
/** Time until every directory has received the update that an entry is draining. */
export const DIRECTORY_SETTLE_MS = 10_000
/** A set has at least this many addresses, a quarter of a small fleet, and at most 16 of a large one. */
export const SHARD_ADDRESSES_MIN = 6
export const SHARD_ENTRY_SHARE = 0.25
export const SHARD_SHARE_ADDRESSES_MAX = 16
/** A customer's set grows with its demand, so that it adds at most 1/8 of the mean load to one entry. */
export const SHARD_DEMAND_FACTOR = 8
/** Announced free capacity reacts to weights up to a minute later; without smoothing, weights oscillate. */
export const FREE_SMOOTHING_MS = 60_000
/**
 * Weights in proportion to free capacity leave the busiest of 340 entries at 1.25 times the mean load;
 * squared weights react twice as strongly to a difference.
 */
export const FREE_WEIGHT_EXPONENT = 2
export const CACHED_SHARDS_MAX = 4_096
