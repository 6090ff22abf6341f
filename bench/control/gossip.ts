import { encodeFrame, FrameKind, type Frame, IDLE_PROBE_MS } from '../../src/links/index.js'
import { LOAD_REPORT_INTERVAL_MS, type AgentLoadReport, toReportFrame } from '../../src/requests/index.js'
import { type Figure, fitLine, type Suite } from '../harness/index.js'
import { measureAddressSpread } from './addressSpread.js'
import { measureDrain } from './drainFigures.js'
import { type FleetFigures, runFleet } from './fleetRun.js'
import { measureFullMesh, type MeshFigures } from './fullMesh.js'
import { measureEntryMebibytes, measureStateMebibytes } from './memory.js'
import { ENTRY_COUNTS, FULL_ENTRIES, LOSSY_NETWORK } from './sizes.js'

const DRAIN_ENTRIES = 72
/** TCP and IP headers of a segment. */
const TCP_HEADER_BYTES = 40
/** Links of an entry in examples/full-size/rows.yaml: 6 agents of each of 3 model pools, 2 of a service pool. */
const FULL_SIZE_LINKS = 20

interface SizeRun {
  entryCount: number
  fleet: FleetFigures
  mesh: MeshFigures
}

interface SizedFigure {
  figure: string
  unit: string
  value: (run: SizeRun) => number
  baseline: (run: SizeRun) => number
  baselineName: string
  target?: Figure['target']
  /** Whether the value at 340 entries is extrapolated from the smaller sizes. */
  isExtrapolated: boolean
}

const SIZED_FIGURES: SizedFigure[] = [
  {
    figure: 'config_in_force_p99_s',
    unit: 's',
    value: ({ fleet }) => fleet.configurationP99S,
    baseline: ({ fleet }) => fleet.configurationPollOnlyP99S,
    baselineName: 'every process polls the log each 10 s',
    target: { max: 16 },
    isExtrapolated: true
  },
  {
    figure: 'control_bytes_per_s_per_node',
    unit: 'B/s',
    value: ({ fleet }) => fleet.bytesPerSPerNode,
    baseline: ({ mesh }) => mesh.bytesPerSPerNode,
    baselineName: 'full mesh of heartbeats, sent and received at an entry',
    target: { max: 6_000 },
    isExtrapolated: true
  },
  {
    figure: 'control_bytes_per_s_worst_node',
    unit: 'B/s',
    value: ({ fleet }) => fleet.bytesPerSWorstNode,
    baseline: ({ mesh }) => mesh.bytesPerSPerNode,
    baselineName: 'full mesh of heartbeats',
    target: { max: 6_000 },
    isExtrapolated: true
  },
  {
    figure: 'control_cpu_share',
    unit: 'core',
    value: ({ fleet }) => fleet.cpuShare,
    baseline: ({ mesh }) => mesh.cpuShare,
    baselineName: 'full mesh, encoding only',
    target: { max: 0.015 },
    isExtrapolated: true
  },
  {
    figure: 'failure_detection_p99_s',
    unit: 's',
    value: ({ fleet }) => fleet.detectionP99S,
    baseline: ({ mesh }) => mesh.detectionP99S,
    baselineName: 'full mesh, 3 s of silence',
    isExtrapolated: false
  },
  {
    figure: 'failure_removal_p99_s',
    unit: 's',
    value: ({ fleet }) => fleet.removalP99S,
    baseline: ({ mesh }) => mesh.detectionP99S,
    baselineName: 'full mesh, 3 s of silence',
    isExtrapolated: false
  },
  {
    figure: 'false_suspicions',
    unit: 'in 60 s',
    value: ({ fleet }) => fleet.falseSuspicions,
    // The mesh runs for 20 s; scaled to 60 s.
    baseline: ({ mesh }) => mesh.falseSuspicions * 3,
    baselineName: 'full mesh, 3 s of silence',
    isExtrapolated: false
  },
  {
    figure: 'false_removals',
    unit: 'in 60 s',
    value: ({ fleet }) => fleet.falseRemovals,
    baseline: ({ mesh }) => mesh.falseSuspicions * 3,
    baselineName: 'full mesh, 3 s of silence',
    isExtrapolated: false
  }
]

const SAMPLE_LOAD: AgentLoadReport = {
  sequence: 100_000,
  ageMs: 250,
  queuedTokens: 12_345,
  runningRequests: 28,
  waitingRequests: 3,
  runningMax: 32,
  tokensPerS: 51_234,
  acceptedTokens: 912_345_678,
  finishedPerS: 5.25,
  cacheEventSequence: 123_456,
  cacheBlocksMax: 2_048,
  isUp: true,
  closedForMs: 0
}

