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
  estimatedTokens: 1,
  request: {
    method: 'POST', path: '/v1/completions', customer: 'ama-roofing', priority: 'standard', isEventStream: true, body: new Uint8Array()
  },
  ...change
})

/** One entry with agents whose links the test cuts and whose frames it holds back. */
const createBed = (ports: Partial<RequestPorts> = {}) => {
  const clock = createManualClock()
  const agents = new Map(AGENTS.map(agentId => [agentId, createAgentRuns({ clock })]))
  const results: ResultCode[] = []
  const started: string[] = []
  const text: string[] = []
  const held: { agentId: string, frame: ResponseFrame }[] = []
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

  const performAgent = (agentId: string, effects: AgentRunEffect[]) => {
    for (const effect of effects) {
      if (effect.kind === AgentRunEffectKind.StartUpstream) started.push(`${agentId}/${effect.runId}`)
      if (effect.kind !== AgentRunEffectKind.SendFrame) continue
      const frame = effect.frame as ResponseFrame
      if (isLinkUp) toEntry({ kind: RequestMessageKind.FrameReceived, agentId, frame })
      else held.push({ agentId, frame })
    }
  }

  const toAgent = (agentId: string, message: Parameters<ReturnType<typeof createAgentRuns>['handle']>[0]) =>
    performAgent(agentId, agents.get(agentId)!.handle(message))

  const messageKindOf = {
    [FrameKind.Run]: AgentRunMessageKind.RunRequested,
    [FrameKind.Resume]: AgentRunMessageKind.ResumeRequested,
    [FrameKind.Cancel]: AgentRunMessageKind.CancelRequested
  } as const

  const performEntry = (effects: RequestEffect[]) => {
    for (const effect of effects) {
      if (effect.kind === RequestEffectKind.SendBody) text.push(Buffer.from(effect.bytes).toString())
      if (effect.kind !== RequestEffectKind.SendToAgent || !isLinkUp) continue
      const { agent: { agentId }, frame } = effect
      toAgent(agentId, { kind: messageKindOf[frame.kind], linkId: 'l', frame } as never)
    }
  }

  const toEntry = (message: RequestMessage) => performEntry(entry.handle(message))

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
    deliverHeld: () => held.splice(0).forEach(({ agentId, frame }) =>
      toEntry({ kind: RequestMessageKind.FrameReceived, agentId, frame })),
    passTime: (durationMs: number) => {
      clock.advance(durationMs)
      toEntry({ kind: RequestMessageKind.Tick })
      for (const agentId of AGENTS) toAgent(agentId, { kind: AgentRunMessageKind.Tick })
    }
  }
}

