import { type Clock, type Core, dispatch, fingerprint, type HandlerTable } from '../../src/core/index.js'
import {
  type AgentRef, type CallEffect, CallEffectKind, type CallMessage, CallMessageKind, createBindingOwner, type OwnerEffect,
  OwnerEffectKind, type OwnerMessage, OwnerMessageKind
} from '../../src/once/index.js'
import type { FakeLog } from './fakeLog.js'
import { type CallRecord, type CoreFactories, type SubmitOptions, type ProcessMessage, ProcessMessageKind, type WorldOptions } from './worldTypes.js'

export interface EntryProcessOptions {
  id: string
  clock: Clock
  world: WorldOptions
  log: FakeLog
  createCall: CoreFactories['createCall']
  /** Runs `task` unless this incarnation of the process has ended by then. */
  runIfCurrent: (task: () => void) => void
  ownerId: () => string
  chooseAgent: (excluded: AgentRef[]) => AgentRef | undefined
  send: (to: string, processMessage: ProcessMessage) => void
  onEnded: (record: CallRecord) => void
}

/** One incarnation of a simulated entry: its binding owner and its calls. */
export interface EntryProcess {
  receive (processMessage: ProcessMessage, from: string): void
  submit (options: SubmitOptions, record: CallRecord, deadlineMs: number): void
  postToOwner (message: OwnerMessage): void
  postToCall (requestId: string, message: CallMessage): void
  postToAllCalls (message: CallMessage): void
}

export const createEntryProcess = (options: EntryProcessOptions): EntryProcess => {
  const { clock, world, log, send, runIfCurrent } = options
  const owner = createBindingOwner({ clock, windowMs: world.windowMs, rules: world.rules?.owner })
  const calls = new Map<string, { core: Core<CallMessage, CallEffect>, perform: (effect: CallEffect) => void }>()

  const postLogReply = (message: OwnerMessage) => runIfCurrent(() => {
    world.onStep?.()
    postToOwner(message)
  })

  const ownerPerformers: HandlerTable<OwnerEffect, void> = {
    [OwnerEffectKind.Append]: ({ shard, ticket, stream, record }) => log.append(stream, record,
      offset => postLogReply({ kind: OwnerMessageKind.AppendDone, shard, ticket, offset }),
      () => postLogReply({ kind: OwnerMessageKind.AppendFailed, shard, ticket })),
    [OwnerEffectKind.Read]: ({ shard, ticket, stream, fromOffset, recordsMax }) => log.read(stream, fromOffset, recordsMax,
      page => postLogReply({ kind: OwnerMessageKind.PageRead, shard, ticket, page }),
      () => postLogReply({ kind: OwnerMessageKind.ReadFailed, shard, ticket })),
    [OwnerEffectKind.Reply]: ({ to, reply }) => send(to, { kind: ProcessMessageKind.Bound, reply }),
    [OwnerEffectKind.RetentionTooShort]: () => {}
  }

  const postToOwner = (message: OwnerMessage) => {
    for (const effect of owner.handle(message)) dispatch(ownerPerformers, effect)
  }

  const postToCall = (requestId: string, message: CallMessage) => {
    const call = calls.get(requestId)
    if (call !== undefined) call.core.handle(message).forEach(call.perform)
  }

  const createEffectPerformer = (record: CallRecord) => {
    const { requestId } = record
    const performers: HandlerTable<CallEffect, void> = {
      [CallEffectKind.ChooseAgent]: ({ excluded }) =>
        postToCall(requestId, { kind: CallMessageKind.AgentChosen, agent: options.chooseAgent(excluded) }),
      [CallEffectKind.AskOwner]: ({ request }) => send(options.ownerId(), { kind: ProcessMessageKind.Bind, request }),
      [CallEffectKind.Dispatch]: ({ agent, frame }) => send(agent.address, { kind: ProcessMessageKind.Dispatch, frame }),
      [CallEffectKind.SendVoid]: ({ agent, frame }) => send(agent.address, { kind: ProcessMessageKind.Void, frame }),
      [CallEffectKind.Detach]: ({ agent, scopedKey }) =>
        send(agent.address, { kind: ProcessMessageKind.Detach, scopedKey, requestId }),
      [CallEffectKind.Forward]: ({ bytes }) => { record.forwardedBody += Buffer.from(bytes).toString() },
      [CallEffectKind.Finish]: ({ outcome, code }) => {
        calls.delete(requestId)
        Object.assign(record, { outcome, code })
        options.onEnded(record)
      }
    }
    return (effect: CallEffect) => dispatch(performers, effect)
  }

  return {
    receive: (processMessage, from) => {
      if (processMessage.kind === ProcessMessageKind.Bind) postToOwner({ kind: OwnerMessageKind.BindRequested, from, request: processMessage.request })
      if (processMessage.kind === ProcessMessageKind.Bound) {
        postToCall(processMessage.reply.requestId, { kind: CallMessageKind.BindReplied, reply: processMessage.reply })
      }
      if (processMessage.kind === ProcessMessageKind.AgentReply) {
        const { incarnation, reply } = processMessage
        postToCall(reply.requestId, { kind: CallMessageKind.AgentReplied, incarnation, reply })
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
      calls.set(record.requestId, { core, perform: createEffectPerformer(record) })
      postToCall(record.requestId, { kind: CallMessageKind.Started })
    },
    postToOwner,
    postToCall,
    postToAllCalls: message => { for (const requestId of [...calls.keys()]) postToCall(requestId, message) }
  }
}
