import { z } from 'zod'
import { customerLimitSchema } from '../configuration/index.js'
import { FrameKind } from '../links/index.js'
import type { LimitDemand, LimitGrant } from './types.js'

const text = z.string().min(1).max(512)
const amount = z.number().nonnegative()
const counter = z.number().int().nonnegative()

/** Amounts of a share may be zero, unlike those of the limit. */
const shareSchema = z.object({ requestsPerS: amount, concurrentMax: amount, burstRequests: amount })

const demandSchema: z.ZodType<LimitDemand> = z.object({
  limitKey: text,
  limit: customerLimitSchema,
  sequence: counter,
  sentMs: z.number(),
  offeredPerS: amount,
  wantedConcurrent: amount,
  runningRequests: amount,
  held: z.object({ share: shareSchema, sequence: counter, coordinatorId: text }).optional()
})

const grantSchema: z.ZodType<LimitGrant> = z.object({
  limitKey: text,
  limit: customerLimitSchema,
  share: shareSchema,
  coordinatorId: text,
  demandSequence: counter,
  demandSentMs: z.number()
})

/** An entry's demand for a customer's limit, sent to the coordinator of the limit. */
export const limitDemandFrameSchema = z.object({ kind: z.literal(FrameKind.LimitDemand), demand: demandSchema })

/** Share of a customer's limit that the coordinator grants to an entry. */
export const limitShareFrameSchema = z.object({ kind: z.literal(FrameKind.LimitShare), grant: grantSchema })
