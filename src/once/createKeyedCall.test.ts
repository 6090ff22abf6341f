import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, fingerprint, type ManualClock, Outcome, ResultCode } from '../core/index.js'
import { AGENT_REPLY_TIMEOUT_MS, BIND_PHASE_MAX_MS, BIND_RETRY_MS, KeyState, REBINDS_MAX } from './constants.js'
import { createKeyedCall } from './createKeyedCall.js'
import { type CallEffect, CallEffectKind, type CallMessage, CallMessageKind } from './keyedCallTypes.js'
import { type AgentReply, AgentReplyKind, type Binding } from './types.js'

const START_MS = 1_790_000_000_000
const DEADLINE_MS = 30_000

let clock: ManualClock

const agentRef = (name: string) => ({ incarnation: name, address: name })
const bindingOf = (agent: string, offset: number): Binding => ({ offset, agent: agentRef(agent), fingerprint: 'f' })

const startCall = () => {
  const core = createKeyedCall({
    requestId: 'r1',
    key: { scopedKey: 'a', keyTimeMs: START_MS, shard: 1 },
    body: Buffer.from('order'),
    fingerprint: 'f',
    deadlineMs: START_MS + DEADLINE_MS,
    clock
  })
  const effects: CallEffect[] = []
  const handle = (message: CallMessage) => {
    const produced = core.handle(message)
    effects.push(...produced)
    return produced
  }
  const reply = (offset: number, agent: string, body: object) => handle({
    kind: CallMessageKind.AgentReplied,
    incarnation: agent,
    reply: { requestId: 'r1', bindingOffset: offset, ...body } as AgentReply
  })
  const call = {
    handle,
    choose: (agent?: string) =>
      handle({ kind: CallMessageKind.AgentChosen, agent: agent === undefined ? undefined : agentRef(agent) }),
    bound: (agent: string, offset: number) => handle({
      kind: CallMessageKind.BindReplied, reply: { requestId: 'r1', code: ResultCode.Ok, binding: bindingOf(agent, offset) }
    }),
    refused: (code: ResultCode) => handle({ kind: CallMessageKind.BindReplied, reply: { requestId: 'r1', code } }),
    state: (offset: number, agent: string, state: KeyState, code?: ResultCode) =>
      reply(offset, agent, { kind: AgentReplyKind.State, state, producedCount: 0, code }),
    chunk: (offset: number, agent: string, sequence: number, text: string) =>
      reply(offset, agent, { kind: AgentReplyKind.Chunk, sequence, bytes: Buffer.from(text) }),
    end: (offset: number, agent: string, count: number, text: string) =>
      reply(offset, agent, { kind: AgentReplyKind.End, count, hash: fingerprint(text), httpStatus: 201 }),
    refuse: (offset: number, agent: string, code: ResultCode) => reply(offset, agent, { kind: AgentReplyKind.Refused, code }),
    tick: (durationMs: number) => {
      clock.advance(durationMs)
      return handle({ kind: CallMessageKind.Tick })
    },
    kinds: () => effects.map(({ kind }) => kind),
    forwarded: () => effects.map(effect =>
      effect.kind === CallEffectKind.Forward ? Buffer.from(effect.bytes).toString() : '').join(''),
    finish: () => effects.filter(effect => effect.kind === CallEffectKind.Finish),
    bind: () => {
      call.choose('agent-1')
      call.bound('agent-2', 5)
    }
  }
  handle({ kind: CallMessageKind.Started })
  return call
}

type Call = ReturnType<typeof startCall>

beforeEach(() => { clock = createManualClock(START_MS) })

