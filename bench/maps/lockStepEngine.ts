import type { EventQueue } from '../harness/index.js'

interface RankPosition {
  /** Step that the rank has begun or waits for. */
  step: number
  /** Map of the step it has begun; undefined while it waits or is down. */
  hash?: string
  requestedMs: number
}

/** Fake engine: a step ends when every rank has computed it; a rank then asks for the next one. */
export interface LockStepEngine {
  begin (rank: number, step: number, hash: string): void
  /** Abandons what the rank does and asks for a step. */
  resume (rank: number, step: number): void
  crash (rank: number): void
  /** Steps for which two live ranks used different maps. */
  readonly mixedSteps: number
  readonly completedSteps: number
  readonly lastStep: number
  /** Requests that were not answered at once, after the first completed step. */
  readonly stalledRequests: number
  /** Map of the last completed step. */
  readonly lastHash: string | undefined
}

/** Creates the engine of a group; `requestStep` asks a rank core whether a step may begin. */
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
  /** Changes with every interruption; the end of an interrupted step is ignored. */
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
