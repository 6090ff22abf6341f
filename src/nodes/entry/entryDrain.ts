import { type Clock, createLog } from '../../core/index.js'
import { NodeRole } from '../../links/index.js'
import type { EntrySettings } from '../settings.js'
import { waitForDrain } from '../waitForDrain.js'
import type { MembershipHub } from './membershipHub.js'

const log = createLog('entry')

export interface EntryDrainOptions {
  settings: EntrySettings
  clock: Clock
  /** Number of requests and keyed calls in flight, and of responses that are still being written. */
  countWork: () => number
}

/** Drain of one entry, from the stop order until no caller uses the entry. */
export interface EntryDrain {
  readonly isStarted: boolean
  /** The addresses handed out to callers have expired, so further requests are refused. */
  readonly isRefusing: boolean
  /** Leaves the address directory and resolves when all requests have ended or the drain limit is reached. */
  run (membership: Pick<MembershipHub, 'startDrain'>): Promise<void>
}

/**
 * Creates the drain of one entry.
 *
 * @example
 * const drain = createEntryDrain({ settings, clock, countWork })
 * await drain.run(membership)
 */
export const createEntryDrain = ({ settings, clock, countWork }: EntryDrainOptions): EntryDrain => {
  const { nodeId, drainLimitMs: workLimitMs, drainSettleMs: settleMs, addressLifetimeMs } = settings
  let startedMs: number | undefined
  return {
    get isStarted () { return startedMs !== undefined },
    get isRefusing () { return startedMs !== undefined && clock.nowMs() > startedMs + settleMs + addressLifetimeMs },
    run: async membership => {
      log('entry %s is draining', nodeId)
      startedMs = clock.nowMs()
      membership.startDrain()
      await waitForDrain({ role: NodeRole.Entry, clock, settings: { workLimitMs, settleMs, addressLifetimeMs }, countWork })
      log('entry %s has drained', nodeId)
    }
  }
}
