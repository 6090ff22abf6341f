import { z } from 'zod'
import { FrameError } from '../core/index.js'
import { type Trait, TraitKind } from './requestTraits.js'

/** What an entry tells the others about prompt parts and crashes. */
export enum PartNoticeKind {
  /** Requests with these parts waited for their answers when an upstream crashed. */
  Crashed = 'crashed',
  /** Requests with these parts have been answered since. */
  Answered = 'answered'
}

export type PartNotice =
  /** `waitedMs` is the time from the last such request to the crash, by part. */
  | { kind: PartNoticeKind.Crashed, crashId: string, waitedMs: Record<Trait, number> }
  | { kind: PartNoticeKind.Answered, parts: Trait[] }

/** Maximum number of parts in one notice, whose broadcast is limited to 400 bytes. */
export const NOTICE_PARTS_MAX = 3
const TRAIT_LENGTH_MAX = 80

const traitSchema = z.custom<Trait>(value =>
  typeof value === 'string' && value.startsWith(`${TraitKind.PromptPart}/`) && value.length <= TRAIT_LENGTH_MAX)

const partNoticeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(PartNoticeKind.Crashed), crashId: z.string().min(1).max(256), waitedMs: z.record(traitSchema, z.number().nonnegative())
  }),
  z.object({ kind: z.literal(PartNoticeKind.Answered), parts: z.array(traitSchema).max(NOTICE_PARTS_MAX) })
])

/**
 * Validates a notice from a broadcast.
 *
 * @throws FrameError if it is malformed
 * @example
 * const notice = parsePartNotice(payload)
 */
export const parsePartNotice = (value: unknown): PartNotice => {
  const parsed = partNoticeSchema.safeParse(value)
  if (!parsed.success) throw new FrameError('notice about prompt parts is malformed')
  return parsed.data as PartNotice
}
