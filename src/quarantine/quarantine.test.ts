import { encode } from 'cbor-x'
import { describe, expect, it } from 'vitest'
import { createManualClock, ResultCode } from '../core/index.js'
import {
  BROADCAST_FINGERPRINTS_MAX,
  CORRELATED_CRASHES_MS, CrashGuardEffectKind, CrashGuardMessageKind, NoticeKind, QUARANTINE_TOPIC, QuarantineEffectKind,
  QuarantineMessageKind, SUSPECT_QUEUE_MAX, SUSPECT_WAIT_MAX_MS, SUSPECTS_MAX, VERDICT_HOLD_MS
} from './constants.js'
import { BROADCAST_PAYLOAD_BYTES_MAX } from '../membership/index.js'
import { createCrashGuard } from './createCrashGuard.js'
import { createQuarantine } from './createQuarantine.js'
import { createSuspectTable } from './suspectTable.js'
import type { CrashGuardEffect, Notice, QuarantineEffect, QuarantineMessage } from './types.js'

const kinds = (effects: ReadonlyArray<{ kind: string }>) => effects.map(({ kind }) => kind)
const notices = (effects: CrashGuardEffect[]) => effects.flatMap(effect => effect.kind === CrashGuardEffectKind.NotifyEntries ? [effect.notice] : [])
const suspectsOf = (crashId: string, ...fingerprints: string[]) =>
  ({ kind: NoticeKind.Suspects as const, crashId, upstreamId: crashId.split('/')[0]!, fingerprints })

describe('crash guard', () => {
  const createTest = () => {
    const clock = createManualClock()
    const guard = createCrashGuard({ clock, upstreamId: 'u1' })
    const request = (runId: string, { isSuspect = false, fingerprint = runId, isRepeatable = true } = {}) =>
      guard.handle({ kind: CrashGuardMessageKind.RunRequested, runId, fingerprint, isSuspect, isRepeatable })
    const end = (runId: string, succeeded = true) => guard.handle({ kind: CrashGuardMessageKind.RunEnded, runId, succeeded })
    const crash = () => guard.handle({ kind: CrashGuardMessageKind.UpstreamDied, crashId: 'u1/1' })
    return { clock, guard, request, end, crash }
  }

  it('reports all requests in flight at a crash as suspects without quarantining any', () => {
    const { request, crash } = createTest()
    request('a')
    request('b')
    expect(notices(crash())).toEqual([suspectsOf('u1/1', 'a', 'b')])
    expect(request('c')).toMatchObject([{ code: ResultCode.NoUpstream }])
  })

  it('runs a suspect alone: after the running requests, and without concurrent ones', () => {
    const { request, end, crash } = createTest()
    request('a')
    expect(request('s', { isSuspect: true })).toEqual([])
    expect(request('b')).toMatchObject([{ code: ResultCode.SuspectBusy }])
    expect(end('a')).toEqual([{ kind: CrashGuardEffectKind.StartAlone, runId: 's' }])
    expect(request('c')).toMatchObject([{ code: ResultCode.SuspectBusy }])
    expect(notices(crash()).map(({ kind }) => kind)).toEqual([NoticeKind.Quarantined, NoticeKind.Suspects])
    expect(request('again', { fingerprint: 's', isSuspect: true })).toMatchObject([{ code: ResultCode.Quarantined }])
  })

  it('does not quarantine a suspect that was only waiting when another request crashed the upstream', () => {
    const { request, crash } = createTest()
    request('poison')
    request('innocent', { isSuspect: true })
    const effects = crash()
    expect(notices(effects)).toEqual([suspectsOf('u1/1', 'poison')])
    expect(effects).toContainEqual({ kind: CrashGuardEffectKind.Refuse, runId: 'innocent', code: ResultCode.NoUpstream, notice: undefined })
  })

  it('clears a suspect that succeeds alone', () => {
    const { guard, request, end } = createTest()
    guard.handle({ kind: CrashGuardMessageKind.SuspectsReceived, notice: suspectsOf('u9/1', 's') })
    request('s', { isSuspect: true })
    expect(notices(end('s'))).toEqual([{ kind: NoticeKind.Cleared, fingerprint: 's', crashIds: ['u9/1'] }])
    expect(kinds(request('s'))).toEqual([CrashGuardEffectKind.Start])
  })

  it('notifies an entry that does not know of a suspect', () => {
    const { guard, request } = createTest()
    guard.handle({ kind: CrashGuardMessageKind.SuspectsReceived, notice: suspectsOf('u9/1', 's') })
    expect(request('s')).toMatchObject([{ code: ResultCode.SuspectBusy, notice: suspectsOf('u9/1', 's') }])
  })

  it('cancels running copies of a new suspect unless they must not be retried', () => {
    const { guard, request } = createTest()
    request('x', { fingerprint: 's' })
    request('y', { fingerprint: 's', isRepeatable: false })
    const effects = guard.handle({ kind: CrashGuardMessageKind.SuspectsReceived, notice: suspectsOf('u9/1', 's') })
    expect(effects.filter(({ kind }) => kind === CrashGuardEffectKind.Cancel)).toEqual([{ kind: CrashGuardEffectKind.Cancel, runId: 'x', code: ResultCode.SuspectBusy }])
  })

  it('limits the number of waiting suspects and the time they wait', () => {
    const { clock, guard, request } = createTest()
    request('long')
    for (let i = 0; i < SUSPECT_QUEUE_MAX; i++) expect(request(`s${i}`, { isSuspect: true })).toEqual([])
    expect(request('one-more', { isSuspect: true })).toMatchObject([{ code: ResultCode.SuspectBusy }])
    clock.advance(SUSPECT_WAIT_MAX_MS + 1)
    expect(guard.handle({ kind: CrashGuardMessageKind.Tick })).toHaveLength(SUSPECT_QUEUE_MAX)
    expect(kinds(request('next'))).toEqual([CrashGuardEffectKind.Start])
  })
})

