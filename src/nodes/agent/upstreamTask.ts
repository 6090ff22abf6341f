import { type Clock, createLog } from '../../core/index.js'
import { FrameKind, type Frame } from '../../links/index.js'
import { type UpstreamClient, type UpstreamCall, type UpstreamListener } from '../../platform/index.js'
import { type RunFrame, UpstreamRequestHeader } from '../../requests/index.js'

const log = createLog('upstream')

export const LOAD_INTERVAL_MS = 500
/** Load answers missed in a row after which the upstream counts as down. */
const LOAD_FAILURES_MAX = 3

export interface UpstreamTaskOptions {
  client: UpstreamClient
  clock: Clock
  /** Sends a frame to every linked entry. */
  broadcast: (frame: Frame) => void
}

/** Runs calls on the agent's one upstream and reports its load and cache events. */
export interface UpstreamTask {
  start (runId: string, frame: RunFrame, listener: UpstreamListener): void
  cancel (runId: string): void
  readonly isUp: boolean
  stop (): Promise<void>
}

/** Translates a run into the call that the upstream receives. */
export const toUpstreamCall = ({ request, remainingMs, requestId, traceparent }: RunFrame): UpstreamCall => ({
  method: request.method,
  path: request.path,
  body: request.body,
  isEventStream: request.isEventStream,
  timeoutMs: Math.max(1, Math.ceil(remainingMs)),
  headers: {
    [UpstreamRequestHeader.RequestId]: requestId,
    [UpstreamRequestHeader.Customer]: request.customer,
    [UpstreamRequestHeader.Priority]: request.priority,
    ...(request.idempotencyKey === undefined ? {} : { [UpstreamRequestHeader.IdempotencyKey]: request.idempotencyKey }),
    ...(traceparent === undefined ? {} : { [UpstreamRequestHeader.Traceparent]: traceparent })
  },
  ...(request.contentType === undefined ? {} : { contentType: request.contentType })
})

/**
 * Creates the task that owns the connections to the upstream.
 *
 * @example
 * const upstream = createUpstreamTask({ client, clock, broadcast })
 * upstream.start(runId, frame, listener)
 */
export const createUpstreamTask = ({ client, clock, broadcast }: UpstreamTaskOptions): UpstreamTask => {
  const cancels = new Map<string, () => void>()
  let failureCount = 0
  let lastCacheSequence = 0
  let reportSequence = 0
  let isPolling = false

  const report = async () => {
    const load = await client.load()
    failureCount = 0
    const sentMs = clock.nowMs()
    broadcast({
      kind: FrameKind.Report,
      sequence: ++reportSequence,
      // Ages, not times: the clocks of two hosts differ.
      ageMs: Math.max(0, sentMs - load.madeAtMs),
      queuedTokens: load.queuedTokens,
      runningRequests: load.runningRequests,
      tokensPerS: load.tokensPerS,
      isUp: true
    })
  }

  const forwardCacheEvents = async () => {
    const events = await client.cacheEvents(lastCacheSequence).catch(() => [])
    if (events.length === 0) return
    lastCacheSequence = events.at(-1)!.sequence
    broadcast({ kind: FrameKind.CacheEvents, events })
  }

  const poll = async () => {
    if (isPolling) return
    isPolling = true
    try {
      await report()
      await forwardCacheEvents()
    } catch (error) {
      failureCount += 1
      if (failureCount === LOAD_FAILURES_MAX) log('upstream is down: %s', error instanceof Error ? error.message : error)
      if (failureCount >= LOAD_FAILURES_MAX) broadcast({ kind: FrameKind.Report, sequence: ++reportSequence, ageMs: 0, queuedTokens: 0, runningRequests: 0, tokensPerS: 0, isUp: false })
    } finally {
      isPolling = false
    }
  }

  const timer = setInterval(poll, LOAD_INTERVAL_MS)
  timer.unref()

  return {
    start: (runId, frame, listener) => {
      const cancel = client.run(toUpstreamCall(frame), {
        ...listener,
        onEnd: code => {
          cancels.delete(runId)
          listener.onEnd(code)
        }
      })
      cancels.set(runId, cancel)
    },
    cancel: runId => {
      cancels.get(runId)?.()
      cancels.delete(runId)
    },
    get isUp () { return failureCount < LOAD_FAILURES_MAX },
    stop: async () => {
      clearInterval(timer)
      await client.close()
    }
  }
}
