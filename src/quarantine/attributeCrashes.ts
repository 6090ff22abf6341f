import type { TimestampMs } from '../core/index.js'
import { isRequestTrait, type Trait } from './requestTraits.js'

/** Crash of one worker run during which a request with a trait had not been answered to the end. */
export interface TraitCrash {
  runId: string
  /** When the last such request was sent to the run, on the clock of this process. */
  sentAtMs: TimestampMs
  /** When its response was lost. */
  lostAtMs: TimestampMs
  /** Whether the worker had sent the head of its response and nothing more, so that it crashed while it began the answer. */
  hasHead: boolean
}

/** What is known of one trait. */
export interface TraitHistory {
  /** Crashes since the last answer, by run. */
  crashes: ReadonlyMap<string, TraitCrash>
  /** When a worker last answered a request with the trait to the end, and lived on. */
  answeredAtMs: TimestampMs | undefined
}

/** How likely a trait is to crash workers, the most likely first. */
enum Suspicion {
  /** A part of the prompt that no worker has answered. */
  UnansweredPart = 'unanswered-part',
  /** A part that workers answered before the crashes. */
  AnsweredPart = 'answered-part',
  /** A request as a whole; a part that crashes workers also explains the crashes of each request that has it. */
  Request = 'request'
}

/**
 * Weight of a crash right after the head of a response, as evidence against a prompt part; others have the weight 1.
 * Requests that only wait beside have no head yet, and of those whose answers are under way any may have caused the crash.
 */
export const HEAD_CRASH_WEIGHT = 3
/** A trait that is blocked for a single crash may run again after this time, in case the crash was a coincidence. */
export const SINGLE_CRASH_BLOCK_MS = 30_000

export const UNANSWERED_PART_WEIGHT = 3
export const ANSWERED_PART_WEIGHT = 4
export const REQUEST_WEIGHT = 3

/** Weight of the crashes from which a trait is blocked, in the order in which traits are considered. */
const BLOCKING_WEIGHT: Record<Suspicion, number> = {
  [Suspicion.UnansweredPart]: UNANSWERED_PART_WEIGHT,
  [Suspicion.AnsweredPart]: ANSWERED_PART_WEIGHT,
  [Suspicion.Request]: REQUEST_WEIGHT
}

const suspicionOf = (trait: Trait, { answeredAtMs }: TraitHistory): Suspicion => {
  if (isRequestTrait(trait)) return Suspicion.Request
  return answeredAtMs === undefined ? Suspicion.UnansweredPart : Suspicion.AnsweredPart
}

/**
 * Sums the crashes that are independent evidence: the request was sent after the previous one. Workers that fail
 * together, for example with their rack, count once.
 */
const weighCrashes = (crashes: readonly TraitCrash[], suspicion: Suspicion, nowMs: TimestampMs): number => {
  let count = 0
  let weight = 0
  let countedAtMs = -Infinity
  for (const { sentAtMs, lostAtMs, hasHead } of [...crashes].sort((a, b) => a.lostAtMs - b.lostAtMs)) {
    if (sentAtMs <= countedAtMs) continue
    count += 1
    weight += hasHead && suspicion !== Suspicion.Request ? HEAD_CRASH_WEIGHT : 1
    countedAtMs = lostAtMs
  }
  const isSingleOver = count === 1 && nowMs - countedAtMs > SINGLE_CRASH_BLOCK_MS
  return isSingleOver ? 0 : weight
}

interface Candidate {
  trait: Trait
  /** Ids of the runs whose crashes no other cause explains, in order. */
  runIds: string[]
  weight: number
}

/** Traits that are blocked together: a request is refused if it has all of them. */
export type BlockedTraits = readonly Trait[]

/**
 * Attributes crashes to the traits of the requests that were not answered to the end. The trait that fits most crashes is blocked
 * first, and its crashes then count against no other one, so that a request which only waited beside is not suspected.
 * If several traits fit the same crashes, only requests that have all of them are blocked.
 *
 * @example
 * attributeCrashes(histories, clock.nowMs()) // [['part/m/5c1e']]
 */
export const attributeCrashes = (histories: ReadonlyMap<Trait, TraitHistory>, nowMs: TimestampMs): BlockedTraits[] => {
  const explainedRunIds = new Set<string>()
  const blocked: BlockedTraits[] = []

  const findCandidates = (suspicion: Suspicion): Candidate[] => [...histories].flatMap(([trait, history]) => {
    if (suspicionOf(trait, history) !== suspicion) return []
    const crashes = [...history.crashes.values()].filter(({ runId }) => !explainedRunIds.has(runId))
    const weight = weighCrashes(crashes, suspicion, nowMs)
    return weight < BLOCKING_WEIGHT[suspicion] ? [] : [{ trait, weight, runIds: crashes.map(({ runId }) => runId).sort() }]
  })

  const blockWorst = (candidates: readonly Candidate[]) => {
    const worst = candidates.reduce((a, b) => b.weight > a.weight ? b : a)
    const tied = candidates.filter(({ runIds }) => runIds.join() === worst.runIds.join())
    blocked.push(tied.map(({ trait }) => trait).sort())
    for (const runId of worst.runIds) explainedRunIds.add(runId)
  }

  for (const suspicion of Object.keys(BLOCKING_WEIGHT) as Suspicion[]) {
    for (let candidates = findCandidates(suspicion); candidates.length > 0; candidates = findCandidates(suspicion)) blockWorst(candidates)
  }
  return blocked
}
