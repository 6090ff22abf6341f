import type { EventQueue } from '../harness/index.js'

/** One process of the fake world: it can crash, restart and stand still. */
export interface Host<State> {
  /** State of the present incarnation; undefined while the process is down. */
  readonly state: State | undefined
  /** Runs `act` in the process: at once, after a pause, or never if the process has ended by then. */
  act (act: (state: State) => void): void
  crash (restartMs?: number): void
  pause (durationMs: number): void
}

/**
 * Creates a process that is running.
 *
 * @example
 * const host = createHost(queue, incarnation => createState(incarnation))
 * host.act(state => state.handle(message))
 */
export const createHost = <State>(queue: EventQueue, start: (incarnation: number) => State): Host<State> => {
  let incarnation = 0
  let state: State | undefined = start(0)
  let resumeMs = 0
  let held: Array<(state: State) => void> = []

  const flush = () => {
    if (queue.clock.nowMs() < resumeMs) return
    const acts = held
    held = []
    for (const act of acts) if (state !== undefined) act(state)
  }

  return {
    get state () { return state },
    act: act => {
      if (state === undefined) return
      if (queue.clock.nowMs() < resumeMs) held.push(act)
      else act(state)
    },
    crash: restartMs => {
      state = undefined
      held = []
      resumeMs = 0
      if (restartMs === undefined) return
      queue.after(restartMs, () => {
        if (state === undefined) state = start(++incarnation)
      })
    },
    pause: durationMs => {
      if (state === undefined) return
      resumeMs = Math.max(resumeMs, queue.clock.nowMs() + durationMs)
      queue.after(durationMs, flush)
    }
  }
}
