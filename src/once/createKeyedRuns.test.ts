import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, fingerprint, type ManualClock, ResultCode } from '../core/index.js'
import { CLOCK_SKEW_MARGIN_MS, KeyState } from './constants.js'
import { createKeyedRuns, type KeyedRunsOptions } from './createKeyedRuns.js'
import { type RunsEffect, RunsEffectKind, type RunsMessage, RunsMessageKind } from './keyedRunsTypes.js'
import { type AgentReply, AgentReplyKind, type DispatchFrame, type VoidIfUnseenFrame } from './types.js'

const START_MS = 1_790_000_000_000
const WINDOW_MS = 600_000

let clock: ManualClock

const createAgent = (options: Partial<KeyedRunsOptions> = {}) => {
  const runs = createKeyedRuns({ clock, incarnation: 'agent-1', windowMs: WINDOW_MS, ...options })
  const started: string[] = []
  const replies: Array<AgentReply & { to: string }> = []
  const handle = (message: RunsMessage): AgentReply[] => {
    const produced: AgentReply[] = []
    for (const effect of runs.handle(message) as RunsEffect[]) {
      if (effect.kind === RunsEffectKind.StartRun) started.push(effect.runId)
      else {
        produced.push(effect.reply)
        replies.push({ ...effect.reply, to: effect.to })
      }
    }
    return produced
  }
  const target = (scopedKey: string) => ({
    scopedKey, keyTimeMs: START_MS, shard: 1, requestId: 'r1', bindingOffset: 5, agentIncarnation: 'agent-1'
  })
  return {
    started,
    replies,
    handle,
    dispatch: (scopedKey: string, changes: Partial<DispatchFrame> = {}, from = 'entry-1') => handle({
      kind: RunsMessageKind.Dispatched,
      from,
      frame: { ...target(scopedKey), fingerprint: 'f', fromSequence: 0, body: Buffer.from('order'), ...changes }
    }),
    voidIfUnseen: (scopedKey: string, changes: Partial<VoidIfUnseenFrame> = {}) =>
      handle({ kind: RunsMessageKind.VoidRequested, from: 'entry-1', frame: { ...target(scopedKey), ...changes } }),
    chunk: (text: string, run = 0) =>
      handle({ kind: RunsMessageKind.UpstreamChunk, runId: started[run]!, bytes: Buffer.from(text) }),
    end: (run = 0) => handle({ kind: RunsMessageKind.UpstreamEnded, runId: started[run]!, httpStatus: 201 }),
    tick: (durationMs: number) => {
      clock.advance(durationMs)
      return handle({ kind: RunsMessageKind.Tick })
    }
  }
}

const stateOf = ([reply]: AgentReply[]) => reply?.kind === AgentReplyKind.State ? reply.state : undefined
const codeOf = (replies: AgentReply[]) => replies.map(reply => 'code' in reply ? reply.code : undefined).at(-1)
const textOf = (replies: AgentReply[]) =>
  replies.map(reply => reply.kind === AgentReplyKind.Chunk ? Buffer.from(reply.bytes).toString() : '').join('')

beforeEach(() => { clock = createManualClock(START_MS) })

