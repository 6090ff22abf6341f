import type { EventQueue } from '../harness/index.js'

/** A simulated process that can crash, restart and pause. */
export interface FakeProcess<State> {
  /** State of the current incarnation; undefined while the process is down. */
  readonly state: State | undefined
  /** Runs `task` in the process at once or after the current pause; drops it if the process is down by then. */
  runTask (task: (state: State) => void): void
  crash (restartMs?: number): void
  pause (durationMs: number): void
}

/**
 * Creates a simulated process in the running state.
 *
 * @example
 * const fakeProcess = createFakeProcess(queue, incarnation => createState(incarnation))
 * fakeProcess.runTask(state => state.handle(message))
 */
export const createFakeProcess = <State>(queue: EventQueue, start: (incarnation: number) => State): FakeProcess<State> => {
  let incarnation = 0
  let state: State | undefined = start(0)
  let resumeMs = 0
  let deferred: Array<(state: State) => void> = []

  const runDeferred = () => {
    if (queue.clock.nowMs() < resumeMs) return
    const tasks = deferred
    deferred = []
    for (const task of tasks) if (state !== undefined) task(state)
  }

  return {
    get state () { return state },
    runTask: task => {
      if (state === undefined) return
      if (queue.clock.nowMs() < resumeMs) deferred.push(task)
      else task(state)
    },
    crash: restartMs => {
      state = undefined
      deferred = []
      resumeMs = 0
      if (restartMs === undefined) return
      queue.after(restartMs, () => {
        if (state === undefined) state = start(++incarnation)
      })
    },
    pause: durationMs => {
      if (state === undefined) return
      resumeMs = Math.max(resumeMs, queue.clock.nowMs() + durationMs)
      queue.after(durationMs, runDeferred)
    }
  }
}
