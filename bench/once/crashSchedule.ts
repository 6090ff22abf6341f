import { createRandom, ResultCode } from '../../src/core/index.js'
import {
  CrashGuardEffectKind, CrashGuardMessageKind, createCrashGuard, createQuarantine, NoticeKind, type Notice,
  QuarantineEffectKind, QuarantineMessageKind, type CrashGuardMessage, type QuarantineMessage
} from '../../src/quarantine/index.js'
import { createEventQueue } from '../harness/index.js'

/** Protection of the upstreams against requests that crash them. */
export enum CrashPolicy {
  Product = 'product',
  /** No quarantine. */
  None = 'none',
  /** The product's quarantine with broadcasts only, without notices on links. */
  BroadcastOnly = 'broadcast-only',
  /** Naive rule: every request that was in flight at two crashes is quarantined; suspects do not run alone. */
  CountOnly = 'count-only'
}

export interface CrashScheduleResult {
  /** Number of upstreams that each crashing request has crashed. */
  lostByPoison: number[]
  innocentsQuarantined: number
  innocentsFinished: number
  innocentsSent: number
}

const ENTRY_COUNT = 5
const UPSTREAM_COUNT = 8
const RESEND_MS = 200
const POISON_RESEND_PERIOD_MS = 8_000
const DURATION_MS = 14_000
const RESENDS_MAX = 20

interface Run { runId: string, fingerprint: string, entry: number, upstream: number, ended: (finished: boolean, refusedCode?: ResultCode) => void }

/**
 * Runs one seeded schedule in which poison requests, which crash their upstream, and innocent ones go through
 * several entries.
 */
