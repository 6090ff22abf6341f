import type { Clock, TimestampMs } from '../core/index.js'
import type { WorkerRun } from '../membership/index.js'
import { attributeCrashes, type BlockedTraits, type TraitCrash } from './attributeCrashes.js'
import { type AnsweredRequest, createRecentAnswers, type RecentAnswer, SURVIVAL_MS } from './recentAnswers.js'
import type { Trait } from './requestTraits.js'

/** A crash in a report; times are relative to the report, as entries share no clock. */
export type ReportedCrash = readonly [runId: string, sentAgoMs: number, lostAgoMs: number, hasHead: boolean]

/** What an entry tells the other entries about crashes. */
export interface CrashReport {
  crashes: Record<Trait, ReportedCrash[]>
  /** Time since a worker last answered a request and lived on, by trait; only traits of which some entry reported a crash. */
  answeredAgoMs: Record<Trait, number>
}

export const EMPTY_CRASH_REPORT: CrashReport = { crashes: {}, answeredAgoMs: {} }

/** Whether two reports state the same, apart from the time that has passed between them. */
export const isSameCrashReport = (a: CrashReport, b: CrashReport): boolean => {
  const describe = ({ crashes, answeredAgoMs }: CrashReport) =>
    JSON.stringify([Object.entries(crashes).map(([trait, list]) => [trait, list.map(([runId]) => runId)]), Object.keys(answeredAgoMs)])
  return describe(a) === describe(b)
}

/** A request whose worker was lost before it had answered to the end. */
export interface LostRequest {
  traits: readonly Trait[]
  sentAtMs: TimestampMs
  /** Whether the head of the response had arrived, and nothing of its body. */
  hasHead: boolean
}

/** A lost response counts as a crash if its worker is found to be down within this time. */
export const CRASH_CONFIRM_MS = 8_000
/** Time without a further crash after which a blocked trait may run again. */
export const CRASH_KEEP_MS = 120_000
/** Maximum number of traits with crashes; those with the oldest crashes are evicted. */
export const CRASHED_TRAITS_MAX = 256
/** Maximum number of crashes that are kept of one trait. */
export const CRASHES_PER_TRAIT_MAX = 8
/** Maximum number of traits of one request that a crash counts against; those without an answer go first. */
export const CRASHED_TRAITS_PER_REQUEST_MAX = 64
/** Maximum number of traits in one report to the other entries, which must fit into a datagram. */
export const CRASH_REPORT_MAX = 24
/** Blocked traits are determined again after this time, as some are blocked for a time only. */
export const EVALUATION_KEEP_MS = 500
/** Maximum number of traits whose last answer is remembered. */
export const ANSWERED_TRAITS_MAX = 8_192

/** Records which traits requests had in common when they crashed workers, as observed by one entry and its peers. */
export interface CrashRecord {
  /** True while no crashes are recorded; whole requests need not be hashed then. */
  readonly isEmpty: boolean
  /** Records that a request was sent and its worker was lost before it had answered to the end. */
  recordLost (run: WorkerRun, request: LostRequest): void
  /** Records that a run ended or its worker is unreachable. Returns the traits to which a crash was added. */
  recordDown (run: WorkerRun): Trait[]
  /** Records that a run has answered a request to the end; the answer counts once the run has lived on for some time. */
  recordAnswered (run: WorkerRun, answered: AnsweredRequest): void
  /** Counts the answers whose runs have lived on. Returns the traits that are cleared of a crash by them. */
  countProvenAnswers (): Trait[]
  /**
   * Records that a worker has answered a request and lived on, so none of its traits crashes workers.
   * Returns the traits that are cleared of a crash by it.
   */
  recordAnswer (traits: readonly Trait[], answeredAtMs?: TimestampMs): Trait[]
  /** Adds what a peer reported. Returns whether this entry knows of an answer that clears a reported crash, or makes it less suspect. */
  mergePeerReport (report: CrashReport): boolean
  /** Returns the blocked traits that a request has, if there are any. */
  findBlocked (traits: readonly Trait[]): BlockedTraits | undefined
  /** All blocked traits. */
  blocked (): readonly BlockedTraits[]
  /** Returns what peers need to know: blocked traits first, then those with the newest crashes. */
  createReport (): CrashReport
}

const runIdOf = ({ workerId, startedAtUnixMs }: WorkerRun) => `${workerId}/${startedAtUnixMs}`

/** Rounds to a fraction of a ms: a retry may leave that soon after the crash before it. */
const roundAge = (ageMs: number): number => Math.round(ageMs * 100) / 100

/**
 * Orders the requests at one crash, the best evidence first: one whose response had started, then the one that was sent
 * last, as an earlier crash has least to do with it.
 */
const compareEvidence = (a: LostRequest, b: LostRequest): number => Number(b.hasHead) - Number(a.hasHead) || b.sentAtMs - a.sentAtMs

const newestCrashMs = (crashes: ReadonlyMap<string, TraitCrash>): TimestampMs =>
  Math.max(...[...crashes.values()].map(({ lostAtMs }) => lostAtMs))

