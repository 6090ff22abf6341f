import type { ResultCode } from '../../core/index.js'
import type { DatagramContent } from '../../peers/index.js'
import type { AttemptEnd, CompletionProof, ResponseEnd, ResponseFraming } from '../../requests/index.js'
import type { StoreCallReason, Topic } from '../../storeFeed/index.js'

/** Upper bounds of the latency buckets, in ms. */
export const LATENCY_BUCKETS_MS = [5, 10, 20, 50, 100, 200, 350, 500, 750, 1_000, 2_000, 4_000, 8_000] as const

export interface LatencyHistogram {
  /** Observations per bucket of LATENCY_BUCKETS_MS, not cumulative; the last one counts those above all bounds. */
  readonly counts: readonly number[]
  readonly sumMs: number
  observe (durationMs: number): void
}

const createLatencyHistogram = (): LatencyHistogram => {
  const counts: number[] = Array(LATENCY_BUCKETS_MS.length + 1).fill(0)
  let sumMs = 0
  return {
    counts,
    get sumMs () { return sumMs },
    observe: durationMs => {
      const index = LATENCY_BUCKETS_MS.findIndex(bound => durationMs <= bound)
      counts[index < 0 ? LATENCY_BUCKETS_MS.length : index]! += 1
      sumMs += durationMs
    }
  }
}

/** Counters of one entry; the metrics endpoint renders them on request. */
export interface ForwardCounters {
  /** Ended requests by route and result code. */
  readonly requests: ReadonlyMap<string, number>
  /** Ended attempts by service and outcome. */
  readonly attempts: ReadonlyMap<string, number>
  /** Ended streams of workers by service, framing and what ended them. */
  readonly streamEnds: ReadonlyMap<string, number>
  /** Responses that were taken for whole, by service and proof. */
  readonly proofs: ReadonlyMap<string, number>
  readonly retries: Record<'taken' | 'denied', number>
  readonly requestMs: LatencyHistogram
  readonly firstEventMs: LatencyHistogram
  /** Bytes of datagrams sent to other entries, by content and by whether the receiver is in the own zone. */
  readonly sentBytes: ReadonlyMap<string, number>
  /** Calls to the store by topic and reason. */
  readonly storeCalls: ReadonlyMap<string, number>
  countSent (content: DatagramContent, isInZone: boolean, bytes: number): void
  countStoreCall (topic: Topic, reason: StoreCallReason): void
  countRequest (route: string, code: ResultCode, durationMs: number): void
  countAttempt (service: string, end: AttemptEnd): void
  countStreamEnd (service: string, framing: ResponseFraming, endedBy: ResponseEnd): void
  countProof (service: string, proof: CompletionProof): void
}

const KEY_SEPARATOR = '\u0000'

const add = (counts: Map<string, number>, amount: number, ...labels: string[]) => {
  const key = labels.join(KEY_SEPARATOR)
  counts.set(key, (counts.get(key) ?? 0) + amount)
}

const increment = (counts: Map<string, number>, ...labels: string[]) => add(counts, 1, ...labels)

/** Splits the key of a counter into its labels. */
export const labelsOf = (key: string): string[] => key.split(KEY_SEPARATOR)

/**
 * Creates the counters of one entry.
 *
 * @example
 * const counters = createForwardCounters()
 * counters.countRequest('quotes', ResultCode.Ok, 140)
 */
export const createForwardCounters = (): ForwardCounters => {
  const requests = new Map<string, number>()
  const attempts = new Map<string, number>()
  const streamEnds = new Map<string, number>()
  const proofs = new Map<string, number>()
  const sentBytes = new Map<string, number>()
  const storeCalls = new Map<string, number>()
  const requestMs = createLatencyHistogram()
  return {
    requests,
    attempts,
    streamEnds,
    proofs,
    retries: { taken: 0, denied: 0 },
    requestMs,
    firstEventMs: createLatencyHistogram(),
    sentBytes,
    storeCalls,
    countSent: (content, isInZone, bytes) => add(sentBytes, bytes, content, isInZone ? 'own' : 'other'),
    countStoreCall: (topic, reason) => increment(storeCalls, topic, reason),
    countRequest: (route, code, durationMs) => {
      increment(requests, route, String(code))
      requestMs.observe(durationMs)
    },
    countAttempt: (service, end) => increment(attempts, service, end),
    countStreamEnd: (service, framing, endedBy) => increment(streamEnds, service, framing, endedBy),
    countProof: (service, proof) => increment(proofs, service, proof)
  }
}
