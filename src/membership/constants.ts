/** What the fleet believes about a member; a later value overrides an earlier one of the same version. */
export enum MemberStatus {
  Alive = 'alive',
  /** Probes failed; the member is removed unless it refutes in time. */
  Suspect = 'suspect',
  Dead = 'dead',
  /** The member announced its end. */
  Left = 'left'
}

/** Kinds of datagrams between entries. */
export enum DatagramKind {
  Ping = 'ping',
  Ack = 'ack',
  /** Asks the receiver to ping a third member. */
  PingRequest = 'ping-request',
  Gossip = 'gossip',
  /** Asks for the records that differ from the digest it carries. */
  SyncRequest = 'sync-request',
  SyncPage = 'sync-page'
}

/** Kinds of news that a datagram carries. */
export enum RumorKind {
  /** A whole member record. */
  Record = 'record',
  /** A change of a member whose identity the receiver should know. */
  Status = 'status',
  /** The free capacity of a member. */
  Load = 'load',
  Broadcast = 'broadcast'
}

/** Subjects of broadcasts. */
export enum BroadcastTopic {
  ConfigurationOffset = 'configuration-offset',
  Draining = 'draining',
  Suspect = 'suspect',
  QuarantineVerdict = 'quarantine-verdict'
}

/** A larger datagram may be fragmented, and one lost fragment loses all of it. */
export const DATAGRAM_BYTES_MAX = 1_200
/** IP and UDP headers, counted into the send budget. */
export const DATAGRAM_HEADER_BYTES = 28
/** Upper bound of the bytes of a datagram besides its rumors, sender and target: key id, MAC, kind, sequence. */
export const DATAGRAM_FIXED_BYTES = 120
/** A record must leave room for the sender and the target of the datagram that carries it. */
export const RECORD_BYTES_MAX = 500
export const MAC_BYTES = 16
export const KEY_ID_BYTES_MAX = 64

export const GOSSIP_TICK_MS = 200
export const PROBE_INTERVAL_MS = 1_000
/** A probe without an answer is repeated, directly and through helpers, at each multiple of this time. */
export const PROBE_RETRY_MS = 300
export const PROBE_HELPERS = 3
export const PROBE_ROUNDS = 3
export const RELAY_LIFETIME_MS = 2_000
/** After this many failed probes in a row the node takes its own path as broken and suspects no one. */
export const ISOLATION_FAILED_PROBES = 3
/** Covers the spread of a suspicion and of its refutation, about 3 s each at 340 entries under loss. */
export const SUSPICION_MS = 6_000
/** Peers that are asked for a refutation half way through a suspicion. */
export const SUSPICION_ASKED_PEERS = 3
/** Longer than for entries: a link that broke needs time to be opened again. */
export const AGENT_SUSPICION_MS = 10_000
/** A longer gap between ticks means that this process was paused; its timers prove nothing then. */
export const PAUSE_GAP_MS = 1_500
/** An isolated node suspects a member only after this many failed probes of the member in a row. */
export const ISOLATION_TARGET_FAILURES = 2
/** Partitions last minutes; a member that is still known rejoins with a small update. */
export const DEAD_FORGET_MS = 3_600_000
export const REJOIN_INTERVAL_MS = 10_000
export const SYNC_INTERVAL_MS = 10_000
/** While a process starts it compares more often, because its list is still short. */
export const START_SYNC_INTERVAL_MS = 1_500
export const SYNC_RETRY_MS = 400
export const SYNC_TRIES = 3
/** Time after its start in which a process takes a newer record of its node id for an older run of itself. */
export const RESTART_GRACE_MS = 60_000

/** Half of the 6,000 B/s budget of a node is left for what it receives, and a fifth of the rest for bursts. */
export const SEND_BYTES_PER_S = 2_400
export const SEND_BURST_BYTES = 7_200
/** A process that starts fetches the whole list, 90 KB at full size, and may pay for it at once. */
export const START_SEND_BYTES_PER_S = 12_000
export const START_MS = 60_000
/** Load news is batched, because a datagram costs about 100 bytes before its first rumor. */
export const LOAD_FLUSH_INTERVAL_MS = 1_000
/** Each node passes on load news this often; a member that misses one gets the next. */
export const LOAD_SENDS = 3
export const LOAD_ANNOUNCE_INTERVAL_MS = 20_000
/** Smaller relative changes of free capacity are not announced. */
export const LOAD_CHANGE_MIN = 0.125

export const SYNC_BUCKETS = 64
/** Records that a request lists one by one while much differs, so that the answer holds only missing ones. */
export const SYNC_LISTED_ROWS_MAX = 200
export const RELAYS_MAX = 256
export const BROADCASTS_MAX = 4_096
export const BROADCAST_PAYLOAD_BYTES_MAX = 400
export const BROADCAST_LIFETIME_MAX_MS = 3_600_000
/** Copies in flight expire slightly later than the original; their ids are remembered for this long. */
export const BROADCAST_MEMORY_MS = 10_000
export const MEMBERS_MAX = 16_384

export const ADDRESS_LIFETIME_MS = 30_000
/** Time that the news of a draining entry takes to reach every directory. */
export const DIRECTORY_SETTLE_MS = 10_000
/** A set has at least this many addresses, a quarter of a small fleet, and up to 16 of a large one. */
export const SHARD_ADDRESSES_MIN = 6
export const SHARD_ENTRY_SHARE = 0.25
export const SHARD_ADDRESSES_FULL = 16
/** A customer's set grows with its demand, so that it adds at most 1/8 of the mean load to one entry. */
export const SHARD_DEMAND_FACTOR = 8
/** Announced free capacity answers to weights up to a minute later; following it at once oscillates. */
export const FREE_SMOOTHING_MS = 60_000
/**
 * Weights in proportion to free capacity leave the busiest of 340 entries at 1.25 times the mean load;
 * squares answer to a difference twice as strongly.
 */
export const FREE_WEIGHT_EXPONENT = 2
export const CACHED_SHARDS_MAX = 4_096
