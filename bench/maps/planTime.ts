import { performance } from 'node:perf_hooks'
import { createRandom } from '../../src/core/index.js'
import {
  createInitialMap, createPlanner, type GroupShape, type PlanEffect, PlanEffectKind, PlanMessageKind, type PlanWeights
} from '../../src/expertMaps/index.js'
import { type Figure, percentile } from '../harness/index.js'
import { createTraffic, Season, timelineOf } from './drift.js'

const WARM_UPS = 5
const RUNS = 15

/** Measures whole plans and their longest slice in real time; the only figures that depend on the machine. */
export const measurePlanTime = (seed: number, shape: GroupShape, weights: PlanWeights): Figure[] => {
  const totals: number[] = []
  const longestSlices: number[] = []
  let explanation = ''
  let slices = 0

  const runPlan = (run: number) => {
    const random = createRandom(seed * 1_000 + run)
    const loads = createTraffic(random, shape, timelineOf(Season.Roofing)).expectedAt(0)
    const planner = createPlanner({ shape, weights })
    const snapshot = { loads, speeds: new Float64Array(shape.ranks).fill(1), coverage: 1 }
    const map = createInitialMap(shape)
    const timed: number[] = []
    const handle = (message: Parameters<typeof planner.handle>[0]): PlanEffect | undefined => {
      const startedMs = performance.now()
      const effect = planner.handle(message)[0]
      timed.push(performance.now() - startedMs)
      return effect
    }
    // The first request only confirms the skew for the second one.
    for (let request = 0; request < 2; request++) {
      timed.length = 0
      let effect = handle({ kind: PlanMessageKind.PlanRequested, map, snapshot })
      while (effect?.kind === PlanEffectKind.ContinueRequested) effect = handle({ kind: PlanMessageKind.Advance })
      if (effect?.kind === PlanEffectKind.MapPlanned) explanation = effect.explanation
    }
    totals.push(timed.reduce((sum, sliceMs) => sum + sliceMs, 0))
    longestSlices.push(Math.max(...timed))
    slices = timed.length
  }

  for (let run = 0; run < WARM_UPS + RUNS; run++) runPlan(run)
  const size = `${shape.ranks} ranks x ${shape.experts} experts x ${shape.layers} layers`
  return [
    {
      suite: 'maps',
      figure: 'plan_time_ms',
      unit: 'ms',
      baseline: null,
      value: percentile(totals.slice(WARM_UPS), 0.5),
      seed,
      target: { max: 50 },
      note: `${size}, median of ${RUNS}, ${slices} slices; first plan of the process ${totals[0]!.toFixed(1)} ms; ${explanation}`
    },
    {
      suite: 'maps',
      figure: 'plan_slice_ms_max',
      unit: 'ms',
      baseline: null,
      value: Math.max(...longestSlices.slice(WARM_UPS)),
      seed,
      target: { max: 5 },
      note: `longest of all slices of ${RUNS} plans; first plan of the process ${longestSlices[0]!.toFixed(1)} ms`
    }
  ]
}
