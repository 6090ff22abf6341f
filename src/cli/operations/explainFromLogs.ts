import { readFileSync } from 'node:fs'
import { BaobabdriftError, ResultCode } from '../../core/index.js'
import type { OperationContext, OperationResult } from './types.js'

/** One structured line of a process; only the fields that every line has are named. */
interface LogLine {
  time: number
  process: string
  event: string
  requestId?: string
  callerAttemptId?: string
}

const HEADER_FIELDS: ReadonlySet<string> = new Set(['level', 'time', 'process', 'event', 'requestId', 'callerAttemptId'])

/** Collected files may have text before each line's JSON, such as a host and a time; other lines are passed over. */
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
  const inputs = Object.entries(line).filter(([name]) => !HEADER_FIELDS.has(name)).map(([name, value]) => `${name}=${JSON.stringify(value)}`)
  return `${String(line.time - firstMs).padStart(6)} ms  ${line.process}  ${line.event}  ${inputs.join(' ')}`.trimEnd()
}

/** First line of each run of a process. */
const START_EVENT = 'process-started'

interface PlacedLine {
  line: LogLine
  /** Process, run of the process and request: a process that starts again counts its requests anew. */
  life: string
}

const placeInRuns = (lines: readonly LogLine[]): PlacedLine[] => {
  const runs = new Map<string, number>()
  return [...lines].sort((a, b) => a.time - b.time).map(line => {
    const run = (runs.get(line.process) ?? 0) + Number(line.event === START_EVENT)
    runs.set(line.process, run)
    return { line, life: `${line.process} ${run} ${line.requestId}` }
  })
}

/**
 * Prints the life of a request over all processes in order of time, from collected log files.
 *
 * @example
 * explainFromLogs(context, ['entry.log'], '9c41d07be2a35f68')
 * @throws BaobabdriftError with NotFound if no line names the id
 */
export const explainFromLogs = ({ print }: Pick<OperationContext, 'print'>, files: readonly string[], id: string): OperationResult => {
  const lines = files.flatMap(file => readFileSync(file, 'utf8').split('\n')).flatMap(text => parseLine(text) ?? [])
  const placed = placeInRuns(lines)
  const lives = new Set(placed
    .filter(({ line }) => line.requestId !== undefined && (line.callerAttemptId === id || line.requestId === id))
    .map(({ life }) => life))
  const found = placed.filter(({ life }) => lives.has(life)).map(({ line }) => line)
  if (found.length === 0) throw new BaobabdriftError(ResultCode.NotFound, `no log line names request ${id}`)
  for (const line of found) print(formatLine(line, found[0]!.time))
  return { code: ResultCode.Ok }
}
