import type { InFlightRequest } from './forwardState.js'
import { type ForwardEffect, ForwardEffectKind } from './forwardTypes.js'

/**
 * Handles several requests; an exception at one doesn't lose the effects of the others.
 *
 * @example
 * const effects = forEachRequest(table.all(), expireIfDue)
 */
export const forEachRequest = (requests: readonly InFlightRequest[], handle: (inFlight: InFlightRequest) => ForwardEffect[]): ForwardEffect[] =>
  requests.flatMap((inFlight): ForwardEffect[] => {
    try {
      return handle(inFlight)
    } catch (error) {
      return [{ kind: ForwardEffectKind.ReportFailure, error }]
    }
  })