describe('createKeyedCall', () => {
  it('dispatches to the bound agent, even if it is not the candidate, and forwards the complete response', () => {
    const call = startCall()
    call.choose('agent-1')
    expect(call.bound('agent-2', 5)).toMatchObject([{ kind: CallEffectKind.Dispatch, agent: agentRef('agent-2') }])
    call.chunk(5, 'agent-2', 1, 'b')
    call.chunk(5, 'agent-2', 0, 'a')
    call.chunk(5, 'agent-2', 0, 'a')
    call.end(5, 'agent-2', 2, 'ab')
    expect(call.forwarded()).toBe('ab')
    expect(call.finish()).toMatchObject([{ outcome: Outcome.Ran, code: ResultCode.Ok, httpStatus: 201 }])
  })

  it.each<[string, (call: Call) => void, Outcome, ResultCode]>([
    ['the log is unavailable', call => {
      call.choose('agent-1')
      call.refused(ResultCode.LogUnavailable)
      call.tick(BIND_PHASE_MAX_MS)
    }, Outcome.Unknown, ResultCode.LogUnavailable],
    ['no owner replies', call => {
      call.choose('agent-1')
      call.tick(BIND_PHASE_MAX_MS)
    }, Outcome.Unknown, ResultCode.BindingUnavailable],
    ['the owner no longer knows the key', call => {
      call.choose('agent-1')
      call.refused(ResultCode.KeyOutsideWindow)
    }, Outcome.Unknown, ResultCode.KeyOutsideWindow],
    ['the key was used with another body', call => {
      call.choose('agent-1')
      call.refused(ResultCode.KeyReusedWithOtherBody)
    }, Outcome.Unknown, ResultCode.KeyReusedWithOtherBody],
    ['the bound agent has another incarnation', call => {
      call.bind()
      call.refuse(5, 'agent-2', ResultCode.BoundAgentGone)
    }, Outcome.Unknown, ResultCode.BoundAgentGone],
    ['a later incarnation of the bound agent replies', call => {
      call.bind()
      call.refuse(5, 'successor of agent-2', ResultCode.BoundAgentGone)
    }, Outcome.Unknown, ResultCode.BoundAgentGone],
    ['the incarnation of the bound agent has certainly ended', call => {
      call.bind()
      call.handle({ kind: CallMessageKind.AgentGone, incarnation: 'agent-2' })
    }, Outcome.Unknown, ResultCode.BoundAgentGone],
    ['the response was not kept', call => {
      call.bind()
      call.refuse(5, 'agent-2', ResultCode.AnswerNotKept)
    }, Outcome.Ran, ResultCode.AnswerNotKept],
    ['the response has another hash', call => {
      call.bind()
      call.chunk(5, 'agent-2', 0, 'x')
      call.end(5, 'agent-2', 1, 'a')
    }, Outcome.Unknown, ResultCode.AnswerLost],
    ['the deadline passes during the run', call => {
      call.bind()
      call.state(5, 'agent-2', KeyState.Running)
      call.tick(DEADLINE_MS)
    }, Outcome.Unknown, ResultCode.DeadlineExceeded],
    ['the caller disconnects', call => {
      call.bind()
      call.handle({ kind: CallMessageKind.CallerGone })
    }, Outcome.Unknown, ResultCode.CallerGone],
    ['the agent voids and no other agent is left', call => {
      call.bind()
      call.state(5, 'agent-2', KeyState.Voided, ResultCode.KeyTableFull)
      call.choose(undefined)
    }, Outcome.NotRun, ResultCode.KeyTableFull],
    ['the agent voids and the deadline passes before a rebind is requested', call => {
      call.bind()
      call.state(5, 'agent-2', KeyState.Voided)
      call.tick(DEADLINE_MS)
    }, Outcome.NotRun, ResultCode.NoUpstream],
    ['another call may have rebound the key after the void', call => {
      call.bind()
      call.state(5, 'agent-2', KeyState.AlreadyVoid)
      call.choose(undefined)
      call.tick(BIND_PHASE_MAX_MS)
    }, Outcome.Unknown, ResultCode.BindingUnavailable],
    ['a rebind was requested and may be in the log', call => {
      call.bind()
      call.state(5, 'agent-2', KeyState.Voided)
      call.choose('agent-3')
      call.tick(BIND_PHASE_MAX_MS)
    }, Outcome.Unknown, ResultCode.BindingUnavailable],
    ['every agent voids', call => {
      call.bind()
      for (let i = 0; i <= REBINDS_MAX; i++) {
        call.state(5 + i, 'agent-2', KeyState.Voided, ResultCode.KeyTableFull)
        call.choose('agent-2')
        call.bound('agent-2', 6 + i)
      }
    }, Outcome.NotRun, ResultCode.KeyTableFull]
  ])('ends exactly once, and as not run only with proof: %s', (_case, act, outcome, code) => {
    const call = startCall()
    act(call)
    expect(call.finish()).toMatchObject([{ outcome, code }])
    expect(call.tick(2 * DEADLINE_MS)).toEqual([])
    call.bound('agent-1', 99)
    expect(call.finish()).toHaveLength(1)
  })

  it.each<[string, (call: Call) => CallEffect[]]>([
    ['a link lost before or after the dispatch', call =>
      call.handle({ kind: CallMessageKind.LinkLost, incarnation: 'agent-2' })],
    ['no reply from the agent', call => call.tick(AGENT_REPLY_TIMEOUT_MS)]
  ])('has the binding voided over a new link before it requests a rebind: %s', (_case, act) => {
    const call = startCall()
    call.bind()
    expect(act(call)).toMatchObject([{ kind: CallEffectKind.SendVoid, frame: { bindingOffset: 5 } }])
    expect(call.state(5, 'agent-2', KeyState.Voided)).toMatchObject([
      { kind: CallEffectKind.ChooseAgent, excluded: [agentRef('agent-2')] }
    ])
    expect(call.choose('agent-3')).toMatchObject([{ request: { voidedOffset: 5, candidate: agentRef('agent-3') } }])
    expect(call.bound('agent-2', 5)).toEqual([])
    expect(call.bound('agent-3', 8)).toMatchObject([{ kind: CallEffectKind.Dispatch, agent: agentRef('agent-3') }])
  })

  it('dispatches again from the first missing chunk when the probe finds the key running', () => {
    const call = startCall()
    call.bind()
    call.chunk(5, 'agent-2', 0, 'a')
    call.handle({ kind: CallMessageKind.LinkLost, incarnation: 'agent-2' })
    expect(call.state(5, 'agent-2', KeyState.Running)).toMatchObject([
      { kind: CallEffectKind.Dispatch, frame: { fromSequence: 1 } }
    ])
    expect(call.end(5, 'agent-2', 3, 'abc')).toMatchObject([
      { kind: CallEffectKind.Dispatch, frame: { fromSequence: 1 } }
    ])
  })

  it('retries the bind request when the owner does not reply or has changed', () => {
    const call = startCall()
    call.choose('agent-1')
    expect(call.handle({ kind: CallMessageKind.OwnerChanged })).toMatchObject([{ kind: CallEffectKind.AskOwner }])
    expect(call.tick(BIND_RETRY_MS)).toMatchObject([{ kind: CallEffectKind.AskOwner }])
  })

  it('ignores frames of another agent and of an earlier binding', () => {
    const call = startCall()
    call.bind()
    expect(call.chunk(5, 'agent-9', 0, 'x')).toEqual([])
    expect(call.chunk(4, 'agent-2', 0, 'x')).toEqual([])
    expect(call.state(4, 'agent-2', KeyState.Voided)).toEqual([])
  })
})
