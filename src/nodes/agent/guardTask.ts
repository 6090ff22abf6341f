import { type Clock, createTask, dispatch, type HandlerTable, type ResultCode, type Task } from '../../core/index.js'
import { FrameKind, type Frame } from '../../links/index.js'
import {
  type CrashGuardEffect, CrashGuardEffectKind, type CrashGuardMessage, CrashGuardMessageKind, createCrashGuard, NoticeKind,
  parseNotice
} from '../../quarantine/index.js'

const GUARD_TICK_MS = 250
const TASK_CAPACITY = 65_536

/** A run as the guard decides on it. */
export interface GuardedStart {
  runId: string
  fingerprint: string
  isSuspect: boolean
  isRepeatable: boolean
  /** Starts the run on the upstream; `isAlone` while nothing else may run there. */
  start: (isAlone: boolean) => void
  /** The upstream received nothing. */
  refuse: (code: ResultCode) => void
  /** Ends a run that has started, because a copy of it crashed another upstream. */
  cancel: (code: ResultCode) => void
}

export interface GuardTaskOptions {
  clock: Clock
  agentId: string
  incarnation: string
  /** Sends a frame to every linked entry. */
  broadcast: (frame: Frame) => void
}

/** Decides which runs may start on the agent's upstream, and what a crash says about them. */
export interface GuardTask {
  request (start: GuardedStart): void
  noteEnded (runId: string, succeeded: boolean): void
  noteDied (): void
  noteStarted (): void
  onNotice (frame: Frame): void
  stop (): void
}

/**
 * Creates the task of the crash guard.
 *
 * @example
 * const guard = createGuardTask({ clock, agentId, incarnation, broadcast })
 * guard.request({ runId, fingerprint, isSuspect: false, isRepeatable: true, start, refuse, cancel })
 */
export const createGuardTask = ({ clock, agentId, incarnation, broadcast }: GuardTaskOptions): GuardTask => {
  const starts = new Map<string, GuardedStart>()
  let crashCount = 0

  const take = (runId: string, use: (start: GuardedStart) => void) => {
    const start = starts.get(runId)
    if (start !== undefined) use(start)
  }

  const performers: HandlerTable<CrashGuardEffect, void> = {
    [CrashGuardEffectKind.Start]: ({ runId }) => take(runId, ({ start }) => start(false)),
    [CrashGuardEffectKind.StartAlone]: ({ runId }) => take(runId, ({ start }) => start(true)),
    [CrashGuardEffectKind.Refuse]: ({ runId, code, notice }) => take(runId, ({ refuse }) => {
      starts.delete(runId)
      // The entry must know the reason before it chooses again.
      if (notice !== undefined) broadcast({ kind: FrameKind.Notice, notice })
      refuse(code)
    }),
    [CrashGuardEffectKind.Cancel]: ({ runId, code }) => take(runId, ({ cancel }) => {
      starts.delete(runId)
      cancel(code)
    }),
    [CrashGuardEffectKind.NotifyEntries]: ({ notice }) => broadcast({ kind: FrameKind.Notice, notice })
  }

  const task: Task<CrashGuardMessage> = createTask({
    name: 'quarantine',
    core: createCrashGuard({ clock, upstreamId: agentId }),
    perform: effect => dispatch(performers, effect),
    capacity: TASK_CAPACITY
  })
  task.tickEvery(GUARD_TICK_MS, () => ({ kind: CrashGuardMessageKind.Tick }))

  return {
    request: start => {
      const { runId, fingerprint, isSuspect, isRepeatable } = start
      starts.set(runId, start)
      task.post({ kind: CrashGuardMessageKind.RunRequested, runId, fingerprint, isSuspect, isRepeatable })
    },
    noteEnded: (runId, succeeded) => {
      starts.delete(runId)
      task.post({ kind: CrashGuardMessageKind.RunEnded, runId, succeeded })
    },
    noteDied: () => {
      task.post({ kind: CrashGuardMessageKind.UpstreamDied, crashId: `${agentId}/${incarnation}/${crashCount++}` })
    },
    noteStarted: () => { task.post({ kind: CrashGuardMessageKind.UpstreamStarted }) },
    onNotice: frame => {
      const notice = parseNotice(frame.notice)
      task.post(notice.kind === NoticeKind.Suspects
        ? { kind: CrashGuardMessageKind.SuspectsReceived, notice }
        : { kind: CrashGuardMessageKind.VerdictReceived, notice })
    },
    stop: () => task.stop()
  }
}
