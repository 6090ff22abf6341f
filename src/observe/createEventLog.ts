import pino, { type Logger } from 'pino'
import type { Clock } from '../core/index.js'

/** Kind of a log line: one for each sort of decision or change of belief. */
export enum LogEvent {
  ProcessStarted = 'process-started',
  ProcessStopping = 'process-stopping',
  ProcessStopped = 'process-stopped',
  ProcessFrozen = 'process-frozen',
  SettingsReloaded = 'settings-reloaded',
  SettingsRejected = 'settings-rejected',
  ConfigurationAdopted = 'configuration-adopted',
  RecordRejected = 'record-rejected',
  WorkerChanged = 'worker-changed',
  StoreLost = 'store-lost',
  StoreRegained = 'store-regained',
  PeerFound = 'peer-found',
  PeerLost = 'peer-lost',
  PeerFault = 'peer-fault',
  RequestAdmitted = 'request-admitted',
  /** There was no place for it when it was tried. */
  RequestWaits = 'request-waits',
  RequestSent = 'request-sent',
  AttemptEnded = 'attempt-ended',
  RequestEnded = 'request-ended',
  RequestRefused = 'request-refused',
  /** A worker went down after it lost the answers to these requests. */
  WorkerCrashed = 'worker-crashed',
  /** An agent tells that its worker turned slow or sound. */
  PaceChanged = 'pace-changed',
  StreamLimitChanged = 'stream-limit-changed',
  MapPlanned = 'map-planned',
  MapSwitchPhase = 'map-switch-phase',
  MapSwitchEnded = 'map-switch-ended',
  OrderRefused = 'order-refused',
  CoordinatorChanged = 'coordinator-changed',
  RankUnreadable = 'rank-unreadable',
  InternalError = 'internal-error'
}

export type EventLog = (event: LogEvent, fields: Record<string, unknown>) => void

/** Lines of one kind that may be written at once, and per second after that. */
const BURST_LINES = 200
const LINES_PER_S = 60
/** Output that nobody reads is dropped beyond this size. */
const BUFFER_BYTES_MAX = 1024 * 1024
const MS_PER_S = 1_000

interface Bucket { tokens: number, filledAtMs: number, dropped: number }

/**
 * Creates the structured log of one process on standard output. It writes without blocking; each kind
 * of line has a token bucket, and the next line of a kind states how many were dropped before it.
 *
 * @example
 * const log = createEventLog({ clock, process: 'entry-1' })
 * log(LogEvent.StoreLost, { reason: 'reset' })
 */
export const createEventLog = ({ clock, process: name }: { clock: Clock, process: string }): EventLog => {
  const destination = pino.destination({ dest: 1, sync: false, maxLength: BUFFER_BYTES_MAX })
  const logger: Logger = pino({ base: { process: name }, timestamp: pino.stdTimeFunctions.epochTime }, destination)
  const buckets = new Map<LogEvent, Bucket>()

  return (event, fields) => {
    const nowMs = clock.nowMs()
    const bucket = buckets.get(event) ?? { tokens: BURST_LINES, filledAtMs: nowMs, dropped: 0 }
    buckets.set(event, bucket)
    bucket.tokens = Math.min(BURST_LINES, bucket.tokens + (nowMs - bucket.filledAtMs) * LINES_PER_S / MS_PER_S)
    bucket.filledAtMs = nowMs
    if (bucket.tokens < 1) {
      bucket.dropped += 1
      return
    }
    bucket.tokens -= 1
    logger.info({ event, ...fields, ...(bucket.dropped > 0 ? { droppedBefore: bucket.dropped } : {}) })
    bucket.dropped = 0
  }
}