/**
 * Creates the crash record of one entry. A crash also fails requests that did not cause it; their traits are cleared
 * once a worker answers any request that has them to the end and lives on. That an answer has begun clears nothing, as a worker
 * may crash at any point of it.
 *
 * @example
 * const crashes = createCrashRecord({ clock })
 * crashes.recordLost(worker, { traits, sentAtMs, hasHead: false })
 * crashes.recordDown(worker)
 */
export const createCrashRecord = ({ clock }: { clock: Clock }): CrashRecord => {
  const crashesByTrait = new Map<Trait, Map<string, TraitCrash>>()
  /** Ordered by the time of the last answer. */
  const answeredAtMs = new Map<Trait, TimestampMs>()
  const recentAnswers = createRecentAnswers({ clock, survivalMs: SURVIVAL_MS })
  const lostByRun = new Map<string, { request: LostRequest, lostAtMs: TimestampMs }[]>()
  /** When an entry last reported a crash of a trait; the answers to these traits are reported to the peers. */
  const reportedAtMs = new Map<Trait, TimestampMs>()
  /** Computed again after each change of the evidence, and after some time. */
  let evaluated: { blocked: readonly BlockedTraits[], atMs: TimestampMs } | undefined

  const expireLost = () => {
    const nowMs = clock.nowMs()
    for (const [runId, lost] of lostByRun) {
      const recent = lost.filter(({ lostAtMs }) => nowMs - lostAtMs <= CRASH_CONFIRM_MS)
      if (recent.length > 0) lostByRun.set(runId, recent)
      else lostByRun.delete(runId)
    }
  }

  const expireCrashes = () => {
    const oldestMs = clock.nowMs() - CRASH_KEEP_MS
    for (const [trait, crashes] of crashesByTrait) {
      if (newestCrashMs(crashes) >= oldestMs) continue
      crashesByTrait.delete(trait)
      evaluated = undefined
    }
    for (const [trait, atMs] of reportedAtMs) if (atMs < oldestMs) reportedAtMs.delete(trait)
  }

  const recordReported = (trait: Trait) => {
    reportedAtMs.delete(trait)
    reportedAtMs.set(trait, clock.nowMs())
    const [oldest] = reportedAtMs.keys()
    if (reportedAtMs.size > CRASHED_TRAITS_MAX && oldest !== undefined) reportedAtMs.delete(oldest)
  }

  const isCleared = (trait: Trait, lostAtMs: TimestampMs) => lostAtMs <= (answeredAtMs.get(trait) ?? -Infinity)

  const evictOldest = () => {
    const traits = [...crashesByTrait].sort(([, a], [, b]) => newestCrashMs(a) - newestCrashMs(b))
    for (const [trait] of traits.slice(0, Math.max(0, traits.length - CRASHED_TRAITS_MAX))) crashesByTrait.delete(trait)
  }

  /** Adds a crash unless an answer clears it; returns whether it was not known. */
  const addCrash = (trait: Trait, crash: TraitCrash): boolean => {
    if (isCleared(trait, crash.lostAtMs) || clock.nowMs() - crash.lostAtMs > CRASH_KEEP_MS) return false
    const crashes = crashesByTrait.get(trait) ?? new Map<string, TraitCrash>()
    const known = crashes.get(crash.runId)
    if (known !== undefined && (known.hasHead || !crash.hasHead)) return false
    crashes.set(crash.runId, crash)
    const [oldest] = crashes.keys()
    if (crashes.size > CRASHES_PER_TRAIT_MAX && oldest !== undefined) crashes.delete(oldest)
    crashesByTrait.set(trait, crashes)
    evictOldest()
    evaluated = undefined
    return true
  }

  const recordAnsweredAt = (trait: Trait, atMs: TimestampMs): boolean => {
    if (atMs <= (answeredAtMs.get(trait) ?? -Infinity)) return false
    // Reinserted, so that the map stays ordered.
    answeredAtMs.delete(trait)
    answeredAtMs.set(trait, atMs)
    const [oldest] = answeredAtMs.keys()
    if (answeredAtMs.size > ANSWERED_TRAITS_MAX && oldest !== undefined) answeredAtMs.delete(oldest)
    const crashes = crashesByTrait.get(trait)
    if (crashes === undefined) return false
    evaluated = undefined
    const cleared = [...crashes.values()].filter(({ lostAtMs }) => lostAtMs <= atMs)
    for (const { runId } of cleared) crashes.delete(runId)
    if (crashes.size === 0) crashesByTrait.delete(trait)
    return cleared.length > 0
  }

  const evaluate = (): readonly BlockedTraits[] => {
    expireCrashes()
    const nowMs = clock.nowMs()
    if (evaluated !== undefined && nowMs - evaluated.atMs < EVALUATION_KEEP_MS) return evaluated.blocked
    const histories = [...crashesByTrait].map(([trait, crashes]) => [trait, { crashes, answeredAtMs: answeredAtMs.get(trait) }] as const)
    evaluated = { blocked: attributeCrashes(new Map(histories), nowMs), atMs: nowMs }
    return evaluated.blocked
  }

  /** Traits in the order in which peers need them. */
  const rankForReport = (): Trait[] => {
    const blocked = new Set(evaluate().flat())
    const byNewest = [...crashesByTrait].sort(([, a], [, b]) => newestCrashMs(b) - newestCrashMs(a)).map(([trait]) => trait)
    return [...byNewest.filter(trait => blocked.has(trait)), ...byNewest.filter(trait => !blocked.has(trait))].slice(0, CRASH_REPORT_MAX)
  }

  /**
   * Returns how much later than an earlier report this one seems to have been written, by a crash that both contain.
   * Without it, reports that travel at different speeds would change the order of a crash and of the request sent next.
   */
  const findDelayMs = (trait: Trait, reported: readonly ReportedCrash[]): number => {
    for (const [runId, , lostAgoMs] of reported) {
      const known = crashesByTrait.get(trait)?.get(runId)
      if (known !== undefined) return known.lostAtMs - (clock.nowMs() - lostAgoMs)
    }
    return 0
  }

  const reportCrash = ({ runId, sentAtMs, lostAtMs, hasHead }: TraitCrash): ReportedCrash => {
    const nowMs = clock.nowMs()
    return [runId, roundAge(nowMs - sentAtMs), roundAge(nowMs - lostAtMs), hasHead]
  }

  const addLost = (runId: string, request: LostRequest) => {
    const traits = [...request.traits.filter(trait => !answeredAtMs.has(trait)), ...request.traits.filter(trait => answeredAtMs.has(trait))]
    const lost = { request: { ...request, traits: traits.slice(0, CRASHED_TRAITS_PER_REQUEST_MAX) }, lostAtMs: clock.nowMs() }
    lostByRun.set(runId, [...lostByRun.get(runId) ?? [], lost])
  }

  const traitsOfAnswer = ({ parts, requestTrait }: RecentAnswer): readonly Trait[] =>
    requestTrait === undefined ? parts : [requestTrait, ...parts]

  const recordAnswerAt = (traits: readonly Trait[], atMs: TimestampMs): Trait[] => traits.filter(trait => recordAnsweredAt(trait, atMs))

  return {
    get isEmpty () { return crashesByTrait.size === 0 },
    recordLost: (run, request) => {
      expireLost()
      addLost(runIdOf(run), request)
    },
    recordDown: run => {
      expireLost()
      const runId = runIdOf(run)
      for (const answer of recentAnswers.takeOf(runId)) addLost(runId, { traits: traitsOfAnswer(answer), sentAtMs: answer.sentAtMs, hasHead: false })
      const lost = (lostByRun.get(runId) ?? []).sort((a, b) => compareEvidence(a.request, b.request))
      lostByRun.delete(runId)
      return lost.flatMap(({ request: { traits, sentAtMs, hasHead }, lostAtMs }) => traits.filter(trait => {
        recordReported(trait)
        return addCrash(trait, { runId, sentAtMs, lostAtMs, hasHead })
      }))
    },
    recordAnswered: (run, answered) => recentAnswers.add(runIdOf(run), answered),
    countProvenAnswers: () => recentAnswers.takeProven().flatMap(answer => {
      const traits = crashesByTrait.size === 0 ? answer.parts : traitsOfAnswer(answer)
      return recordAnswerAt(traits, answer.answeredAtMs)
    }),
    recordAnswer: (traits, answeredAtMs = clock.nowMs()) => recordAnswerAt(traits, answeredAtMs),
    mergePeerReport: ({ crashes, answeredAgoMs }) => {
      const nowMs = clock.nowMs()
      let knowsAnswer = false
      for (const [trait, agoMs] of Object.entries(answeredAgoMs)) recordAnsweredAt(trait as Trait, nowMs - agoMs)
      for (const [trait, reported] of Object.entries(crashes)) {
        recordReported(trait as Trait)
        const writtenAtMs = nowMs + findDelayMs(trait as Trait, reported)
        for (const [runId, sentAgoMs, lostAgoMs, hasHead] of reported) {
          const isNew = addCrash(trait as Trait, { runId, sentAtMs: writtenAtMs - sentAgoMs, lostAtMs: writtenAtMs - lostAgoMs, hasHead })
          knowsAnswer ||= isCleared(trait as Trait, writtenAtMs - lostAgoMs) || (isNew && answeredAtMs.has(trait as Trait))
        }
      }
      return knowsAnswer
    },
    findBlocked: traits => crashesByTrait.size === 0 ? undefined : evaluate().find(blocked => blocked.every(trait => traits.includes(trait))),
    blocked: evaluate,
    createReport: () => {
      const answered = [...reportedAtMs.keys()].filter(trait => answeredAtMs.has(trait)).slice(-CRASH_REPORT_MAX)
      return {
        crashes: Object.fromEntries(rankForReport().map(trait => [trait, [...crashesByTrait.get(trait)!.values()].map(reportCrash)])),
        answeredAgoMs: Object.fromEntries(answered.map(trait => [trait, roundAge(clock.nowMs() - answeredAtMs.get(trait)!)]))
      }
    }
  }
}
