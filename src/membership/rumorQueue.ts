import { LOAD_SENDS, RumorKind } from './constants.js'
import type { Rumor } from './types.js'

interface QueuedRumor {
  key: string
  isUrgent: boolean
  sendsLeft: number
  /** Builds the rumor from the current state when it is sent, so that it is never outdated. */
  build: () => Rumor | undefined
}

export interface RumorQueueOptions {
  /** Upper bound of the encoded size of a rumor. */
  measureRumor: (rumor: Rumor) => number
  /** Number of entries in the fleet; the number of sends per rumor grows with its logarithm. */
  countEntries: () => number
}

/** Lower bound of the size of a rumor; the queue is not searched if less space is left. */
const RUMOR_BYTES_MIN = 30

/** Queue of rumors to send, the least sent first. */
export interface RumorQueue {
  add (rumorKind: RumorKind, subject: string, build: () => Rumor | undefined): void
  /**
   * Counts a record or load rumor that was received from another member as sent once, because others
   * already spread it. Status and broadcast rumors are not counted: a member that misses one reacts late.
   */
  countReceived (rumorKind: RumorKind, subject: string): void
  /** Returns queued rumors of at most `bytesMax` bytes together and counts each as sent once. */
  take (bytesMax: number): Rumor[]
  readonly urgentCount: number
  readonly size: number
}

/**
 * Creates an empty queue. Load rumors are sent after all others and fewer times.
 *
 * @example
 * queue.add(RumorKind.Status, nodeId, () => statusOf(nodeId))
 * const rumors = queue.take(1_000)
 */
export const createRumorQueue = ({ measureRumor, countEntries }: RumorQueueOptions): RumorQueue => {
  const queued = new Map<string, QueuedRumor>()
  let urgentCount = 0

  const urgentSends = () => Math.ceil(1.5 * Math.log2(countEntries() + 2))
  // Records are large, and the sync of member lists makes up for lost ones.
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
    // A record that is still queued includes the status and is kept, because its receivers may not
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

  const countSend = (item: QueuedRumor) => {
    item.sendsLeft -= 1
    if (item.sendsLeft <= 0) remove(item)
  }

  const countReceived = (rumorKind: RumorKind, subject: string) => {
    if (rumorKind === RumorKind.Status || rumorKind === RumorKind.Broadcast) return
    const item = queued.get(`${rumorKind}/${subject}`)
    if (item !== undefined) countSend(item)
  }

  /** Urgent rumors first, then the least sent; a counting sort, because a full queue holds a thousand items. */
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
      countSend(item)
    }
    return rumors
  }

  return { add, countReceived, take, get urgentCount () { return urgentCount }, get size () { return queued.size } }
}
