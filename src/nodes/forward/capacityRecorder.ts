import type { Clock } from '../../core/index.js'
import type { Worker } from '../../membership/index.js'
import { AttemptEnd, type AttemptOutcome, type ForwardRequest } from '../../requests/index.js'
import type { UpstreamCapacity } from '../../upstreamCapacity/index.js'

export interface CapacityRecorderOptions {
  clock: Clock
  capacity: Pick<UpstreamCapacity, 'record'>
}

/** Turns the attempts at plain services into samples for the learned capacity. */
export interface CapacityRecorder {
  /** Records a request with the number of requests in flight at its worker, itself included. */
  recordSent (requestId: string, inFlight: number): void
  recordEnded (request: Pick<ForwardRequest, 'requestId' | 'route'>, worker: Worker, outcome: Pick<AttemptOutcome, 'end' | 'sentAtMs'>): void
}

/** Whether the time of an attempt is that of a response; undefined if it says nothing about the worker. */
const HAS_FAILED: Record<AttemptEnd, boolean | undefined> = {
  [AttemptEnd.Answered]: false,
  [AttemptEnd.Unproven]: undefined,
  [AttemptEnd.Failed]: true,
  [AttemptEnd.NotRun]: undefined,
  [AttemptEnd.Lost]: true,
  [AttemptEnd.Cancelled]: true,
  [AttemptEnd.NotConnected]: undefined
}

/**
 * Creates the recorder of one entry.
 *
 * @example
 * const recorder = createCapacityRecorder({ clock, capacity })
 * recorder.recordSent(requestId, placement.runningAt(workerId))
 */
export const createCapacityRecorder = ({ clock, capacity }: CapacityRecorderOptions): CapacityRecorder => {
  const inFlightAtSend = new Map<string, number>()
  return {
    recordSent: (requestId, inFlight) => { inFlightAtSend.set(requestId, inFlight) },
    recordEnded: ({ requestId, route }, run, { end, sentAtMs }) => {
      const inFlight = inFlightAtSend.get(requestId)
      inFlightAtSend.delete(requestId)
      const hasFailed = HAS_FAILED[end]
      if (inFlight === undefined || hasFailed === undefined) return
      capacity.record({ run, kind: route.name, tookMs: clock.nowMs() - sentAtMs, inFlight, hasFailed })
    }
  }
}
