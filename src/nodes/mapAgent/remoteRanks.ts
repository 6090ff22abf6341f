import type { Clock, TimestampMs } from '../../core/index.js'
import type { RankReading } from '../../expertMaps/index.js'
import type { Worker } from '../../membership/index.js'
import type { RankPort } from './types.js'

/** An agent that sends no reading for this time is paused, unreachable or stopped. */
export const READING_SILENCE_MS = 500
/** A read from another host costs money and briefly delays the group, so reads of one worker are this far apart. */
export const DIRECT_READ_INTERVAL_MS = 300
/** A worker whose agent has never been heard of may belong to any group; it is read once in this time to find out. */
export const UNKNOWN_GROUP_READ_INTERVAL_MS = 5_000

/**
 * Ranks that are reached directly at a time. If more agents are silent, it is this host that is cut off or overloaded, and
 * calls to all of them would only add to it.
 */
export const DIRECT_RANKS_MAX = 6

export interface RemoteRanksOptions {
  clock: Clock
  /** Workers of the group's service on other hosts. */
  workers: () => readonly Worker[]
  /** Whether the agent at an address is in the own group; undefined if that is not known. */
  isMember: (ip: string) => boolean | undefined
  rankPortOf: (worker: Worker) => RankPort
  onReading: (reading: RankReading) => void
  /** Called with the group of the worker at an address, as read from it directly. */
  onGroup: (ip: string, group: string) => void
  onFault: (worker: Worker, reason: string) => void
}

/** Workers of ranks on other hosts. The coordinator accesses them directly while their agents are silent. */
export interface RemoteRanks {
  /** Records that the agent on a host has sent a reading of its rank. */
  recordReading (rank: number, ip: string): void
  /** Reads the workers whose agents are silent and that are due; the coordinator calls it periodically. */
  poll (): void
  /** The port to the worker of a rank; undefined if the worker is not known. */
  find (rank: number): RankPort | undefined
  /** Like `find`, but only while the agent of the rank is silent. */
  findSilent (rank: number): RankPort | undefined
}

const ipOf = ({ address }: Worker) => address.slice(0, address.lastIndexOf(':'))

/**
 * Creates the remote ranks of one coordinator. Without direct access, a paused agent whose rank holds the group
 * would keep the whole group from its next forward pass until the agent resumes.
 *
 * @example
 * const remoteRanks = createRemoteRanks({ clock, workers, isMember, rankPortOf, onReading, onGroup, onFault })
 * remoteRanks.findSilent(0)?.order(epoch, order)
 */
export const createRemoteRanks = ({ clock, workers, isMember, rankPortOf, onReading, onGroup, onFault }: RemoteRanksOptions): RemoteRanks => {
  const lastReadingMs = new Map<string, TimestampMs>()
  const ports = new Map<string, RankPort>()
  const workerIdByRank = new Map<number, string>()
  const readsInFlight = new Set<string>()
  const readAtMs = new Map<string, TimestampMs>()

  const isSilent = (worker: Worker) => {
    const ip = ipOf(worker)
    // A worker seen for the first time gets the full READING_SILENCE_MS to send a reading.
    if (!lastReadingMs.has(ip)) lastReadingMs.set(ip, clock.nowMs())
    return clock.nowMs() - lastReadingMs.get(ip)! >= READING_SILENCE_MS
  }

  const workerOf = (rank: number) => workers().find(({ workerId }) => workerId === workerIdByRank.get(rank))

  const portOf = (worker: Worker): RankPort => {
    const port = ports.get(worker.workerId) ?? rankPortOf(worker)
    ports.set(worker.workerId, port)
    return port
  }

  const read = async (worker: Worker) => {
    const { workerId } = worker
    readsInFlight.add(workerId)
    readAtMs.set(workerId, clock.nowMs())
    try {
      const reading = await portOf(worker).read({ withChoices: false })
      if (reading === undefined) return
      onGroup(ipOf(worker), reading.group)
      if (isMember(ipOf(worker)) !== true) return
      workerIdByRank.set(reading.view.rank, workerId)
      if (isSilent(worker)) onReading(reading)
    } finally {
      readsInFlight.delete(workerId)
    }
  }

  const readIntervalMs = (worker: Worker) => isMember(ipOf(worker)) === undefined ? UNKNOWN_GROUP_READ_INTERVAL_MS : DIRECT_READ_INTERVAL_MS

  const isDue = (worker: Worker) =>
    !readsInFlight.has(worker.workerId) && clock.nowMs() - (readAtMs.get(worker.workerId) ?? -Infinity) >= readIntervalMs(worker)

  const silentMembers = () => workers().filter(worker => isMember(ipOf(worker)) !== false && isSilent(worker))

  const canReachDirectly = () => silentMembers().filter(worker => isMember(ipOf(worker)) === true).length <= DIRECT_RANKS_MAX

  return {
    recordReading: (rank, ip) => {
      lastReadingMs.set(ip, clock.nowMs())
      const worker = workers().find(known => ipOf(known) === ip)
      if (worker !== undefined) workerIdByRank.set(rank, worker.workerId)
    },
    poll: () => {
      if (!canReachDirectly()) return
      for (const worker of silentMembers().filter(isDue).slice(0, DIRECT_RANKS_MAX)) {
        read(worker).catch(error => onFault(worker, error instanceof Error ? error.message : String(error)))
      }
    },
    find: rank => {
      const worker = workerOf(rank)
      return worker === undefined ? undefined : portOf(worker)
    },
    findSilent: rank => {
      const worker = workerOf(rank)
      return worker !== undefined && isSilent(worker) && canReachDirectly() ? portOf(worker) : undefined
    }
  }
}
