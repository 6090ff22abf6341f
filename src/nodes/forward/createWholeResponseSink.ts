import { createByteBuffer, ResultCode } from '../../core/index.js'
import { BodyFramingKind, HELD_RESPONSE_BYTES_MAX } from '../../requests/index.js'
import type { CallerSink } from './types.js'

/**
 * Returns a sink for a caller that understands no chunks. It holds a response until it is complete, so that the caller gets
 * its length; one that ends early, or is too large to hold, is refused instead.
 *
 * @example
 * const sink = createWholeResponseSink(responseSink)
 */
export const createWholeResponseSink = (sink: CallerSink): CallerSink => {
  let head: Parameters<CallerSink['onHead']> | undefined
  const held = createByteBuffer()
  let hasEnded = false

  const refuse = (code: ResultCode, retryAfterMs: number | undefined) => {
    if (hasEnded) return
    hasEnded = true
    held.clear()
    sink.onRefuse(code, retryAfterMs)
  }

  return {
    onHead: (...parts) => { head = parts },
    onReceived: bytes => sink.onReceived?.(bytes),
    onExchange: setPaused => sink.onExchange?.(setPaused),
    onBody: bytes => {
      if (hasEnded) return
      held.add(bytes)
      if (held.length > HELD_RESPONSE_BYTES_MAX) refuse(ResultCode.AnswerLost, undefined)
    },
    onComplete: () => {
      if (hasEnded || head === undefined) return
      hasEnded = true
      const [status, headers, framing] = head
      sink.onHead(status, headers, framing.kind === BodyFramingKind.Chunks ? { kind: BodyFramingKind.Length, bodyBytes: held.length } : framing)
      for (const bytes of held.takeParts()) sink.onBody(bytes)
      sink.onComplete()
    },
    onAbort: () => refuse(ResultCode.AnswerLost, undefined),
    onRefuse: refuse
  }
}
