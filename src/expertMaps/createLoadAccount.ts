import { type Core, dispatch, type HandlerTable } from '../core/index.js'
import {
  KNOWN_MAPS_MAX, LOAD_HALF_LIFE_STEPS, RANK_SPEED_MIN, RECOVERED_SPEED_RATIO, REPORT_AGE_MAX_STEPS, SPEED_SMOOTHING,
  STRAGGLER_REPORTS, STRAGGLER_SPEED_RATIO
} from './constants.js'
import { itemCountOf } from './expertMap.js'
import type { ExpertMap, GroupShape, ItemIndex, RankReport } from './types.js'

export enum LoadMessageKind {
  MapAdopted = 'map-adopted',
  RankReported = 'rank-reported',
  SnapshotRequested = 'snapshot-requested'
}

export type LoadMessage =
  | { kind: LoadMessageKind.MapAdopted, map: ExpertMap }
  | { kind: LoadMessageKind.RankReported, report: RankReport }
  | { kind: LoadMessageKind.SnapshotRequested }

export enum LoadEffectKind {
  SnapshotReady = 'snapshot-ready',
  StragglerDetected = 'straggler-detected',
  StragglerRecovered = 'straggler-recovered',
  ReportDropped = 'report-dropped'
}

export enum DropReason {
  Duplicate = 'duplicate',
  TooOld = 'too-old',
  UnknownMap = 'unknown-map',
  Malformed = 'malformed'
}

/** Estimated load and speed of a group. */
export interface LoadSnapshot {
  /** Tokens per step by item. */
  loads: Float64Array
  /** Speed of each rank relative to the median rank. */
  speeds: Float64Array
  /** Share of the ranks that reported within the last REPORT_AGE_MAX_STEPS steps. */
  coverage: number
}

export type LoadEffect =
  | { kind: LoadEffectKind.SnapshotReady, snapshot: LoadSnapshot }
  | { kind: LoadEffectKind.StragglerDetected, rank: number, speed: number }
  | { kind: LoadEffectKind.StragglerRecovered, rank: number, speed: number }
  | { kind: LoadEffectKind.ReportDropped, rank: number, reason: DropReason }

/** Rules that tests disable to show that the tests detect their absence. */
export interface LoadRules {
  /** A report is weighted by the share of the expert's tokens that the rank computes. */
  weighsByShare: boolean
  /** A rank changes between straggler and healthy only after several consecutive reports. */
  confirmsStragglers: boolean
}

interface RankState {
  incarnation: string
  /** Incarnation before the current one; its late reports are dropped. */
  previousIncarnation: string
  lastStep: number
  /** Steps of the most recently accepted reports, to detect duplicates. */
  seenSteps: Set<number>
  /** Tokens per ms of compute time; 0 until a report is received. */
  tokensPerMs: number
  isStraggler: boolean
  /** Number of consecutive reports that contradict `isStraggler`. */
  contradictions: number
}

interface KnownMap {
  hash: string
  /** Hosted items and their shares by rank, in ascending order of item. */
  hosted: Array<{ items: ItemIndex[], shares: number[] }>
}

const indexMap = ({ id, layers }: ExpertMap, ranks: number): KnownMap => {
  const hosted: KnownMap['hosted'] = Array.from({ length: ranks }, () => ({ items: [], shares: [] }))
  layers.flat().forEach((replicas, item) => {
    for (const { rank, share } of replicas) {
      hosted[rank]?.items.push(item)
      hosted[rank]?.shares.push(share)
    }
  })
  return { hash: id.hash, hosted }
}

/** Reports remembered per rank to detect duplicates; a report older than all of them is dropped. */
const SEEN_REPORTS_MAX = 64

const getDefaultRankState = (): RankState => ({
  incarnation: '',
  previousIncarnation: '',
  lastStep: 0,
  seenSteps: new Set(),
  tokensPerMs: 0,
  isStraggler: false,
  contradictions: 0
})

const median = (values: number[]): number => {
  const sorted = values.sort((a, b) => a - b)
  return sorted[sorted.length >> 1] ?? 0
}

/**
 * Estimates the load of a group from the reports of its ranks, which may be late, lost, duplicated
 * or reordered. Each report updates the averages in proportion to the share of the expert that the
 * rank computes, so a missing report does not lower the averages of the rank's experts.
 *
 * @example
 * const account = createLoadAccount({ shape })
 * account.handle({ kind: LoadMessageKind.MapAdopted, map })
 * account.handle({ kind: LoadMessageKind.RankReported, report })
 */
