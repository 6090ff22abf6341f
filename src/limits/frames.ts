import { z } from 'zod'
import { customerLimitSchema } from '../configuration/index.js'
import { FrameKind } from '../links/index.js'
import type { LimitDemand, LimitGrant } from './types.js'

const text = z.string().min(1).max(512)
const amount = z.number().nonnegative()
const counter = z.number().int().nonnegative()

/** A share may be zero, unlike the limit that it is a part of. */
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

/** Demand of an entry for a customer's limit, sent to the limit's coordinator. */
export const limitDemandFrameSchema = z.object({ kind: z.literal(FrameKind.LimitDemand), demand: demandSchema })

/** Share that the coordinator grants to an entry. */
export const limitShareFrameSchema = z.object({ kind: z.literal(FrameKind.LimitShare), grant: grantSchema })
