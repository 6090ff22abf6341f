import { describe, expect, it } from 'vitest'
import {
  CallerEnd, event, events, framedEnd, framedHead, openStreamScene, pause, reset, STALL_MS, type Step, text, unframedEnd, unframedHead
} from '../standIns/streamScene.js'
import { EVENT_BYTES_MAX } from './constants.js'

/** Callers abandon a stream after a gap of this length. */
const CALLER_GAP_MAX_MS = 2_000
const FIRST: Step[] = [unframedHead, events(1, 2, 3), unframedEnd]

describe('a stream that ended without framing at a run that lives, with one attempt left', () => {
  // Guards against a stream that is complete although its resumption showed that events are left.
  it.each<[string, Step[]]>([
    ['delivered an event and was lost', [framedHead, events(4), reset]],
    ['was lost inside the next event', [framedHead, text('id: 4\ndata: x'), reset]],
    ['ended without framing inside the next event', [unframedHead, text('id: 4\ndata: x'), unframedEnd]],
    ['began after a gap', [framedHead, events(5)]],
    ['began with an event without an id', [framedHead, text('data: x\n\n')]],
    ['began with an event that is too large', [framedHead, text(`id: 4\ndata: ${'x'.repeat(EVENT_BYTES_MAX)}`)]],
    ['had a head, and was cut off after a silence', [unframedHead, pause(STALL_MS), unframedEnd]],
    ['had a head, and was reset after a silence', [framedHead, pause(STALL_MS), reset]]
  ])('is broken off if its resumption %s', (_what, next) => {
    expect(openStreamScene({ attemptsMax: 2 }).playToEnd(FIRST, next).end).toBe(CallerEnd.Broken)
  })
})

// Guards against an empty answer that is taken for the end of a stream of which an event has begun.
it('a stream that was cut inside an event is not complete by empty answers without framing', () => {
  const first: Step[] = [framedHead, text(`${event(1)}id: 2\nda`), reset]
  expect(openStreamScene().playToEnd(first, [unframedHead, unframedEnd]).end).toBe(CallerEnd.Broken)
})

// Guards against a sound stream whose caller waits for a worker that does not answer.
it('a stream that may have ended is complete soon if the next worker does not answer', () => {
  const { caller, playToEnd } = openStreamScene()
  expect(playToEnd(FIRST, []).end).toBe(CallerEnd.Complete)
  expect(caller.endedAtMs).toBeLessThan(CALLER_GAP_MAX_MS)
})

// Guards against a caller that is told of an end after one answer that may have been cut off.
describe('a stream that its caller resumes, and whose first worker ends it without an event or framing', () => {
  it('goes on at the next worker', () => {
    const scene = openStreamScene({ lastEventId: '3' })
    expect(scene.playToEnd([unframedHead, unframedEnd], [framedHead, events(4), framedEnd])).toMatchObject({ body: event(4), headCount: 1, end: CallerEnd.Complete })
  })
  it('is complete if every worker only repeats the event that the caller has', () => {
    expect(openStreamScene({ lastEventId: '3' }).playToEnd([unframedHead, events(3), unframedEnd])).toMatchObject({ body: '', headCount: 1, end: CallerEnd.Complete })
  })
})
