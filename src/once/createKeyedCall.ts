import {
  type Clock, type Core, describeResult, dispatch, type HandlerTable, ResultCode, type TimestampMs
} from '../core/index.js'
import { createChunkAssembler } from './createChunkAssembler.js'
import { AGENT_REPLY_TIMEOUT_MS, BIND_PHASE_MAX_MS, BIND_RETRY_MS, KeyState, PROBE_RETRY_MS, REBINDS_MAX } from './constants.js'
import { CallPhase, getDefaultCallState } from './keyedCallState.js'
import {
  CALL_RULES, type CallEffect, CallEffectKind, type CallMessage, CallMessageKind, type CallRules
} from './keyedCallTypes.js'
import { type AgentReply, AgentReplyKind, type IdempotencyKey } from './types.js'

export interface KeyedCallOptions {
  requestId: string
  key: IdempotencyKey
  body: Uint8Array
  /** Fingerprint of the body. */
  fingerprint: string
  deadlineMs: TimestampMs
  clock: Clock
  rules?: Partial<CallRules>
}

type MessageOf<Kind extends CallMessageKind> = Extract<CallMessage, { kind: Kind }>
type ReplyOf<Kind extends AgentReplyKind> = Extract<AgentReply, { kind: Kind }>

/** Codes of the owner after which the bind request is retried. */
const TRANSIENT_BIND_CODES: ReadonlySet<ResultCode> = new Set([ResultCode.LogUnavailable, ResultCode.BindingUnavailable])

/**
 * State machine of one keyed call at the entry that received it. It ends with exactly one `Finish`.
 *
 * "Not run" requires a void that this call caused, with no rebind requested since: the agent had not seen
 * the key, and the binding was in effect, so no earlier attempt had run either. A call that ends in any
 * other way without the complete response is reported as unknown, or as ran if the agent says so.
 *
 * @example
 * const call = createKeyedCall({ requestId, key, body, fingerprint: fingerprint(body), deadlineMs, clock })
 * call.handle({ kind: CallMessageKind.Started }) // [{ kind: CallEffectKind.ChooseAgent, excluded: [] }]
 */
