import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createKey } from '../../bench/once/randomSchedule.js'
import { createWorld } from '../../bench/once/world.js'
import { createEventQueue } from '../../bench/harness/index.js'
import { createManualClock, createRandom, ResultCode } from '../core/index.js'
import { BindingKind } from './constants.js'
import { createBindingTable } from './createBindingTable.js'
import type { Binding, BindingItem, BindingRecord } from './types.js'

const START_MS = 1_790_000_000_000
const WINDOW_MS = 600_000
const SEED = 20_261_204

const agentOf = (name: string) => ({ incarnation: name, address: name })
const keyName = fc.constantFrom('a', 'b', 'c')
const agentName = fc.constantFrom('x', 'y', 'z')
const item: fc.Arbitrary<BindingItem> = fc.oneof(
  fc.record({
    kind: fc.constant<BindingKind.Bind>(BindingKind.Bind),
    scopedKey: keyName,
    keyTimeMs: fc.constant(START_MS),
    agent: agentName.map(agentOf),
    fingerprint: fc.constant('f')
  }),
  fc.record({
    kind: fc.constant<BindingKind.Rebind>(BindingKind.Rebind),
    scopedKey: keyName,
    keyTimeMs: fc.constant(START_MS),
    agent: agentName.map(agentOf),
    supersededOffset: fc.integer({ min: 1, max: 12 })
  })
)

/** Reference implementation of the rule in section 7 of the design, evaluated over the entire log for one key. */
const bindingInEffect = (records: BindingRecord[], scopedKey: string): Binding | undefined => {
  let binding: Binding | undefined
  records.forEach(({ bindings }, i) => {
    const offset = i + 1
    for (const entry of bindings.filter(candidate => candidate.scopedKey === scopedKey)) {
      const isFirst = entry.kind === BindingKind.Bind && binding === undefined
      const isRebind = entry.kind === BindingKind.Rebind && binding !== undefined &&
        entry.supersededOffset === binding.offset && offset > binding.offset
      if (isFirst || isRebind) binding = { offset, agent: entry.agent, fingerprint: 'f' }
    }
  })
  return binding
}

describe('differential tests', () => {
  it('the binding table agrees with the rule evaluated over the entire log', () => {
    fc.assert(fc.property(fc.array(fc.array(item, { maxLength: 4 }), { maxLength: 12 }), batches => {
      const records = batches.map(bindings => ({ bindings }))
      const table = createBindingTable({ clock: createManualClock(START_MS), windowMs: WINDOW_MS, bindingsMax: 100 })
      records.forEach((body, i) => table.apply({ offset: i + 1, timeMs: START_MS, body }))
      for (const scopedKey of ['a', 'b', 'c']) expect(table.get(scopedKey)).toEqual(bindingInEffect(records, scopedKey))
    }), { seed: SEED, numRuns: 2_000 })
  })

  it('keyed calls over three entries agree with a single in-memory table', () => {
    for (let seed = 1; seed <= 200; seed++) {
      const queue = createEventQueue(START_MS)
      const random = createRandom(seed)
      const world = createWorld({
        queue,
        seed,
        entries: 3,
        agents: 3,
        windowMs: WINDOW_MS,
        network: { delayMinMs: 1, delayMaxMs: 30, lossRatio: 0, duplicateRatio: 0.2 },
        log: { delayMinMs: 2, delayMaxMs: 30, lostResponseRatio: 0, lateAppendRatio: 0, duplicateAppendRatio: 0.2, isUnavailable: () => false },
        upstream: { chunksMax: 4, chunkDelayMaxMs: 50, failedRatio: 0, notStartedRatio: 0 }
      })
      const keys = Array.from({ length: 3 }, () => createKey({
        timeMs: START_MS, random, nowMs: START_MS, windowMs: WINDOW_MS
      })!)
      const expectedCodes: ResultCode[] = []
      const bodies = new Map<string, string>()
      for (let i = 0; i < 12; i++) {
        const key = random.pick(keys)
        const body = random.next() < 0.2 ? 'order changed' : 'order'
        // The first body of a key is bound well before the next request, so the order of binding is known.
        const boundBody = bodies.get(key.scopedKey) ?? body
        bodies.set(key.scopedKey, boundBody)
        expectedCodes.push(body === boundBody ? ResultCode.Ok : ResultCode.KeyReusedWithOtherBody)
        queue.after(1_000 * i, () => world.submit({ entry: random.int(0, 2), key, body }))
      }
      world.run(60_000)
      expect(world.calls.map(({ code }) => code), `seed ${seed}`).toEqual(expectedCodes)
      expect(world.runs.length, `seed ${seed}`).toBe(bodies.size)
      for (const call of world.calls.filter(({ code }) => code === ResultCode.Ok)) {
        const run = world.runs.find(({ scopedKey }) => scopedKey === call.scopedKey)!
        expect(call.forwardedBody, `seed ${seed}`).toBe(run.answer)
      }
    }
  })
})
