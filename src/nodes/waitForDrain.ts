import type { Clock } from '../core/index.js'
import type { NodeRole } from '../links/index.js'
import { createDrain, DrainEffectKind, DrainMessageKind, type DrainSettings } from '../membership/index.js'

const DRAIN_POLL_MS = 50

export interface WaitForDrainOptions {
  role: NodeRole
  settings: DrainSettings
  clock: Clock
  /** Requests or runs still in progress. */
  countWork: () => number
}

/**
 * Waits until a draining node may exit: its work is done, and those that still use its address or may
 * ask for a retained response have had time to do so.
 *
 * @example
 * await waitForDrain({ role: NodeRole.Agent, settings, clock, countWork: () => runs.activeCount })
 */
export const waitForDrain = async ({ role, settings, clock, countWork }: WaitForDrainOptions): Promise<void> => {
  const drain = createDrain({ role, settings, clock })
  let trackedCount = 0
  let nextWorkId = 0
  const trackedIds: string[] = []

  /** Updates the drain core to the current number of requests or runs in progress. */
  const syncWork = () => {
    const count = countWork()
    const effects = []
    while (trackedCount < count) {
      const workId = String(nextWorkId++)
      trackedIds.push(workId)
      trackedCount += 1
      drain.handle({ kind: DrainMessageKind.WorkOffered, workId })
    }
    while (trackedCount > count) {
      trackedCount -= 1
      effects.push(...drain.handle({ kind: DrainMessageKind.WorkEnded, workId: trackedIds.shift()! }))
    }
    return effects
  }

  syncWork()
  let effects = drain.handle({ kind: DrainMessageKind.StopRequested })
  while (!effects.some(({ kind }) => kind === DrainEffectKind.DrainDone)) {
    await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS))
    effects = [...syncWork(), ...drain.handle({ kind: DrainMessageKind.Tick })]
  }
}
