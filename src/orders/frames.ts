import { z } from 'zod'
import { EngineRole } from '../configuration/index.js'
import { FrameKind } from '../links/index.js'

const offset = z.number().int().nonnegative()
const text = z.string().min(1).max(256)

const engineStateSchema = z.object({
  role: z.enum(EngineRole).optional(),
  model: text.optional(),
  version: text.optional(),
  adapters: z.array(text)
})

/** The claim in effect and, if the log holds one, the assignment of the receiving agent. */
export const assignmentFrameSchema = z.object({
  kind: z.literal(FrameKind.Assignment),
  claimOffset: offset,
  assignment: z.object({
    token: offset,
    sequence: z.number().int().positive(),
    desired: z.object({ role: z.enum(EngineRole), model: text, version: text.optional(), adapters: z.array(text) })
  }).optional()
})

/** State of an agent's engine, from its last response. */
export const engineStateFrameSchema = z.object({ kind: z.literal(FrameKind.EngineState), state: engineStateSchema })

/** Reply to FenceQuery, after the lease stream was read to its end. */
export const fenceConfirmedFrameSchema = z.object({ kind: z.literal(FrameKind.FenceConfirmed), claimOffset: offset })

/** Response of an engine to a state query. */
export const engineStateAnswerSchema = z.object({ state: engineStateSchema, isBusy: z.boolean() })
