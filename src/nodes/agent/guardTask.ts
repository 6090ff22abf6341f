import { type Clock, createTask, dispatch, type HandlerTable, type ResultCode, type Task } from '../../core/index.js'
import { FrameKind, type Frame } from '../../links/index.js'
import {
  type CrashGuardEffect, CrashGuardEffectKind, type CrashGuardMessage, CrashGuardMessageKind, createCrashGuard, NoticeKind,
  parseNotice
} from '../../quarantine/index.js'

const GUARD_TICK_MS = 250
const TASK_CAPACITY = 65_536

/** Request to start a run, with the callbacks for the guard's decision. */
export interface GuardedStart {
  runId: string
  fingerprint: string
  isSuspect: boolean
  isRepeatable: boolean
  /** Starts the run on the upstream; with `isAlone`, no other run may start there until it ends. */
  start: (isAlone: boolean) => void
  /** Refuses the run; nothing was sent to the upstream. */
  refuse: (code: ResultCode) => void
  /** Cancels a started run, because the same request crashed another upstream. */
  cancel: (code: ResultCode) => void
}

export interface GuardTaskOptions {
  clock: Clock
  agentId: string
  incarnation: string
  /** Sends a frame to every linked entry. */
  broadcast: (frame: Frame) => void
}

/** Decides which runs may start on the agent's upstream, and which are suspected after a crash. */
export interface GuardTask {
  request (start: GuardedStart): void
  recordEnd (runId: string, succeeded: boolean): void
  onUpstreamDied (): void
  onUpstreamStarted (): void
  onNotice (frame: Frame): void
  stop (): void
}

/**
 * Creates the crash guard task of one agent.
 *
 * @example
 * const guard = createGuardTask({ clock, agentId, incarnation, broadcast })
 * guard.request({ runId, fingerprint, isSuspect: false, isRepeatable: true, start, refuse, cancel })
 */
export const createGuardTask = ({ clock, agentId, incarnation, broadcast }: GuardTaskOptions): GuardTask => {
  const starts = new Map<string, GuardedStart>()
  let crashCount = 0

  const withStart = (runId: string, action: (start: GuardedStart) => void) => {
    const start = starts.get(runId)
    if (start !== undefined) action(start)
  }

  const performers: HandlerTable<CrashGuardEffect, void> = {
    [CrashGuardEffectKind.Start]: ({ runId }) => withStart(runId, ({ start }) => start(false)),
    [CrashGuardEffectKind.StartAlone]: ({ runId }) => withStart(runId, ({ start }) => start(true)),
    [CrashGuardEffectKind.Refuse]: ({ runId, code, notice }) => withStart(runId, ({ refuse }) => {
      starts.delete(runId)
      // The entry must have the reason before it chooses another upstream.
      if (notice !== undefined) broadcast({ kind: FrameKind.Notice, notice })
      refuse(code)
    }),
    [CrashGuardEffectKind.Cancel]: ({ runId, code }) => withStart(runId, ({ cancel }) => {
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
    recordEnd: (runId, succeeded) => {
      starts.delete(runId)
      task.post({ kind: CrashGuardMessageKind.RunEnded, runId, succeeded })
    },
    onUpstreamDied: () => {
      task.post({ kind: CrashGuardMessageKind.UpstreamDied, crashId: `${agentId}/${incarnation}/${crashCount++}` })
    },
    onUpstreamStarted: () => { task.post({ kind: CrashGuardMessageKind.UpstreamStarted }) },
    onNotice: frame => {
      const notice = parseNotice(frame.notice)
      task.post(notice.kind === NoticeKind.Suspects
        ? { kind: CrashGuardMessageKind.SuspectsReceived, notice }
        : { kind: CrashGuardMessageKind.VerdictReceived, notice })
    },
    stop: () => task.stop()
  }
}
