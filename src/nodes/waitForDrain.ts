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
 * Waits until a node that stopped taking work may end: its work is done and whoever still holds
 * its address, or may ask for a kept response, has had the time for it.
 *
 * @example
 * await waitForDrain({ role: NodeRole.Agent, settings, clock, countWork: () => runs.activeCount })
 */
export const waitForDrain = async ({ role, settings, clock, countWork }: WaitForDrainOptions): Promise<void> => {
  const drain = createDrain({ role, settings, clock })
  let openCount = 0
  let workNumber = 0
  const open: string[] = []

  /** Mirrors the number of requests in progress into the drain core. */
  const mirrorWork = () => {
    const count = countWork()
    const effects = []
    while (openCount < count) {
      const workId = String(workNumber++)
      open.push(workId)
      openCount += 1
      drain.handle({ kind: DrainMessageKind.WorkOffered, workId })
    }
    while (openCount > count) {
      openCount -= 1
      effects.push(...drain.handle({ kind: DrainMessageKind.WorkEnded, workId: open.shift()! }))
    }
    return effects
  }

  mirrorWork()
  let effects = drain.handle({ kind: DrainMessageKind.StopRequested })
  while (!effects.some(({ kind }) => kind === DrainEffectKind.DrainDone)) {
    await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS))
    effects = [...mirrorWork(), ...drain.handle({ kind: DrainMessageKind.Tick })]
  }
}
