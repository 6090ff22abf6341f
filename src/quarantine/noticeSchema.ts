import { z } from 'zod'
import { FrameError } from '../core/index.js'
import { BROADCAST_FINGERPRINTS_MAX, NoticeKind } from './constants.js'
import type { Notice } from './types.js'

const text = z.string().min(1).max(256)

/** Schema of a notice from a link or a broadcast. */
export const noticeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(NoticeKind.Suspects),
    crashId: text,
    upstreamId: text,
    fingerprints: z.array(text).max(BROADCAST_FINGERPRINTS_MAX * 256)
  }),
  z.object({ kind: z.literal(NoticeKind.Cleared), fingerprint: text, crashIds: z.array(text).max(256) }),
  z.object({ kind: z.literal(NoticeKind.Quarantined), fingerprint: text, crashId: text })
])

/** Validates a notice; throws FrameError if it is malformed. */
export const parseNotice = (value: unknown): Notice => {
  const parsed = noticeSchema.safeParse(value)
  if (!parsed.success) throw new FrameError('notice is malformed')
  return parsed.data
}