/** Control bytes per second of one link in both directions, with headers and acknowledgements. */
const linkBytesPerS = (): number => {
  const wireBytes = (frame: Frame) => encodeFrame(frame).length + 2 * TCP_HEADER_BYTES
  const reportBytes = wireBytes(toReportFrame(SAMPLE_LOAD))
  const probeBytes = wireBytes({ kind: FrameKind.Heartbeat, isProbe: true }) + wireBytes({ kind: FrameKind.Heartbeat })
  return reportBytes * 1_000 / LOAD_REPORT_INTERVAL_MS + probeBytes * 1_000 / IDLE_PROBE_MS
}

const linkFigure = (links: number, gossipBytesPerS: number, seed: number): Figure => ({
  suite: 'control',
  figure: `control_bytes_per_s_per_node_340_with_${links}_links`,
  unit: 'B/s',
  baseline: null,
  value: gossipBytesPerS + links * linkBytesPerS(),
  seed,
  target: { max: 6_000 },
  note: `gossip at 340 plus ${Math.round(linkBytesPerS())} B/s a link for load reports and probes, from the frame sizes`
})

/**
 * Measures membership and configuration at 18, 36 and 72 entries under 10% loss and extrapolates the main
 * figures to 340 entries.
 */
export const run: Suite = async ({ seed }) => {
  const processMebibytes = await measureEntryMebibytes()
  const runs: SizeRun[] = ENTRY_COUNTS.map(entryCount => ({
    entryCount, fleet: runFleet(seed, entryCount), mesh: measureFullMesh(seed, entryCount, LOSSY_NETWORK)
  }))

  const sized = SIZED_FIGURES.flatMap((definition): Figure[] => {
    const { figure, unit, target, baselineName } = definition
    const base = { suite: 'control', unit, seed, ...(target === undefined ? {} : { target }) }
    const figures = runs.map((sizeRun): Figure => ({
      ...base,
      figure: `${figure}_${sizeRun.entryCount}`,
      value: definition.value(sizeRun),
      baseline: definition.baseline(sizeRun),
      note: `baseline: ${baselineName}`
    }))
    if (!definition.isExtrapolated) return figures
    const valueLine = fitLine(runs.map(sizeRun => [sizeRun.entryCount, definition.value(sizeRun)] as const))
    const baselineLine = fitLine(runs.map(sizeRun => [sizeRun.entryCount, definition.baseline(sizeRun)] as const))
    return [...figures, {
      ...base,
      figure: `${figure}_${FULL_ENTRIES}`,
      // A figure that falls with the fleet size is not assumed to fall below the measured values.
      value: Math.max(valueLine.at(FULL_ENTRIES), ...runs.map(definition.value)),
      baseline: baselineLine.at(FULL_ENTRIES),
      note: `from the slope of ${valueLine.slope.toPrecision(3)} ${unit} per entry`
    }]
  })

  const drain = measureDrain(seed, DRAIN_ENTRIES)
  const spread = measureAddressSpread(seed)
  const stateMebibytes = measureStateMebibytes(seed)
  const gossipAtFullSize = sized.find(({ figure }) => figure === `control_bytes_per_s_per_node_${FULL_ENTRIES}`)?.value ?? Number.NaN
  const base = { suite: 'control', seed }
  return [
    ...sized,
    linkFigure(FULL_SIZE_LINKS, gossipAtFullSize, seed),
    { ...base, figure: 'drain_last_new_work_s', unit: 's', value: drain.lastNewWorkS, baseline: drain.baselineS, target: { max: 3 }, note: 'worst of 12 agents at 72 entries; baseline: health checks each 5 s' },
    { ...base, figure: 'drain_accepted_after_start', unit: 'requests', value: drain.acceptedAfterStart, baseline: null, target: { max: 0 } },
    { ...base, figure: 'address_spread_max_over_mean', unit: 'ratio', value: spread.value, baseline: spread.baseline, target: { max: 1.2 }, note: '2,000 customers, 340 entries; baseline: 8 fixed addresses per customer' },
    { ...base, figure: 'control_memory_mb', unit: 'MiB', value: processMebibytes + stateMebibytes, baseline: null, target: { max: 128 }, note: `${stateMebibytes.toFixed(2)} MiB of state at 340 entries and 600 agents, ${processMebibytes.toFixed(1)} MiB resident of an idle entry process` }
  ]
}
