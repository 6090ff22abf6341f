import { z } from 'zod'
import { FrameKind } from '../links/index.js'
import { ReleaseChoice, StageProgress, SwitchKind, type RankBoundMessage, type SwitchMessage } from './switchTypes.js'

const text = z.string().min(1).max(256)
const count = z.number().int().nonnegative()
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array)
const ballot = z.tuple([count, text])
const mapId = z.object({ version: count, hash: text })
const hold = z.object({ mapId, step: count.nullable() })
const incarnation = text

/** Messages of a switch as sent between the agents of a group. */
export const switchMessageSchema: z.ZodType<SwitchMessage> = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(SwitchKind.Prepare), ballot }),
  z.object({
    kind: z.literal(SwitchKind.Stage),
    ballot,
    incarnation,
    mapId,
    changes: z.object({ base: mapId, bytes }).optional(),
    hasPeers: z.boolean()
  }),
  z.object({ kind: z.literal(SwitchKind.Hold), ballot, incarnation, step: count.nullable() }),
  z.object({ kind: z.literal(SwitchKind.Release), ballot, incarnation, choice: z.enum(ReleaseChoice), mapId, step: count }),
  z.object({ kind: z.literal(SwitchKind.MapRequest), ballot, mapId }),
  z.object({
    kind: z.literal(SwitchKind.Prepared),
    ballot,
    view: z.object({ incarnation, nextStep: count, latest: mapId.nullable(), held: hold.nullable() })
  }),
  z.object({ kind: z.literal(SwitchKind.Refused), ballot, promised: ballot }),
  z.object({ kind: z.literal(SwitchKind.Staged), ballot, progress: z.enum(StageProgress), nextStep: count }),
  z.object({ kind: z.literal(SwitchKind.Held), ballot, step: count.nullable(), nextStep: count }),
  z.object({ kind: z.literal(SwitchKind.HoldMissed), ballot, step: count, nextStep: count }),
  z.object({ kind: z.literal(SwitchKind.Released), ballot }),
  z.object({ kind: z.literal(SwitchKind.MapBody), ballot, mapId, bytes }),
  z.object({ kind: z.literal(SwitchKind.RankStarted), incarnation })
])

export const rankReportSchema = z.object({
  rank: count,
  incarnation,
  step: count,
  steps: z.number().int().positive(),
  durationMs: z.number().nonnegative(),
  mapHash: text,
  tokens: z.array(z.number().nonnegative())
})

/** A switch message or a load report between two ranks of a group. */
export const switchFrameSchema = z.object({
  kind: z.literal(FrameKind.Switch),
  group: text,
  fromRank: count,
  message: switchMessageSchema.optional(),
  report: rankReportSchema.optional()
})

/** Addresses of the ranks of a group, as known to an entry. */
export const groupRosterSchema = z.object({
  kind: z.literal(FrameKind.GroupRoster),
  group: text,
  members: z.array(z.object({ rank: count, address: text }))
})

export type SwitchFrame = z.infer<typeof switchFrameSchema>
export type GroupMember = z.infer<typeof groupRosterSchema>['members'][number]

const RANK_BOUND: ReadonlySet<SwitchKind> = new Set([
  SwitchKind.Prepare, SwitchKind.Stage, SwitchKind.Hold, SwitchKind.Release, SwitchKind.MapRequest
])

/** Whether a switch message is addressed to a rank rather than to a coordinator. */
export const isRankBound = (message: SwitchMessage): message is RankBoundMessage => RANK_BOUND.has(message.kind)
