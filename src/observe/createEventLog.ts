import pino, { type Logger } from 'pino'
import type { Clock } from '../core/index.js'

/** Event of a log line: one for each kind of decision or state change. */
export enum LogEvent {
  ProcessStarted = 'process-started',
  ProcessStopping = 'process-stopping',
  ProcessStopped = 'process-stopped',
  ProcessPaused = 'process-frozen',
  SettingsReloaded = 'settings-reloaded',
  SettingsRejected = 'settings-rejected',
  ConfigurationAdopted = 'configuration-adopted',
  RecordRejected = 'record-rejected',
  WorkerChanged = 'worker-changed',
  StoreUnavailable = 'store-lost',
  StoreRecovered = 'store-regained',
  /** A call to the store, or to an entry that passes its records on, got no response in time; it is repeated on a new connection. */
  ConnectionSilent = 'connection-silent',
  /** The store came back from an older copy and gives offsets out anew. */
  StoreRestored = 'store-restored',
  /** The upstreams of a failure domain get no further traffic, or get traffic again. */
  EvacuationBegan = 'evacuation-began',
  EvacuationEnded = 'evacuation-ended',
  PeerFound = 'peer-found',
  PeerLost = 'peer-lost',
  PeerFault = 'peer-fault',
  ZoneFound = 'zone-found',
  ZoneLost = 'zone-lost',
  /** An entry that passes on the store's records did not respond. */
  FeedFailed = 'feed-failed',
  RequestAdmitted = 'request-admitted',
  /** No worker could be chosen for the request: none is usable, or the limits are reached. */
  RequestWaits = 'request-waits',
  RequestSent = 'request-sent',
  AttemptEnded = 'attempt-ended',
  RequestEnded = 'request-ended',
  RequestRefused = 'request-refused',
  /** A body was refused before its request ran: too large, not complete in time, or beyond the memory for callers. */
  BodyRefused = 'body-refused',
  /** The connection of a caller was closed, as callers held too many bytes or connections. */
  CallerClosed = 'caller-closed',
  /** The response to a request could not be written to its caller, who got an error or a closed connection instead. */
  ResponseUndelivered = 'response-undelivered',
  /** Whether a worker, or the run of it that is known, is up after the end of a connection. */
  WorkerChecked = 'worker-checked',
  /** No worker of the service may be sent a request now, as far as their limits and pauses go; the request is refused. */
  RequestLimited = 'request-limited',
  /** A worker has turned a request away and wants none from this process for some time. */
  WorkerPaused = 'worker-paused',
  /** A response of a worker names another limit of requests per second than the last one, or none any more. */
  WorkerLimitChanged = 'worker-limit-changed',
  /** A worker is cold, so that requests to it need permits, or it is warm again. */
  WorkerCold = 'worker-cold',
  WorkerWarm = 'worker-warm',
  /** A worker went down, and requests with these traits had been sent to it and waited for their answers. */
  WorkerCrashed = 'worker-crashed',
  /** A worker answered a request with traits that an earlier crash had put under suspicion. */
  TraitsCleared = 'traits-cleared',
  /** The traits that requests are refused for have changed. */
  BlockedTraitsChanged = 'blocked-traits-changed',
  /** A request is refused for its traits. */
  RequestBlocked = 'request-blocked',
  /** The load that this entry measures about itself has reached another step, and its weight in address lists follows. */
  EntryLoadChanged = 'entry-load-changed',
  /** The slowdown factor that an agent reports for its worker has changed; 1 while the worker is healthy. */
  SlowdownFactorChanged = 'pace-changed',
  /** What this entry knows of an upstream's capacity or speed has changed; both are those of its slots while the upstreams do not differ. */
  UpstreamCapacityChanged = 'upstream-capacity-changed',
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

/** Token bucket of each event: lines that may be written in a burst, and lines per second after that. */
const BURST_LINES = 200
const LINES_PER_S = 60
/** Output that has not been read is buffered up to this size; further output is dropped. */
const BUFFER_BYTES_MAX = 1024 * 1024
const MS_PER_S = 1_000

interface TokenBucket { tokens: number, refilledAtMs: number, dropped: number }

/**
 * Creates the structured log of a process, which writes to standard output without blocking. Each event has its own
 * token bucket; the first line after dropped lines states their number in `droppedBefore`.
 *
 * @example
 * const log = createEventLog({ clock, process: 'entry-1' })
 * log(LogEvent.StoreUnavailable, { reason: 'connection reset' })
 */
export const createEventLog = ({ clock, process: name }: { clock: Clock, process: string }): EventLog => {
  const destination = pino.destination({ dest: 1, sync: false, maxLength: BUFFER_BYTES_MAX })
  const logger: Logger = pino({ base: { process: name }, timestamp: pino.stdTimeFunctions.epochTime }, destination)
  const buckets = new Map<LogEvent, TokenBucket>()

  return (event, fields) => {
    const nowMs = clock.nowMs()
    const bucket = buckets.get(event) ?? { tokens: BURST_LINES, refilledAtMs: nowMs, dropped: 0 }
    buckets.set(event, bucket)
    bucket.tokens = Math.min(BURST_LINES, bucket.tokens + (nowMs - bucket.refilledAtMs) * LINES_PER_S / MS_PER_S)
    bucket.refilledAtMs = nowMs
    if (bucket.tokens < 1) {
      bucket.dropped += 1
      return
    }
    bucket.tokens -= 1
    logger.info({ event, ...fields, ...(bucket.dropped > 0 ? { droppedBefore: bucket.dropped } : {}) })
    bucket.dropped = 0
  }
}