describe('createKeyedRuns', () => {
  it('runs a key once and sends every entry the complete response, whenever it attaches', () => {
    const agent = createAgent()
    agent.dispatch('a')
    agent.chunk('12')
    agent.dispatch('a', { requestId: 'r2', bindingOffset: 4 }, 'entry-2')
    agent.chunk('34')
    agent.end()
    agent.dispatch('a', { requestId: 'r3' }, 'entry-3')
    expect(agent.started).toHaveLength(1)
    for (const requestId of ['r1', 'r2', 'r3']) {
      const replies = agent.replies.filter(reply => reply.requestId === requestId)
      expect(textOf(replies)).toBe('1234')
      expect(replies.at(-1)).toMatchObject({
        kind: AgentReplyKind.End, count: 2, hash: fingerprint('1234'), httpStatus: 201
      })
    }
  })

  it('continues at the chunk that an entry names after its link was lost', () => {
    const agent = createAgent()
    agent.dispatch('a')
    for (const text of ['1', '2', '3']) agent.chunk(text)
    agent.handle({ kind: RunsMessageKind.EntryLost, from: 'entry-1' })
    expect(agent.chunk('4')).toEqual([])
    expect(textOf(agent.dispatch('a', { fromSequence: 2 }))).toBe('34')
  })

  it('refuses a delayed dispatch of a voided binding, and runs the key under a later binding', () => {
    const agent = createAgent()
    expect(stateOf(agent.voidIfUnseen('a'))).toBe(KeyState.Voided)
    expect(stateOf(agent.voidIfUnseen('a'))).toBe(KeyState.AlreadyVoid)
    expect(stateOf(agent.dispatch('a'))).toBe(KeyState.AlreadyVoid)
    expect(agent.started).toEqual([])
    agent.dispatch('a', { bindingOffset: 6 })
    expect(agent.started).toHaveLength(1)
    expect(stateOf(agent.voidIfUnseen('a'))).toBe(KeyState.Running)
    agent.end()
    expect(stateOf(agent.voidIfUnseen('a', { bindingOffset: 6 }))).toBe(KeyState.Done)
  })

  it.each<[string, Partial<DispatchFrame>, ResultCode]>([
    ['a binding of another incarnation', { agentIncarnation: 'agent-0' }, ResultCode.BoundAgentGone],
    ['a key beyond the window', { keyTimeMs: START_MS - WINDOW_MS - CLOCK_SKEW_MARGIN_MS - 1 }, ResultCode.KeyOutsideWindow],
    ['a key in the future', { keyTimeMs: START_MS + CLOCK_SKEW_MARGIN_MS + 1 }, ResultCode.KeyOutsideWindow],
    ['the same key with another body', { scopedKey: 'ran', fingerprint: 'g' }, ResultCode.KeyReusedWithOtherBody]
  ])('starts nothing and refuses as unknown: %s', (_case, frame, code) => {
    const agent = createAgent()
    agent.dispatch('ran')
    expect(codeOf(agent.dispatch('a', frame))).toBe(code)
    expect(agent.started).toHaveLength(1)
    if (code !== ResultCode.KeyReusedWithOtherBody) expect(codeOf(agent.voidIfUnseen('b', frame))).toBe(code)
  })

  it('refuses as not run when full, and does not run a duplicate of the dispatch that arrives later', () => {
    const agent = createAgent({ keysMax: 1 })
    agent.dispatch('a')
    const refused = agent.dispatch('b', { bindingOffset: 9 })
    expect([stateOf(refused), codeOf(refused)]).toEqual([KeyState.Voided, ResultCode.KeyTableFull])
    agent.end()
    agent.tick(WINDOW_MS + CLOCK_SKEW_MARGIN_MS + 2_000)
    const keyTimeMs = clock.nowMs()
    expect(stateOf(agent.dispatch('b', { bindingOffset: 9, keyTimeMs }))).toBe(KeyState.AlreadyVoid)
    expect(agent.dispatch('b', { bindingOffset: 10, keyTimeMs })).toHaveLength(1)
    expect(agent.started).toHaveLength(2)
  })

  it('never evicts a key within the window, and refuses it after the window', () => {
    const agent = createAgent({ keysMax: 1 })
    agent.dispatch('a')
    agent.end()
    agent.tick(WINDOW_MS + CLOCK_SKEW_MARGIN_MS)
    expect(stateOf(agent.dispatch('a'))).toBe(KeyState.Done)
    agent.tick(2_000)
    expect(codeOf(agent.dispatch('a'))).toBe(ResultCode.KeyOutsideWindow)
    expect(codeOf(agent.voidIfUnseen('a'))).toBe(ResultCode.KeyOutsideWindow)
  })

  it('keeps a run that outlasts its window until it ends', () => {
    const agent = createAgent()
    agent.dispatch('a')
    agent.tick(2 * WINDOW_MS)
    agent.chunk('1')
    expect(stateOf(agent.dispatch('a', { fromSequence: 0 }))).toBe(KeyState.Running)
    expect(agent.started).toHaveLength(1)
  })

  it('streams a response that is too large to keep, and later reports that the key ran', () => {
    const agent = createAgent({ answerBytesMax: 3 })
    agent.dispatch('a')
    agent.chunk('12')
    agent.dispatch('a', { requestId: 'r2' })
    agent.chunk('34')
    agent.dispatch('a', { requestId: 'late' })
    agent.end()
    for (const requestId of ['r1', 'r2']) {
      expect(textOf(agent.replies.filter(reply => reply.requestId === requestId))).toBe('1234')
    }
    expect(codeOf(agent.replies.filter(({ requestId }) => requestId === 'late'))).toBe(ResultCode.AnswerNotKept)
    expect(codeOf(agent.dispatch('a', { requestId: 'r4' }))).toBe(ResultCode.AnswerNotKept)
  })

  it('drops the oldest responses at the byte limit but keeps their keys', () => {
    const agent = createAgent({ answersBytesMax: 5 })
    for (const [i, key] of ['a', 'b', 'c'].entries()) {
      agent.dispatch(key)
      agent.chunk('12', i)
      agent.end(i)
    }
    expect(codeOf(agent.dispatch('a'))).toBe(ResultCode.AnswerNotKept)
    expect(textOf(agent.dispatch('b'))).toBe('12')
    expect(agent.started).toHaveLength(3)
  })

  // Guards against an agent that runs out of memory by the objects of chunks of one byte.
  it('keeps a bounded number of chunks of one response and of all, and keeps the keys', () => {
    const agent = createAgent({ answerChunksMax: 3, answersChunksMax: 5 })
    for (const [i, [key, count]] of ([['a', 3], ['b', 4], ['c', 2], ['d', 2]] as const).entries()) {
      agent.dispatch(key)
      for (let at = 0; at < count; at++) agent.chunk('x', i)
      agent.end(i)
    }
    expect(['a', 'b'].map(key => codeOf(agent.dispatch(key)))).toEqual([ResultCode.AnswerNotKept, ResultCode.AnswerNotKept])
    expect(['c', 'd'].map(key => textOf(agent.dispatch(key)))).toEqual(['xx', 'xx'])
    expect(agent.started).toHaveLength(4)
  })

  it('distinguishes a run that did not start from one that failed', () => {
    const agent = createAgent()
    agent.dispatch('a')
    agent.dispatch('b')
    const fail = (run: number, hasStarted: boolean) => agent.handle({
      kind: RunsMessageKind.UpstreamFailed, runId: agent.started[run]!, code: ResultCode.UpstreamDied, hasStarted
    })
    expect(stateOf(fail(0, false))).toBe(KeyState.Voided)
    expect(codeOf(fail(1, true))).toBe(ResultCode.UpstreamDied)
    expect(stateOf(agent.dispatch('a'))).toBe(KeyState.AlreadyVoid)
    expect(codeOf(agent.dispatch('b'))).toBe(ResultCode.UpstreamDied)
    expect(agent.started).toHaveLength(2)
  })

  it('refuses new keys as not run while it drains, and serves the keys that it has', () => {
    const agent = createAgent()
    agent.dispatch('a')
    agent.handle({ kind: RunsMessageKind.DrainStarted })
    expect(codeOf(agent.dispatch('b'))).toBe(ResultCode.Draining)
    expect(stateOf(agent.dispatch('a'))).toBe(KeyState.Running)
  })

  it('continues a run for which no entry waits', () => {
    const agent = createAgent()
    agent.dispatch('a')
    agent.handle({ kind: RunsMessageKind.Detached, from: 'entry-1', scopedKey: 'a', requestId: 'r1' })
    expect([agent.chunk('1'), agent.end()]).toEqual([[], []])
    expect(textOf(agent.dispatch('a', { requestId: 'resend' }))).toBe('1')
  })
})
