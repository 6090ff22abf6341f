import type { Clock, TimestampMs } from '../../core/index.js'

/** Interval of heartbeats in a small group. */
export const ALIVE_INTERVAL_MIN_MS = 600
/** In larger groups the interval grows, so that an agent sends no more heartbeats the more ranks there are. */
export const ALIVE_INTERVAL_PER_RANK_MS = 40
/** An agent that has been silent for this many intervals is considered down. */
export const SILENT_INTERVALS = 2.5
/** A coordinator lost during a map switch stalls every stream of the group, so it is detected sooner than other agents. */
export const COORDINATOR_ALIVE_INTERVAL_MS = 200
export const COORDINATOR_SILENCE_MS = 700
/** An agent whose group is not known yet, or has not been heard of for this time, gets heartbeats as well. */
export const GROUP_FORGET_MS = 30_000

interface Member { lastMessageMs: TimestampMs }

export interface GroupRosterOptions {
  clock: Clock
  /** Group of the own rank; undefined while it is not known. */
  ownGroup: () => string | undefined
  /** Number of ranks in the group. */
  ranks: () => number
}

/** What an agent knows of the other agents of its service: who is in its group, who lives and who coordinates. */
export interface GroupRoster {
  /** Records a message; returns whether its sender is in the own group. */
  record (group: string, rank: number, ip: string): boolean
  /** Records the group of a worker that was read directly. */
  recordGroup (ip: string, group: string): void
  remove (rank: number): void
  ipOf (rank: number): string | undefined
  /** Whether the agent at an address is in the own group; undefined if that is not known. */
  isMember (ip: string): boolean | undefined
  /** Rank of the coordinator: the lowest live one. */
  coordinator (ownRank: number): number
  readonly aliveIntervalMs: number
}

/**
 * Creates an empty roster.
 *
 * @example
 * const roster = createGroupRoster({ clock, ownGroup, ranks })
 * roster.record('g1', 3, '10.1.0.43')
 */
export const createGroupRoster = ({ clock, ownGroup, ranks }: GroupRosterOptions): GroupRoster => {
  const members = new Map<number, Member>()
  /** Also of silent members: their agents may still carry out an order. */
  const ips = new Map<number, string>()
  const groups = new Map<string, { group: string, atMs: TimestampMs }>()
  let coordinatorRank: number | undefined
  let coordinatorSinceMs: TimestampMs = clock.nowMs()

  const aliveIntervalMs = () => Math.max(ALIVE_INTERVAL_MIN_MS, ALIVE_INTERVAL_PER_RANK_MS * ranks())

  /** A coordinator is given its time also when it has just become one, as before it sent heartbeats less often. */
  const isCoordinatorSilent = ({ lastMessageMs }: Member) =>
    clock.nowMs() - Math.max(lastMessageMs, coordinatorSinceMs) >= COORDINATOR_SILENCE_MS

  const dropSilent = () => {
    for (const [rank, member] of members) {
      const isSilent = clock.nowMs() - member.lastMessageMs >= SILENT_INTERVALS * aliveIntervalMs()
      if (isSilent || (rank === coordinatorRank && isCoordinatorSilent(member))) members.delete(rank)
    }
  }

  const recordGroup = (ip: string, group: string) => { groups.set(ip, { group, atMs: clock.nowMs() }) }

  return {
    recordGroup,
    record: (group, rank, ip) => {
      recordGroup(ip, group)
      if (group !== ownGroup()) return false
      members.set(rank, { lastMessageMs: clock.nowMs() })
      ips.set(rank, ip)
      return true
    },
    remove: rank => { members.delete(rank) },
    ipOf: rank => ips.get(rank),
    isMember: ip => {
      const known = groups.get(ip)
      return known === undefined || clock.nowMs() - known.atMs > GROUP_FORGET_MS ? undefined : known.group === ownGroup()
    },
    coordinator: ownRank => {
      dropSilent()
      const lowest = Math.min(ownRank, ...members.keys())
      if (lowest !== coordinatorRank) {
        coordinatorRank = lowest
        coordinatorSinceMs = clock.nowMs()
      }
      return lowest
    },
    get aliveIntervalMs () { return aliveIntervalMs() }
  }
}
