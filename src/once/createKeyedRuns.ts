import { type Clock, type Core, dispatch, type HandlerTable, type Incarnation, ResultCode } from '../core/index.js'
import { AGENT_KEYS_MAX, ANSWER_BYTES_MAX, ANSWER_CHUNKS_MAX, ANSWERS_BYTES_MAX, ANSWERS_CHUNKS_MAX, KeyState } from './constants.js'
import { createResponseStore } from './createResponseStore.js'
import {
  addChunk, attach, detach, detachEntry, endRun, type KeyedRun, refusalReply, stateOfRun, stateReply, replyVoided
} from './keyedRun.js'
import {
  RUNS_RULES, type RunsEffect, RunsEffectKind, type RunsMessage, RunsMessageKind, type RunsRules
} from './keyedRunsTypes.js'
import { createKeyFloor, createKeyTimeIndex } from './keyTimeIndex.js'
import { isFutureKey } from './parseIdempotencyKey.js'
import type { DispatchFrame, IdempotencyKey, VoidIfUnseenFrame } from './types.js'

export interface KeyedRunsOptions {
  clock: Clock
  /** Incarnation of this agent. */
  incarnation: Incarnation
  /** `onceWindowMs` of the pool. */
  windowMs: number
  /** Maximum number of runs and voids kept; a full table refuses new keys as not run. */
  keysMax?: number
  answerBytesMax?: number
  answersBytesMax?: number
  answerChunksMax?: number
  answersChunksMax?: number
  rules?: Partial<RunsRules>
}

type MessageOf<Kind extends RunsMessageKind> = Extract<RunsMessage, { kind: Kind }>

/**
 * State machine that runs each idempotency key at most once in this incarnation of an agent.
 *
 * @example
 * const runs = createKeyedRuns({ clock, incarnation, windowMs: 600_000 })
 * runs.handle({ kind: RunsMessageKind.Dispatched, from: 'entry-1', frame }) // [{ kind: RunsEffectKind.StartRun, ... }]
 */
