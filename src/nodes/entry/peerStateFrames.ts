import { z } from 'zod'
import { type Frame, FrameKind, parseFrame } from '../../links/index.js'

const shortTextSchema = z.string().min(1).max(256)

const requestSchema = z.object({
  kind: z.literal(FrameKind.PeerStateRequest),
  stream: shortTextSchema,
  aboveOffset: z.number().int().nonnegative(),
  replyAddress: shortTextSchema
})

const stateSchema = z.object({
  kind: z.literal(FrameKind.PeerState),
  stream: shortTextSchema,
  document: z.unknown(),
  retainedSinceMs: z.number().nullable()
})

/** Creates a frame that requests an entry's state of a stream, if its offset is above `aboveOffset`. */
export const toPeerStateRequest = (stream: string, aboveOffset: number, replyAddress: string): Frame =>
  ({ kind: FrameKind.PeerStateRequest, stream, aboveOffset, replyAddress })

/** Creates the reply that carries the state of a stream to the requesting entry. */
export const toPeerState = (stream: string, document: unknown, retainedSinceMs: number | undefined): Frame =>
  ({ kind: FrameKind.PeerState, stream, document, retainedSinceMs: retainedSinceMs ?? null })

export const parsePeerStateRequest = (frame: Frame) => parseFrame(requestSchema, frame)
export const parsePeerState = (frame: Frame) => parseFrame(stateSchema, frame)
