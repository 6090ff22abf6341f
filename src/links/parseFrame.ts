import type { z } from 'zod'
import { FrameError } from '../core/index.js'
import type { Frame } from './types.js'

/**
 * Validates a decoded frame against the schema of its kind.
 *
 * @example
 * const run = parseFrame(runFrameSchema, frame)
 * @throws FrameError with the path of the first fault
 */
export const parseFrame = <T>(schema: z.ZodType<T>, frame: Frame): T => {
  const parsed = schema.safeParse(frame)
  if (parsed.success) return parsed.data
  const issue = parsed.error.issues[0]
  throw new FrameError(`frame ${frame.kind}: ${issue?.path.join('.')} ${issue?.message}`)
}