describe('quarantine', () => {
  const createTest = () => {
    const clock = createManualClock()
    const quarantine = createQuarantine({ clock })
    const post = (message: QuarantineMessage) => quarantine.handle(message)
    const check = (fingerprint: string) => post({ kind: QuarantineMessageKind.CheckRequested, requestId: 'r', fingerprint })[0]!
    const suspect = (crashId: string, ...fingerprints: string[]) => post({ kind: QuarantineMessageKind.SuspectsReceived, notice: suspectsOf(crashId, ...fingerprints) })
    const loseHost = (upstreamId: string) => post({ kind: QuarantineMessageKind.UpstreamDied, upstreamId, crashId: `${upstreamId}/1`, hostLost: true })
    const runAlone = (fingerprint: string, upstreamId: string) => {
      post({ kind: QuarantineMessageKind.Dispatched, requestId: fingerprint, fingerprint, upstreamId })
      post({ kind: QuarantineMessageKind.StartedAlone, requestId: fingerprint })
    }
    const upstreamIds = Array.from({ length: 8 }, (_, i) => `u${i}`)
    post({ kind: QuarantineMessageKind.UpstreamsChanged, upstreamIds })
    return { clock, post, check, suspect, loseHost, runAlone }
  }
  const broadcastsOf = (effects: QuarantineEffect[]) => effects.flatMap(effect => effect.kind === QuarantineEffectKind.Broadcast ? [effect.broadcast] : [])
  const isolationUpstreamOf = (effect: QuarantineEffect) => effect.kind === QuarantineEffectKind.RunAlone ? effect.upstreamId : undefined

  it('sends all copies of a suspect to the same upstream, whichever entry decides', () => {
    const entries = [createTest(), createTest()]
    const isolationUpstreams = entries.map(({ check, suspect }) => {
      expect(check('s').kind).toBe(QuarantineEffectKind.Run)
      suspect('u0/1', 's')
      return isolationUpstreamOf(check('s'))
    })
    expect(isolationUpstreams[0]).toBeDefined()
    expect(isolationUpstreams[1]).toBe(isolationUpstreams[0])
  })

  it('holds a suspect after its upstream crashed until every entry can have received the verdict', () => {
    const { check, clock, loseHost, suspect } = createTest()
    suspect('u0/1', 's')
    const isolationUpstream = isolationUpstreamOf(check('s'))!
    loseHost(isolationUpstream)
    expect(check('s')).toMatchObject({ code: ResultCode.SuspectBusy })
    clock.advance(VERDICT_HOLD_MS)
    expect(isolationUpstreamOf(check('s'))).not.toBe(isolationUpstream)
  })

  it.each([
    ['on a single lost host is quarantined', [] as string[], ResultCode.Quarantined],
    ['is not quarantined if a whole failure domain was lost', ['u5', 'u6'], undefined]
  ])('a suspect that ran alone %s', (_case, alsoLost, code) => {
    const { check, clock, loseHost, post, runAlone, suspect } = createTest()
    suspect('u0/1', 's')
    clock.advance(60_000)
    const isolationUpstream = isolationUpstreamOf(check('s'))!
    runAlone('s', isolationUpstream)
    loseHost(isolationUpstream)
    alsoLost.filter(id => id !== isolationUpstream).forEach(loseHost)
    clock.advance(CORRELATED_CRASHES_MS)
    post({ kind: QuarantineMessageKind.Tick })
    const effect = check('s')
    expect(effect.kind === QuarantineEffectKind.Refuse ? effect.code : undefined).toBe(code)
  })

  it('suspects all requests in flight on a lost host and notifies agents and entries once', () => {
    const { check, loseHost, post } = createTest()
    for (const id of ['a', 'b']) post({ kind: QuarantineMessageKind.Dispatched, requestId: id, fingerprint: id, upstreamId: 'u1' })
    post({ kind: QuarantineMessageKind.Dispatched, requestId: 'c', fingerprint: 'c', upstreamId: 'u2' })
    expect(kinds(loseHost('u1'))).toEqual([QuarantineEffectKind.NotifyAgents, QuarantineEffectKind.Broadcast])
    expect(loseHost('u1')).toEqual([])
    expect([check('a').kind, check('c').kind]).toEqual([QuarantineEffectKind.RunAlone, QuarantineEffectKind.Run])
  })

  it('applies suspects and verdicts from broadcasts, but ignores expired broadcasts and other topics', () => {
    const [sender, receiver] = [createTest(), createTest()]
    const [broadcast] = broadcastsOf(sender.suspect('u0/1', 's'))
    const receive = (changes: object) => receiver.post({ kind: QuarantineMessageKind.BroadcastReceived, broadcast: { ...broadcast!, ...changes } })
    receive({ expiresMs: 0 })
    receive({ topic: 'other' })
    expect(receiver.check('s').kind).toBe(QuarantineEffectKind.Run)
    expect(broadcast!.topic).toBe(QUARANTINE_TOPIC)
    receive({})
    expect(receiver.check('s').kind).toBe(QuarantineEffectKind.RunAlone)
    receive({ payload: { kind: NoticeKind.Quarantined, fingerprint: 's', crashId: 'u3/1' } })
    expect(receiver.check('s')).toMatchObject({ code: ResultCode.Quarantined })
  })

  it('fits the payload of every broadcast, with the longest names, into a gossip datagram', () => {
    const { suspect } = createTest()
    const fingerprints = Array.from({ length: 100 }, (_, i) => i.toString(16).padStart(16, '0'))
    const broadcasts = broadcastsOf(suspect('u0/0123456789abcdef/12', ...fingerprints))
    const sizes = broadcasts.map(({ payload }) => encode({ pool: 'p'.repeat(63), notice: payload }).length)
    expect(broadcasts).toHaveLength(Math.ceil(fingerprints.length / BROADCAST_FINGERPRINTS_MAX))
    expect(Math.max(...sizes)).toBeLessThanOrEqual(BROADCAST_PAYLOAD_BYTES_MAX)
  })
})

