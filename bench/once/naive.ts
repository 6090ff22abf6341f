import { type Core, describeResult, dispatch, type HandlerTable, ResultCode } from '../../src/core/index.js'
import {
  type AgentRef, AgentReplyKind, type CallEffect, CallEffectKind, type CallMessage, CallMessageKind, createKeyedRuns,
  type KeyedCallOptions
} from '../../src/once/index.js'
import type { CoreFactories } from './worldTypes.js'

const REPLY_TIMEOUT_MS = 2_000
const ATTEMPTS_MAX = 3

/**
 * Creates the naive version of a keyed call: it dispatches to any agent, retries at once on another one after a
 * reply timeout or a lost link, forwards chunks as they arrive, and reports a failure as not run.
 */
const createNaiveCall = (
  { requestId, key, body, fingerprint, deadlineMs, clock }: KeyedCallOptions
): Core<CallMessage, CallEffect> => {
  let agent: AgentRef | undefined
  let lastReplyMs = clock.nowMs()
  let hasEnded = false
  const triedAgents: AgentRef[] = []

  const finish = (code: ResultCode): CallEffect[] => {
    hasEnded = true
    const { outcome, httpStatus } = describeResult(code)
    return [{ kind: CallEffectKind.Finish, outcome, code, httpStatus }]
  }
  const attempt = (): CallEffect[] => {
    if (triedAgents.length >= ATTEMPTS_MAX) return finish(ResultCode.NoUpstream)
    return [{ kind: CallEffectKind.ChooseAgent, excluded: triedAgents }]
  }
  const isCurrent = (incarnation: string) => agent?.incarnation === incarnation

  const handlers: HandlerTable<CallMessage, CallEffect[]> = {
    [CallMessageKind.Started]: attempt,
    [CallMessageKind.AgentChosen]: ({ agent: chosen }) => {
      if (chosen === undefined) return finish(ResultCode.NoUpstream)
      agent = chosen
      triedAgents.push(chosen)
      lastReplyMs = clock.nowMs()
      return [{
        kind: CallEffectKind.Dispatch,
        agent: chosen,
        frame: {
          ...key, requestId, fingerprint, bindingOffset: 0, agentIncarnation: chosen.incarnation, fromSequence: 0, body
        }
      }]
    },
    [CallMessageKind.BindReplied]: () => [],
    [CallMessageKind.OwnerChanged]: () => [],
    [CallMessageKind.AgentReplied]: ({ incarnation, reply }) => {
      if (!isCurrent(incarnation)) return []
      lastReplyMs = clock.nowMs()
      if (reply.kind === AgentReplyKind.Chunk) return [{ kind: CallEffectKind.Forward, bytes: reply.bytes }]
      if (reply.kind === AgentReplyKind.End) return finish(ResultCode.Ok)
      return reply.kind === AgentReplyKind.Refused ? attempt() : []
    },
    [CallMessageKind.LinkLost]: ({ incarnation }) => isCurrent(incarnation) ? attempt() : [],
    [CallMessageKind.AgentGone]: ({ incarnation }) => isCurrent(incarnation) ? attempt() : [],
    [CallMessageKind.CallerGone]: () => finish(ResultCode.CallerGone),
    [CallMessageKind.Tick]: () => {
      if (clock.nowMs() >= deadlineMs) return finish(ResultCode.NoUpstream)
      return clock.nowMs() - lastReplyMs >= REPLY_TIMEOUT_MS ? attempt() : []
    }
  }
  return { handle: message => hasEnded ? [] : dispatch(handlers, message) }
}

/** The naive version as a baseline: each agent remembers its own keys, and nothing else is shared. */
export const NAIVE_FACTORIES: CoreFactories = {
  createCall: createNaiveCall,
  createRuns: options => createKeyedRuns({ ...options, rules: { checksIncarnation: false, remembersVoids: false } })
}
