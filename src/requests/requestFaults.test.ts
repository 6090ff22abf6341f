import { describe, expect, it } from 'vitest'
import { createManualClock, describeResult, Outcome, ResultCode } from '../core/index.js'
import { RepeatPolicy } from '../configuration/index.js'
import { FrameKind } from '../links/index.js'
import { ATTEMPTS_MAX, RESUME_KEEP_MS, RESUME_WAIT_MS } from './constants.js'
import { createAgentRuns } from './createAgentRuns.js'
import { createRequestCore } from './createRequestCore.js'
import type { ResponseFrame, RunFrame } from './frames.js'
import {
  type AgentRunEffect, AgentRunEffectKind, AgentRunMessageKind, type ChosenAgent, type RequestEffect, RequestEffectKind,
  type RequestMessage, RequestMessageKind, type RequestPorts, type SubmittedRequest
} from './types.js'

const agentOf = (agentId: string): ChosenAgent => ({ agentId, incarnation: `${agentId}-i1`, address: `${agentId}:1` })
const AGENTS = ['agent-1', 'agent-2', 'agent-3']

const submittedOf = (change: Partial<SubmittedRequest> = {}): SubmittedRequest => ({
  requestId: 'e-1',
  route: 'quotes',
  pool: 'quote-workers',
  customer: 'ama-roofing',
  repeat: RepeatPolicy.Idempotent,
  priority: 'standard',
  deadlineAtMs: 30_000,
  fingerprint: 'f',
  promptBlocks: [],
  model: undefined,
  promptParts: [],
  estimatedTokens: 1,
  request: {
    method: 'POST', path: '/v1/completions', customer: 'ama-roofing', priority: 'standard', isEventStream: true, body: new Uint8Array()
  },
  ...change
})

/** One entry and its agents; the test can cut their links and delay frames sent over them. */
const createTestBed = (ports: Partial<RequestPorts> = {}) => {
  const clock = createManualClock()
  const agents = new Map(AGENTS.map(agentId => [agentId, createAgentRuns({ clock })]))
  const results: ResultCode[] = []
  const started: string[] = []
  const text: string[] = []
  const heldFrames: { agentId: string, frame: ResponseFrame }[] = []
  let isLinkUp = true

  const entry = createRequestCore({
    clock,
    ports: {
      admit: () => undefined,
      choose: (_request, excluded) => {
        const agentId = AGENTS.find(id => !excluded.includes(id))
        return agentId === undefined ? ResultCode.NoUpstream : agentOf(agentId)
      },
      takeRetry: () => true,
      isSuspect: () => false,
      onDispatched: () => undefined,
      onResumed: () => {},
      onFirstBytes: () => {},
      onStreamBytes: () => {},
      onAttemptEnded: () => {},
      onRequestEnded: (_request, code) => results.push(code),
      ...ports
    }
  })

  const performAgentEffects = (agentId: string, effects: AgentRunEffect[]) => {
    for (const effect of effects) {
      if (effect.kind === AgentRunEffectKind.StartUpstream) started.push(`${agentId}/${effect.runId}`)
      if (effect.kind !== AgentRunEffectKind.SendFrame) continue
      const frame = effect.frame as ResponseFrame
      if (isLinkUp) toEntry({ kind: RequestMessageKind.FrameReceived, agentId, frame })
      else heldFrames.push({ agentId, frame })
    }
  }

  const toAgent = (agentId: string, message: Parameters<ReturnType<typeof createAgentRuns>['handle']>[0]) =>
    performAgentEffects(agentId, agents.get(agentId)!.handle(message))

  const messageKindOf = {
    [FrameKind.Run]: AgentRunMessageKind.RunRequested,
    [FrameKind.Resume]: AgentRunMessageKind.ResumeRequested,
    [FrameKind.Cancel]: AgentRunMessageKind.CancelRequested
  } as const

  const performEntryEffects = (effects: RequestEffect[]) => {
    for (const effect of effects) {
      if (effect.kind === RequestEffectKind.SendBody) text.push(Buffer.from(effect.bytes).toString())
      if (effect.kind !== RequestEffectKind.SendToAgent || !isLinkUp) continue
      const { agent: { agentId }, frame } = effect
      toAgent(agentId, { kind: messageKindOf[frame.kind], linkId: 'l', frame } as never)
    }
  }

  const toEntry = (message: RequestMessage) => performEntryEffects(entry.handle(message))

  const upstream = (agentId: string, attempt = 0) => ({
    send: (bytes: string) => toAgent(agentId, {
      kind: AgentRunMessageKind.UpstreamBytes, runId: `e-1/${attempt}`, bytes: Buffer.from(bytes)
    }),
    head: () => toAgent(agentId, {
      kind: AgentRunMessageKind.UpstreamHead, runId: `e-1/${attempt}`, head: { status: 200, contentType: 'text/event-stream' }
    }),
    end: (code = ResultCode.Ok) => toAgent(agentId, { kind: AgentRunMessageKind.UpstreamEnded, runId: `e-1/${attempt}`, code })
  })

  return {
    clock,
    results,
    started,
    text,
    entry,
    toEntry,
    toAgent,
    upstream,
    submit: (change: Partial<SubmittedRequest> = {}) =>
      toEntry({ kind: RequestMessageKind.Submitted, request: submittedOf(change) }),
    cutLink: (agentId: string) => {
      isLinkUp = false
      toEntry({ kind: RequestMessageKind.AgentUnlinked, agentId })
      toAgent(agentId, { kind: AgentRunMessageKind.LinkLost, linkId: 'l' })
    },
    restoreLink: (agentId: string, incarnation = `${agentId}-i1`) => {
      isLinkUp = true
      toEntry({ kind: RequestMessageKind.AgentLinked, agentId, incarnation })
    },
    deliverHeldFrames: () => heldFrames.splice(0).forEach(({ agentId, frame }) =>
      toEntry({ kind: RequestMessageKind.FrameReceived, agentId, frame })),
    passTime: (durationMs: number) => {
      clock.advance(durationMs)
      toEntry({ kind: RequestMessageKind.Tick })
      for (const agentId of AGENTS) toAgent(agentId, { kind: AgentRunMessageKind.Tick })
    }
  }
}

