import { z } from 'zod'
import { ResultCode } from '../core/index.js'
import { FrameKind } from '../links/index.js'
import { KeyState, ONCE_SHARDS } from './constants.js'
import { AgentReplyKind } from './types.js'

const text = z.string().min(1).max(256)
const counter = z.number().int().nonnegative()
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array)

const keyFields = { scopedKey: text, keyTimeMs: z.number(), shard: z.number().int().min(0).max(ONCE_SHARDS - 1) }
const agentSchema = z.object({ incarnation: text, address: text })
const bindingSchema = z.object({ offset: counter, agent: agentSchema, fingerprint: text })

/** Bind request that an entry sends to the owner of a shard. */
export const bindFrameSchema = z.object({
  kind: z.literal(FrameKind.Bind),
  replyAddress: text,
  traceparent: text.optional(),
  request: z.object({
    ...keyFields,
    requestId: text,
    fingerprint: text,
    candidate: agentSchema.optional(),
    voidedOffset: counter.optional()
  })
})

export const boundFrameSchema = z.object({
  kind: z.literal(FrameKind.Bound),
  reply: z.object({ requestId: text, code: z.enum(ResultCode), binding: bindingSchema.optional() })
})

export const dispatchFrameSchema = z.object({
  kind: z.literal(FrameKind.Dispatch),
  dispatch: z.object({
    ...keyFields,
    requestId: text,
    fingerprint: text,
    bindingOffset: counter,
    agentIncarnation: text,
    fromSequence: counter,
    body: bytes
  })
})

export const voidFrameSchema = z.object({
  kind: z.literal(FrameKind.VoidIfUnseen),
  void: z.object({ ...keyFields, requestId: text, bindingOffset: counter, agentIncarnation: text })
})

export const detachFrameSchema = z.object({ kind: z.literal(FrameKind.Detach), scopedKey: text, requestId: text })

const replyBase = { requestId: text, bindingOffset: counter }

export const keyReplyFrameSchema = z.object({
  kind: z.literal(FrameKind.KeyReply),
  reply: z.discriminatedUnion('kind', [
    z.object({
      ...replyBase,
      kind: z.literal(AgentReplyKind.State),
      state: z.enum(KeyState),
      producedCount: counter,
      code: z.enum(ResultCode).optional()
    }),
    z.object({ ...replyBase, kind: z.literal(AgentReplyKind.Chunk), sequence: counter, bytes }),
    z.object({ ...replyBase, kind: z.literal(AgentReplyKind.End), count: counter, hash: z.string(), httpStatus: z.number() }),
    z.object({ ...replyBase, kind: z.literal(AgentReplyKind.Refused), code: z.enum(ResultCode) })
  ])
})

export type BindFrame = z.infer<typeof bindFrameSchema>
export type BoundFrame = z.infer<typeof boundFrameSchema>
export type KeyReplyFrame = z.infer<typeof keyReplyFrameSchema>