export const createKeyedRuns = ({
  clock, incarnation, windowMs, keysMax = AGENT_KEYS_MAX, answerBytesMax = ANSWER_BYTES_MAX,
  answersBytesMax = ANSWERS_BYTES_MAX, answerChunksMax = ANSWER_CHUNKS_MAX, answersChunksMax = ANSWERS_CHUNKS_MAX, rules: ruleOverrides
}: KeyedRunsOptions): Core<RunsMessage, RunsEffect> => {
  const rules = { ...RUNS_RULES, ...ruleOverrides }
  const runs = new Map<string, KeyedRun>()
  /** Runs that have not ended, by run id. */
  const running = new Map<string, KeyedRun>()
  /** Highest voided binding offset by key, for keys that have no run. */
  const voids = new Map<string, number>()
  /**
   * Per shard, the offset up to which every binding without a run is void. A full table cannot store another
   * void, but a refusal as not run must still hold for duplicates of the dispatch that arrive later.
   */
  const voidedUpTo = new Map<number, number>()
  const index = createKeyTimeIndex()
  const floor = createKeyFloor(clock, windowMs)
  floor.advance()
  const responses = createResponseStore({ answerBytesMax, answersBytesMax, answerChunksMax, answersChunksMax })
  let runCount = 0
  let isDraining = false

  const isFull = () => runs.size + voids.size >= keysMax

  const isVoid = ({ scopedKey, shard }: IdempotencyKey, bindingOffset: number) =>
    rules.remembersVoids &&
    bindingOffset <= Math.max(voids.get(scopedKey) ?? 0, voidedUpTo.get(shard) ?? 0)

  const storeVoid = ({ scopedKey, keyTimeMs, shard }: IdempotencyKey, bindingOffset: number) => {
    const known = voids.get(scopedKey)
    if (known === undefined && isFull()) {
      voidedUpTo.set(shard, Math.max(voidedUpTo.get(shard) ?? 0, bindingOffset))
      return
    }
    voids.set(scopedKey, Math.max(known ?? 0, bindingOffset))
    if (known === undefined) index.add(scopedKey, keyTimeMs)
  }

  /** Voids a binding without a run. Only a new void proves that the key has not run. */
  const voidBinding = (from: string, frame: DispatchFrame | VoidIfUnseenFrame, code?: ResultCode): RunsEffect[] => {
    if (isVoid(frame, frame.bindingOffset)) return [stateReply(from, frame, KeyState.AlreadyVoid)]
    storeVoid(frame, frame.bindingOffset)
    return [stateReply(from, frame, KeyState.Voided, 0, code)]
  }

  /** Refusals that apply whether or not the key was seen before. */
  const findRefusal = ({ agentIncarnation, keyTimeMs }: DispatchFrame | VoidIfUnseenFrame): ResultCode | undefined => {
    if (rules.checksIncarnation && agentIncarnation !== incarnation) return ResultCode.BoundAgentGone
    const isForgotten = keyTimeMs < floor.floorMs || isFutureKey(keyTimeMs, clock.nowMs())
    return rules.refusesForgottenKeys && isForgotten ? ResultCode.KeyOutsideWindow : undefined
  }

  const startRun = (from: string, frame: DispatchFrame): RunsEffect[] => {
    const { scopedKey, keyTimeMs, shard, bindingOffset, fingerprint, body } = frame
    // An entry that continues a response expects an existing run; without one the response is lost.
    if (frame.fromSequence > 0) return [refusalReply(from, frame, ResultCode.AnswerLost)]
    const run: KeyedRun = {
      runId: `${incarnation}-${runCount++}`,
      scopedKey,
      keyTimeMs,
      shard,
      bindingOffset,
      fingerprint,
      answer: responses.open(),
      waiting: new Map()
    }
    if (!voids.delete(scopedKey)) index.add(scopedKey, keyTimeMs)
    runs.set(scopedKey, run)
    running.set(run.runId, run)
    return [{ kind: RunsEffectKind.StartRun, runId: run.runId, body }, ...attach(run, from, frame)]
  }

  const onDispatched = ({ from, frame }: MessageOf<RunsMessageKind.Dispatched>): RunsEffect[] => {
    const run = rules.joinsRuns ? runs.get(frame.scopedKey) : undefined
    floor.advance()
    const refused = findRefusal(frame)
    if (run === undefined && refused !== undefined) return [refusalReply(from, frame, refused)]
    if (run !== undefined) {
      // A binding to another incarnation may have run there too, so this run's response is not its response.
      if (refused === ResultCode.BoundAgentGone) return [refusalReply(from, frame, refused)]
      if (run.fingerprint === frame.fingerprint) return attach(run, from, frame)
      return [refusalReply(from, frame, ResultCode.KeyReusedWithOtherBody)]
    }
    if (isVoid(frame, frame.bindingOffset)) return [stateReply(from, frame, KeyState.AlreadyVoid)]
    if (isDraining) return voidBinding(from, frame, ResultCode.Draining)
    if (isFull() && !voids.has(frame.scopedKey)) return voidBinding(from, frame, ResultCode.KeyTableFull)
    return startRun(from, frame)
  }

  const onVoidRequested = ({ from, frame }: MessageOf<RunsMessageKind.VoidRequested>): RunsEffect[] => {
    floor.advance()
    const refused = findRefusal(frame)
    if (refused === ResultCode.BoundAgentGone) return [refusalReply(from, frame, refused)]
    const run = runs.get(frame.scopedKey)
    if (run !== undefined) return [stateReply(from, frame, stateOfRun(run), run.answer.producedCount)]
    return refused === undefined ? voidBinding(from, frame) : [refusalReply(from, frame, refused)]
  }

  const onUpstreamChunk = ({ runId, bytes }: MessageOf<RunsMessageKind.UpstreamChunk>): RunsEffect[] => {
    const run = running.get(runId)
    return run === undefined ? [] : addChunk(run, bytes)
  }

  const onUpstreamEnded = ({ runId, httpStatus }: MessageOf<RunsMessageKind.UpstreamEnded>): RunsEffect[] => {
    const run = running.get(runId)
    running.delete(runId)
    return run === undefined ? [] : endRun(run, { code: ResultCode.Ok, httpStatus })
  }

  const onUpstreamFailed = (
    { runId, code, hasStarted }: MessageOf<RunsMessageKind.UpstreamFailed>
  ): RunsEffect[] => {
    const run = running.get(runId)
    if (run === undefined) return []
    running.delete(runId)
    if (hasStarted || run.answer.producedCount > 0) return endRun(run, { code, httpStatus: 0 })
    runs.delete(run.scopedKey)
    // The key is already in the time index, so the void needs no new index entry.
    voids.set(run.scopedKey, run.bindingOffset)
    return replyVoided(run, ResultCode.NoUpstream)
  }

  const onDetached = ({ from, scopedKey, requestId }: MessageOf<RunsMessageKind.Detached>): RunsEffect[] => {
    const run = runs.get(scopedKey)
    if (run !== undefined) detach(run, from, requestId)
    return []
  }

  const onEntryLost = ({ from }: MessageOf<RunsMessageKind.EntryLost>): RunsEffect[] => {
    for (const run of running.values()) detachEntry(run, from)
    return []
  }

  const discardKey = (scopedKey: string) => {
    const run = runs.get(scopedKey)
    if (run !== undefined && run.end === undefined) {
      // A run that outlasts the window is kept until it ends.
      index.add(scopedKey, clock.nowMs())
      return
    }
    voids.delete(scopedKey)
    if (run === undefined) return
    run.answer.drop()
    runs.delete(scopedKey)
  }

  const onTick = (): RunsEffect[] => {
    floor.advance()
    index.removeBefore(floor.floorMs).forEach(discardKey)
    return []
  }

  const handlers: HandlerTable<RunsMessage, RunsEffect[]> = {
    [RunsMessageKind.Dispatched]: onDispatched,
    [RunsMessageKind.VoidRequested]: onVoidRequested,
    [RunsMessageKind.UpstreamChunk]: onUpstreamChunk,
    [RunsMessageKind.UpstreamEnded]: onUpstreamEnded,
    [RunsMessageKind.UpstreamFailed]: onUpstreamFailed,
    [RunsMessageKind.Detached]: onDetached,
    [RunsMessageKind.EntryLost]: onEntryLost,
    [RunsMessageKind.DrainStarted]: () => {
      isDraining = true
      return []
    },
    [RunsMessageKind.WindowChanged]: message => {
      floor.setWindow(message.windowMs)
      return []
    },
    [RunsMessageKind.Tick]: onTick
  }

  return { handle: message => dispatch(handlers, message) }
}
