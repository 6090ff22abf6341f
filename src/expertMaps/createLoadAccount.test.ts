import { describe, expect, it } from 'vitest'
import { createRandom } from '../core/index.js'
import {
  createLoadAccount, DropReason, type LoadEffect, LoadEffectKind, LoadMessageKind, type LoadRules, type LoadSnapshot
} from './createLoadAccount.js'
import { createInitialMap, createMap, hostedItems, replicasOf } from './expertMap.js'
import { STRAGGLER_REPORTS } from './constants.js'
import type { ExpertMap, GroupShape, RankReport } from './types.js'

const shape: GroupShape = { ranks: 4, experts: 8, layers: 2, expertBytes: 1_000 }
const initial = createInitialMap(shape)
/** Hosts item 0 on two ranks, so that half of its tokens go unreported if one rank is missing. */
const replicated = createMap(1, initial.layers.map((layer, index) => index > 0
  ? layer
  : [[{ rank: 0, share: 0.5 }, { rank: 1, share: 0.5 }], ...layer.slice(1)]))
const loadOf = (item: number) => 50 + 10 * item
const STEPS = 50

const reportOf = (map: ExpertMap, rank: number, round: number, speed = 1): RankReport => {
  const tokens = hostedItems(map, rank).map(item =>
    STEPS * loadOf(item) * replicasOf(map, item).find(replica => replica.rank === rank)!.share)
  const total = tokens.reduce((sum, count) => sum + count, 0)
  return { rank, incarnation: 'a', step: round * STEPS, steps: STEPS, durationMs: total / speed, mapHash: map.id.hash, tokens }
}

const createSubject = (map = replicated, rules?: LoadRules) => {
  const account = createLoadAccount({ shape, rules })
  account.handle({ kind: LoadMessageKind.MapAdopted, map })
  const report = (message: RankReport): LoadEffect[] => account.handle({ kind: LoadMessageKind.RankReported, report: message })
  const snapshot = (): LoadSnapshot => {
    const effect = account.handle({ kind: LoadMessageKind.SnapshotRequested })[0]!
    if (effect.kind !== LoadEffectKind.SnapshotReady) throw new Error('no snapshot')
    return effect.snapshot
  }
  return { account, report, snapshot }
}

const expectLoads = ({ loads }: LoadSnapshot) => {
  loads.forEach((load, item) => expect(load).toBeCloseTo(loadOf(item), 6))
}

describe('load account', () => {
  it.each<[string, (reports: RankReport[]) => RankReport[]]>([
    ['complete', reports => reports],
    ['duplicated', reports => reports.flatMap(report => [report, report])],
    ['reordered', reports => createRandom(1).shuffle(reports)],
    ['a third lost', reports => reports.filter((_report, index) => index % 3 !== 0)],
    ['one round late', reports => [...reports.slice(4), ...reports.slice(0, 4)]],
    ['missing from one rank after the first round', reports => reports.filter(({ rank, step }) => rank !== 1 || step <= STEPS)]
  ])('finds the true load from reports that are %s', (_case, deliver) => {
    // Guards against averages that decrease when the report of one rank that hosts an expert is missing.
    const { report, snapshot } = createSubject()
    const reports = Array.from({ length: 6 }, (_round, round) =>
      Array.from({ length: shape.ranks }, (_rank, rank) => reportOf(replicated, rank, round + 1))).flat()
    deliver(reports).forEach(report)
    expectLoads(snapshot())
  })

  it.each<[string, DropReason, Partial<RankReport>]>([
    ['of an unknown map', DropReason.UnknownMap, { mapHash: 'none' }],
    ['with the wrong number of token counts', DropReason.Malformed, { tokens: [1] }],
    ['of an unknown rank', DropReason.Malformed, { rank: 9 }],
    ['delivered twice', DropReason.Duplicate, { step: 100 * STEPS }],
    ['far behind the newest step', DropReason.TooOld, { step: STEPS }]
  ])('drops a report %s', (_case, reason, change) => {
    const { report, snapshot } = createSubject()
    for (let rank = 0; rank < shape.ranks; rank++) report(reportOf(replicated, rank, 100))
    const dropped = report({ ...reportOf(replicated, 0, 101), ...change })
    expect(dropped).toEqual([{ kind: LoadEffectKind.ReportDropped, rank: change.rank ?? 0, reason }])
    expectLoads(snapshot())
  })

  it('accepts reports of the previous map after a switch', () => {
    const { account, report, snapshot } = createSubject(initial)
    account.handle({ kind: LoadMessageKind.MapAdopted, map: replicated })
    for (let rank = 0; rank < shape.ranks; rank++) {
      expect(report(reportOf(initial, rank, 1))).toEqual([])
      expect(report(reportOf(replicated, rank, 2))).toEqual([])
    }
    expectLoads(snapshot())
  })

  it('resets the state of a restarted rank and drops late reports of its earlier run', () => {
    const { report } = createSubject()
    report(reportOf(replicated, 0, 9))
    expect(report({ ...reportOf(replicated, 0, 9), incarnation: 'b' })).toEqual([])
    expect(report(reportOf(replicated, 0, 10))[0]).toMatchObject({ reason: DropReason.TooOld })
  })

  it('would lose half of the load of a replicated expert without weighting by share', () => {
    const { report, snapshot } = createSubject(replicated, { weighsByShare: false, confirmsStragglers: true })
    for (let round = 1; round <= 6; round++) {
      for (let rank = 0; rank < shape.ranks; rank++) report(reportOf(replicated, rank, round))
    }
    expect(snapshot().loads[0]).toBeLessThan(0.6 * loadOf(0))
  })

  it.each([
    ['after several reports', true, [LoadEffectKind.StragglerDetected, LoadEffectKind.StragglerRecovered], 0],
    ['immediately without the rule, even for one slow report', false,
      [LoadEffectKind.StragglerDetected, LoadEffectKind.StragglerRecovered], 2]
  ])('detects a straggler and its recovery %s', (_case, confirmsStragglers, cycle, extraKinds) => {
    // Guards against moving experts because of a single slow report, and against never returning load after a
    // recovery.
    const { report, snapshot } = createSubject(replicated, { weighsByShare: true, confirmsStragglers })
    const kinds: string[] = []
    const speeds = [1, 0.5, 1, ...Array.from({ length: STRAGGLER_REPORTS }, () => 0.5), ...Array.from({ length: 8 }, () => 1)]
    speeds.forEach((speed, index) => {
      for (let rank = 0; rank < shape.ranks; rank++) {
        report(reportOf(replicated, rank, index + 1, rank === 2 ? speed : 1)).forEach(({ kind }) => kinds.push(kind))
      }
      if (index === 2 + STRAGGLER_REPORTS) expect(snapshot().speeds[2]).toBeCloseTo(0.5, 6)
    })
    expect(kinds).toEqual([...cycle.slice(0, extraKinds), ...cycle])
    expect(snapshot().speeds[2]).toBeGreaterThan(0.95)
  })

  it('gives the share of ranks that reported', () => {
    const { report, snapshot } = createSubject()
    report(reportOf(replicated, 0, 1))
    expect(snapshot().coverage).toBe(0.25)
  })
})