export const createKeyedCall = ({
  requestId, key, body, fingerprint, deadlineMs, clock, rules: ruleOverrides
}: KeyedCallOptions): Core<CallMessage, CallEffect> => {
  const rules = { ...CALL_RULES, ...ruleOverrides }
  const { scopedKey, keyTimeMs, shard } = key
  const state = getDefaultCallState(clock.nowMs())
  const assembler = createChunkAssembler()

  const finish = (code: ResultCode, httpStatus?: number): CallEffect[] => {
    const { binding, phase } = state
    if (phase === CallPhase.Ended) return []
    state.phase = CallPhase.Ended
    const description = describeResult(code)
    const effects: CallEffect[] = binding === undefined
      ? []
      : [{ kind: CallEffectKind.Detach, agent: binding.agent, scopedKey, requestId }]
    effects.push({
      kind: CallEffectKind.Finish, outcome: description.outcome, code, httpStatus: httpStatus ?? description.httpStatus
    })
    return effects
  }

  /** Ends a call that cannot continue, as not run if a void proves it. */
  const finishWithoutResponse = (unknownCode: ResultCode): CallEffect[] => {
    if (state.notRunCode !== undefined) return finish(state.notRunCode)
    return finish(rules.provesNotRun ? unknownCode : ResultCode.NoUpstream)
  }

  const askOwner = (): CallEffect[] => {
    state.phase = CallPhase.Binding
    state.bindRequestedMs = clock.nowMs()
    // Once a rebind is requested, another entry may dispatch the new binding, so the void is no longer proof.
    state.notRunCode = undefined
    const { candidate, voidedOffset } = state
    return [{
      kind: CallEffectKind.AskOwner,
      request: { scopedKey, keyTimeMs, shard, requestId, fingerprint, candidate, voidedOffset }
    }]
  }

  const chooseAgent = (): CallEffect[] => {
    state.phase = CallPhase.Choosing
    state.bindStartedMs = clock.nowMs()
    return [{ kind: CallEffectKind.ChooseAgent, excluded: state.excluded }]
  }

  const sendDispatch = (): CallEffect[] => {
    const { binding } = state
    if (binding === undefined) return []
    state.phase = CallPhase.Dispatched
    state.lastReplyMs = clock.nowMs()
    return [{
      kind: CallEffectKind.Dispatch,
      agent: binding.agent,
      frame: {
        scopedKey,
        keyTimeMs,
        shard,
        requestId,
        fingerprint,
        bindingOffset: binding.offset,
        agentIncarnation: binding.agent.incarnation,
        fromSequence: assembler.nextSequence,
        body
      }
    }]
  }

  const onVoid = (code: ResultCode | undefined, isNewVoid: boolean): CallEffect[] => {
    const { binding } = state
    if (binding === undefined) return []
    state.voidedOffset = binding.offset
    state.excluded.push(binding.agent)
    state.binding = undefined
    if (isNewVoid) state.notRunCode = code ?? ResultCode.NoUpstream
    state.rebindCount += 1
    return state.rebindCount > REBINDS_MAX ? finishWithoutResponse(ResultCode.BindingUnavailable) : chooseAgent()
  }

  /** Asks the agent to void the binding if its dispatch has not arrived; sent when the agent does not reply. */
  const probe = (): CallEffect[] => {
    const { binding } = state
    if (binding === undefined) return []
    if (!rules.rebindsAfterVoidOnly && assembler.nextSequence === 0) return onVoid(undefined, true)
    state.phase = CallPhase.Probing
    state.lastProbeMs = clock.nowMs()
    return [{
      kind: CallEffectKind.SendVoid,
      agent: binding.agent,
      frame: {
        scopedKey,
        keyTimeMs,
        shard,
        requestId,
        bindingOffset: binding.offset,
        agentIncarnation: binding.agent.incarnation
      }
    }]
  }

  const onAgentChosen = ({ agent }: MessageOf<CallMessageKind.AgentChosen>): CallEffect[] => {
    if (state.phase !== CallPhase.Choosing) return []
    if (agent === undefined && state.notRunCode !== undefined) return finish(state.notRunCode)
    state.candidate = agent
    return askOwner()
  }

  const onBindReplied = ({ reply }: MessageOf<CallMessageKind.BindReplied>): CallEffect[] => {
    const { code, binding } = reply
    if (state.phase !== CallPhase.Binding || reply.requestId !== requestId) return []
    if (TRANSIENT_BIND_CODES.has(code)) {
      state.bindCode = code
      return []
    }
    if (code !== ResultCode.Ok || binding === undefined) return finish(code)
    // A reply that was sent before the void still carries the voided binding.
    if (state.voidedOffset !== undefined && binding.offset <= state.voidedOffset) return []
    state.binding = binding
    state.bindCode = undefined
    return sendDispatch()
  }

  /** After a probe the call is dispatched again: the link may be new, and the agent does not know the call on it. */
  const onKeySeen = (): CallEffect[] => {
    if (state.phase === CallPhase.Probing) return sendDispatch()
    state.phase = CallPhase.Streaming
    return []
  }

  const stateHandlers: Record<KeyState, (reply: ReplyOf<AgentReplyKind.State>) => CallEffect[]> = {
    [KeyState.Running]: onKeySeen,
    [KeyState.Done]: onKeySeen,
    [KeyState.Voided]: ({ code }) => onVoid(code, true),
    [KeyState.AlreadyVoid]: () => onVoid(undefined, false)
  }

  const onChunk = ({ sequence, bytes }: ReplyOf<AgentReplyKind.Chunk>): CallEffect[] => {
    state.phase = CallPhase.Streaming
    const chunks = rules.checksResponse ? assembler.add(sequence, bytes) : [bytes]
    return chunks.map(chunk => ({ kind: CallEffectKind.Forward, bytes: chunk }))
  }

  const onEnd = ({ count, hash, httpStatus }: ReplyOf<AgentReplyKind.End>): CallEffect[] => {
    if (!rules.checksResponse || assembler.matches(count, hash)) return finish(ResultCode.Ok, httpStatus)
    // Chunks are missing: dispatch again to continue from the first missing one.
    if (assembler.nextSequence < count) return sendDispatch()
    return finish(ResultCode.AnswerLost)
  }

  const replyHandlers: { [Kind in AgentReplyKind]: (reply: ReplyOf<Kind>) => CallEffect[] } = {
    [AgentReplyKind.State]: reply => stateHandlers[reply.state](reply),
    [AgentReplyKind.Chunk]: onChunk,
    [AgentReplyKind.End]: onEnd,
    [AgentReplyKind.Refused]: ({ code }) => finish(code)
  }

  const onAgentReplied = ({ incarnation, reply }: MessageOf<CallMessageKind.AgentReplied>): CallEffect[] => {
    const { binding } = state
    const isCurrent = binding !== undefined && reply.requestId === requestId && reply.bindingOffset === binding.offset
    if (!isCurrent) return []
    if (incarnation !== binding.agent.incarnation) {
      // From a later incarnation at the bound agent's address, only a BoundAgentGone refusal concerns this binding.
      const isRefusal = reply.kind === AgentReplyKind.Refused && reply.code === ResultCode.BoundAgentGone
      return isRefusal ? finish(reply.code) : []
    }
    state.lastReplyMs = clock.nowMs()
    return dispatch(replyHandlers, reply)
  }

  const isBoundTo = (incarnation: string) => state.binding?.agent.incarnation === incarnation

  const onTick = (): CallEffect[] => {
    const nowMs = clock.nowMs()
    if (nowMs >= deadlineMs) return finishWithoutResponse(state.bindCode ?? ResultCode.DeadlineExceeded)
    return tickHandlers[state.phase](nowMs)
  }

  const tickBinding = (nowMs: TimestampMs): CallEffect[] => {
    if (nowMs - state.bindStartedMs >= BIND_PHASE_MAX_MS) return finishWithoutResponse(state.bindCode ?? ResultCode.BindingUnavailable)
    return nowMs - state.bindRequestedMs >= BIND_RETRY_MS ? askOwner() : []
  }
  const tickWaiting = (nowMs: TimestampMs) => nowMs - state.lastReplyMs >= AGENT_REPLY_TIMEOUT_MS ? probe() : []

  const tickHandlers: Record<CallPhase, (nowMs: TimestampMs) => CallEffect[]> = {
    [CallPhase.Choosing]: () => [],
    [CallPhase.Binding]: tickBinding,
    [CallPhase.Dispatched]: tickWaiting,
    [CallPhase.Streaming]: tickWaiting,
    [CallPhase.Probing]: nowMs => nowMs - state.lastProbeMs >= PROBE_RETRY_MS ? probe() : [],
    [CallPhase.Ended]: () => []
  }

  const handlers: HandlerTable<CallMessage, CallEffect[]> = {
    [CallMessageKind.Started]: chooseAgent,
    [CallMessageKind.AgentChosen]: onAgentChosen,
    [CallMessageKind.BindReplied]: onBindReplied,
    [CallMessageKind.OwnerChanged]: () => state.phase === CallPhase.Binding ? askOwner() : [],
    [CallMessageKind.AgentReplied]: onAgentReplied,
    [CallMessageKind.LinkLost]: ({ incarnation }) => isBoundTo(incarnation) ? probe() : [],
    [CallMessageKind.AgentGone]: ({ incarnation }) => isBoundTo(incarnation) ? finish(ResultCode.BoundAgentGone) : [],
    [CallMessageKind.CallerGone]: () => finish(ResultCode.CallerGone),
    [CallMessageKind.Tick]: onTick
  }

  return { handle: message => state.phase === CallPhase.Ended ? [] : dispatch(handlers, message) }
}
