import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { explainFromLogs } from './explainFromLogs.js'

const line = (fields: Record<string, unknown>) => JSON.stringify({ level: 30, ...fields })

describe('history of a request from collected logs', () => {
  let folder: string
  let file: string

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'baobabdrift-logs-'))
    file = join(folder, 'all.log')
    writeFileSync(file, [
      `12.5 entry-1 ${line({ time: 120, process: 'entry-1', event: 'attempt-ended', requestId: 'r7', end: 'lost' })}`,
      line({ time: 100, process: 'entry-1', event: 'request-admitted', requestId: 'r7', callerAttemptId: 'abc' }),
      line({ time: 110, process: 'entry-2', event: 'request-admitted', requestId: 'r7', callerAttemptId: 'other' }),
      'not a structured line {',
      line({ time: 200, process: 'entry-1', event: 'process-started' }),
      line({ time: 210, process: 'entry-1', event: 'request-admitted', requestId: 'r7', callerAttemptId: 'later' })
    ].join('\n'))
  })

  afterEach(() => rmSync(folder, { recursive: true }))

  const explain = (id: string): string[] => {
    const printed: string[] = []
    explainFromLogs({ print: text => { printed.push(text) } }, [file], id)
    return printed
  }

  // Guards against printing lines of another process, or of a later run of the same one, whose request counter
  // produced the same id.
  it('prints the lines of the process that received the request, in chronological order', () => {
    expect(explain('abc')).toEqual(['     0 ms  entry-1  request-admitted', '    20 ms  entry-1  attempt-ended  end="lost"'])
  })

  it('reports that no line has the id', () => {
    expect(() => explain('unknown')).toThrow('no log line found for request unknown')
  })
})
