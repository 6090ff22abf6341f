import { BaobabdriftError, ResultCode } from '../../core/index.js'
import { evacuationSchema, rowKeyOf } from '../../configuration/index.js'
import { describeVerdict } from '../describeVerdict.js'
import { withSession } from '../withSession.js'
import type { OperationContext, OperationResult } from './types.js'

export interface EvacuateOptions {
  domain: string
  /** Gives the failure domain back instead. */
  isUndone: boolean
}

/**
 * Appends the edit that evacuates a failure domain, or the one that gives it back, and waits for its verdict. Succeeds
 * without an edit if that is in effect already.
 *
 * @example
 * await evacuateDomain(context, { domain: 'tema-a', isUndone: false })
 * @throws LogUnavailableError, or BaobabdriftError for a name that no failure domain can have
 */
export const evacuateDomain = async ({ settings, print }: OperationContext, { domain, isUndone }: EvacuateOptions): Promise<OperationResult> => {
  // Readers skip an edit with such a name, so that it would never get a verdict.
  if (!evacuationSchema.shape.name.safeParse(domain).success) throw new BaobabdriftError(ResultCode.BadRequest, `not the name of a failure domain: ${domain}`)
  return withSession(settings, async session => {
    const change = session.planEvacuation(domain, !isUndone)
    if (change === undefined) {
      print(isUndone ? `${domain} is not evacuated` : `${domain} is evacuated already`)
      return { code: ResultCode.Ok }
    }
    const [applied] = await session.apply([change])
    const { code } = applied!
    for (const line of describeVerdict(applied!, session)) print(line)
    return code === ResultCode.EditAccepted ? { code: ResultCode.Ok } : { code, detail: rowKeyOf(change) }
  })
}
