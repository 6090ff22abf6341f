import { z } from 'zod'
import { type Frame, FrameKind, parseFrame } from '../../links/index.js'

const text = z.string().min(1).max(256)

const requestSchema = z.object({
  kind: z.literal(FrameKind.PeerStateRequest),
  stream: text,
  aboveOffset: z.number().int().nonnegative(),
  replyAddress: text
})

const stateSchema = z.object({
  kind: z.literal(FrameKind.PeerState),
  stream: text,
  document: z.unknown(),
  retainedSinceMs: z.number().nullable()
})

/** Asks an entry for its state of a stream, if it is above an offset. */
export const toPeerStateRequest = (stream: string, aboveOffset: number, replyAddress: string): Frame =>
  ({ kind: FrameKind.PeerStateRequest, stream, aboveOffset, replyAddress })

/** Carries the state of a stream to the entry that asked. */
export const toPeerState = (stream: string, document: unknown, retainedSinceMs: number | undefined): Frame =>
  ({ kind: FrameKind.PeerState, stream, document, retainedSinceMs: retainedSinceMs ?? null })

export const parsePeerStateRequest = (frame: Frame) => parseFrame(requestSchema, frame)
export const parsePeerState = (frame: Frame) => parseFrame(stateSchema, frame)