export const runCrashSchedule = (seed: number, policy: CrashPolicy): CrashScheduleResult => {
  const queue = createEventQueue()
  const random = createRandom(seed)
  const { clock } = queue
  const poisonCount = random.int(1, 3)
  const crashDelays = Array.from({ length: poisonCount }, () => random.int(20, 600))
  const result: CrashScheduleResult = {
    lostByPoison: crashDelays.map(() => 0), innocentsQuarantined: 0, innocentsFinished: 0, innocentsSent: 0
  }
  const quarantinedInnocents = new Set<string>()
  const poisonOf = (fingerprint: string) => fingerprint.startsWith('p') ? Number(fingerprint.slice(1)) : undefined
  const usesQuarantine = policy === CrashPolicy.Product || policy === CrashPolicy.BroadcastOnly
  const sendsLinkNotices = policy !== CrashPolicy.BroadcastOnly
  const crashCounts = new Map<string, number>()

  const entries = Array.from({ length: ENTRY_COUNT }, () => createQuarantine({ clock }))
  const upstreams = Array.from({ length: UPSTREAM_COUNT }, (_, i) => ({
    guard: createCrashGuard({ clock, upstreamId: `u${i}` }), isUp: true, incarnation: 1, runs: new Map<string, Run>()
  }))
  const pendingRuns = new Map<string, Run>()
  const linkDelayMs = () => random.int(1, 5)

  const recordVerdict = (notice: Notice) => {
    if (notice.kind === NoticeKind.Quarantined && poisonOf(notice.fingerprint) === undefined) quarantinedInnocents.add(notice.fingerprint)
  }

  const sendToGuard = (upstream: number, notice: Notice) => {
    const message: CrashGuardMessage = notice.kind === NoticeKind.Suspects
      ? { kind: CrashGuardMessageKind.SuspectsReceived, notice }
      : { kind: CrashGuardMessageKind.VerdictReceived, notice }
    queue.after(linkDelayMs(), () => postGuard(upstream, message))
  }

  const sendToEntry = (entry: number, notice: Notice) => {
    recordVerdict(notice)
    const message: QuarantineMessage = notice.kind === NoticeKind.Suspects
      ? { kind: QuarantineMessageKind.SuspectsReceived, notice }
      : { kind: QuarantineMessageKind.VerdictReceived, notice }
    queue.after(linkDelayMs(), () => postEntry(entry, message))
  }

  /** Posts a message to an entry and handles its effects, except those that decide a check (see `attempt`). */
  const postEntry = (entry: number, message: QuarantineMessage) => {
    for (const effect of entries[entry]!.handle(message)) {
      if (effect.kind === QuarantineEffectKind.Broadcast) {
        entries.forEach((_, other) => {
          if (other !== entry) queue.after(random.int(50, 1_000), () => postEntry(other, { kind: QuarantineMessageKind.BroadcastReceived, broadcast: effect.broadcast }))
        })
      }
      if (effect.kind === QuarantineEffectKind.NotifyAgents && sendsLinkNotices) upstreams.forEach((_, upstream) => { sendToGuard(upstream, effect.notice) })
    }
  }

  const startRun = (run: Run) => {
    const upstream = upstreams[run.upstream]!
    upstream.runs.set(run.runId, run)
    const { incarnation } = upstream
    const poison = poisonOf(run.fingerprint)
    const delayMs = poison === undefined ? random.int(50, 500) : crashDelays[poison]! + random.int(0, 50)
    queue.after(delayMs, () => {
      if (upstream.incarnation !== incarnation || !upstream.runs.has(run.runId)) return
      if (poison !== undefined) return crash(run.upstream, poison)
      upstream.runs.delete(run.runId)
      run.ended(true)
      if (usesQuarantine) postGuard(run.upstream, { kind: CrashGuardMessageKind.RunEnded, runId: run.runId, succeeded: true })
    })
  }

  const postGuard = (index: number, message: CrashGuardMessage) => {
    for (const effect of upstreams[index]!.guard.handle(message)) {
      if (effect.kind === CrashGuardEffectKind.NotifyEntries) {
        // Without link notices only entry 0 gets the notice and spreads it by broadcast.
        entries.forEach((_, entry) => { if (sendsLinkNotices || entry === 0) sendToEntry(entry, effect.notice) })
        continue
      }
      const run = pendingRuns.get(effect.runId)
      if (run === undefined) continue
      if (effect.kind === CrashGuardEffectKind.Start) startRun(run)
      if (effect.kind === CrashGuardEffectKind.StartAlone) {
        startRun(run)
        queue.after(linkDelayMs(), () => postEntry(run.entry, { kind: QuarantineMessageKind.StartedAlone, requestId: run.runId }))
      }
      if (effect.kind === CrashGuardEffectKind.Refuse) {
        if (effect.notice !== undefined) sendToEntry(run.entry, effect.notice)
        run.ended(false, effect.code)
      }
      if (effect.kind === CrashGuardEffectKind.Cancel) {
        upstreams[index]!.runs.delete(effect.runId)
        run.ended(false, effect.code)
      }
    }
  }

  const crash = (index: number, poison: number) => {
    const upstream = upstreams[index]!
    const runs = [...upstream.runs.values()]
    const crashId = `u${index}/${upstream.incarnation}`
    result.lostByPoison[poison]! += 1
    upstream.isUp = false
    upstream.incarnation += 1
    upstream.runs.clear()
    for (const { fingerprint } of runs) crashCounts.set(fingerprint, (crashCounts.get(fingerprint) ?? 0) + 1)
    if (usesQuarantine) postGuard(index, { kind: CrashGuardMessageKind.UpstreamDied, crashId })
    entries.forEach((_, entry) => queue.after(linkDelayMs(), () => {
      postEntry(entry, { kind: QuarantineMessageKind.UpstreamDied, upstreamId: `u${index}`, crashId, hostLost: false })
      announceUpstreams(entry)
    }))
    for (const run of runs) run.ended(false)
    queue.after(random.int(2_000, 5_000), () => {
      upstream.isUp = true
      if (usesQuarantine) postGuard(index, { kind: CrashGuardMessageKind.UpstreamStarted })
      entries.forEach((_, entry) => queue.after(linkDelayMs(), () => announceUpstreams(entry)))
    })
  }

  const announceUpstreams = (entry: number) => {
    const upstreamIds = upstreams.flatMap(({ isUp }, i) => isUp ? [`u${i}`] : [])
    postEntry(entry, { kind: QuarantineMessageKind.UpstreamsChanged, upstreamIds })
  }

  let runCount = 0
  const sendTo = (entry: number, fingerprint: string, upstream: number, isSuspect: boolean, ended: Run['ended']) => {
    const run: Run = { runId: `r${runCount++}`, fingerprint, entry, upstream, ended: () => {} }
    run.ended = (finished, code) => {
      if (!pendingRuns.delete(run.runId)) return
      queue.after(linkDelayMs(), () => {
        postEntry(entry, { kind: QuarantineMessageKind.Ended, requestId: run.runId })
        ended(finished, code)
      })
    }
    pendingRuns.set(run.runId, run)
    postEntry(entry, { kind: QuarantineMessageKind.Dispatched, requestId: run.runId, fingerprint, upstreamId: `u${upstream}` })
    queue.after(linkDelayMs(), () => {
      if (usesQuarantine) postGuard(upstream, { kind: CrashGuardMessageKind.RunRequested, runId: run.runId, fingerprint, isSuspect, isRepeatable: true })
      else if (upstreams[upstream]!.isUp) startRun(run)
      else run.ended(false)
    })
  }

  /** Sends a request through an entry once; the entry does not retry. */
  const attempt = (entry: number, fingerprint: string, ended: (finished: boolean) => void) => {
    const availableUpstreams = upstreams.flatMap(({ isUp }, i) => isUp ? [i] : [])
    if (availableUpstreams.length === 0) return ended(false)
    if (policy === CrashPolicy.CountOnly && (crashCounts.get(fingerprint) ?? 0) >= 2) {
      if (poisonOf(fingerprint) === undefined) quarantinedInnocents.add(fingerprint)
      return ended(false)
    }
    if (!usesQuarantine) return sendTo(entry, fingerprint, random.pick(availableUpstreams), false, ended)
    const [effect] = entries[entry]!.handle({ kind: QuarantineMessageKind.CheckRequested, requestId: '', fingerprint })
    if (effect?.kind === QuarantineEffectKind.Run) sendTo(entry, fingerprint, random.pick(availableUpstreams), false, ended)
    else if (effect?.kind === QuarantineEffectKind.RunAlone) sendTo(entry, fingerprint, Number(effect.upstreamId.slice(1)), true, ended)
    else ended(false)
  }

  const sendInnocent = (fingerprint: string, attemptsLeft: number) => {
    attempt(random.int(0, ENTRY_COUNT - 1), fingerprint, finished => {
      if (finished) result.innocentsFinished += 1
      else if (attemptsLeft > 0) queue.after(random.int(100, 600), () => sendInnocent(fingerprint, attemptsLeft - 1))
    })
  }

  entries.forEach((_, entry) => { announceUpstreams(entry) })
  for (let atMs = 0; atMs < DURATION_MS - 6_000; atMs += random.int(5, 40)) {
    const fingerprint = `i${result.innocentsSent++}`
    queue.after(atMs, () => { sendInnocent(fingerprint, RESENDS_MAX) })
  }
  crashDelays.forEach((_, poison) => {
    const startMs = random.int(200, 2_000)
    const firstEntry = random.int(0, ENTRY_COUNT - 1)
    // The caller resends without waiting for a response, each time through the next entry.
    for (let i = 0; i * RESEND_MS < POISON_RESEND_PERIOD_MS; i++) {
      queue.after(startMs + i * RESEND_MS, () => { attempt((firstEntry + i) % ENTRY_COUNT, `p${poison}`, () => {}) })
    }
  })
  queue.every(250, () => {
    if (usesQuarantine) {
      entries.forEach((_, entry) => { postEntry(entry, { kind: QuarantineMessageKind.Tick }) })
      upstreams.forEach((_, upstream) => { postGuard(upstream, { kind: CrashGuardMessageKind.Tick }) })
    }
    return clock.nowMs() < DURATION_MS
  })
  queue.runUntil(DURATION_MS)
  result.innocentsQuarantined = quarantinedInnocents.size
  return result
}
