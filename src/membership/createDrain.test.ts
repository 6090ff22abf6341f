import { describe, expect, it } from 'vitest'
import { createManualClock, Outcome, RESULT_TABLE } from '../core/index.js'
import { NodeRole } from '../links/index.js'
import { DIRECTORY_SETTLE_MS } from './constants.js'
import { createDrain, DrainEffectKind, DrainMessageKind } from './createDrain.js'

const settings = { addressLifetimeMs: 30_000, keepAnswersMs: 5_000, workLimitMs: 60_000 }
const setUp = (role: NodeRole) => {
  const clock = createManualClock(1_000)
  const core = createDrain({ role, settings, clock })
  const offer = (workId: string) => core.handle({ kind: DrainMessageKind.WorkOffered, workId })[0]!.kind
  const tickAfter = (durationMs: number) => {
    clock.advance(durationMs)
    return core.handle({ kind: DrainMessageKind.Tick })
  }
  return { clock, core, offer, tickAfter, stop: () => core.handle({ kind: DrainMessageKind.StopRequested }) }
}
const done = (...abortedWorkIds: string[]) => [{ kind: DrainEffectKind.DrainDone, abortedWorkIds }]

describe('drain of an entry', () => {
  // Guards against refusing callers whose addresses are still valid.
  it('serves callers with old addresses until the longest lifetime has passed', () => {
    const { offer, stop, tickAfter, core } = setUp(NodeRole.Entry)
    expect(stop()).toEqual([{ kind: DrainEffectKind.AnnounceDraining }])
    expect(tickAfter(DIRECTORY_SETTLE_MS + 29_999)).toEqual([])
    expect(offer('late')).toBe(DrainEffectKind.AcceptWork)
    expect(tickAfter(1)).toEqual([])
    expect(offer('too-late')).toBe(DrainEffectKind.RefuseWork)
    expect(core.handle({ kind: DrainMessageKind.WorkEnded, workId: 'late' })).toEqual(done())
  })

  // Guards against aborting open streams too early, and against a drain that waits forever for one.
  it('waits for open streams up to the limit and lists those it aborts', () => {
    const { offer, stop, tickAfter } = setUp(NodeRole.Entry)
    offer('stream')
    stop()
    expect(tickAfter(DIRECTORY_SETTLE_MS + 30_000 + 59_999)).toEqual([])
    expect(tickAfter(1)).toEqual(done('stream'))
    expect(tickAfter(1)).toEqual([])
  })
})

describe('drain of an agent', () => {
  // Guards against new work on a draining agent, and against a refusal whose outcome isn't "not run".
  it('refuses new work at once as not run and announces the drain on later links', () => {
    const { core, offer, stop } = setUp(NodeRole.Agent)
    offer('run')
    stop()
    const [refusal] = core.handle({ kind: DrainMessageKind.WorkOffered, workId: 'new' })
    if (refusal?.kind !== DrainEffectKind.RefuseWork) throw new Error('accepted')
    expect(RESULT_TABLE[refusal.code].outcome).toBe(Outcome.NotRun)
    expect(core.handle({ kind: DrainMessageKind.LinkOpened, linkId: 'a' }))
      .toEqual([{ kind: DrainEffectKind.AnnounceOnLink, linkId: 'a' }])
  })

  // Guards against losing responses that a caller may still request.
  it('keeps the responses of its last run', () => {
    const { core, offer, stop, tickAfter } = setUp(NodeRole.Agent)
    offer('run')
    stop()
    tickAfter(20_000)
    expect(core.handle({ kind: DrainMessageKind.WorkEnded, workId: 'run' })).toEqual([])
    expect(tickAfter(4_999)).toEqual([])
    expect(tickAfter(1)).toEqual(done())
  })

  it.each([[NodeRole.Agent, 0], [NodeRole.Entry, DIRECTORY_SETTLE_MS + 30_000]])('ends an idle %s after %i ms', (role, waitMs) => {
    const { stop, tickAfter } = setUp(role)
    const effects = [...stop(), ...tickAfter(waitMs)]
    expect(effects).toContainEqual(done()[0])
  })
})
