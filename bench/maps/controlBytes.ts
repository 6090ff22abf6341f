import { createInitialMap, type GroupShape, REPORT_INTERVAL_MS, type RankReport } from '../../src/expertMaps/index.js'
import { encodeFrame, FrameKind } from '../../src/links/index.js'
import type { Figure } from '../harness/index.js'
import type { DriftResult } from './runDrift.js'
import { createSwitchSimulation } from './switchSimulation.js'

/** The planned changes of a drift are replayed without the quiet time before it. */
const QUIET_S = 290
const PEAK_WINDOW_MS = 10_000
const COPY_MS = 44

interface Sent {
  timeMs: number
  bytes: number
}

const reportFrame = (shape: GroupShape, rank: number, step: number): number => {
  const items = shape.experts * shape.layers / shape.ranks
  const report: RankReport = {
    rank,
    incarnation: '0123456789abcdef',
    step,
    steps: 78,
    durationMs: 4_871.25,
    mapHash: createInitialMap({ ...shape, layers: 1 }).id.hash,
    tokens: Array.from({ length: items }, (_item, index) => 78 * (20 + 5 * index))
  }
  return encodeFrame({ kind: FrameKind.Report, report }).length
}

const peakOf = (sent: readonly Sent[]): number => {
  let peak = 0
  let sum = 0
  let first = 0
  for (const { timeMs, bytes } of sent) {
    sum += bytes
    while (sent[first]!.timeMs < timeMs - PEAK_WINDOW_MS) sum -= sent[first++]!.bytes
    peak = Math.max(peak, sum / PEAK_WINDOW_MS * 1000)
  }
  return peak
}

/** Replays the switches of a drift and counts the frames that the coordinator sends and receives. */
export const measureControlBytes = (seed: number, shape: GroupShape, { changes }: DriftResult): Figure[] => {
  const sent: Sent[] = []
  let startedMs = Number.POSITIVE_INFINITY
  const sim = createSwitchSimulation({
    seed,
    shape,
    network: { delayMinMs: 1, delayMaxMs: 4, lossRatio: 0, duplicateRatio: 0 },
    copyMs: COPY_MS,
    onSend: (message, from, to) => {
      if (from === to || (from !== 0 && to !== 0)) return true
      const timeMs = sim.queue.clock.nowMs()
      if (timeMs >= startedMs) sent.push({ timeMs, bytes: encodeFrame({ kind: FrameKind.Switch, switch: message }).length })
      return true
    }
  })
  sim.queue.runUntil(15_000)
  startedMs = sim.queue.clock.nowMs()
  const stalledAtStart = sim.engine.stalledRequests
  const waiting = [...changes]
  sim.queue.every(500, () => {
    const next = waiting[0]
    if (next === undefined) return false
    const shiftedS = next.timeS > QUIET_S ? next.timeS - QUIET_S : next.timeS
    const isDue = sim.queue.clock.nowMs() >= startedMs + shiftedS * 1000
    if (!isDue || sim.outcomes.length < changes.length - waiting.length) return
    waiting.shift()
    sim.request(0, next.base, next.map)
  })
  sim.queue.every(REPORT_INTERVAL_MS, () => {
    for (let rank = 1; rank < shape.ranks; rank++) {
      sent.push({ timeMs: sim.queue.clock.nowMs(), bytes: reportFrame(shape, rank, sim.engine.lastStep) })
    }
  })
  const endS = Math.min(420, changes[changes.length - 1]!.timeS - QUIET_S + 30)
  sim.queue.runUntil(startedMs + endS * 1000)
  const switches = sim.outcomes.filter(outcome => outcome === 'done').length
  const bytes = sent.reduce((sum, frame) => sum + frame.bytes, 0)
  return [
    {
      suite: 'maps',
      figure: 'control_bytes_per_s_coordinator',
      unit: 'bytes/s',
      baseline: null,
      value: bytes / endS,
      seed,
      target: { max: 6_000 },
      note: `${switches} switches in ${endS} s, sent and received, ${shape.ranks} ranks; ` +
        `highest 10 s: ${Math.round(peakOf(sent))} bytes/s; a report has ${reportFrame(shape, 1, 1)} bytes`
    },
    {
      suite: 'maps',
      figure: 'steps_stalled_per_switch',
      unit: 'steps',
      baseline: null,
      value: (sim.engine.stalledRequests - stalledAtStart) / Math.max(1, switches),
      seed,
      target: { max: 0 },
      note: `${switches} of ${changes.length} planned switches done, ${sim.engine.completedSteps} steps, ` +
        `outcomes ${sim.outcomes.filter(outcome => outcome !== 'done').length} other than done`
    }
  ]
}
