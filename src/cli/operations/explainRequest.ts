import { BaobabdriftError, ResultCode } from '../../core/index.js'
import { requireEntries } from '../cliSettings.js'
import { askEntries, askFleetStatus, type EntryAnswer, type EntryExplanation, explainSchema, requireAnswer } from '../entriesClient.js'
import type { OperationContext, OperationResult } from './types.js'

const formatExplanation = ({ address, answer }: EntryAnswer<EntryExplanation>): string[] => [
  ...(answer?.lines ?? []).map(line => `${address}: ${line}`),
  ...Object.entries(answer?.expertMaps ?? {}).flatMap(([pool, lines]) => lines.map(line => `${address}: expert map of ${pool}: ${line}`))
]

/**
 * Prints why a recent request went where it went. Only the entry that received the request knows,
 * so all entries are asked.
 *
 * @throws BaobabdriftError with NotFound if no entry remembers the request
 */
export const explainRequest = async ({ settings, print, note }: OperationContext, requestId: string): Promise<OperationResult> => {
  const fleet = await askFleetStatus(requireEntries(settings))
  requireAnswer(fleet)
  const reachable = fleet.filter(({ answer }) => answer !== undefined).map(({ address }) => address)
  const answers = await askEntries(reachable, `/v1/explain/${encodeURIComponent(requestId)}`, explainSchema)
  requireAnswer(answers)
  const silent = [...fleet, ...answers].filter(({ fault }) => fault !== undefined)
  for (const { address, fault } of silent) note(`${address} did not answer: ${fault}`)
  const isKnown = answers.some(({ answer }) => (answer?.lines.length ?? 0) > 0)
  if (!isKnown) throw new BaobabdriftError(ResultCode.NotFound, `no entry remembers request ${requestId}`)
  for (const line of answers.flatMap(formatExplanation)) print(line)
  return { code: ResultCode.Ok }
}