describe('suspect table', () => {
  const cleared = (...crashIds: string[]): Notice => ({ kind: NoticeKind.Cleared, fingerprint: 's', crashIds })
  const verdict: Notice = { kind: NoticeKind.Quarantined, fingerprint: 's', crashId: 'u2/1' }

  it.each<[string, Notice[], boolean, boolean]>([
    ['suspect', [suspectsOf('u1/1', 's')], true, false],
    ['cleared', [suspectsOf('u1/1', 's'), cleared('u1/1')], false, false],
    ['clearance before the suspicion', [cleared('u1/1'), suspectsOf('u1/1', 's')], false, false],
    ['cleared of one crash only', [suspectsOf('u1/1', 's'), suspectsOf('u2/1', 's'), cleared('u1/1')], true, false],
    ['verdict', [suspectsOf('u1/1', 's'), verdict], false, true],
    ['verdict before the suspicion', [verdict, suspectsOf('u1/1', 's')], false, true],
    ['clearance after the verdict', [verdict, cleared('u1/1')], false, true]
  ])('%s', (_case, applied, isSuspect, isQuarantined) => {
    const table = createSuspectTable()
    for (const notice of applied) table.apply(notice, 0)
    expect([table.findSuspicion('s') !== undefined, table.isQuarantined('s')]).toEqual([isSuspect, isQuarantined])
  })

  it('is bounded in size and expires its content', () => {
    const table = createSuspectTable()
    for (let i = 0; i < SUSPECTS_MAX + 100; i++) table.apply(suspectsOf('u1/1', `s${i}`), 0)
    expect(table.suspectCount).toBe(SUSPECTS_MAX)
    table.expire(Number.MAX_SAFE_INTEGER)
    expect(table.suspectCount).toBe(0)
  })
})
