import { BaobabdriftError, ResultCode } from '../../core/index.js'
import { requireEntries } from '../cliSettings.js'
import { queryEntries, queryFleetStatus, type EntryResponse, type EntryExplanation, explainSchema, requireAnyResponse } from '../entriesClient.js'
import type { OperationContext, OperationResult } from './types.js'

const formatExplanation = ({ address, answer }: EntryResponse<EntryExplanation>): string[] => [
  ...(answer?.lines ?? []).map(line => `${address}: ${line}`),
  ...Object.entries(answer?.expertMaps ?? {}).flatMap(([pool, lines]) => lines.map(line => `${address}: expert map of ${pool}: ${line}`))
]

/**
 * Prints how and why a recent request was routed. Only the entry that received the request has this
 * record, so all entries are queried.
 *
 * @throws BaobabdriftError with NotFound if no entry has a record of the request
 */
export const explainRequest = async ({ settings, print, printDiagnostic }: OperationContext, requestId: string): Promise<OperationResult> => {
  const statuses = await queryFleetStatus(requireEntries(settings))
  requireAnyResponse(statuses)
  const reachable = statuses.filter(({ answer }) => answer !== undefined).map(({ address }) => address)
  const responses = await queryEntries(reachable, `/v1/explain/${encodeURIComponent(requestId)}`, explainSchema)
  requireAnyResponse(responses)
  const failed = [...statuses, ...responses].filter(({ fault }) => fault !== undefined)
  for (const { address, fault } of failed) printDiagnostic(`${address} did not respond: ${fault}`)
  const isKnown = responses.some(({ answer }) => (answer?.lines.length ?? 0) > 0)
  if (!isKnown) throw new BaobabdriftError(ResultCode.NotFound, `no entry has a record of request ${requestId}`)
  for (const line of responses.flatMap(formatExplanation)) print(line)
  return { code: ResultCode.Ok }
}
