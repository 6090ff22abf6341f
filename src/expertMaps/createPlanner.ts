import { type Clock, type Core, dispatch, type HandlerTable } from '../core/index.js'
import {
  GAIN_MIN, GAIN_OVER_COST_MIN, PLAN_SLICE_BUDGET_MS, PLAN_UNITS_PER_SLICE, SKEW_PERSISTENCE, SKEW_START_RATIO
} from './constants.js'
import type { LoadSnapshot } from './createLoadAccount.js'
import { type PlanOutcome, searchPlan } from './planSearch.js'
import type { Copy, ExpertMap, GroupShape, PlanWeights } from './types.js'

export enum PlanMessageKind {
  PlanRequested = 'plan-requested',
  /** Runs one slice of the search; the owning task posts this message to itself after ContinueRequested. */
  Advance = 'advance',
  WeightsChanged = 'weights-changed'
}

export type PlanMessage =
  | { kind: PlanMessageKind.PlanRequested, map: ExpertMap, snapshot: LoadSnapshot }
  | { kind: PlanMessageKind.Advance }
  | { kind: PlanMessageKind.WeightsChanged, weights: PlanWeights }

export enum PlanEffectKind {
  ContinueRequested = 'continue-requested',
  /** The current map stays in use. */
  MapKept = 'map-kept',
  MapPlanned = 'map-planned'
}

/** Why a plan changes the map or keeps it. */
export enum PlanVerdict {
  Balanced = 'balanced',
  Unconfirmed = 'unconfirmed',
  Uncovered = 'uncovered',
  NotWorthIt = 'not-worth-it',
  Moved = 'moved',
  Reweighted = 'reweighted',
  SlotsFreed = 'slots-freed'
}

export type PlanEffect =
  | { kind: PlanEffectKind.ContinueRequested }
  | { kind: PlanEffectKind.MapKept, verdict: PlanVerdict, explanation: string }
  | {
    kind: PlanEffectKind.MapPlanned
    verdict: PlanVerdict
    explanation: string
    base: ExpertMap
    map: ExpertMap
    copies: Copy[]
    skewBefore: number
    skewAfter: number
  }

/** Rules that tests disable to show that the tests detect their absence. */
export interface PlannerRules {
  hasHysteresis: boolean
}

interface PlanSession {
  base: ExpertMap
  search: Generator<number, PlanOutcome>
}

/**
 * With reports from a smaller share of the ranks, the computed skew reflects the missing reports rather than
 * the load.
 */
const COVERAGE_MIN = 0.75

const ratio = (value: number) => value.toFixed(3)

/**
 * Plans the maps of one group. Each `Advance` message runs one short slice of the search, so planning
 * never blocks the task that owns it.
 *
 * @example
 * const planner = createPlanner({ shape, weights, clock })
 * planner.handle({ kind: PlanMessageKind.PlanRequested, map, snapshot }) // [{ kind: ContinueRequested }]
 */
