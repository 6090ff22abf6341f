import { readFileSync } from 'node:fs'
import { BaobabdriftError, ResultCode } from '../../core/index.js'
import type { OperationContext, OperationResult } from './types.js'

/** A structured log line; declares only the fields that this module reads. */
interface LogLine {
  time: number
  process: string
  event: string
  requestId?: string
  callerAttemptId?: string
}

const HEADER_FIELDS: ReadonlySet<string> = new Set(['level', 'time', 'process', 'event', 'requestId', 'callerAttemptId'])

/** Parses the JSON of a line after an optional prefix, such as host and time; other lines are ignored. */
const parseLine = (text: string): LogLine | undefined => {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const line = JSON.parse(text.slice(start)) as LogLine
    return typeof line.time === 'number' && typeof line.process === 'string' && typeof line.event === 'string' ? line : undefined
  } catch {
    return undefined
  }
}

const formatLine = (line: LogLine, firstMs: number): string => {
  const fields = Object.entries(line).filter(([name]) => !HEADER_FIELDS.has(name)).map(([name, value]) => `${name}=${JSON.stringify(value)}`)
  return `${String(line.time - firstMs).padStart(6)} ms  ${line.process}  ${line.event}  ${fields.join(' ')}`.trimEnd()
}

/** Event of the first line of each process run. */
const START_EVENT = 'process-started'

interface RequestLine {
  line: LogLine
  /** Process, process run and request id. A restarted process may count its requests from the start again. */
  requestKey: string
}

const assignRequestKeys = (lines: readonly LogLine[]): RequestLine[] => {
  const runs = new Map<string, number>()
  return [...lines].sort((a, b) => a.time - b.time).map(line => {
    const run = (runs.get(line.process) ?? 0) + Number(line.event === START_EVENT)
    runs.set(line.process, run)
    return { line, requestKey: `${line.process} ${run} ${line.requestId}` }
  })
}

/**
 * Prints the history of a request in chronological order, from collected log files of all processes.
 *
 * @example
 * explainFromLogs(context, ['entry.log'], '9c41d07be2a35f68')
 * @throws BaobabdriftError with NotFound if no line has the id
 */
export const explainFromLogs = ({ print }: Pick<OperationContext, 'print'>, files: readonly string[], id: string): OperationResult => {
  const lines = files.flatMap(file => readFileSync(file, 'utf8').split('\n')).flatMap(text => parseLine(text) ?? [])
  const requestLines = assignRequestKeys(lines)
  const matchingKeys = new Set(requestLines
    .filter(({ line }) => line.requestId !== undefined && (line.callerAttemptId === id || line.requestId === id))
    .map(({ requestKey }) => requestKey))
  const matchingLines = requestLines.filter(({ requestKey }) => matchingKeys.has(requestKey)).map(({ line }) => line)
  if (matchingLines.length === 0) throw new BaobabdriftError(ResultCode.NotFound, `no log line found for request ${id}`)
  for (const line of matchingLines) print(formatLine(line, matchingLines[0]!.time))
  return { code: ResultCode.Ok }
}
