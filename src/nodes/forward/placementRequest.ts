import type { UpstreamBytes } from '../../callerLimits/index.js'
import type { ConfigurationHolder } from '../../configuration/index.js'
import type { StreamLimit } from '../../limits/index.js'
import type { Worker } from '../../membership/index.js'
import type { PlacementRequest } from '../../routing/index.js'

/** Requests that a worker may hold per slot. Only services without an engine queue requests at the worker. */
const PLAIN_SLOTS_FACTOR = 2
const ENGINE_SLOTS_FACTOR = 1

export interface PlacementRequestOptions {
  configuration: Pick<ConfigurationHolder, 'findService'>
  streamLimitOf: (service: string) => StreamLimit
  usableWorkers: (service: string) => readonly Worker[]
  upstreamBytes: Pick<UpstreamBytes, 'hasRoom'>
}

/** The limits that apply to a request of a service, by the kind of the service. */
export interface PlacementRequests {
  isEngine (service: string): boolean
  toPlacementRequest (service: string, triedWorkerIds: readonly string[], bodyBytes: number): PlacementRequest
}

/**
 * Creates the limits by service.
 *
 * @example
 * createPlacementRequests({ configuration, streamLimitOf, usableWorkers, upstreamBytes }).toPlacementRequest('booking', [], 0)
 */
export const createPlacementRequests = ({ configuration, streamLimitOf, usableWorkers, upstreamBytes }: PlacementRequestOptions): PlacementRequests => {
  const isEngine = (service: string) => configuration.findService(service)?.engine !== undefined
  return {
    isEngine,
    toPlacementRequest: (service, triedWorkerIds, bodyBytes) => {
      const hasLimit = isEngine(service)
      // A request that was sent before has already passed the limit.
      const serviceLimit = hasLimit && triedWorkerIds.length === 0 ? streamLimitOf(service).streamsFor(usableWorkers(service).length) : undefined
      // Engines of a group move in lock-step, so none of them has a speed of its own.
      return {
        service,
        triedWorkerIds,
        serviceLimit,
        slotsFactor: hasLimit ? ENGINE_SLOTS_FACTOR : PLAIN_SLOTS_FACTOR,
        isCapacityLearned: !hasLimit,
        hasRoom: ({ workerId }) => upstreamBytes.hasRoom(workerId, bodyBytes)
      }
    }
  }
}
