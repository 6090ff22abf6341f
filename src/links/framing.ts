import { Encoder } from 'cbor-x'
import { FrameError } from '../core/index.js'
import { FRAME_BYTES_MAX, FRAME_HEADER_BYTES } from './constants.js'

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/**
 * Encodes one message as a frame that consists of a 4-byte big-endian length and a CBOR body.
 *
 * @example
 * socket.write(encodeFrame({ kind: FrameKind.Heartbeat, sentMs: clock.nowMs() }))
 * @throws FrameError if the body exceeds FRAME_BYTES_MAX
 */
export const encodeFrame = (message: unknown): Buffer => {
  const body = encoder.encode(message)
  if (body.length > FRAME_BYTES_MAX) throw new FrameError(`frame of ${body.length} bytes exceeds the limit of ${FRAME_BYTES_MAX}`)
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length)
  frame.writeUInt32BE(body.length, 0)
  frame.set(body, FRAME_HEADER_BYTES)
  return frame
}

/** Splits a byte stream into decoded messages. */
export interface FrameDecoder {
  /** Returns the messages that these bytes complete; throws FrameError on corrupt or oversized frames. */
  push (bytes: Buffer): unknown[]
}

/**
 * Creates a decoder for one connection. After a FrameError the connection must be closed,
 * because the position of the next frame is unknown.
 *
 * @example
 * const decoder = createFrameDecoder()
 * socket.on('data', bytes => decoder.push(bytes).forEach(receive))
 */
export const createFrameDecoder = (): FrameDecoder => {
  let pending: Buffer = Buffer.alloc(0)

  const decodeBody = (body: Buffer): unknown => {
    try {
      return encoder.decode(body)
    } catch (error) {
      throw new FrameError('frame body is not valid CBOR', { cause: error })
    }
  }

  return {
    push: bytes => {
      pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes])
      const messages: unknown[] = []
      let offset = 0
      while (pending.length - offset >= FRAME_HEADER_BYTES) {
        const length = pending.readUInt32BE(offset)
        if (length > FRAME_BYTES_MAX) throw new FrameError(`frame of ${length} bytes exceeds the limit of ${FRAME_BYTES_MAX}`)
        const end = offset + FRAME_HEADER_BYTES + length
        if (pending.length < end) break
        messages.push(decodeBody(pending.subarray(offset + FRAME_HEADER_BYTES, end)))
        offset = end
      }
      pending = pending.subarray(offset)
      return messages
    }
  }
}
