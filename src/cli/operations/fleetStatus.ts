import { BaobabdriftError, ResultCode } from '../../core/index.js'
import { requireEntries } from '../cliSettings.js'
import { queryFleetStatus, type EntryResponse, type EntryStatus, requireAnyResponse } from '../entriesClient.js'
import { formatTable } from '../formatRows.js'
import { withSession } from '../withSession.js'
import type { OperationContext, OperationResult } from './types.js'

const ENTRY_HEADER = ['ENTRY', 'DOMAIN', 'ADDRESS', 'OFFSET', 'STATE', 'REQUESTS', 'LINKED AGENTS', 'SHARDS']
const AGENT_HEADER = ['AGENT', 'DOMAIN', 'POOL']

/** Status of one entry as `status --json` prints it. */
export interface AssessedEntry {
  address: string
  answer?: EntryStatus | undefined
  fault?: string | undefined
  /** Offsets that the entry's configuration is behind; 0 for an entry that did not respond. */
  lag: number
}

/**
 * Compares the offset of each entry with the offset of the last accepted edit, or with the highest
 * offset among the entries if no log is available. The latter may exceed the offset of the last
 * accepted edit, because an entry that started from a snapshot reports the snapshot's offset.
 *
 * @example
 * assessEntries(responses, 12).filter(({ lag }) => lag > 0)
 */
export const assessEntries = (responses: readonly EntryResponse<EntryStatus>[], lastAcceptedOffset?: number): AssessedEntry[] => {
  const highestOffset = Math.max(0, ...responses.map(({ answer }) => answer?.configurationOffset ?? 0))
  const referenceOffset = lastAcceptedOffset ?? highestOffset
  return responses.map(({ address, answer, fault }) => ({
    address, answer, fault, lag: answer === undefined ? 0 : Math.max(0, referenceOffset - answer.configurationOffset)
  }))
}

const stateOf = ({ answer, fault, lag }: AssessedEntry): string => {
  if (answer === undefined) return `no answer: ${fault}`
  const states = [...(answer.isDraining ? ['draining'] : []), ...(lag > 0 ? [`LAGS by ${lag}`] : [])]
  return states.length === 0 ? 'ok' : states.join(', ')
}

const entryRow = (entry: AssessedEntry): string[] => {
  const { address, answer } = entry
  if (answer === undefined) return ['-', '-', address, '-', stateOf(entry), '-', '-', '-']
  const self = answer.entries.find(({ nodeId }) => nodeId === answer.nodeId)
  const numbers = [answer.liveRequests, answer.linkedAgents, answer.ownedShards].map(String)
  return [answer.nodeId, self?.failureDomain ?? '-', address, String(answer.configurationOffset), stateOf(entry), ...numbers]
}

/** Table rows of all agents that any entry knows, without duplicates. */
const agentRows = (entries: readonly AssessedEntry[]): string[][] => {
  const agents = new Map(entries.flatMap(({ answer }) => answer?.agents ?? []).map(agent => [agent.nodeId, agent]))
  return [...agents.values()]
    .sort((a, b) => a.nodeId.localeCompare(b.nodeId))
    .map(({ nodeId, failureDomain, pool }) => [nodeId, failureDomain, pool ?? '-'])
}

/** One line for each failure domain that any entry takes for evacuated. */
const evacuationLines = (entries: readonly AssessedEntry[]): string[] => {
  const answers = entries.flatMap(({ answer }) => answer ?? [])
  const domains = [...new Set(answers.flatMap(({ evacuatedDomains }) => evacuatedDomains))].sort()
  return domains.map(domain => {
    const others = answers.filter(({ evacuatedDomains }) => !evacuatedDomains.includes(domain)).map(({ nodeId }) => nodeId)
    const upstreams = new Set(answers.flatMap(({ agents }) => agents).filter(({ failureDomain }) => failureDomain === domain).map(({ nodeId }) => nodeId))
    const scope = others.length === 0 ? 'at all entries' : `not yet at ${others.join(', ')}`
    return `evacuated: ${domain}, ${upstreams.size} agents, ${scope}`
  })
}

/** Formats the status as human-readable text. */
export const formatStatus = (entries: readonly AssessedEntry[]): string => {
  const limits = entries.flatMap(({ answer }) =>
    answer?.limits === undefined ? [] : [`limits at ${answer.nodeId}: ${JSON.stringify(answer.limits)}`])
  return [
    formatTable([ENTRY_HEADER, ...entries.map(entryRow)]),
    formatTable([AGENT_HEADER, ...agentRows(entries)]),
    ...evacuationLines(entries),
    ...limits
  ].join('\n\n')
}

const readLastAcceptedOffset = async ({ settings, printDiagnostic }: OperationContext): Promise<number | undefined> => {
  if (settings.logUrl === undefined) return undefined
  try {
    return await withSession(settings, async session => Math.max(0, ...session.versions().map(({ offset }) => offset)))
  } catch (error) {
    if (!(error instanceof BaobabdriftError) || error.code !== ResultCode.LogUnavailable) throw error
    printDiagnostic(`${error.code} ${error.message}; comparing offsets among the entries instead`)
    return undefined
  }
}

/** Queries the status of the given entries and those that they know of. Fails only if none responds. */
export const showStatus = async (context: OperationContext, { isJson }: { isJson: boolean }): Promise<OperationResult> => {
  const responses = await queryFleetStatus(requireEntries(context.settings))
  requireAnyResponse(responses)
  const entries = assessEntries(responses, await readLastAcceptedOffset(context))
  context.print(isJson ? JSON.stringify(entries, null, 2) : formatStatus(entries))
  return { code: ResultCode.Ok }
}