describe('request faults', () => {
  it('resumes a stream after the connection was replaced, without losing or repeating bytes', () => {
    const bed = createBed()
    bed.submit()
    const upstream = bed.upstream('agent-1')
    upstream.head()
    upstream.send('a')
    bed.cutLink('agent-1')
    upstream.send('b')
    bed.restoreLink('agent-1')
    upstream.send('c')
    bed.deliverHeld()
    upstream.end()
    expect(bed.text.join('')).toBe('abc')
    expect(bed.results).toEqual([ResultCode.Ok])
  })

  it('retries elsewhere when the Run frame was lost with the connection, and the late frame starts nothing', () => {
    const bed = createBed()
    bed.cutLink('agent-1')
    bed.submit({ repeat: RepeatPolicy.AtMostOnce })
    bed.toEntry({ kind: RequestMessageKind.AgentUnlinked, agentId: 'agent-1' })
    bed.restoreLink('agent-1')
    expect(bed.started).toEqual(['agent-2/e-1/1'])
    const late: RunFrame = {
      kind: FrameKind.Run, requestId: 'e-1', attempt: 0, remainingMs: 20_000, fingerprint: 'f', isSuspect: false, isRepeatable: true, estimatedTokens: 1, request: submittedOf().request
    }
    bed.toAgent('agent-1', { kind: AgentRunMessageKind.RunRequested, linkId: 'l', frame: late })
    expect(bed.started).toEqual(['agent-2/e-1/1'])
  })

  it('reports a resume after the kept response was dropped as unknown, never as not run', () => {
    const bed = createBed()
    bed.submit({ repeat: RepeatPolicy.AtMostOnce })
    bed.cutLink('agent-1')
    bed.upstream('agent-1').end()
    bed.clock.advance(RESUME_KEEP_MS + 1)
    bed.toAgent('agent-1', { kind: AgentRunMessageKind.Tick })
    bed.restoreLink('agent-1')
    expect(bed.results.map(code => describeResult(code).outcome)).toEqual([Outcome.Unknown])
  })

  it.each<[string, (bed: ReturnType<typeof createBed>) => void, ResultCode]>([
    ['the agent is replaced', bed => {
      bed.cutLink('agent-1')
      bed.restoreLink('agent-1', 'agent-1-i2')
    }, ResultCode.UpstreamDied],
    ['the agent does not come back', bed => {
      bed.cutLink('agent-1')
      bed.passTime(RESUME_WAIT_MS)
    }, ResultCode.AnswerLost],
    ['the upstream dies', bed => bed.upstream('agent-1').end(ResultCode.UpstreamDied), ResultCode.UpstreamDied],
    ['the deadline passes', bed => bed.passTime(30_000), ResultCode.DeadlineExceeded]
  ])('ends a request that may not be repeated as unknown when %s', (_fault, fail, expected) => {
    const bed = createBed()
    bed.submit({ repeat: RepeatPolicy.AtMostOnce })
    fail(bed)
    expect(bed.results).toEqual([expected])
    expect(bed.started).toHaveLength(1)
  })

  it('never reports not run once an attempt may have run', () => {
    const bed = createBed({ takeRetry: () => true })
    bed.submit()
    bed.upstream('agent-1').end(ResultCode.UpstreamDied)
    bed.toAgent('agent-3', { kind: AgentRunMessageKind.DrainStarted })
    bed.upstream('agent-2', 1).end(ResultCode.UpstreamDied)
    expect(bed.results).toEqual([ResultCode.UpstreamDied])
  })

  it('does not restart a stream whose first bytes have reached the caller', () => {
    const bed = createBed()
    bed.submit()
    bed.upstream('agent-1').head()
    bed.upstream('agent-1').send('a')
    bed.upstream('agent-1').end(ResultCode.UpstreamDied)
    expect(bed.started).toHaveLength(1)
    expect(bed.results).toEqual([ResultCode.UpstreamDied])
  })

  it('bounds attempts and takes each retry from the budget', () => {
    let retries = 0
    const bed = createBed({ takeRetry: () => ++retries <= 1 })
    for (const agentId of AGENTS) bed.toAgent(agentId, { kind: AgentRunMessageKind.DrainStarted })
    bed.submit()
    expect(retries).toBe(2)
    expect(retries).toBeLessThan(ATTEMPTS_MAX)
    expect(bed.results).toEqual([ResultCode.Draining])
  })

  it('drops frames of an earlier attempt and of another agent', () => {
    const bed = createBed()
    bed.submit()
    bed.upstream('agent-1').end(ResultCode.UpstreamDied)
    const stale: ResponseFrame = { kind: FrameKind.End, requestId: 'e-1', attempt: 0, code: ResultCode.Ok, chunkCount: 0, hash: '' }
    bed.toEntry({ kind: RequestMessageKind.FrameReceived, agentId: 'agent-1', frame: stale })
    bed.toEntry({ kind: RequestMessageKind.FrameReceived, agentId: 'agent-3', frame: { ...stale, attempt: 1 } })
    expect(bed.entry.droppedFrameCount).toBe(2)
    expect(bed.results).toEqual([])
  })

  it('takes a run that was refused before it reached the upstream as proven not run', () => {
    const bed = createBed()
    bed.submit({ repeat: RepeatPolicy.AtMostOnce })
    bed.toAgent('agent-1', { kind: AgentRunMessageKind.UpstreamRefused, runId: 'e-1/0', code: ResultCode.SuspectBusy })
    expect(bed.started).toEqual(['agent-1/e-1/0', 'agent-2/e-1/1'])
    expect(bed.results).toEqual([])
  })

  it('passes a cancel on and frees the agent', () => {
    const bed = createBed()
    bed.submit()
    bed.toEntry({ kind: RequestMessageKind.CallerGone, requestId: 'e-1' })
    expect(bed.entry.liveCount).toBe(0)
    expect(bed.results).toEqual([ResultCode.CallerGone])
  })
})