export const createLoadAccount = (
  { shape, rules = { weighsByShare: true, confirmsStragglers: true } }: { shape: GroupShape, rules?: LoadRules }
): Core<LoadMessage, LoadEffect> => {
  const stragglerReports = rules.confirmsStragglers ? STRAGGLER_REPORTS : 1
  const loads = new Float64Array(itemCountOf(shape))
  /**
   * Total weight of the observations of each item, approaching 1; corrects the bias of averages that start at
   * zero.
   */
  const observedWeights = new Float64Array(loads.length)
  const ranks = Array.from({ length: shape.ranks }, getDefaultRankState)
  const knownMaps: KnownMap[] = []
  let newestStep = 0

  const speeds = (): Float64Array => {
    const medianRate = median(ranks.map(({ tokensPerMs }) => tokensPerMs).filter(rate => rate > 0))
    return Float64Array.from(ranks, ({ tokensPerMs }) =>
      tokensPerMs === 0 || medianRate === 0 ? 1 : Math.max(RANK_SPEED_MIN, tokensPerMs / medianRate))
  }

  const updateLoads = ({ tokens, steps, step }: RankReport, items: ItemIndex[], shares: number[]) => {
    const age = Math.max(0, newestStep - step)
    const decay = 0.5 ** (age / LOAD_HALF_LIFE_STEPS)
    const weight = (1 - 0.5 ** (steps / LOAD_HALF_LIFE_STEPS)) * decay
    items.forEach((item, i) => {
      const share = rules.weighsByShare ? shares[i]! : 1
      loads[item]! += weight * (tokens[i]! / steps - share * loads[item]!)
      observedWeights[item]! += weight * share * (1 - observedWeights[item]!)
    })
  }

  const updateStragglerState = (state: RankState, rank: number, rate: number): LoadEffect[] => {
    const medianRate = median(ranks.map(({ tokensPerMs }) => tokensPerMs).filter(value => value > 0))
    const ratio = medianRate === 0 ? 1 : rate / medianRate
    const contradicts = state.isStraggler ? ratio > RECOVERED_SPEED_RATIO : ratio < STRAGGLER_SPEED_RATIO
    state.contradictions = contradicts ? state.contradictions + 1 : 0
    if (state.contradictions < stragglerReports) return []
    state.isStraggler = !state.isStraggler
    state.contradictions = 0
    // The smoothed rate still includes reports from before the change.
    state.tokensPerMs = rate
    const kind = state.isStraggler ? LoadEffectKind.StragglerDetected : LoadEffectKind.StragglerRecovered
    return [{ kind, rank, speed: ratio }]
  }

  const updateSpeed = (report: RankReport): LoadEffect[] => {
    const state = ranks[report.rank]!
    const total = report.tokens.reduce((sum, tokens) => sum + tokens, 0)
    if (total === 0 || report.durationMs <= 0) return []
    const rate = total / report.durationMs
    state.tokensPerMs += (state.tokensPerMs === 0 ? 1 : SPEED_SMOOTHING) * (rate - state.tokensPerMs)
    return updateStragglerState(state, report.rank, rate)
  }

  const drop = (rank: number, reason: DropReason): LoadEffect[] =>
    [{ kind: LoadEffectKind.ReportDropped, rank, reason }]

  const recordReport = (state: RankState, { incarnation, step }: RankReport) => {
    if (state.incarnation !== incarnation) {
      Object.assign(state, getDefaultRankState(), { incarnation, previousIncarnation: state.incarnation })
    }
    state.seenSteps.add(step)
    if (state.seenSteps.size > SEEN_REPORTS_MAX) state.seenSteps.delete(Math.min(...state.seenSteps))
    state.lastStep = Math.max(state.lastStep, step)
    newestStep = Math.max(newestStep, step)
  }

  const isTooOld = (state: RankState, { step, incarnation }: RankReport) =>
    newestStep - step > REPORT_AGE_MAX_STEPS || incarnation === state.previousIncarnation ||
    (state.seenSteps.size === SEEN_REPORTS_MAX && incarnation === state.incarnation && step < Math.min(...state.seenSteps))

  const onReport = (report: RankReport): LoadEffect[] => {
    const { rank, step, steps } = report
    const state = ranks[rank]
    if (state === undefined || steps <= 0) return drop(rank, DropReason.Malformed)
    if (isTooOld(state, report)) return drop(rank, DropReason.TooOld)
    if (state.incarnation === report.incarnation && state.seenSteps.has(step)) return drop(rank, DropReason.Duplicate)
    const knownMap = knownMaps.find(({ hash }) => hash === report.mapHash)
    if (knownMap === undefined) return drop(rank, DropReason.UnknownMap)
    const { items, shares } = knownMap.hosted[rank]!
    if (items.length !== report.tokens.length) return drop(rank, DropReason.Malformed)
    const isInOrder = state.incarnation !== report.incarnation || step > state.lastStep
    recordReport(state, report)
    updateLoads(report, items, shares)
    // A reordered report does not reflect the current speed of the rank.
    return isInOrder ? updateSpeed(report) : []
  }

  const onMapAdopted = (map: ExpertMap): LoadEffect[] => {
    if (knownMaps.some(({ hash }) => hash === map.id.hash)) return []
    knownMaps.push(indexMap(map, shape.ranks))
    if (knownMaps.length > KNOWN_MAPS_MAX) knownMaps.shift()
    return []
  }

  const onSnapshot = (): LoadEffect[] => {
    const fresh = ranks.filter(({ lastStep }) => lastStep > 0 && newestStep - lastStep <= REPORT_AGE_MAX_STEPS)
    const snapshot: LoadSnapshot = {
      loads: loads.map((load, item) => observedWeights[item]! > 0 ? load / observedWeights[item]! : 0),
      speeds: speeds(),
      coverage: fresh.length / shape.ranks
    }
    return [{ kind: LoadEffectKind.SnapshotReady, snapshot }]
  }

  const handlers: HandlerTable<LoadMessage, LoadEffect[]> = {
    [LoadMessageKind.MapAdopted]: ({ map }) => onMapAdopted(map),
    [LoadMessageKind.RankReported]: ({ report }) => onReport(report),
    [LoadMessageKind.SnapshotRequested]: onSnapshot
  }

  return { handle: message => dispatch(handlers, message) }
}
