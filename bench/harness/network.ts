import type { Random } from '../../src/core/index.js'
import type { EventQueue } from './eventQueue.js'

/** Delays and faults of a fake network. */
export interface NetworkFaults {
  delayMinMs: number
  delayMaxMs: number
  /** Share of messages that never arrive. */
  lossRatio: number
  /** Share of messages that arrive twice. */
  duplicateRatio: number
  /** Returns true while a partition separates two nodes; messages that arrive then are lost. */
  isPartitioned?: (from: string, to: string) => boolean
}

/** Delivers messages between nodes with seeded delays, losses and duplicates. */
export interface FakeNetwork<Message> {
  join (nodeId: string, receive: (message: Message, from: string) => void): void
  leave (nodeId: string): void
  send (from: string, to: string, message: Message): void
  readonly sentCount: number
  readonly lostCount: number
}

/**
 * Creates a network on virtual time. Each message has its own delay, so messages can be reordered.
 *
 * @example
 * const network = createFakeNetwork<Frame>(queue, random, { delayMinMs: 1, delayMaxMs: 4, lossRatio: 0.1, duplicateRatio: 0 })
 */
export const createFakeNetwork = <Message>(
  queue: EventQueue,
  random: Random,
  faults: NetworkFaults
): FakeNetwork<Message> => {
  const receivers = new Map<string, (message: Message, from: string) => void>()
  let sentCount = 0
  let lostCount = 0

  const deliverLater = (from: string, to: string, message: Message) => {
    const delayMs = faults.delayMinMs + random.next() * (faults.delayMaxMs - faults.delayMinMs)
    queue.after(delayMs, () => {
      if (faults.isPartitioned?.(from, to)) return
      receivers.get(to)?.(message, from)
    })
  }

  return {
    join: (nodeId, receive) => { receivers.set(nodeId, receive) },
    leave: nodeId => { receivers.delete(nodeId) },
    send: (from, to, message) => {
      sentCount += 1
      if (random.next() < faults.lossRatio) {
        lostCount += 1
        return
      }
      deliverLater(from, to, message)
      if (random.next() < faults.duplicateRatio) deliverLater(from, to, message)
    },
    get sentCount () { return sentCount },
    get lostCount () { return lostCount }
  }
}
