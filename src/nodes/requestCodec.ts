import { Encoder } from 'cbor-x'
import { z } from 'zod'
import { FrameError } from '../core/index.js'
import { type ResponseHead, responseHeadSchema, type UpstreamRequest, upstreamRequestSchema } from '../requests/index.js'

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

const keyedRequestSchema = z.object({
  request: upstreamRequestSchema,
  fingerprint: z.string().max(256),
  isSuspect: z.boolean(),
  traceparent: z.string().max(256).optional()
})

/** A request with the data that the agent needs to run it. */
export interface KeyedRequest {
  request: UpstreamRequest
  fingerprint: string
  /** Whether the upstream must run the request alone. */
  isSuspect: boolean
  traceparent?: string | undefined
}

/** Encodes the request of a keyed call; the at-most-once slice carries it as opaque bytes. */
export const encodeRequest = (keyed: KeyedRequest): Uint8Array => encoder.encode(keyed)

/** Decodes the request of a keyed call; throws FrameError if it is malformed. */
export const decodeRequest = (bytes: Uint8Array): KeyedRequest => {
  const parsed = keyedRequestSchema.safeParse(encoder.decode(bytes))
  if (!parsed.success) throw new FrameError('request of a keyed call is malformed')
  return parsed.data
}

/** Encodes the head of a keyed response; it is the first chunk of the response. */
export const encodeHead = (head: ResponseHead): Uint8Array => encoder.encode(head)

/** Decodes the first chunk of a keyed response; throws FrameError if it is not a valid head. */
export const decodeHead = (bytes: Uint8Array): ResponseHead => {
  const parsed = responseHeadSchema.safeParse(encoder.decode(bytes))
  if (!parsed.success) throw new FrameError('head of a keyed response is malformed')
  return parsed.data
}
