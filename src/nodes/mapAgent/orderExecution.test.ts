import { describe, expect, it } from 'vitest'
import { OrderAnswer, type RankOrder, RankOrderKind } from '../../expertMaps/index.js'
import { createOrderExecution } from './orderExecution.js'
import type { RankPort } from './types.js'

const GO: RankOrder = { kind: RankOrderKind.Go, step: 7 }
const PREPARE: RankOrder = { kind: RankOrderKind.Prepare, version: 3, map: [] }

/** Executes an order at a rank that gives these answers one after the other; undefined is no answer. */
const execute = (order: RankOrder, ...answers: (boolean | undefined)[]) =>
  createOrderExecution({ log: () => {} })({ order: async () => answers.shift() } as Partial<RankPort> as RankPort, 1, order)

describe('the answer of a rank to an order', () => {
  // Guards against a switch that goes on as if a rank had carried out an order, or had refused it, because it said nothing.
  it.each<[RankOrder, (boolean | undefined)[], OrderAnswer]>([
    [GO, [undefined], OrderAnswer.None],
    [GO, [true], OrderAnswer.Accepted],
    [GO, [false], OrderAnswer.Rejected],
    [PREPARE, [undefined, undefined], OrderAnswer.None],
    [PREPARE, [undefined, true], OrderAnswer.Accepted],
    // The rank may have the map from the first order.
    [PREPARE, [undefined, false], OrderAnswer.None]
  ])('is none without a response: %j, %j', async (order, answers, expected) => {
    expect(await execute(order, ...answers)).toBe(expected)
  })
})
