import { describe, expect, it } from 'vitest'
import { EngineRole } from '../configuration/index.js'
import { createManualClock, ResultCode } from '../core/index.js'
import { ENGINE_CHECK_INTERVAL_MS, FENCE_CONFIRM_TIMEOUT_MS, ORDER_RETRY_MIN_MS, ORDER_TIMEOUT_MS, OrderResult } from './constants.js'
import { createOrderGate } from './createOrderGate.js'
import { type EngineState, type GateEffect, GateEffectKind, type GateMessage, GateMessageKind } from './types.js'

const desired = { role: EngineRole.Decode, model: 'quote-7b', version: '2', adapters: ['roof'] }
const loaded: EngineState = { role: EngineRole.Decode, model: 'quote-7b', version: '2', adapters: [] }
const running: EngineState = { ...loaded, adapters: ['roof'] }

const assignment = (token: number, sequence = 1): GateMessage =>
  ({ kind: GateMessageKind.AssignmentReceived, fence: { token, sequence }, desired })
const seen = (token: number): GateMessage => ({ kind: GateMessageKind.FenceSeen, token })
const confirmed = (token: number): GateMessage => ({ kind: GateMessageKind.FenceConfirmed, token })
const state = (engine: EngineState, isBusy = false): GateMessage =>
  ({ kind: GateMessageKind.EngineStateRead, state: engine, isBusy })
const done = (id: number): GateMessage =>
  ({ kind: GateMessageKind.OrderAnswered, orderId: `o${id}`, result: OrderResult.Done })
const answer = (id: number, result: OrderResult): GateMessage => ({ kind: GateMessageKind.OrderAnswered, orderId: `o${id}`, result })
const lost = (id: number): GateMessage => ({ kind: GateMessageKind.OrderAnswerLost, orderId: `o${id}` })
const queryFailed: GateMessage = { kind: GateMessageKind.EngineQueryFailed }
const tick: GateMessage = { kind: GateMessageKind.Tick }

const formatters: { [Kind in GateEffectKind]: (effect: Extract<GateEffect, { kind: Kind }>) => string } = {
  [GateEffectKind.SendOrder]: ({ token, order }) => `${order.kind}@${token}`,
  [GateEffectKind.QueryEngine]: () => 'query',
  [GateEffectKind.ConfirmFence]: () => 'confirm',
  [GateEffectKind.AssignmentSettled]: ({ fence, code }) => `${ResultCode[code]}@${fence.token}`
}

/** Runs messages through a gate; a number advances the clock by that many ms. */
const run = (checksFence: boolean, steps: Array<GateMessage | number>): string[] => {
  const clock = createManualClock(1_000_000)
  let count = 0
  const gate = createOrderGate({ checksFence, clock, createOrderId: () => `o${count++}` })
  return steps.flatMap(step => {
    if (typeof step !== 'number') return gate.handle(step)
    clock.advance(step)
    return []
  }).map(effect => (formatters[effect.kind] as (effect: GateEffect) => string)(effect))
}

describe.each([true, false])('order gate, engine checks the fence: %s', checksFence => {
  /** Messages after which the gate sends its first order. */
  const begin = (token: number, engine: EngineState = { adapters: [] }): GateMessage[] =>
    checksFence ? [assignment(token), state(engine)] : [assignment(token), state(engine), confirmed(token)]
  const begun = checksFence ? ['query'] : ['query', 'confirm']

  it.each<[string, Array<GateMessage | number>, string[]]>([
    ['sends one order at a time, each after the response to the previous one',
      [...begin(5), done(0), done(1), done(2)],
      ['load-model@5', 'change-role@5', 'load-adapter@5', 'Ok@5']],
    ['sends no order to an engine that already runs its assignment', begin(5, running), ['Ok@5']],
    ['refuses an assignment of a superseded holder', [...begin(5, running), assignment(3)], ['Ok@5', 'FenceSuperseded@3']],
    ['stops between two orders once it learns of a later claim', [...begin(5), seen(9), done(0), tick], ['load-model@5', 'FenceSuperseded@5']],
    ['ignores an earlier assignment of the same claim that arrives late', [...begin(5, running), assignment(5, 3), assignment(5, 2)],
      ['Ok@5', 'Ok@5']],
    ['does not interrupt an order for a later assignment', [...begin(5), assignment(9), done(0)], ['load-model@5', 'change-role@9']],
    ['queries the state after a lost response, and orders only what is missing',
      [...begin(5), lost(0), ORDER_RETRY_MIN_MS, tick, state(loaded)], ['load-model@5', 'query', 'load-adapter@5']],
    ['waits until an order whose response was lost has ended', [
      ...begin(5), lost(0), assignment(9), state({ adapters: [] }, true), tick,
      ENGINE_CHECK_INTERVAL_MS + 1, tick, state(loaded)
    ], ['load-model@5', 'query', 'query', 'load-adapter@9']],
    ['ignores the late response to an abandoned order', [...begin(5), lost(0), done(0), answer(0, OrderResult.RefusedStale)], ['load-model@5']],
    ['treats a response that never arrives as lost', [...begin(5), ORDER_TIMEOUT_MS + 1, tick, ORDER_RETRY_MIN_MS, tick], ['load-model@5', 'query']],
    ['retries a failed order after a delay', [...begin(5), answer(0, OrderResult.Failed), tick, ORDER_RETRY_MIN_MS, tick], ['load-model@5', 'query']],
    ['reports the third failure and continues to retry', [
      ...begin(5), answer(0, OrderResult.Failed), 2_000, tick, queryFailed, 4_000, tick, queryFailed, 60_000, tick
    ], ['load-model@5', 'query', 'query', 'OrderFailed@5', 'query']],
    ['abandons a token that the engine refuses', [...begin(5), answer(0, OrderResult.RefusedStale), assignment(5, 2)],
      ['load-model@5', 'FenceSuperseded@5', 'FenceSuperseded@5']],
    ['restores the assignment of an engine that restarted by itself', [...begin(5, running), ENGINE_CHECK_INTERVAL_MS + 1, tick, state({ adapters: [] })],
      ['Ok@5', 'query', 'load-model@5']]
  ])('%s', (_case, steps, expected) => {
    expect(run(checksFence, steps)).toEqual([...begun, ...expected])
  })
})

describe('order gate of a restarted agent', () => {
  it.each<[string, boolean, Array<GateMessage | number>, string[]]>([
    ['refuses a stale assignment once an entry has read the lease stream to its end', false,
      [assignment(3), state(running), confirmed(7)], ['query', 'confirm', 'FenceSuperseded@3']],
    ['does not trust an empty engine, where an order with a later token may have failed', false,
      [assignment(3), state({ adapters: [] }), tick], ['query', 'confirm']],
    ['requests confirmation again if no entry replies', false,
      [assignment(3), state(running), FENCE_CONFIRM_TIMEOUT_MS + 1, tick, state(running)], ['query', 'confirm', 'query', 'confirm']],
    ['relies on an engine that checks tokens', true, [assignment(3), state({ adapters: [] })], ['query', 'load-model@3']]
  ])('%s', (_case, checksFence, steps, expected) => {
    expect(run(checksFence, steps)).toEqual(expected)
  })
})