export const createPlanner = (
  { shape, weights: initialWeights, clock, rules = { hasHysteresis: true } }:
  { shape: GroupShape, weights: PlanWeights, clock: Clock, rules?: PlannerRules }
): Core<PlanMessage, PlanEffect> => {
  let weights = initialWeights
  let session: PlanSession | undefined
  /** Number of consecutive evaluations that showed the skew. */
  let skewedCount = 0

  const persistence = rules.hasHysteresis ? SKEW_PERSISTENCE : 1
  const gainOverCost = rules.hasHysteresis ? GAIN_OVER_COST_MIN : 1

  /** Minimum gain that justifies the messages of a switch. */
  const gainMin = () => GAIN_MIN * weights.skewWeight

  const shouldSearch = (skew: number) => {
    skewedCount = skew >= SKEW_START_RATIO ? skewedCount + 1 : 0
    return skewedCount >= persistence
  }

  const keepMap = (verdict: PlanVerdict, explanation: string): PlanEffect[] =>
    [{ kind: PlanEffectKind.MapKept, verdict, explanation: `no move: ${explanation}` }]

  const verdictOf = ({ copies, gain, cost, skewBefore, isStuck, retiredCount, map }: PlanOutcome): PlanVerdict => {
    if (skewBefore < SKEW_START_RATIO) return PlanVerdict.Balanced
    if (skewedCount < persistence) return PlanVerdict.Unconfirmed
    if (copies.length > 0 && gain >= gainOverCost * cost && gain >= gainMin()) return PlanVerdict.Moved
    if (map !== undefined && copies.length === 0 && gain >= gainMin()) return PlanVerdict.Reweighted
    if (map !== undefined && copies.length === 0 && isStuck && retiredCount > 0) return PlanVerdict.SlotsFreed
    return PlanVerdict.NotWorthIt
  }

  const skewText = ({ skewBefore, skewAfter }: PlanOutcome) =>
    `predicted skew ${ratio(skewBefore)} -> ${ratio(skewAfter)}`

  const explain: Record<PlanVerdict, (outcome: PlanOutcome) => string> = {
    [PlanVerdict.Balanced]: ({ skewBefore }) => `predicted skew ${ratio(skewBefore)} is below ${SKEW_START_RATIO}`,
    [PlanVerdict.Unconfirmed]: ({ skewBefore }) =>
      `predicted skew ${ratio(skewBefore)} seen ${skewedCount} of ${persistence} times in a row`,
    [PlanVerdict.Uncovered]: () => 'too few ranks report',
    [PlanVerdict.NotWorthIt]: outcome =>
      `${skewText(outcome)} gains ${ratio(outcome.gain)} for a cost of ${ratio(outcome.cost)}`,
    [PlanVerdict.Moved]: outcome =>
      `${outcome.copies.length} copies (${(outcome.copies.length * shape.expertBytes / 1e9).toFixed(2)} GB): ` +
      `${skewText(outcome)} gains ${ratio(outcome.gain)} for a cost of ${ratio(outcome.cost)}`,
    [PlanVerdict.Reweighted]: outcome => `shares changed without a copy: ${skewText(outcome)}`,
    [PlanVerdict.SlotsFreed]: ({ retiredCount }) => `${retiredCount} cold replicas dropped to free slots`
  }

  const finish = (base: ExpertMap, outcome: PlanOutcome): PlanEffect[] => {
    const verdict = verdictOf(outcome)
    const explanation = explain[verdict](outcome)
    const isChange = verdict === PlanVerdict.Moved || verdict === PlanVerdict.Reweighted || verdict === PlanVerdict.SlotsFreed
    if (!isChange || outcome.map === undefined) return keepMap(verdict, explanation)
    const { map, copies, skewBefore, skewAfter } = outcome
    return [{ kind: PlanEffectKind.MapPlanned, verdict, explanation, base, map, copies, skewBefore, skewAfter }]
  }

  const onAdvance = (): PlanEffect[] => {
    if (session === undefined) return []
    const endMs = clock.nowMs() + PLAN_SLICE_BUDGET_MS
    // The time limit bounds slices that run before the code is JIT-compiled; slicing does not affect the result.
    for (let units = 0; units < PLAN_UNITS_PER_SLICE && clock.nowMs() < endMs;) {
      const { done, value } = session.search.next()
      if (done) {
        const { base } = session
        session = undefined
        return finish(base, value)
      }
      units += value
    }
    return [{ kind: PlanEffectKind.ContinueRequested }]
  }

  /** A request during a session replaces it, because its snapshot is newer. */
  const onPlanRequested = (base: ExpertMap, { loads, speeds, coverage }: LoadSnapshot): PlanEffect[] => {
    session = undefined
    if (coverage < COVERAGE_MIN) return keepMap(PlanVerdict.Uncovered, explain[PlanVerdict.Uncovered]({} as PlanOutcome))
    session = { base, search: searchPlan({ shape, weights, base, loads, speeds, shouldSearch }) }
    return [{ kind: PlanEffectKind.ContinueRequested }]
  }

  const handlers: HandlerTable<PlanMessage, PlanEffect[]> = {
    [PlanMessageKind.PlanRequested]: ({ map, snapshot }) => onPlanRequested(map, snapshot),
    [PlanMessageKind.Advance]: onAdvance,
    [PlanMessageKind.WeightsChanged]: message => {
      weights = message.weights
      return []
    }
  }

  return { handle: message => dispatch(handlers, message) }
}
