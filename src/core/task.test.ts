import { describe, expect, it } from 'vitest'
import { createTask, Lane, type TaskFailure } from './task.js'

const start = (handle: (message: string) => string[]) => {
  const performed: string[] = []
  const failures: TaskFailure<string, string>[] = []
  const task = createTask<string, string>({
    name: 'test',
    core: { handle },
    perform: effect => {
      if (effect.startsWith('bad')) throw new Error(effect)
      performed.push(effect)
    },
    onFailure: failure => { failures.push(failure) }
  })
  return { task, performed, failures }
}
const settled = () => new Promise(resolve => setImmediate(resolve))

// Guards against an exception in one effect that silently drops the effects behind it.
it('performs the other effects of a message after one that throws, and reports it', async () => {
  const { task, performed, failures } = start(message => [`${message} 1`, 'bad', `${message} 2`])
  task.post('a')
  task.post('b')
  await settled()
  expect(performed).toEqual(['a 1', 'a 2', 'b 1', 'b 2'])
  expect(failures).toMatchObject([{ message: 'a', effect: 'bad' }, { message: 'b', effect: 'bad' }])
})

it('handles further messages after one that the core fails at, and reports it', async () => {
  const { task, performed, failures } = start(message => {
    if (message === 'bad') throw new Error('core')
    return [message]
  })
  task.post('bad')
  task.post('a')
  await settled()
  expect(performed).toEqual(['a'])
  expect(failures).toMatchObject([{ message: 'bad', effect: undefined }])
})

describe('lanes', () => {
  const CAPACITY = 4

  const startLanes = () => {
    const handled: string[] = []
    const task = createTask<string, never>({
      name: 'test',
      core: {
        handle: message => {
          handled.push(message)
          return []
        }
      },
      perform: () => {},
      capacity: CAPACITY,
      laneOf: message => message.startsWith('part') ? Lane.Bulk : Lane.Control
    })
    return { task, handled }
  }

  // Guards against ticks and cancellations that get lost, or wait, behind a flood of other messages.
  it('keep messages of the other lane from being rejected or delayed when one is full', async () => {
    const { task, handled } = startLanes()
    const accepted = Array.from({ length: CAPACITY + 2 }, (_, at) => task.post(`part ${at}`))
    expect(accepted).toEqual([true, true, true, true, false, false])
    expect(task.post('cancel')).toBe(true)
    expect([task.queuedCount, task.overflowCount]).toEqual([CAPACITY + 1, 2])
    await settled()
    expect(handled).toEqual(['cancel', 'part 0', 'part 1', 'part 2', 'part 3'])
  })
})
