import type { Random } from '../../src/core/index.js'
import {
  applyOrder, type EngineOrder, type EngineState, type GateMessage, GateMessageKind, OrderResult
} from '../../src/orders/index.js'

interface SentOrder {
  orderId: string
  token: number
  order: EngineOrder
}

/** Probability per step that an order finishes; low, because loading weights takes long. */
const FINISH_PROBABILITY = 0.4

type EngineFrame = { sent: SentOrder } | { sent?: undefined }

/** A simulated engine behind one connection, which delivers frames in order and may break. */
export interface FakeEngine {
  sendOrder (sent: SentOrder): void
  query (): void
  /** Receives the next frame; if there is none, may finish a running order. */
  step (): void
  /** Breaks the connection: some sent frames still arrive, the others do not. Returns the unanswered orders. */
  breakConnection (): string[]
  /** Orders that started or took effect after one with a later fencing token had started. */
  readonly supersededCount: number
  readonly state: EngineState
}

/**
 * Creates an engine with nothing loaded. An engine that ignores fencing tokens starts every order that
 * arrives, and concurrent orders finish in any sequence.
 *
 * @example
 * const engine = createFakeEngine({ random, checksFence: false, answer: message => gate.handle(message) })
 */
export const createFakeEngine = (
  { random, checksFence, answer }: { random: Random, checksFence: boolean, answer: (message: GateMessage) => void }
): FakeEngine => {
  let frames: EngineFrame[] = []
  let running: SentOrder[] = []
  let unansweredIds: string[] = []
  let state: EngineState = { adapters: [] }
  let highestToken = 0
  let supersededCount = 0

  const reply = (orderId: string, result: OrderResult) => {
    if (!unansweredIds.includes(orderId)) return
    // The order counts as unanswered if the connection breaks before the reply arrives.
    answer({ kind: GateMessageKind.OrderAnswered, orderId, result })
    unansweredIds = unansweredIds.filter(id => id !== orderId)
  }

  const start = (sent: SentOrder) => {
    if (checksFence && sent.token < highestToken) return reply(sent.orderId, OrderResult.RefusedStale)
    if (sent.token < highestToken) supersededCount += 1
    highestToken = Math.max(highestToken, sent.token)
    running.push(sent)
  }

  const finish = () => {
    if (running.length === 0) return
    const sent = random.pick(running)
    running = running.filter(other => other !== sent)
    if (random.next() < 0.1) return reply(sent.orderId, OrderResult.Failed)
    if (sent.token < highestToken) supersededCount += 1
    state = applyOrder(state, sent.order)
    reply(sent.orderId, OrderResult.Done)
  }

  const receive = ({ sent }: EngineFrame) => {
    if (sent !== undefined) start(sent)
    else answer({ kind: GateMessageKind.EngineStateRead, state, isBusy: running.length > 0 })
  }

  return {
    sendOrder: sent => {
      unansweredIds.push(sent.orderId)
      frames.push({ sent })
    },
    query: () => { frames.push({}) },
    step: () => {
      const frame = frames.shift()
      if (frame !== undefined) receive(frame)
      else if (random.next() < FINISH_PROBABILITY) finish()
    },
    breakConnection: () => {
      const arriving = frames.slice(0, random.int(0, frames.length))
      const lost = unansweredIds
      frames = []
      unansweredIds = []
      for (const { sent } of arriving) if (sent !== undefined) start(sent)
      return lost
    },
    get supersededCount () { return supersededCount },
    get state () { return state }
  }
}