describe('request faults', () => {
  it('resumes a stream on a new connection without losing or duplicating bytes', () => {
    const testBed = createTestBed()
    testBed.submit()
    const upstream = testBed.upstream('agent-1')
    upstream.head()
    upstream.send('a')
    testBed.cutLink('agent-1')
    upstream.send('b')
    testBed.restoreLink('agent-1')
    upstream.send('c')
    testBed.deliverHeldFrames()
    upstream.end()
    expect(testBed.text.join('')).toBe('abc')
    expect(testBed.results).toEqual([ResultCode.Ok])
  })

  it('retries on another agent when the Run frame was lost with the connection, and ignores the delayed frame', () => {
    const testBed = createTestBed()
    testBed.cutLink('agent-1')
    testBed.submit({ repeat: RepeatPolicy.AtMostOnce })
    testBed.toEntry({ kind: RequestMessageKind.AgentUnlinked, agentId: 'agent-1' })
    testBed.restoreLink('agent-1')
    expect(testBed.started).toEqual(['agent-2/e-1/1'])
    const lateRunFrame: RunFrame = {
      kind: FrameKind.Run, requestId: 'e-1', attempt: 0, remainingMs: 20_000, fingerprint: 'f', isSuspect: false, isRepeatable: true, estimatedTokens: 1, request: submittedOf().request
    }
    testBed.toAgent('agent-1', { kind: AgentRunMessageKind.RunRequested, linkId: 'l', frame: lateRunFrame })
    expect(testBed.started).toEqual(['agent-2/e-1/1'])
  })

  it('reports unknown, never not run, for a resume after the kept response was discarded', () => {
    const testBed = createTestBed()
    testBed.submit({ repeat: RepeatPolicy.AtMostOnce })
    testBed.cutLink('agent-1')
    testBed.upstream('agent-1').end()
    testBed.clock.advance(RESUME_KEEP_MS + 1)
    testBed.toAgent('agent-1', { kind: AgentRunMessageKind.Tick })
    testBed.restoreLink('agent-1')
    expect(testBed.results.map(code => describeResult(code).outcome)).toEqual([Outcome.Unknown])
  })

  it.each<[string, (testBed: ReturnType<typeof createTestBed>) => void, ResultCode]>([
    ['the agent is replaced', testBed => {
      testBed.cutLink('agent-1')
      testBed.restoreLink('agent-1', 'agent-1-i2')
    }, ResultCode.UpstreamDied],
    ['the agent does not reconnect', testBed => {
      testBed.cutLink('agent-1')
      testBed.passTime(RESUME_WAIT_MS)
    }, ResultCode.AnswerLost],
    ['the upstream dies', testBed => testBed.upstream('agent-1').end(ResultCode.UpstreamDied), ResultCode.UpstreamDied],
    ['the deadline passes', testBed => testBed.passTime(30_000), ResultCode.DeadlineExceeded]
  ])('ends an at-most-once request as unknown when %s', (_fault, fail, expected) => {
    const testBed = createTestBed()
    testBed.submit({ repeat: RepeatPolicy.AtMostOnce })
    fail(testBed)
    expect(testBed.results).toEqual([expected])
    expect(testBed.started).toHaveLength(1)
  })

  it('never reports not run once an attempt may have run', () => {
    const testBed = createTestBed({ takeRetry: () => true })
    testBed.submit()
    testBed.upstream('agent-1').end(ResultCode.UpstreamDied)
    testBed.toAgent('agent-3', { kind: AgentRunMessageKind.DrainStarted })
    testBed.upstream('agent-2', 1).end(ResultCode.UpstreamDied)
    expect(testBed.results).toEqual([ResultCode.UpstreamDied])
  })

  it('does not retry a stream after its first bytes were sent to the caller', () => {
    const testBed = createTestBed()
    testBed.submit()
    testBed.upstream('agent-1').head()
    testBed.upstream('agent-1').send('a')
    testBed.upstream('agent-1').end(ResultCode.UpstreamDied)
    expect(testBed.started).toHaveLength(1)
    expect(testBed.results).toEqual([ResultCode.UpstreamDied])
  })

  it('limits attempts and takes each retry from the budget', () => {
    let retries = 0
    const testBed = createTestBed({ takeRetry: () => ++retries <= 1 })
    for (const agentId of AGENTS) testBed.toAgent(agentId, { kind: AgentRunMessageKind.DrainStarted })
    testBed.submit()
    expect(retries).toBe(2)
    expect(retries).toBeLessThan(ATTEMPTS_MAX)
    expect(testBed.results).toEqual([ResultCode.Draining])
  })

  it('drops frames of an earlier attempt and of another agent', () => {
    const testBed = createTestBed()
    testBed.submit()
    testBed.upstream('agent-1').end(ResultCode.UpstreamDied)
    const staleEndFrame: ResponseFrame = { kind: FrameKind.End, requestId: 'e-1', attempt: 0, code: ResultCode.Ok, chunkCount: 0, hash: '' }
    testBed.toEntry({ kind: RequestMessageKind.FrameReceived, agentId: 'agent-1', frame: staleEndFrame })
    testBed.toEntry({ kind: RequestMessageKind.FrameReceived, agentId: 'agent-3', frame: { ...staleEndFrame, attempt: 1 } })
    expect(testBed.entry.droppedFrameCount).toBe(2)
    expect(testBed.results).toEqual([])
  })

  it('treats a run that was refused before it reached the upstream as proven not run', () => {
    const testBed = createTestBed()
    testBed.submit({ repeat: RepeatPolicy.AtMostOnce })
    testBed.toAgent('agent-1', { kind: AgentRunMessageKind.UpstreamRefused, runId: 'e-1/0', code: ResultCode.SuspectBusy })
    expect(testBed.started).toEqual(['agent-1/e-1/0', 'agent-2/e-1/1'])
    expect(testBed.results).toEqual([])
  })

  // Guards against a request that is reported as not run because its agent has forgotten that it ran it.
  it('takes a refusal that arrives after the deadline for no proof', () => {
    const testBed = createTestBed()
    testBed.submit({ repeat: RepeatPolicy.AtMostOnce })
    testBed.clock.advance(submittedOf().deadlineAtMs)
    testBed.toEntry({ kind: RequestMessageKind.FrameReceived, agentId: 'agent-1', frame: { kind: FrameKind.Refused, requestId: 'e-1', attempt: 0, code: ResultCode.NoUpstream } })
    expect(testBed.results).toEqual([ResultCode.DeadlineExceeded])
  })

  it('ends the request when its caller disconnects', () => {
    const testBed = createTestBed()
    testBed.submit()
    testBed.toEntry({ kind: RequestMessageKind.CallerGone, requestId: 'e-1' })
    expect(testBed.entry.liveCount).toBe(0)
    expect(testBed.results).toEqual([ResultCode.CallerGone])
  })
})
