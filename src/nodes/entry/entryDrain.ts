import { type Clock, createLog } from '../../core/index.js'
import { NodeRole } from '../../links/index.js'
import type { EntrySettings } from '../settings.js'
import { waitForDrain } from '../waitForDrain.js'
import type { MembershipHub } from './membershipHub.js'

const log = createLog('entry')

export interface EntryDrainOptions {
  settings: EntrySettings
  clock: Clock
  /** Requests and keyed calls under way. */
  liveCount: () => number
}

/** The time from the order to stop until nobody uses this entry any more. */
export interface EntryDrain {
  readonly isStarted: boolean
  /** No caller may hold this entry's address any more, so a request that still comes is refused. */
  readonly isRefusing: boolean
  /** Leaves the address answers and resolves when the work is done, or its time is over. */
  run (membership: Pick<MembershipHub, 'startDrain'>): Promise<void>
}

/**
 * Creates the drain of one entry.
 *
 * @example
 * const drain = createEntryDrain({ settings, clock, liveCount })
 * await drain.run(membership)
 */
export const createEntryDrain = ({ settings, clock, liveCount }: EntryDrainOptions): EntryDrain => {
  const { nodeId, drainLimitMs: workLimitMs, drainSettleMs: settleMs, addressLifetimeMs } = settings
  let startedMs: number | undefined
  return {
    get isStarted () { return startedMs !== undefined },
    get isRefusing () { return startedMs !== undefined && clock.nowMs() > startedMs + settleMs + addressLifetimeMs },
    run: async membership => {
      log('entry %s drains', nodeId)
      startedMs = clock.nowMs()
      membership.startDrain()
      await waitForDrain({ role: NodeRole.Entry, clock, settings: { workLimitMs, settleMs, addressLifetimeMs }, countWork: liveCount })
      log('entry %s has drained', nodeId)
    }
  }
}
