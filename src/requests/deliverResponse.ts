import type { ByteBuffer, TimestampMs } from '../core/index.js'
import { WRITTEN_AT_ONCE_BYTES_MAX } from './constants.js'
import { EventPlace } from './createEventPosition.js'
import type { StreamEvent } from './createEventSplitter.js'
import type { Attempt, InFlightRequest } from './forwardState.js'
import {
  type BodyFraming, BodyFramingKind, type ForwardEffect, ForwardEffectKind, type ForwardPorts, type WorkerResponse
} from './forwardTypes.js'
import { ResponseFraming } from './responseEnds.js'

const deliverStreamHead = (inFlight: InFlightRequest, { status, headers }: WorkerResponse): ForwardEffect => {
  inFlight.isHeadSent = true
  return { kind: ForwardEffectKind.SendHead, requestId: inFlight.request.requestId, status, headers, framing: { kind: BodyFramingKind.Chunks } }
}

/** Only a resumption may repeat events that the caller has, or leave some out. */
const placeOf = (inFlight: InFlightRequest, attempt: Attempt, { id, isComment }: StreamEvent): EventPlace =>
  attempt.resumesAfter === undefined || isComment ? EventPlace.Next : inFlight.position.placeOf(id)

/**
 * Returns the events for the caller that further bytes of a stream complete, with the head before the first one. Events that
 * follow each other are one effect, as the cost of a write doesn't depend on its size. At an event whose place in the stream cannot
 * be told, the delivery ends and the attempt is marked.
 *
 * @example
 * deliverEvents(inFlight, attempt, bytes, { nowMs: clock.nowMs(), onEventGap: ports.onEventGap })
 */
export const deliverEvents = (
  inFlight: InFlightRequest, attempt: Attempt, bytes: Uint8Array,
  { nowMs, onEventGap }: { nowMs: TimestampMs, onEventGap: ForwardPorts['onEventGap'] }
): ForwardEffect[] => {
  const { request } = inFlight
  const batch = attempt.splitter.push(bytes)
  const effects: ForwardEffect[] = []
  let runStart: number | undefined
  let runEnd = 0

  const deliverRun = () => {
    if (runStart === undefined) return
    if (!inFlight.isHeadSent) effects.push(deliverStreamHead(inFlight, attempt.answer!))
    effects.push({ kind: ForwardEffectKind.SendBody, requestId: request.requestId, bytes: batch.bytes.subarray(runStart, runEnd) })
    runStart = undefined
  }

  for (const event of batch.events) {
    const { start, end, id, isComment } = event
    onEventGap(request, attempt.worker, nowMs - attempt.lastEventAtMs, !attempt.hasEvents)
    attempt.lastEventAtMs = nowMs
    attempt.hasEvents = true
    const place = placeOf(inFlight, attempt, event)
    attempt.isOutOfPlace ||= place === EventPlace.Unknown
    if (attempt.isOutOfPlace) break
    if (place === EventPlace.Replayed) {
      deliverRun()
      continue
    }
    if (!isComment) inFlight.position.advance(id)
    runStart ??= start
    runEnd = end
  }
  deliverRun()
  return effects
}

/**
 * Returns what is left of a stream that has ended after its last event: its head if it had no event, and blank lines.
 *
 * @example
 * const effects = deliverStreamEnd(inFlight, attempt)
 */
export const deliverStreamEnd = (inFlight: InFlightRequest, attempt: Attempt): ForwardEffect[] => {
  const { requestId } = inFlight.request
  const head = inFlight.isHeadSent ? [] : [deliverStreamHead(inFlight, attempt.answer!)]
  const blankLines = attempt.splitter.takeRest()
  return blankLines.length === 0 ? head : [...head, { kind: ForwardEffectKind.SendBody, requestId, bytes: blankLines }]
}

/**
 * Returns a response that is no stream, whole, as effects that are performed in one turn.
 *
 * @example
 * deliverResponse(request.requestId, response, attempt.held)
 */
export const deliverResponse = (
  requestId: string, { status, headers, framing: workerFraming }: WorkerResponse, held: ByteBuffer
): ForwardEffect[] => {
  const bodyBytes = held.length
  const isWrittenAtOnce = bodyBytes <= WRITTEN_AT_ONCE_BYTES_MAX
  // Large bodies are not copied.
  const parts = isWrittenAtOnce ? [held.join()] : held.takeParts()
  // A worker may break off a response without framing and stay up, so a length would claim more than is known.
  const framing: BodyFraming = workerFraming === ResponseFraming.None && isWrittenAtOnce
    ? { kind: BodyFramingKind.ConnectionEnd }
    : { kind: BodyFramingKind.Length, bodyBytes }
  return [
    { kind: ForwardEffectKind.SendHead, requestId, status, headers, framing },
    ...parts.filter(({ length }) => length > 0).map(bytes => ({ kind: ForwardEffectKind.SendBody, requestId, bytes }) as const),
    { kind: ForwardEffectKind.Complete, requestId }
  ]
}
