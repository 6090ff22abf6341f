import type { Random } from '../../src/core/index.js'
import {
  applyOrder, type EngineOrder, type EngineState, type GateMessage, GateMessageKind, OrderResult
} from '../../src/orders/index.js'

interface SentOrder {
  orderId: string
  token: number
  order: EngineOrder
}

/** Orders run for many steps, because loading weights takes long. */
const FINISH_SHARE = 0.4

type EngineFrame = { sent: SentOrder } | { sent?: undefined }

/** An engine behind one connection that keeps frames in order and may break. */
export interface FakeEngine {
  sendOrder (sent: SentOrder): void
  query (): void
  /** Takes the next frame, or finishes an order that runs. */
  step (): void
  /** Breaks the connection: some frames arrive before it, the rest never. Returns the lost orders. */
  breakConnection (): string[]
  /** Orders that took effect although an order with a later token had started. */
  readonly supersededCount: number
  readonly state: EngineState
}

/**
 * Creates an engine with nothing loaded. An engine that ignores tokens starts whatever arrives and
 * finishes orders that run side by side in any order.
 *
 * @example
 * const engine = createFakeEngine({ random, checksFence: false, answer: message => gate.handle(message) })
 */
export const createFakeEngine = (
  { random, checksFence, answer }: { random: Random, checksFence: boolean, answer: (message: GateMessage) => void }
): FakeEngine => {
  let frames: EngineFrame[] = []
  let running: SentOrder[] = []
  let unanswered: string[] = []
  let state: EngineState = { adapters: [] }
  let highestToken = 0
  let supersededCount = 0

  const reply = (orderId: string, result: OrderResult) => {
    if (!unanswered.includes(orderId)) return
    // Still unanswered if the connection breaks before the answer arrives.
    answer({ kind: GateMessageKind.OrderAnswered, orderId, result })
    unanswered = unanswered.filter(id => id !== orderId)
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
      unanswered.push(sent.orderId)
      frames.push({ sent })
    },
    query: () => { frames.push({}) },
    step: () => {
      const frame = frames.shift()
      if (frame !== undefined) receive(frame)
      else if (random.next() < FINISH_SHARE) finish()
    },
    breakConnection: () => {
      const arriving = frames.slice(0, random.int(0, frames.length))
      const lost = unanswered
      frames = []
      unanswered = []
      for (const { sent } of arriving) if (sent !== undefined) start(sent)
      return lost
    },
    get supersededCount () { return supersededCount },
    get state () { return state }
  }
}
