import { createManualClock, type Clock, type TimestampMs } from '../../src/core/index.js'

interface Event {
  timeMs: TimestampMs
  sequence: number
  run: () => void
}

/** Event queue on virtual time: events run in time order, those at the same time in the order of scheduling. */
export interface EventQueue {
  clock: Clock
  /** Schedules `run` after `delayMs` of virtual time. */
  after (delayMs: number, run: () => void): void
  /** Schedules `run` every `intervalMs` until it returns false. */
  every (intervalMs: number, run: () => boolean | void): void
  /** Runs all events up to `timeMs` and sets the clock to it. */
  runUntil (timeMs: TimestampMs): void
  /** Runs events until none is left or the next one is after `limitMs`. */
  runToEnd (limitMs?: TimestampMs): void
  readonly pendingCount: number
}

/**
 * Creates a queue whose clock starts at `startMs`.
 *
 * @example
 * const queue = createEventQueue()
 * queue.after(5, () => deliver(message))
 * queue.runUntil(1_000)
 */
export const createEventQueue = (startMs: TimestampMs = 0): EventQueue => {
  const clock = createManualClock(startMs)
  const heap: Event[] = []
  let sequence = 0

  const isBefore = (a: Event, b: Event) =>
    a.timeMs < b.timeMs || (a.timeMs === b.timeMs && a.sequence < b.sequence)

  const push = (event: Event) => {
    let i = heap.length
    heap.push(event)
    while (i > 0) {
      const parent = (i - 1) >> 1
      if (!isBefore(event, heap[parent]!)) break
      heap[i] = heap[parent]!
      i = parent
    }
    heap[i] = event
  }

  const pop = (): Event | undefined => {
    const top = heap[0]
    const last = heap.pop()
    if (top === undefined || last === undefined || heap.length === 0) return top
    let i = 0
    for (;;) {
      let child = 2 * i + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child += 1
      if (!isBefore(heap[child]!, last)) break
      heap[i] = heap[child]!
      i = child
    }
    heap[i] = last
    return top
  }

  const after = (delayMs: number, run: () => void) => {
    push({ timeMs: clock.nowMs() + Math.max(0, delayMs), sequence: sequence++, run })
  }

  const every = (intervalMs: number, run: () => boolean | void) => {
    after(intervalMs, () => {
      if (run() !== false) every(intervalMs, run)
    })
  }

  const runUntil = (timeMs: TimestampMs) => {
    while (heap.length > 0 && heap[0]!.timeMs <= timeMs) {
      const event = pop()!
      clock.set(event.timeMs)
      event.run()
    }
    clock.set(timeMs)
  }

  const runToEnd = (limitMs = Number.MAX_SAFE_INTEGER) => {
    while (heap.length > 0 && heap[0]!.timeMs <= limitMs) {
      const event = pop()!
      clock.set(event.timeMs)
      event.run()
    }
  }

  return { clock, after, every, runUntil, runToEnd, get pendingCount () { return heap.length } }
}
