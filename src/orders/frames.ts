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

/** What the engine of an agent runs, by its last answer. */
export const engineStateFrameSchema = z.object({ kind: z.literal(FrameKind.EngineState), state: engineStateSchema })

/** Answer to FenceQuery after a read of the lease stream to its end. */
export const fenceConfirmedFrameSchema = z.object({ kind: z.literal(FrameKind.FenceConfirmed), claimOffset: offset })

/** Answer of an engine to a question for its state. */
export const engineStateAnswerSchema = z.object({ state: engineStateSchema, isBusy: z.boolean() })
