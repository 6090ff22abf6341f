import { LOAD_SENDS, RumorKind } from './constants.js'
import type { Rumor } from './types.js'

interface QueuedRumor {
  key: string
  isUrgent: boolean
  sendsLeft: number
  /** Builds the rumor from the current state, so that a queued rumor is never outdated. */
  build: () => Rumor | undefined
}

export interface RumorQueueOptions {
  /** Upper bound of the encoded size of a rumor. */
  measureRumor: (rumor: Rumor) => number
  /** Entries in the fleet; the number of sends grows with its logarithm. */
  countEntries: () => number
}

/** No rumor is smaller, so less room is not worth a search. */
const RUMOR_BYTES_MIN = 30

/** News waiting to be passed on, the least sent first. */
export interface RumorQueue {
  add (rumorKind: RumorKind, subject: string, build: () => Rumor | undefined): void
  /**
   * Counts a record or load news that came back from another member as sent once: others already
   * pass it on. Short news is not counted, because one that misses a member delays its reaction.
   */
  heard (rumorKind: RumorKind, subject: string): void
  /** Takes the rumors that fit and counts them as sent once. */
  take (bytesMax: number): Rumor[]
  readonly urgentCount: number
  readonly size: number
}

/**
 * Creates an empty queue. Load news is sent after all other news and fewer times.
 *
 * @example
 * queue.add(RumorKind.Status, nodeId, () => statusOf(nodeId))
 * const rumors = queue.take(1_000)
 */
export const createRumorQueue = ({ measureRumor, countEntries }: RumorQueueOptions): RumorQueue => {
  const queued = new Map<string, QueuedRumor>()
  let urgentCount = 0

  const urgentSends = () => Math.ceil(1.5 * Math.log2(countEntries() + 2))
  // Whole records are large and list comparison makes up for lost ones.
  const recordSends = () => 2
  const sendsOf: Record<RumorKind, () => number> = {
    [RumorKind.Record]: recordSends,
    [RumorKind.Status]: urgentSends,
    [RumorKind.Broadcast]: urgentSends,
    [RumorKind.Load]: () => LOAD_SENDS
  }

  const remove = ({ key, isUrgent }: QueuedRumor) => {
    queued.delete(key)
    if (isUrgent) urgentCount -= 1
  }

  const add = (rumorKind: RumorKind, subject: string, build: () => Rumor | undefined) => {
    const recordKey = `${RumorKind.Record}/${subject}`
    const queuedRecord = queued.get(recordKey)
    // A record that is still queued stays a record, which holds the status: its receivers may not
    // know the identity yet.
    if (rumorKind === RumorKind.Status && queuedRecord !== undefined) {
      queuedRecord.sendsLeft = recordSends()
      return
    }
    const key = `${rumorKind}/${subject}`
    const previous = queued.get(key)
    if (previous !== undefined) remove(previous)
    const isUrgent = rumorKind !== RumorKind.Load
    queued.set(key, { key, isUrgent, sendsLeft: sendsOf[rumorKind](), build })
    if (isUrgent) urgentCount += 1
  }

  const spend = (item: QueuedRumor) => {
    item.sendsLeft -= 1
    if (item.sendsLeft <= 0) remove(item)
  }

  const heard = (rumorKind: RumorKind, subject: string) => {
    if (rumorKind === RumorKind.Status || rumorKind === RumorKind.Broadcast) return
    const item = queued.get(`${rumorKind}/${subject}`)
    if (item !== undefined) spend(item)
  }

  /** Urgent news first, then the least sent; by counting, since a full queue holds a thousand items. */
  const ordered = (): QueuedRumor[] => {
    const bySendsLeft: QueuedRumor[][] = []
    const load: QueuedRumor[] = []
    for (const item of queued.values()) {
      if (item.isUrgent) (bySendsLeft[item.sendsLeft] ??= []).push(item)
      else load.push(item)
    }
    return [...bySendsLeft.reverse().flatMap(items => items ?? []), ...load]
  }

  const take = (bytesMax: number): Rumor[] => {
    const rumors: Rumor[] = []
    let bytesLeft = bytesMax
    if (bytesLeft < RUMOR_BYTES_MIN || queued.size === 0) return rumors
    for (const item of ordered()) {
      if (bytesLeft < RUMOR_BYTES_MIN) break
      const rumor = item.build()
      if (rumor === undefined) {
        remove(item)
        continue
      }
      const bytes = measureRumor(rumor)
      if (bytes > bytesLeft) continue
      bytesLeft -= bytes
      rumors.push(rumor)
      spend(item)
    }
    return rumors
  }

  return { add, heard, take, get urgentCount () { return urgentCount }, get size () { return queued.size } }
}
