import type { EventQueue } from '../harness/index.js'

interface RankPosition {
  /** Step that the rank has begun or has requested. */
  step: number
  /** Hash of the map used in the current step; undefined while the rank waits or is down. */
  hash?: string
  requestedMs: number
}

/**
 * Fake engine of a group in lock-step: a step ends when every rank has computed it, then each rank requests
 * the next.
 */
export interface LockStepEngine {
  begin (rank: number, step: number, hash: string): void
  /** Abandons the current step of the rank and requests the given one. */
  resume (rank: number, step: number): void
  crash (rank: number): void
  /** Number of steps in which two live ranks used different maps. */
  readonly mixedSteps: number
  readonly completedSteps: number
  readonly lastStep: number
  /** Number of step requests that had to wait, after the first completed step. */
  readonly stalledRequests: number
  /** Hash of the map of the last completed step. */
  readonly lastHash: string | undefined
}

/** Creates the engine of a group; `requestStep` asks the rank's core for permission to begin a step. */
export const createLockStepEngine = ({ ranks, stepMs, queue, requestStep }: {
  ranks: number
  stepMs: number
  queue: EventQueue
  requestStep: (rank: number, step: number) => void
}): LockStepEngine => {
  const positions = Array.from({ length: ranks }, (): RankPosition => ({ step: 0, requestedMs: 0 }))
  const mixedStepNumbers = new Set<number>()
  let completedSteps = 0
  let lastStep = 0
  let stalledRequests = 0
  let lastHash: string | undefined
  /**
   * Incremented when a step ends or is interrupted, so that the pending end of an interrupted step is
   * ignored.
   */
  let generation = 0

  const request = (rank: number, step: number) => {
    positions[rank] = { step, requestedMs: queue.clock.nowMs() }
    requestStep(rank, step)
  }

  const complete = (step: number) => {
    completedSteps += 1
    lastStep = Math.max(lastStep, step)
    lastHash = positions[0]!.hash
    generation += 1
    for (let rank = 0; rank < ranks; rank++) positions[rank]!.hash = undefined
    for (let rank = 0; rank < ranks; rank++) request(rank, step + 1)
  }

  return {
    begin: (rank, step, hash) => {
      const position = positions[rank]!
      if (completedSteps > 0 && queue.clock.nowMs() > position.requestedMs) stalledRequests += 1
      position.step = step
      position.hash = hash
      const isMixed = positions.some(other => other.hash !== undefined && other.step === step && other.hash !== hash)
      if (isMixed) mixedStepNumbers.add(step)
      if (!positions.every(other => other.hash !== undefined && other.step === step)) return
      const startGeneration = generation
      queue.after(stepMs, () => {
        if (generation === startGeneration) complete(step)
      })
    },
    resume: (rank, step) => {
      generation += 1
      request(rank, step)
    },
    crash: rank => {
      generation += 1
      positions[rank] = { step: 0, requestedMs: 0 }
    },
    get mixedSteps () { return mixedStepNumbers.size },
    get completedSteps () { return completedSteps },
    get lastStep () { return lastStep },
    get stalledRequests () { return stalledRequests },
    get lastHash () { return lastHash }
  }
}
