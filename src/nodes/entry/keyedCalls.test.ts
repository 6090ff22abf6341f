import { beforeEach, describe, expect, it } from 'vitest'
import { v7 as createKey } from 'uuid'
import { RepeatPolicy } from '../../configuration/index.js'
import { createManualClock, createRunningHash, ResultCode } from '../../core/index.js'
import { type Frame, FrameKind, type PeerIdentity } from '../../links/index.js'
import { AgentReplyKind, type BindRequest, KeyState } from '../../once/index.js'
import type { ChosenAgent, RequestPorts, SubmittedRequest } from '../../requests/index.js'
import { createKeyedCalls, type KeyedCalls } from './keyedCalls.js'
import type { ResponseSink } from './types.js'

const agentAt = (agentId: string): ChosenAgent => ({ agentId, incarnation: `${agentId}-1`, address: `10.0.0.${agentId}:1` })

describe('a keyed call whose agent is evacuated before it is dispatched', () => {
  const clock = createManualClock(Date.now())
  let calls: KeyedCalls
  let evacuated: string[]
  let bindRequests: BindRequest[]
  let frames: { address: string, frame: Frame }[]
  const submitted = {
    requestId: 'r',
    route: 'orders',
    pool: 'yard',
    customer: 'c',
    repeat: RepeatPolicy.AtMostOnce,
    priority: 'standard',
    deadlineAtMs: clock.nowMs() + 8_000,
    request: { method: 'POST', path: '/orders', headers: {}, body: new Uint8Array(), idempotencyKey: createKey() },
    fingerprint: 'f',
    promptBlocks: [],
    model: undefined,
    promptParts: [],
    estimatedTokens: 1
  } as unknown as SubmittedRequest
  let results: string[]
  const sink: ResponseSink = {
    onHead: () => { results.push('head') },
    onBody: () => {},
    onComplete: () => { results.push('complete') },
    onFail: code => { results.push(ResultCode[code]) }
  }

  beforeEach(() => {
    results = []
    evacuated = []
    bindRequests = []
    frames = []
    const ports = {
      admit: () => undefined,
      choose: (_request: SubmittedRequest, excluded: readonly string[]) =>
        ['1', '2'].filter(id => !excluded.includes(id) && !evacuated.includes(id)).map(agentAt)[0] ?? ResultCode.AllEvacuated,
      onDispatched: () => undefined,
      onAttemptEnded: () => {},
      onRequestEnded: () => {}
    } as unknown as RequestPorts
    calls = createKeyedCalls({
      clock,
      ports,
      windowMsOf: () => 600_000,
      requestBinding: request => { bindRequests.push(request) },
      sendToAgent: (address, frame) => { frames.push({ address, frame }) },
      hasAgentLeft: () => false,
      isEvacuated: ({ incarnation }) => evacuated.some(id => agentAt(id).incarnation === incarnation),
      isSuspect: () => false,
      traceparentOf: () => undefined
    })
    calls.submit(submitted, sink)
    evacuated = ['1']
    calls.onBindReply({ requestId: 'r', code: ResultCode.Ok, binding: { offset: 7, agent: agentAt('1'), fingerprint: 'f' } })
  })

  const kinds = () => frames.map(({ frame }) => frame.kind)
  const replyState = (state: KeyState) => calls.onKeyReply(
    { incarnation: '1-1' } as PeerIdentity,
    { kind: FrameKind.KeyReply, reply: { kind: AgentReplyKind.State, requestId: 'r', bindingOffset: 7, state, producedCount: 0 } }
  )

  it('is voided there and bound to another one', () => {
    expect(kinds()).toEqual([FrameKind.VoidIfUnseen])
    replyState(KeyState.Voided)
    expect(bindRequests.at(-1)).toMatchObject({ voidedOffset: 7, candidate: { incarnation: '2-1' } })
    calls.onBindReply({ requestId: 'r', code: ResultCode.Ok, binding: { offset: 8, agent: agentAt('2'), fingerprint: 'f' } })
    expect(frames.at(-1)).toMatchObject({ address: agentAt('2').address, frame: { kind: FrameKind.Dispatch } })
  })

  // Guards against a call that runs twice, or whose response is lost, because another entry has dispatched it before.
  it('is dispatched there if that one has seen the key', () => {
    replyState(KeyState.Done)
    expect(kinds()).toEqual([FrameKind.VoidIfUnseen, FrameKind.Dispatch])
  })

  // Guards against a caller that gets an empty response with status 200, which no upstream has sent.
  it('has no response if the agent reports its end without a head', () => {
    replyState(KeyState.Done)
    calls.onKeyReply({ incarnation: '1-1' } as PeerIdentity, {
      kind: FrameKind.KeyReply,
      reply: { kind: AgentReplyKind.End, requestId: 'r', bindingOffset: 7, count: 0, hash: createRunningHash().digest(), httpStatus: 200 }
    })
    expect(results).toEqual(['AnswerLost'])
  })
})
