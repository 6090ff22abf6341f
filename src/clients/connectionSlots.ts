/** Bounds how many connections are used at once; what comes beyond that waits for its turn. */
export interface ConnectionSlots {
  /** Calls `start` once a slot is free; it must be released when its use has ended. */
  take (start: () => void): void
  release (): void
}

/**
 * Creates slots for a number of connections.
 *
 * @example
 * const slots = createConnectionSlots(256)
 * slots.take(() => pool.send(request, ConnectionUse.Reuse, event => { ... }))
 */
export const createConnectionSlots = (connectionsMax: number): ConnectionSlots => {
  const waiting: (() => void)[] = []
  let usedCount = 0

  return {
    take: start => {
      if (usedCount >= connectionsMax) {
        waiting.push(start)
        return
      }
      usedCount += 1
      start()
    },
    release: () => {
      const next = waiting.shift()
      if (next === undefined) usedCount -= 1
      else next()
    }
  }
}
