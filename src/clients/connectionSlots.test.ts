import { expect, it } from 'vitest'
import { createConnectionSlots } from './connectionSlots.js'

it('starts what waits for a connection in order, as soon as one is released', () => {
  const started: number[] = []
  const slots = createConnectionSlots(2)
  for (const call of [1, 2, 3, 4]) slots.take(() => { started.push(call) })
  expect(started).toEqual([1, 2])
  slots.release()
  expect(started).toEqual([1, 2, 3])
  slots.release()
  slots.release()
  slots.release()
  slots.take(() => { started.push(5) })
  expect(started).toEqual([1, 2, 3, 4, 5])
})
