import { type Clock, createLog, ResultCode } from '../../core/index.js'
import { FrameKind, type Frame } from '../../links/index.js'
import type { UpstreamCall, UpstreamClient, UpstreamListener, UpstreamLoad } from '../../clients/index.js'
import { UpstreamCheck } from '../../upstreams/index.js'
import { createUpstreamGate } from '../../workerLimits/index.js'
import { LOAD_REPORT_INTERVAL_MS, toReportFrame, type UpstreamRequest, UpstreamRequestHeader } from '../../requests/index.js'
import { createLoadReader } from './createLoadReader.js'

const log = createLog('upstream')

/** Interval of polling the upstream's load; short, so that a crash is detected soon. */
export const LOAD_INTERVAL_MS = 500
/** Consecutive failed load requests after which the upstream is considered down. */
const LOAD_FAILURES_MAX = 3
const FINISHED_SMOOTHING = 0.3
/** Reports that the upstream takes no request for now are at least this far apart. */
const CLOSED_REPORT_INTERVAL_MS = 100
const NO_LOAD: UpstreamLoad = { sequence: 0, madeAtMs: 0, queuedTokens: 0, runningRequests: 0, tokensPerS: 0 }
/** A connection that an exited process leaves behind ends so, and an idle one that a living process closes. */
const LOST_CONNECTION_CODES: ReadonlySet<unknown> = new Set(['ECONNRESET', 'UND_ERR_SOCKET'])
/** Connection errors that only an exited process causes, if a second attempt ends so; requests to a slow process time out instead. */
const DEAD_PROCESS_CODES: ReadonlySet<unknown> = new Set(['ECONNREFUSED', ...LOST_CONNECTION_CODES])

export interface UpstreamTaskOptions {
  client: UpstreamClient
  clock: Clock
  /** Sends a frame to every linked entry. */
  broadcast: (frame: Frame) => void
  /** Called once per crash of the upstream, before the runs that it interrupted end. */
  onDied: () => void
  onStarted: () => void
}

/** Runs calls on the agent's upstream and reports its load and cache events. */
export interface UpstreamTask {
  /** Starts a call, or ends it at once as not started with code Overloaded if the upstream takes none now. */
  start (runId: string, call: UpstreamCall, estimatedTokens: number, listener: UpstreamListener): void
  cancel (runId: string): void
  /** Makes the next poll send a report, for an entry that has just linked. */
  forceNextReport (): void
  readonly isUp: boolean
  stop (): Promise<void>
}

/** Parameters of an upstream call besides the caller's request. */
export interface CallContext {
  requestId: string
  timeoutMs: number
  traceparent: string | undefined
}

/** Translates a caller's request to the call that the upstream receives. */
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

const codeOf = (error: unknown): unknown => (error as { code?: unknown }).code

const isDeadProcess = (error: unknown): boolean => DEAD_PROCESS_CODES.has(codeOf(error))

/**
 * Creates the task that owns the connections to the upstream.
 *
 * @example
 * const upstream = createUpstreamTask({ client, clock, broadcast, onDied, onStarted })
 * upstream.start(runId, call, estimatedTokens, listener)
 */
