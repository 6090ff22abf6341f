import { expect, it } from 'vitest'
import { createManualClock } from '../core/index.js'
import { createRecentAnswers, RECENT_ANSWERS_MAX } from './recentAnswers.js'

const SURVIVAL_MS = 400

const start = () => {
  const clock = createManualClock(0)
  const recent = createRecentAnswers({ clock, survivalMs: SURVIVAL_MS })
  return { clock, recent, add: (runId: string) => recent.add(runId, { parts: [`part/m/${runId}`], sentAtMs: 0 }) }
}

it('proves an answer once its worker has lived on for long enough', () => {
  const { clock, recent, add } = start()
  add('a')
  clock.advance(SURVIVAL_MS / 2)
  add('b')
  expect(recent.takeProven()).toEqual([])
  clock.advance(SURVIVAL_MS / 2)
  expect(recent.takeProven().map(({ runId, answeredAtMs }) => [runId, answeredAtMs])).toEqual([['a', 0]])
  clock.advance(SURVIVAL_MS)
  expect(recent.takeProven().map(({ runId }) => runId)).toEqual(['b'])
})

it('gives out the answers of a run that has ended before, and forgets them', () => {
  const { clock, recent, add } = start()
  for (const runId of ['a', 'b', 'a']) add(runId)
  expect(recent.takeOf('a')).toHaveLength(2)
  clock.advance(SURVIVAL_MS)
  expect(recent.takeProven().map(({ runId }) => runId)).toEqual(['b'])
})

it('keeps a bounded number of answers', () => {
  const { clock, recent, add } = start()
  for (let at = 0; at <= RECENT_ANSWERS_MAX; at++) add(String(at))
  clock.advance(SURVIVAL_MS)
  expect(recent.takeProven()).toHaveLength(RECENT_ANSWERS_MAX)
})
