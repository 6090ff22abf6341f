import { createTask, dispatch, type HandlerTable } from '../../core/index.js'
import { type EventLog, LogEvent, logTaskFailure } from '../../observe/index.js'
import { DatagramContent, type PeerDatagram } from '../../peers/index.js'
import {
  createWorkerLimits, LIMITS_TICK_MS, type WorkerLimits, type WorkerLimitsEffect, WorkerLimitsEffectKind, type WorkerLimitsMessage,
  WorkerLimitsMessageKind, type WorkerLimitsOptions
} from '../../workerLimits/index.js'

export interface WorkerLimitsTaskOptions extends WorkerLimitsOptions {
  log: EventLog
  /** Sends a datagram to the control address of another entry. */
  send: (address: string, datagram: PeerDatagram) => void
  /** Called when a response to this entry has changed a limit, which the other entries need to know. */
  onLimitHeard: () => void
  /** Called when waiting requests may be placed. */
  onPermitsChanged: () => void
}

/** The task that shares the limits of workers with the other entries. */
export interface WorkerLimitsTask {
  readonly limits: WorkerLimits
  post (message: WorkerLimitsMessage): void
  stop (): void
}

/**
 * Starts the task.
 *
 * @example
 * const task = startWorkerLimitsTask({ clock, random, ownNodeId, entries, isWorkerKnown, log, send, onLimitHeard, onPermitsChanged })
 * task.post({ kind: WorkerLimitsMessageKind.PermitWanted, worker })
 */
export const startWorkerLimitsTask = ({ log, send, onLimitHeard, onPermitsChanged, ...options }: WorkerLimitsTaskOptions): WorkerLimitsTask => {
  const limits = createWorkerLimits(options)

  const performers: HandlerTable<WorkerLimitsEffect, void> = {
    [WorkerLimitsEffectKind.SendRequest]: ({ address, request }) => send(address, { content: DatagramContent.PermitRequest, request }),
    [WorkerLimitsEffectKind.SendAnswer]: ({ address, answer }) => send(address, { content: DatagramContent.PermitAnswer, answer }),
    [WorkerLimitsEffectKind.LimitChanged]: ({ workerId, before, limitPerS, isHeard }) => {
      log(LogEvent.WorkerLimitChanged, { workerId, before, limitPerS, isHeard })
      if (isHeard) onLimitHeard()
    },
    [WorkerLimitsEffectKind.ColdChanged]: ({ workerId, service, coldLeftMs, permitsPerS }) =>
      log(coldLeftMs > 0 ? LogEvent.WorkerCold : LogEvent.WorkerWarm, { workerId, service, coldLeftMs: Math.round(coldLeftMs), permitsPerS }),
    [WorkerLimitsEffectKind.PermitsChanged]: onPermitsChanged
  }

  const task = createTask<WorkerLimitsMessage, WorkerLimitsEffect>({
    name: 'worker-limits', core: limits, perform: effect => dispatch(performers, effect), onFailure: logTaskFailure(log, 'worker-limits')
  })
  task.tickEvery(LIMITS_TICK_MS, () => ({ kind: WorkerLimitsMessageKind.Tick }))
  return { limits, post: message => { task.post(message) }, stop: () => task.stop() }
}
