import { type Clock, type Core, dispatch, fingerprint, type HandlerTable } from '../../src/core/index.js'
import {
  type AgentRef, type CallEffect, CallEffectKind, type CallMessage, CallMessageKind, createBindingOwner, type OwnerEffect,
  OwnerEffectKind, type OwnerMessage, OwnerMessageKind
} from '../../src/once/index.js'
import type { FakeLog } from './fakeLog.js'
import { type CallRecord, type CoreFactories, type SubmitOptions, type Wire, WireKind, type WorldOptions } from './worldTypes.js'

export interface EntryProcessOptions {
  id: string
  clock: Clock
  world: WorldOptions
  log: FakeLog
  createCall: CoreFactories['createCall']
  /** Runs `act` in this incarnation of the process, or never. */
  whenLive: (act: () => void) => void
  ownerId: () => string
  chooseAgent: (excluded: AgentRef[]) => AgentRef | undefined
  send: (to: string, wire: Wire) => void
  onEnded: (record: CallRecord) => void
}

/** One incarnation of an entry: its owner core and its calls. */
export interface EntryProcess {
  receive (wire: Wire, from: string): void
  submit (options: SubmitOptions, record: CallRecord, deadlineMs: number): void
  toOwner (message: OwnerMessage): void
  toCall (requestId: string, message: CallMessage): void
  toAllCalls (message: CallMessage): void
}

export const createEntryProcess = (options: EntryProcessOptions): EntryProcess => {
  const { clock, world, log, send, whenLive } = options
  const owner = createBindingOwner({ clock, windowMs: world.windowMs, rules: world.rules?.owner })
  const calls = new Map<string, { core: Core<CallMessage, CallEffect>, perform: (effect: CallEffect) => void }>()

  const answerOwner = (message: OwnerMessage) => whenLive(() => {
    world.onStep?.()
    toOwner(message)
  })

  const ownerPerformers: HandlerTable<OwnerEffect, void> = {
    [OwnerEffectKind.Append]: ({ shard, ticket, stream, record }) => log.append(stream, record,
      offset => answerOwner({ kind: OwnerMessageKind.AppendDone, shard, ticket, offset }),
      () => answerOwner({ kind: OwnerMessageKind.AppendFailed, shard, ticket })),
    [OwnerEffectKind.Read]: ({ shard, ticket, stream, fromOffset, recordsMax }) => log.read(stream, fromOffset, recordsMax,
      page => answerOwner({ kind: OwnerMessageKind.PageRead, shard, ticket, page }),
      () => answerOwner({ kind: OwnerMessageKind.ReadFailed, shard, ticket })),
    [OwnerEffectKind.Reply]: ({ to, reply }) => send(to, { kind: WireKind.Bound, reply }),
    [OwnerEffectKind.RetentionTooShort]: () => {}
  }

  const toOwner = (message: OwnerMessage) => {
    for (const effect of owner.handle(message)) dispatch(ownerPerformers, effect)
  }

  const toCall = (requestId: string, message: CallMessage) => {
    const call = calls.get(requestId)
    if (call !== undefined) call.core.handle(message).forEach(call.perform)
  }

  const createPerform = (record: CallRecord) => {
    const { requestId } = record
    const performers: HandlerTable<CallEffect, void> = {
      [CallEffectKind.ChooseAgent]: ({ excluded }) =>
        toCall(requestId, { kind: CallMessageKind.AgentChosen, agent: options.chooseAgent(excluded) }),
      [CallEffectKind.AskOwner]: ({ request }) => send(options.ownerId(), { kind: WireKind.Bind, request }),
      [CallEffectKind.Dispatch]: ({ agent, frame }) => send(agent.address, { kind: WireKind.Dispatch, frame }),
      [CallEffectKind.SendVoid]: ({ agent, frame }) => send(agent.address, { kind: WireKind.Void, frame }),
      [CallEffectKind.Detach]: ({ agent, scopedKey }) =>
        send(agent.address, { kind: WireKind.Detach, scopedKey, requestId }),
      [CallEffectKind.Forward]: ({ bytes }) => { record.forwarded += Buffer.from(bytes).toString() },
      [CallEffectKind.Finish]: ({ outcome, code }) => {
        calls.delete(requestId)
        Object.assign(record, { outcome, code })
        options.onEnded(record)
      }
    }
    return (effect: CallEffect) => dispatch(performers, effect)
  }

  return {
    receive: (wire, from) => {
      if (wire.kind === WireKind.Bind) toOwner({ kind: OwnerMessageKind.BindRequested, from, request: wire.request })
      if (wire.kind === WireKind.Bound) {
        toCall(wire.reply.requestId, { kind: CallMessageKind.BindReplied, reply: wire.reply })
      }
      if (wire.kind === WireKind.AgentReply) {
        const { incarnation, reply } = wire
        toCall(reply.requestId, { kind: CallMessageKind.AgentReplied, incarnation, reply })
      }
    },
    submit: ({ key, body }, record, deadlineMs) => {
      const core = options.createCall({
        requestId: record.requestId,
        key,
        body: Buffer.from(body),
        fingerprint: fingerprint(body),
        deadlineMs: clock.nowMs() + deadlineMs,
        clock,
        rules: world.rules?.call
      })
      calls.set(record.requestId, { core, perform: createPerform(record) })
      toCall(record.requestId, { kind: CallMessageKind.Started })
    },
    toOwner,
    toCall,
    toAllCalls: message => { for (const requestId of [...calls.keys()]) toCall(requestId, message) }
  }
}
