import { expect, it } from 'vitest'
import { createExchangeBacklog, UNHANDLED_PARTS_MAX } from './exchangeBacklog.js'

// Guards against a response that fills the mailbox of the task because its upstream is faster than the task.
it('pauses an exchange that is ahead of the task until all of its parts have been handled', () => {
  const backlog = createExchangeBacklog()
  const pauses: boolean[] = []
  backlog.begin(1, isPaused => { pauses.push(isPaused) })
  backlog.begin(2, () => { throw new Error('the other exchange is not ahead') })
  for (let at = 0; at <= UNHANDLED_PARTS_MAX; at++) backlog.recordRead(1)
  backlog.recordRead(2)
  expect(pauses).toEqual([true])
  for (let at = 0; at < UNHANDLED_PARTS_MAX; at++) backlog.recordHandled(1)
  backlog.recordHandled(2)
  expect(pauses).toEqual([true])
  backlog.recordHandled(1)
  expect(pauses).toEqual([true, false])
})

it('ignores exchanges that have ended', () => {
  const backlog = createExchangeBacklog()
  backlog.begin(1, () => { throw new Error('the exchange has ended') })
  backlog.end(1)
  for (let at = 0; at <= UNHANDLED_PARTS_MAX; at++) backlog.recordRead(1)
  backlog.recordHandled(1)
})
