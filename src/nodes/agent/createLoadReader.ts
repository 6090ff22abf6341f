/**
 * Creates a reader of a value that changes from one reading to the next. Readings don't overlap, so that they arrive in the
 * order in which they were made, and each one that is returned begins after the call: an event before the call shows in it.
 * Calls that wait for the same reading share it.
 *
 * @example
 * const readLoad = createLoadReader(client.load)
 * const load = await readLoad()
 */
export const createLoadReader = <Value>(read: () => Promise<Value>): () => Promise<Value> => {
  let running: Promise<Value> | undefined
  let next: Promise<Value> | undefined

  const start = (): Promise<Value> => {
    next = undefined
    const reading = read().finally(() => { if (running === reading) running = undefined })
    running = reading
    return reading
  }

  return () => {
    if (next !== undefined) return next
    if (running === undefined) return start()
    next = running.then(start, start)
    return next
  }
}
