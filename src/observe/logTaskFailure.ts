import type { TaskFailure } from '../core/index.js'
import { type EventLog, LogEvent } from './createEventLog.js'

const kindOf = (value: unknown): unknown => (value as { kind?: unknown } | undefined)?.kind

/**
 * Returns a listener that logs the exceptions of a task, with the kinds of the message and the effect.
 *
 * @example
 * createTask({ name: 'peers', core, perform, onFailure: logTaskFailure(log, 'peers') })
 */
export const logTaskFailure = (log: EventLog, task: string) => ({ error, message, effect }: TaskFailure<unknown, unknown>): void => {
  log(LogEvent.InternalError, {
    task, message: kindOf(message), effect: kindOf(effect), reason: error instanceof Error ? error.stack ?? error.message : String(error)
  })
}
