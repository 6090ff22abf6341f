import { expect, it } from 'vitest'
import { createTask, type TaskFailure } from './task.js'

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
