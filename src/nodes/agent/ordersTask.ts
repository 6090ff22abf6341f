import { randomUUID } from 'node:crypto'
import { type PoolRow, UpstreamKind } from '../../configuration/index.js'
import { type Clock, createLog, createTask, dispatch, type HandlerTable, type Task } from '../../core/index.js'
import { type Frame, FrameKind, parseFrame } from '../../links/index.js'
import {
  assignmentFrameSchema, createOrderGate, type EngineState, fenceConfirmedFrameSchema, type GateEffect, GateEffectKind,
  type GateMessage, GateMessageKind
} from '../../orders/index.js'
import type { OrderClient } from '../../clients/index.js'

const log = createLog('orders')

const GATE_TICK_MS = 500

export interface OrdersTaskOptions {
  clock: Clock
  client: OrderClient
  sendTo: (linkId: string, frame: Frame) => void
  /** Returns a link to an entry that can confirm the lease claim in effect. */
  pickEntryLink: () => string | undefined
}

/** Applies the lease holder's assignments to this agent's engine. */
export interface OrdersTask {
  /** Sets the pool row, which says whether the engine checks fencing tokens. */
  setRow (row: PoolRow): void
  onAssignment (frame: Frame): void
  onFenceConfirmed (frame: Frame): void
  onEngineStateRequest (linkId: string): void
  stop (): void
}

/**
 * Creates the task that sends orders to the agent's engine, one at a time.
 *
 * @example
 * const orders = createOrdersTask({ clock, client, sendTo, pickEntryLink })
 * orders.setRow(row)
 */
export const createOrdersTask = ({ clock, client, sendTo, pickEntryLink }: OrdersTaskOptions): OrdersTask => {
  let gate: { task: Task<GateMessage>, checksFence: boolean } | undefined
  let lastEngineState: EngineState | undefined

  const post = (message: GateMessage) => gate?.task.post(message)

  const sendOrder = async ({ orderId, token, order }: Extract<GateEffect, { kind: GateEffectKind.SendOrder }>) => {
    log('sending order %s with fencing token %d: %s', orderId, token, order.kind)
    try {
      post({ kind: GateMessageKind.OrderAnswered, orderId, result: await client.order(token, order) })
    } catch (error) {
      log('no response to order %s: %s', orderId, error instanceof Error ? error.message : error)
      post({ kind: GateMessageKind.OrderAnswerLost, orderId })
    }
  }

  const queryEngine = async () => {
    try {
      const { state, isBusy } = await client.readState()
      lastEngineState = state
      post({ kind: GateMessageKind.EngineStateRead, state, isBusy })
    } catch {
      post({ kind: GateMessageKind.EngineQueryFailed })
    }
  }

  const performers: HandlerTable<GateEffect, void> = {
    [GateEffectKind.SendOrder]: effect => { sendOrder(effect) },
    [GateEffectKind.QueryEngine]: () => { queryEngine() },
    [GateEffectKind.ConfirmFence]: () => {
      const linkId = pickEntryLink()
      if (linkId !== undefined) sendTo(linkId, { kind: FrameKind.FenceQuery })
    },
    [GateEffectKind.AssignmentSettled]: ({ fence, code }) => log('assignment %d/%d ended with code %d', fence.token, fence.sequence, code)
  }

  const startGate = (checksFence: boolean) => {
    gate?.task.stop()
    const core = createOrderGate({ checksFence, clock, createOrderId: randomUUID })
    const task: Task<GateMessage> = createTask({ name: 'orders', core, perform: effect => dispatch(performers, effect) })
    task.tickEvery(GATE_TICK_MS, () => ({ kind: GateMessageKind.Tick }))
    gate = { task, checksFence }
  }

  return {
    setRow: ({ upstreamKind, checksFence }) => {
      if (upstreamKind === UpstreamKind.Engine && gate?.checksFence !== checksFence) startGate(checksFence)
    },
    onAssignment: frame => {
      const { claimOffset, assignment } = parseFrame(assignmentFrameSchema, frame)
      post({ kind: GateMessageKind.FenceSeen, token: claimOffset })
      if (assignment === undefined) return
      const { token, sequence, desired } = assignment
      post({ kind: GateMessageKind.AssignmentReceived, fence: { token, sequence }, desired })
    },
    onFenceConfirmed: frame => {
      post({ kind: GateMessageKind.FenceConfirmed, token: parseFrame(fenceConfirmedFrameSchema, frame).claimOffset })
    },
    onEngineStateRequest: async linkId => {
      try {
        lastEngineState = (await client.readState()).state
      } catch (error) {
        log('failed to read the engine state: %s', error instanceof Error ? error.message : error)
      }
      if (lastEngineState !== undefined) sendTo(linkId, { kind: FrameKind.EngineState, state: lastEngineState })
    },
    stop: () => gate?.task.stop()
  }
}
