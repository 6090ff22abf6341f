import { createInitialMap, type GroupShape, REPORT_INTERVAL_MS, type RankReport, SwitchOutcome } from '../../src/expertMaps/index.js'
import { encodeFrame, FrameKind } from '../../src/links/index.js'
import type { Figure } from '../harness/index.js'
import type { DriftResult } from './runDrift.js'
import { createSwitchSimulation } from './switchSimulation.js'

/**
 * Start of the counted part of the run, which covers the drift, the straggler and its recovery. Earlier
 * changes are replayed but not counted.
 */
const COUNTED_FROM_S = 290
const COUNTED_S = 420
const PEAK_WINDOW_MS = 10_000
const COPY_MS = 44

interface CountedFrame {
  timeMs: number
  bytes: number
}

const reportFrameBytes = (shape: GroupShape, rank: number, step: number): number => {
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

const peakBytesPerS = (frames: readonly CountedFrame[]): number => {
  let peak = 0
  let sum = 0
  let first = 0
  for (const { timeMs, bytes } of frames) {
    sum += bytes
    while (frames[first]!.timeMs < timeMs - PEAK_WINDOW_MS) sum -= frames[first++]!.bytes
    peak = Math.max(peak, sum / PEAK_WINDOW_MS * 1000)
  }
  return peak
}

/** Replays the switches of a drift run and measures the frames that the coordinator sends and receives. */
export const measureControlBytes = (seed: number, shape: GroupShape, { changes }: DriftResult): Figure[] => {
  const frames: CountedFrame[] = []
  let startedMs = Number.POSITIVE_INFINITY
  const sim = createSwitchSimulation({
    seed,
    shape,
    network: { delayMinMs: 1, delayMaxMs: 4, lossRatio: 0, duplicateRatio: 0 },
    copyMs: COPY_MS,
    onSend: (message, from, to) => {
      if (from === to || (from !== 0 && to !== 0)) return [0]
      const timeMs = sim.queue.clock.nowMs()
      if (timeMs >= startedMs) frames.push({ timeMs, bytes: encodeFrame({ kind: FrameKind.Switch, switch: message }).length })
      return [0]
    }
  })
  const haveAllEnded = () => sim.outcomes.length === requested
  let requested = 0
  const request = ({ base, map }: DriftResult['changes'][number]) => {
    requested += 1
    sim.request(0, base, map)
  }
  sim.queue.runUntil(15_000)
  for (const change of changes.filter(({ timeS }) => timeS <= COUNTED_FROM_S)) {
    request(change)
    sim.queue.runUntil(sim.queue.clock.nowMs() + 20_000)
  }
  startedMs = sim.queue.clock.nowMs()
  const stalledAtStart = sim.engine.stalledRequests
  const requestedAtStart = requested
  const pendingChanges = changes.filter(({ timeS }) => timeS > COUNTED_FROM_S && timeS < COUNTED_FROM_S + COUNTED_S - 20)
  sim.queue.every(500, () => {
    const isDue = pendingChanges[0] !== undefined && sim.queue.clock.nowMs() >= startedMs + (pendingChanges[0].timeS - COUNTED_FROM_S) * 1000
    if (isDue && haveAllEnded()) request(pendingChanges.shift()!)
  })
  sim.queue.every(REPORT_INTERVAL_MS, () => {
    for (let rank = 1; rank < shape.ranks; rank++) {
      frames.push({ timeMs: sim.queue.clock.nowMs(), bytes: reportFrameBytes(shape, rank, sim.engine.lastStep) })
    }
  })
  sim.queue.runUntil(startedMs + COUNTED_S * 1000)
  const switches = sim.outcomes.filter(outcome => outcome === SwitchOutcome.Done).length - requestedAtStart
  const bytes = frames.reduce((sum, frame) => sum + frame.bytes, 0)
  return [
    {
      suite: 'maps',
      figure: 'control_bytes_per_s_coordinator',
      unit: 'bytes/s',
      baseline: null,
      value: bytes / COUNTED_S,
      seed,
      target: { max: 6_000 },
      note: `${switches} switches in ${COUNTED_S} s, sent and received, ${shape.ranks} ranks; ` +
        `highest 10 s: ${Math.round(peakBytesPerS(frames))} bytes/s; a report has ${reportFrameBytes(shape, 1, 1)} bytes`
    },
    {
      suite: 'maps',
      figure: 'steps_stalled_per_switch',
      unit: 'steps',
      baseline: null,
      value: (sim.engine.stalledRequests - stalledAtStart) / Math.max(1, switches),
      seed,
      target: { max: 0 },
      note: `${switches} of ${requested - requestedAtStart} requested switches done, ${sim.engine.completedSteps} steps`
    }
  ]
}
