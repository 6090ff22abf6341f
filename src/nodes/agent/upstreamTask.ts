import { type Clock, createLog } from '../../core/index.js'
import { FrameKind, type Frame } from '../../links/index.js'
import type { UpstreamCall, UpstreamClient, UpstreamListener, UpstreamLoad } from '../../platform/index.js'
import { type ReportFrame, type UpstreamRequest, UpstreamRequestHeader } from '../../requests/index.js'

const log = createLog('upstream')

export const LOAD_INTERVAL_MS = 500
/** Load answers missed in a row after which the upstream counts as down. */
const LOAD_FAILURES_MAX = 3

const FINISHED_SMOOTHING = 0.3
const NO_LOAD: UpstreamLoad = { sequence: 0, madeAtMs: 0, queuedTokens: 0, runningRequests: 0, tokensPerS: 0 }

export interface UpstreamTaskOptions {
  client: UpstreamClient
  clock: Clock
  /** Sends a frame to every linked entry. */
  broadcast: (frame: Frame) => void
}

/** Runs calls on the agent's one upstream and reports its load and cache events. */
export interface UpstreamTask {
  start (runId: string, call: UpstreamCall, estimatedTokens: number, listener: UpstreamListener): void
  cancel (runId: string): void
  readonly isUp: boolean
  stop (): Promise<void>
}

/** What a call needs besides the caller's request. */
export interface CallContext {
  requestId: string
  timeoutMs: number
  traceparent: string | undefined
}

/** Translates a request into the call that the upstream receives. */
export const toUpstreamCall = (request: UpstreamRequest, { requestId, timeoutMs, traceparent }: CallContext): UpstreamCall => ({
  method: request.method,
  path: request.path,
  body: request.body,
  isEventStream: request.isEventStream,
  timeoutMs: Math.max(1, Math.ceil(timeoutMs)),
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
 * upstream.start(runId, call, estimatedTokens, listener)
 */
export const createUpstreamTask = ({ client, clock, broadcast }: UpstreamTaskOptions): UpstreamTask => {
  const cancels = new Map<string, () => void>()
  let failureCount = 0
  let lastCacheSequence = 0
  let acceptedTokens = 0
  let finishedPerS = 0
  let finishedCount = 0
  let finishedSinceMs = clock.nowMs()
  let reportSequence = 0
  let isPolling = false

  const measureFinished = (nowMs: number) => {
    const seconds = Math.max(nowMs - finishedSinceMs, 1) / 1_000
    finishedPerS += FINISHED_SMOOTHING * (finishedCount / seconds - finishedPerS)
    finishedCount = 0
    finishedSinceMs = nowMs
  }

  const sendReport = (load: UpstreamLoad, ageMs: number, isUp: boolean) => {
    const frame: ReportFrame = {
      kind: FrameKind.Report,
      sequence: ++reportSequence,
      ageMs,
      queuedTokens: load.queuedTokens,
      runningRequests: load.runningRequests,
      waitingRequests: load.waitingRequests ?? 0,
      runningMax: load.runningMax ?? 0,
      tokensPerS: load.tokensPerS,
      acceptedTokens,
      finishedPerS,
      isUp
    }
    if (load.cacheEventSequence !== undefined) frame.cacheEventSequence = load.cacheEventSequence
    if (load.cacheBlocksMax !== undefined) frame.cacheBlocksMax = load.cacheBlocksMax
    broadcast(frame)
  }

  const report = async () => {
    const load = await client.load()
    failureCount = 0
    const nowMs = clock.nowMs()
    measureFinished(nowMs)
    // An age, not a time: the clocks of two hosts differ.
    sendReport(load, Math.max(0, nowMs - load.madeAtMs), true)
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
      if (failureCount >= LOAD_FAILURES_MAX) sendReport(NO_LOAD, 0, false)
    } finally {
      isPolling = false
    }
  }

  const timer = setInterval(poll, LOAD_INTERVAL_MS)
  timer.unref()

  return {
    start: (runId, call, estimatedTokens, listener) => {
      acceptedTokens += Math.max(1, estimatedTokens)
      const cancel = client.run(call, {
        ...listener,
        onEnd: (code, hasStarted) => {
          finishedCount += 1
          cancels.delete(runId)
          listener.onEnd(code, hasStarted)
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