export const createUpstreamTask = ({ client, clock, broadcast, onDied, onStarted }: UpstreamTaskOptions): UpstreamTask => {
  const cancelByRunId = new Map<string, () => void>()
  let failureCount = 0
  let isDead = false
  let lastLoadSequence = 0
  let deathCount = 0
  let lastCacheSequence = 0
  let acceptedTokens = 0
  let finishedPerS = 0
  let finishedCount = 0
  let finishedSinceMs = clock.nowMs()
  let reportSequence = 0
  let reportedMs = 0
  let wasReportedUp = false
  let isPolling = false
  let lastLoad = NO_LOAD
  let closedReportedMs = 0
  const gate = createUpstreamGate({ clock })

  const updateFinishedRate = (nowMs: number) => {
    const seconds = Math.max(nowMs - finishedSinceMs, 1) / 1_000
    finishedPerS += FINISHED_SMOOTHING * (finishedCount / seconds - finishedPerS)
    finishedCount = 0
    finishedSinceMs = nowMs
  }

  const sendReport = (load: UpstreamLoad, ageMs: number, isUp: boolean) => {
    lastLoad = load
    broadcast(toReportFrame({
      sequence: ++reportSequence,
      ageMs,
      queuedTokens: load.queuedTokens,
      runningRequests: load.runningRequests,
      waitingRequests: load.waitingRequests ?? 0,
      runningMax: load.runningMax ?? 0,
      tokensPerS: load.tokensPerS,
      acceptedTokens,
      finishedPerS,
      cacheEventSequence: load.cacheEventSequence,
      cacheBlocksMax: load.cacheBlocksMax,
      closedForMs: gate.closedForMs(),
      isUp
    }))
    reportedMs = clock.nowMs()
    wasReportedUp = isUp
  }

  /** Tells the entries that the upstream takes no request for a while, so that they choose others. */
  const reportIfClosed = () => {
    const nowMs = clock.nowMs()
    if (gate.closedForMs() === 0 || nowMs - closedReportedMs < CLOSED_REPORT_INTERVAL_MS) return
    closedReportedMs = nowMs
    sendReport(lastLoad, Math.max(0, nowMs - lastLoad.madeAtMs), true)
  }

  const recordDeath = () => {
    if (isDead) return
    isDead = true
    deathCount += 1
    gate.reset()
    lastLoadSequence = 0
    lastCacheSequence = 0
    log('upstream process died')
    onDied()
    sendReport(NO_LOAD, 0, false)
  }

  const recordAlive = () => {
    failureCount = 0
    if (!isDead) return
    isDead = false
    log('upstream is up again')
    onStarted()
  }

  /** A connection that is lost with the request proves nothing, so the request is sent once more. */
  const requestLoad = (): Promise<UpstreamLoad> => client.load().catch(error => {
    if (!LOST_CONNECTION_CODES.has(codeOf(error))) throw error
    return client.load()
  })

  /** A load sequence that has not increased means that the upstream restarted since the last response. */
  const readLoad = createLoadReader(async (): Promise<UpstreamLoad> => {
    const load = await requestLoad()
    if (load.sequence <= lastLoadSequence) recordDeath()
    lastLoadSequence = load.sequence
    recordAlive()
    return load
  })

  const report = async () => {
    const load = await readLoad()
    const nowMs = clock.nowMs()
    if (wasReportedUp && nowMs - reportedMs < LOAD_REPORT_INTERVAL_MS - LOAD_INTERVAL_MS / 2) return
    // Sends the age of the load instead of its time, because the clocks of two hosts differ.
    updateFinishedRate(nowMs)
    sendReport(load, Math.max(0, nowMs - load.madeAtMs), true)
  }

  const forwardCacheEvents = async () => {
    const events = await client.cacheEvents(lastCacheSequence).catch(() => [])
    if (events.length === 0) return
    lastCacheSequence = events.at(-1)!.sequence
    broadcast({ kind: FrameKind.CacheEvents, events })
  }

  const recordLoadFailure = (error: unknown) => {
    failureCount += 1
    if (isDeadProcess(error)) recordDeath()
    if (failureCount === LOAD_FAILURES_MAX) log('upstream is down: %s', error instanceof Error ? error.message : error)
    if (failureCount >= LOAD_FAILURES_MAX && wasReportedUp) sendReport(NO_LOAD, 0, false)
  }

  const poll = async () => {
    if (isPolling) return
    isPolling = true
    try {
      await report()
      await forwardCacheEvents()
    } catch (error) {
      recordLoadFailure(error)
    } finally {
      isPolling = false
    }
  }

  /** Number of the upstream's present run; undefined while no load is known that a restart would show in. */
  const knownRun = () => lastLoadSequence === 0 ? undefined : deathCount

  /**
   * Checks whether the upstream is still in a run. Whatever accepts connections at its address proves nothing: it may be a
   * process that has restarted, or a proxy. A load that is only late is asked for again.
   */
  const checkRun = async (run: number | undefined): Promise<UpstreamCheck> => {
    // A restart since the call would not show.
    if (run === undefined) return UpstreamCheck.Replaced
    for (let failures = 0; failures < LOAD_FAILURES_MAX; failures += 1) {
      try {
        await readLoad()
        return knownRun() === run ? UpstreamCheck.Up : UpstreamCheck.Replaced
      } catch (error) {
        if (isDeadProcess(error)) return UpstreamCheck.Down
      }
    }
    return UpstreamCheck.Unknown
  }

  /** Distinguishes a lost connection from a crashed upstream, before the interrupted runs are reported. */
  const checkForCrash = (): Promise<void> =>
    readLoad().then(() => {}, error => { if (isDeadProcess(error)) recordDeath() })

  const timer = setInterval(poll, LOAD_INTERVAL_MS)
  timer.unref()

  return {
    start: (runId, call, estimatedTokens, listener) => {
      const isAdmitted = gate.admit()
      reportIfClosed()
      if (!isAdmitted) return listener.onEnd(ResultCode.Overloaded, false)
      const sentAtMs = clock.nowMs()
      const sentToRun = knownRun()
      acceptedTokens += Math.max(1, estimatedTokens)
      const end = (code: ResultCode, hasStarted: boolean) => {
        finishedCount += 1
        listener.onEnd(code, hasStarted)
      }
      let isSilent = false
      const confirmEnd = async () => {
        const check = await checkRun(sentToRun)
        isSilent = check === UpstreamCheck.Unknown
        return check === UpstreamCheck.Up
      }
      const cancel = client.run(call, {
        ...listener,
        onNotice: notice => gate.recordNotice(notice, sentAtMs),
        confirmEnd,
        onEnd: (code, hasStarted) => {
          const isCancelled = !cancelByRunId.delete(runId)
          // One that has not answered for so long would not answer this question either.
          if (code === ResultCode.UpstreamDied && !isCancelled && !isSilent) checkForCrash().then(() => end(code, hasStarted))
          else end(code, hasStarted)
        }
      })
      cancelByRunId.set(runId, cancel)
      return undefined
    },
    cancel: runId => {
      const cancel = cancelByRunId.get(runId)
      cancelByRunId.delete(runId)
      cancel?.()
    },
    forceNextReport: () => { reportedMs = 0 },
    get isUp () { return !isDead && failureCount < LOAD_FAILURES_MAX },
    stop: async () => {
      clearInterval(timer)
      await client.close()
    }
  }
}
