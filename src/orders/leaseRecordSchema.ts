import { z } from 'zod'
import { EngineRole, toPageMessage } from '../configuration/index.js'
import type { LogPage } from '../core/index.js'
import { LeaseRecordKind } from './constants.js'
import type { LeaseBody, LeaseMessage } from './types.js'

const offset = z.number().int().nonnegative()
const text = z.string().min(1).max(256)

const placementSchema = z.object({
  agentId: text, role: z.enum(EngineRole), model: text, version: text.optional(), adapters: z.array(text)
})

/** Schema of an assignment from the log or from a linked entry. */
export const poolAssignmentSchema = z.object({
  pool: text, claimOffset: offset, sequence: z.number().int().positive(), placements: z.array(placementSchema)
})

/** Schema of a lease document from a snapshot record or a peer. */
export const leaseDocumentSchema = z.object({
  offset,
  hash: z.string(),
  claim: z.object({ offset, holder: text }).optional(),
  lastSequence: offset,
  assignments: z.array(poolAssignmentSchema)
})

const recordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(LeaseRecordKind.Claim), holder: text, supersedes: offset }),
  z.object({ kind: z.literal(LeaseRecordKind.Restart), holder: text }),
  z.object({ kind: z.literal(LeaseRecordKind.Renewal), claimOffset: offset }),
  z.object({ kind: z.literal(LeaseRecordKind.Assignment), assignment: poolAssignmentSchema }),
  z.object({
    kind: z.literal(LeaseRecordKind.Snapshot),
    snapshot: z.object({ document: leaseDocumentSchema, takenMs: z.number() })
  })
])

/** Parses the body of one record; a body that matches no schema becomes `Unreadable`. */
export const parseLeaseBody = (body: unknown): LeaseBody => {
  const parsed = recordSchema.safeParse(body)
  return parsed.success ? parsed.data : { kind: LeaseRecordKind.Unreadable }
}

/** Converts one page of the lease stream to a message of its reader. */
export const toLeasePage = (readId: number, page: LogPage): LeaseMessage => toPageMessage(readId, page, parseLeaseBody)
