import { BaobabdriftError, ResultCode } from '../../core/index.js'
import { RowKind, type RowVersion } from '../../configuration/index.js'
import { formatVersion, toJsonVersion } from '../formatRows.js'
import { withSession } from '../withSession.js'
import type { OperationContext, OperationResult } from './types.js'

export interface GetOptions {
  kind?: RowKind | undefined
  name?: string | undefined
  isJson: boolean
}

const byKindAndName = (a: RowVersion, b: RowVersion) => a.kind.localeCompare(b.kind) || a.name.localeCompare(b.name)

/**
 * Prints rows in effect with their offsets.
 *
 * @throws BaobabdriftError with NotFound if the named row does not exist
 */
export const getRows = async ({ settings, print }: OperationContext, { kind, name, isJson }: GetOptions): Promise<OperationResult> => {
  const versions = await withSession(settings, async session => session.versions())
  const chosen = versions
    .filter(version => version.row !== null && version.kind !== RowKind.Evacuation && version.kind === (kind ?? version.kind) && version.name === (name ?? version.name))
    .sort(byKindAndName)
  if (name !== undefined && chosen.length === 0) throw new BaobabdriftError(ResultCode.NotFound, `${kind} ${name} does not exist`)
  if (isJson) print(JSON.stringify(chosen.map(toJsonVersion), null, 2))
  else if (chosen.length > 0) print(chosen.map(formatVersion).join('\n---\n'))
  return { code: ResultCode.Ok }
}
