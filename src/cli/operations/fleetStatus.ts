import { BaobabdriftError, ResultCode } from '../../core/index.js'
import { requireEntries } from '../cliSettings.js'
import { askFleetStatus, type EntryAnswer, type EntryStatus, requireAnswer } from '../entriesClient.js'
import { formatTable } from '../formatRows.js'
import { withSession } from '../withSession.js'
import type { OperationContext, OperationResult } from './types.js'

const ENTRY_HEADER = ['ENTRY', 'DOMAIN', 'ADDRESS', 'OFFSET', 'STATE', 'REQUESTS', 'LINKED AGENTS', 'SHARDS']
const AGENT_HEADER = ['AGENT', 'DOMAIN', 'POOL']

/** One entry as `status` shows it. */
export interface AssessedEntry {
  address: string
  answer?: EntryStatus | undefined
  fault?: string | undefined
  /** Edits' offsets that the entry is behind; 0 for an entry that did not answer. */
  lag: number
}

/**
 * Compares the offset of each entry with the offset of the last accepted edit. Without a log the
 * highest offset among the entries takes its place; that may exceed the last accepted edit's,
 * because an entry that started from a snapshot stands at the snapshot's offset.
 *
 * @example
 * assessEntries(answers, 12).filter(({ lag }) => lag > 0)
 */
export const assessEntries = (answers: readonly EntryAnswer<EntryStatus>[], lastAcceptedOffset?: number): AssessedEntry[] => {
  const highest = Math.max(0, ...answers.map(({ answer }) => answer?.configurationOffset ?? 0))
  const reference = lastAcceptedOffset ?? highest
  return answers.map(({ address, answer, fault }) => ({
    address, answer, fault, lag: answer === undefined ? 0 : Math.max(0, reference - answer.configurationOffset)
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
  const own = answer.entries.find(({ nodeId }) => nodeId === answer.nodeId)
  const numbers = [answer.liveRequests, answer.linkedAgents, answer.ownedShards].map(String)
  return [answer.nodeId, own?.failureDomain ?? '-', address, String(answer.configurationOffset), stateOf(entry), ...numbers]
}

/** Agents that at least one entry knows, each once. */
const agentRows = (entries: readonly AssessedEntry[]): string[][] => {
  const agents = new Map(entries.flatMap(({ answer }) => answer?.agents ?? []).map(agent => [agent.nodeId, agent]))
  return [...agents.values()]
    .sort((a, b) => a.nodeId.localeCompare(b.nodeId))
    .map(({ nodeId, failureDomain, pool }) => [nodeId, failureDomain, pool ?? '-'])
}

/** The status as text for people. */
export const formatStatus = (entries: readonly AssessedEntry[]): string => {
  const limits = entries.flatMap(({ answer }) =>
    answer?.limits === undefined ? [] : [`limits at ${answer.nodeId}: ${JSON.stringify(answer.limits)}`])
  return [
    formatTable([ENTRY_HEADER, ...entries.map(entryRow)]),
    formatTable([AGENT_HEADER, ...agentRows(entries)]),
    ...limits
  ].join('\n\n')
}

const readLastAcceptedOffset = async ({ settings, note }: OperationContext): Promise<number | undefined> => {
  if (settings.logUrl === undefined) return undefined
  try {
    return await withSession(settings, async session => Math.max(0, ...session.versions().map(({ offset }) => offset)))
  } catch (error) {
    if (!(error instanceof BaobabdriftError) || error.code !== ResultCode.LogUnavailable) throw error
    note(`${error.code} ${error.message}; offsets are compared among the entries`)
    return undefined
  }
}

/** Asks the given entries, and those they know, for their status. Fails only if none answers. */
export const showStatus = async (context: OperationContext, { isJson }: { isJson: boolean }): Promise<OperationResult> => {
  const answers = await askFleetStatus(requireEntries(context.settings))
  requireAnswer(answers)
  const entries = assessEntries(answers, await readLastAcceptedOffset(context))
  context.print(isJson ? JSON.stringify(entries, null, 2) : formatStatus(entries))
  return { code: ResultCode.Ok }
}
