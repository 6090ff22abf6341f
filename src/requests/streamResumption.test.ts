import { describe, expect, it } from 'vitest'
import {
  CallerEnd, event, events, firstWorker, framedEnd, framedHead, openStreamScene, pause, readingResumed, refuse, reset, respond, respondWithStatus,
  STALL_MS, type SceneCaller, type Step, type StreamScene, type StreamSceneOptions, text, unframedEnd, unframedHead
} from '../standIns/streamScene.js'
import { UpstreamCheck } from '../upstreams/index.js'
import { AttemptEnd, type ForwardMessage, ForwardMessageKind } from './forwardTypes.js'

/** Callers abandon a stream after a gap of this length. */
const CALLER_GAP_MAX_MS = 2_000
/** A stream that waits for a place is not given up before this time after its last event. */
const PLACE_WAIT_MIN_MS = 1_200

const eventsUpTo = (last: number) => Array.from({ length: last }, (_, at) => event(at + 1)).join('')

/** What the caller has is a part of the stream from its beginning, and all of it if it looks complete. */
const expectSound = ({ body, headCount, end }: SceneCaller, whole: string) => {
  expect(whole.slice(0, body.length)).toBe(body)
  if (end === CallerEnd.Complete) expect(body).toBe(whole)
  expect(headCount).toBeLessThanOrEqual(1)
}
const lastEventIds = ({ sends }: StreamScene) => sends.map(send => send.lastEventId)

const FIRST_ENDS: [string, Step[], UpstreamCheck][] = [
  ['a reset', [framedHead, events(1, 2), reset], UpstreamCheck.Up],
  ['an end without framing and a crash', [unframedHead, events(1, 2), unframedEnd], UpstreamCheck.Down]
]

describe.each(FIRST_ENDS)('a stream that is resumed after its last event, after %s', (_what, first, check) => {
  // Guards against a good end that is shown as broken, as no event is left.
  it('is complete if the next worker states the end and has no event left', () => {
    const scene = openStreamScene({ check })
    expect(scene.playToEnd(first, [framedHead, framedEnd])).toMatchObject({ body: eventsUpTo(2), headCount: 1, end: CallerEnd.Complete })
    expect(lastEventIds(scene)).toEqual([undefined, '2'])
  })

  // Guards against a truncated stream that looks complete because its resumption failed.
  it.each<[string, Step[]]>([
    ['resets the connection before its head', [reset]],
    ['resets the connection after its head', [framedHead, reset]],
    ['resets the connection after a head without framing', [unframedHead, reset]],
    ['refuses it', [refuse, framedEnd]],
    ['fails', [respondWithStatus(500), text('error'), framedEnd]],
    ['no longer knows it', [respondWithStatus(404), text('error'), framedEnd]],
    ['answers with a body that is no stream', [respond({ isEventStream: false }), text('body'), framedEnd]],
    ['sends a head and nothing else until the deadline', [framedHead]],
    ['sends nothing until the deadline', []]
  ])('is broken off if every other worker %s', (_case, next) => {
    expect(openStreamScene({ check }).playToEnd(first, next)).toMatchObject({ body: eventsUpTo(2), headCount: 1, end: CallerEnd.Broken })
  })

  it.each<[string, Step[]]>([
    ['resets the connection', [framedHead, reset]],
    ['refuses it', [refuse, framedEnd]],
    ['fails', [respondWithStatus(500), text('error'), framedEnd]]
  ])('is resumed at a third worker if the second one %s', (_case, second) => {
    const scene = openStreamScene({ check })
    expect(scene.playToEnd(first, second, [framedHead, events(3), framedEnd])).toMatchObject({ body: eventsUpTo(3), end: CallerEnd.Complete })
    expect(lastEventIds(scene)).toEqual([undefined, '2', '2'])
  })
})

describe('a resumption that ends without framing', () => {
  // Guards against a good end that is shown as broken: each worker says that no event is left.
  it('is complete if it has no event left and its worker is up', () => {
    expect(openStreamScene().playToEnd([framedHead, events(1, 2), reset], [unframedHead, unframedEnd]))
      .toMatchObject({ body: eventsUpTo(2), headCount: 1, end: CallerEnd.Complete })
  })

  it.each([UpstreamCheck.Down, UpstreamCheck.Unknown])('is broken off if it has no event left and its worker is %s', check => {
    expect(openStreamScene({ check }).playToEnd([framedHead, events(1, 2), reset], [unframedHead, unframedEnd]))
      .toMatchObject({ body: eventsUpTo(2), end: CallerEnd.Broken })
  })

  // Guards against a stream whose second worker was cut off before its first event, which looks as if none were left.
  it('is broken off if it has no event left, its worker is up, and the end came after a silence', () => {
    expect(openStreamScene().playToEnd([framedHead, events(1, 2), reset], [unframedHead, pause(STALL_MS), unframedEnd]))
      .toMatchObject({ body: eventsUpTo(2), end: CallerEnd.Broken })
  })

  it('is complete after the remaining events if no further worker may be asked and its worker is up', () => {
    expect(openStreamScene({ attemptsMax: 2 }).playToEnd([framedHead, events(1, 2), reset], [unframedHead, events(3, 4), unframedEnd]))
      .toMatchObject({ body: eventsUpTo(4), headCount: 1, end: CallerEnd.Complete })
  })

  it.each([UpstreamCheck.Down, UpstreamCheck.Unknown])('is broken off after further events if no other worker may be asked and its worker is %s', check => {
    expect(openStreamScene({ attemptsMax: 2, check }).playToEnd([framedHead, events(1, 2), reset], [unframedHead, events(3, 4), unframedEnd]))
      .toMatchObject({ body: eventsUpTo(4), end: CallerEnd.Broken })
  })

  // Guards against a stream that ends as complete before its last event, as its worker cuts it off and accepts connections.
  it.each<[string, Step[], Step[]]>([
    ['in the first answer', [unframedHead, events(1, 2), unframedEnd], [framedHead, events(3), framedEnd]],
    ['in the second answer', [framedHead, events(1), reset], [unframedHead, events(2), unframedEnd]]
  ])('is resumed once more if it was cut off between two events while its worker is up, %s', (_what, first, second) => {
    const scene = openStreamScene()
    expect(scene.playToEnd(first, second, [framedHead, events(3), framedEnd])).toMatchObject({ body: eventsUpTo(3), end: CallerEnd.Complete })
    expect(lastEventIds(scene).slice(1)).toContain('2')
  })

  // Guards against an answer that is cut off among repeated events, and is taken for one that has no event left.
  it('is resumed once more if it was cut off before it came to an event that the caller does not have', () => {
    const scene = openStreamScene()
    expect(scene.playToEnd([framedHead, events(1, 2, 3), reset], [unframedHead, events(1, 2), unframedEnd], [framedHead, events(4, 5), framedEnd]))
      .toMatchObject({ body: eventsUpTo(5), end: CallerEnd.Complete })
    expect(lastEventIds(scene)).toEqual([undefined, '3', '3'])
  })

  // Guards against a request that crashes one worker after the other, as it is resumed before the crash is known.
  it('is resumed only after a check of its worker', () => {
    const scene = openStreamScene({ check: undefined })
    scene.play([unframedHead, events(1), unframedEnd])
    expect([scene.sends.length, scene.checkCount]).toEqual([1, 1])
    scene.finishChecks(UpstreamCheck.Down)
    expect([lastEventIds(scene), scene.attemptEnds]).toEqual([[undefined, '1'], [AttemptEnd.Lost]])
  })

  // Guards against workers that get no requests because they lost some, while they only gave no framing.
  it('is no lost attempt if its worker is up and the next one has no event left', () => {
    const scene = openStreamScene()
    expect(scene.playToEnd([unframedHead, events(1), unframedEnd], [framedHead, framedEnd]).end).toBe(CallerEnd.Complete)
    expect(scene.attemptEnds).not.toContain(AttemptEnd.Lost)
  })

  // Guards against a good stream that is broken off because it cannot be resumed.
  it.each<[string, StreamSceneOptions, Step[]]>([
    ['it may not be resumed', { isResumable: false }, [unframedEnd]],
    ['it has no attempt left', { attemptsMax: 1 }, [unframedEnd]],
    ['it has no retry left', { hasRetryBudget: false }, [unframedEnd]],
    ['its deadline is near', { timeoutMs: 1_000 }, [pause(450), events(3), pause(450), events(4), unframedEnd]]
  ])('is complete after an end without framing if its worker is up, without a silence, and %s', (_what, options, rest) => {
    const { caller, playToEnd, sends } = openStreamScene(options)
    expect(playToEnd([unframedHead, events(1, 2), ...rest])).toMatchObject({ headCount: 1, end: CallerEnd.Complete })
    expect([caller.body, sends.length]).toEqual([eventsUpTo(rest.length > 1 ? 4 : 2), 1])
  })

  it('is complete after an end without framing if the next worker has no event left', () => {
    for (const next of [[framedHead, framedEnd], [unframedHead, unframedEnd]]) {
      expect(openStreamScene().playToEnd([unframedHead, events(1, 2), unframedEnd], next)).toMatchObject({ body: eventsUpTo(2), headCount: 1, end: CallerEnd.Complete })
    }
  })

  // Guards against work that stalls behind a lost worker and is cut off, which looks like an end.
  it.each([
    ['a stream that may not be resumed', { isResumable: false }],
    ['a stream without an attempt left', { attemptsMax: 1 }],
    ['a stream without a retry left', { hasRetryBudget: false }]
  ])('is broken off after a silence although its worker is up: %s', (_what, options) => {
    expect(openStreamScene(options).playToEnd([unframedHead, events(1), pause(STALL_MS), unframedEnd])).toMatchObject({ body: eventsUpTo(1), end: CallerEnd.Broken })
  })

  // Guards against the check of a worker that was found up before it crashed.
  it('is not complete by a check that began before it', () => {
    const scene = openStreamScene({ isResumable: false, check: undefined })
    scene.play([unframedHead, events(1)])
    scene.post({ kind: ForwardMessageKind.ConnectionClosedEarly, worker: firstWorker })
    scene.post(unframedEnd(scene.sends[0]!.exchangeId) as ForwardMessage)
    scene.finishChecks(UpstreamCheck.Up, 1)
    expect(scene.caller.end).not.toBe(CallerEnd.Complete)
    scene.finishChecks(UpstreamCheck.Down)
    expect(scene.caller.end).toBe(CallerEnd.Broken)
  })
})

describe('the events of a resumed stream', () => {
  it('come once if the next worker repeats some that the caller has', () => {
    expect(openStreamScene().playToEnd([framedHead, events(1, 2, 3), reset], [framedHead, events(2), events(3, 4), framedEnd]))
      .toMatchObject({ body: eventsUpTo(4), end: CallerEnd.Complete })
  })

  it('come once if the next worker goes back or repeats an event within its answer', () => {
    expect(openStreamScene().playToEnd([framedHead, events(1, 2), reset], [framedHead, events(3, 3, 2), events(3), events(4), framedEnd]))
      .toMatchObject({ body: eventsUpTo(4), end: CallerEnd.Complete })
  })

  // Guards against a stream in which a piece is missing.
  it('do not go on after a gap as if none were missing', () => {
    expectSound(openStreamScene().playToEnd([framedHead, events(1, 2, 3, 4), reset], [framedHead, events(6, 7), framedEnd]), eventsUpTo(7))
  })

  // Guards against a gap seen in ids that never were consecutive.
  it('go on if their ids have steps', () => {
    expect(openStreamScene().playToEnd([framedHead, events(10, 20), reset], [framedHead, events(30, 45), framedEnd]))
      .toMatchObject({ body: [10, 20, 30, 45].map(event).join(''), end: CallerEnd.Complete })
  })

  it('go on after an id that is no number', () => {
    const scene = openStreamScene()
    expect(scene.playToEnd([framedHead, events('a', 'b'), reset], [framedHead, events('c'), framedEnd]))
      .toMatchObject({ body: ['a', 'b', 'c'].map(event).join(''), end: CallerEnd.Complete })
    expect(lastEventIds(scene)).toEqual([undefined, 'b'])
  })

  it('do not come twice if their ids are no numbers', () => {
    expectSound(openStreamScene().playToEnd([framedHead, events('a', 'b'), reset], [framedHead, events('a', 'b', 'c'), framedEnd]), ['a', 'b', 'c'].map(event).join(''))
  })

  // Guards against pieces of two runs that are joined: without an id the next worker begins at the first event.
  it('do not come twice if they have no ids', () => {
    const unnamed = (...names: string[]) => names.map(name => `data: ${name}\n\n`).join('')
    expectSound(openStreamScene().playToEnd([framedHead, text(unnamed('a', 'b')), reset], [framedHead, text(unnamed('a', 'b', 'c')), framedEnd]), unnamed('a', 'b', 'c'))
  })

  it('do not come twice if the last of them has no id', () => {
    const unnamed = 'data: unnamed\n\n'
    expectSound(
      openStreamScene().playToEnd([framedHead, text(event(1) + unnamed), reset], [framedHead, text(unnamed + event(2)), framedEnd]),
      event(1) + unnamed + event(2)
    )
  })

  it('do not go on with events without ids, whose place is unknown', () => {
    const unnamed = (id: number) => `data: e${id}\n\n`
    expectSound(
      openStreamScene().playToEnd([framedHead, events(1, 2), reset], [framedHead, text(unnamed(1) + unnamed(2) + unnamed(3)), framedEnd]),
      eventsUpTo(2) + unnamed(3)
    )
  })

  it('go on after a comment, which is no event', () => {
    const comment = ': still working\n\n'
    expect(openStreamScene().playToEnd([framedHead, text(event(1) + comment), reset], [framedHead, events(2), framedEnd]))
      .toMatchObject({ body: event(1) + comment + event(2), end: CallerEnd.Complete })
  })

  // Guards against an event that is dropped as a repeated one, also in a stream that is never resumed.
  it.each([
    ['ids beyond the integers of a double', event('9007199254740992') + event('9007199254740993') + event('9007199254740994')],
    ['an empty id', `${event(1)}id:\ndata: b\n\n${event(2)}`]
  ])('all come: %s', (_what, whole) => {
    expect(openStreamScene().playToEnd([framedHead, text(whole), framedEnd])).toMatchObject({ body: whole, end: CallerEnd.Complete })
  })

  // Guards against the half of an event in front of the whole one.
  it.each<[string, Step]>([['a reset', reset], ['an end without framing', unframedEnd], ['a framed end', framedEnd]])(
    'come whole after %s inside an event, also at the second worker', (_what, brokenEnd) => {
      const scene = openStreamScene()
      const first = [unframedHead, text(`${event(1)}id: 2\nda`), brokenEnd]
      const second = [unframedHead, text(`${event(2)}id: 3\r\ndata: e3\r\n\r`), brokenEnd]
      expect(scene.playToEnd(first, second, [framedHead, events(3, 4), framedEnd])).toMatchObject({ body: eventsUpTo(4), headCount: 1, end: CallerEnd.Complete })
      expect(lastEventIds(scene)).toEqual([undefined, '1', '2'])
    })

  it('come whole if not even the first one was complete', () => {
    const scene = openStreamScene()
    expect(scene.playToEnd([unframedHead, text('id: 1\nda'), unframedEnd], [framedHead, events(1, 2), framedEnd])).toMatchObject({ body: eventsUpTo(2), headCount: 1, end: CallerEnd.Complete })
    expect(lastEventIds(scene)).toEqual([undefined, undefined])
  })
})

describe('a stream that cannot be resumed now', () => {
  const first = [framedHead, events(1, 2), reset]

  it.each<[string, StreamSceneOptions]>([
    ['the retry budget is spent', { hasRetryBudget: false }],
    ['its route allows one worker', { attemptsMax: 1 }],
    ['its route allows no resumption', { isResumable: false }]
  ])('is broken off at once if %s', (_what, options) => {
    const scene = openStreamScene(options)
    expect(scene.playToEnd(first)).toMatchObject({ body: eventsUpTo(2), end: CallerEnd.Broken, endedAtMs: 0 })
    expect(scene.sends).toHaveLength(1)
  })

  it('is broken off once the workers that its route allows have lost it', () => {
    const scene = openStreamScene({ attemptsMax: 2 })
    expect(scene.playToEnd(first, [framedHead, events(3), reset])).toMatchObject({ body: eventsUpTo(3), end: CallerEnd.Broken })
    expect(scene.sends).toHaveLength(2)
  })

  it('is broken off at once if its deadline is near', () => {
    const scene = openStreamScene({ timeoutMs: 1_000 })
    expect(scene.playToEnd([framedHead, events(1), pause(900), reset])).toMatchObject({ body: eventsUpTo(1), end: CallerEnd.Broken, endedAtMs: 900 })
    expect(scene.sends).toHaveLength(1)
  })

  // Guards against a stream that is given up while its caller would still wait for it.
  it('waits for a place as long as its caller does, and takes one retry', () => {
    const scene = openStreamScene({ hasPlace: nowMs => nowMs >= 1_300 })
    const lost = [framedHead, events(1), pause(800), reset]
    expect(scene.playToEnd(lost, [framedHead, events(2), framedEnd])).toMatchObject({ body: eventsUpTo(2), end: CallerEnd.Complete })
    expect(scene.takenRetries).toBe(1)
  })

  it('is broken off without a place before its caller abandons it, counted from its last event', () => {
    const { caller, playToEnd } = openStreamScene({ hasPlace: () => false })
    playToEnd([framedHead, events(1), pause(300), events(2), pause(800), reset])
    expect(caller).toMatchObject({ body: eventsUpTo(2), end: CallerEnd.Broken })
    const waitedMs = caller.endedAtMs! - 300
    expect(waitedMs).toBeGreaterThanOrEqual(PLACE_WAIT_MIN_MS)
    expect(waitedMs).toBeLessThan(CALLER_GAP_MAX_MS)
  })

  it('is broken off without a place soon if its worker was lost late', () => {
    const { caller, playToEnd } = openStreamScene({ hasPlace: () => false })
    playToEnd([framedHead, events(1), pause(1_600), reset])
    expect(caller.end).toBe(CallerEnd.Broken)
    expect(caller.endedAtMs).toBeLessThan(CALLER_GAP_MAX_MS)
  })

  it('is broken off without a place after an end without framing if its worker is down', () => {
    expect(openStreamScene({ hasPlace: () => false, check: UpstreamCheck.Down }).playToEnd([unframedHead, events(1), unframedEnd]))
      .toMatchObject({ body: eventsUpTo(1), end: CallerEnd.Broken })
  })

  it('waits for a place no longer than until its deadline', () => {
    const { caller, playToEnd } = openStreamScene({ hasPlace: () => false, timeoutMs: 600 })
    playToEnd([framedHead, events(1), reset])
    expect(caller.end).toBe(CallerEnd.Broken)
    expect(caller.endedAtMs).toBeLessThanOrEqual(600)
  })
})

// Guards against a stream that looks complete because its entry stops.
describe('a stream whose entry stops', () => {
  it('is resumed while the stop leaves time', () => {
    expect(openStreamScene({ isStopping: true }).playToEnd([framedHead, events(1), reset], [framedHead, events(2), framedEnd]))
      .toMatchObject({ body: eventsUpTo(2), end: CallerEnd.Complete })
  })

  it('is broken off at the exit while it waits for a place', () => {
    const { caller, sends, play, post, passTime } = openStreamScene({ hasPlace: nowMs => nowMs > 0 })
    play([framedHead, events(1), reset])
    post({ kind: ForwardMessageKind.ProcessExits })
    expect(caller).toMatchObject({ body: eventsUpTo(1), end: CallerEnd.Broken })
    passTime(100)
    expect(sends).toHaveLength(1)
  })

  it('is broken off at the exit while a further worker answers', () => {
    const { caller, play, post } = openStreamScene()
    play([framedHead, events(1), reset], [framedHead, events(2)])
    post({ kind: ForwardMessageKind.ProcessExits })
    expect(caller).toMatchObject({ body: eventsUpTo(2), end: CallerEnd.Broken })
  })

  it.each<[string, StreamSceneOptions, Step[]]>([
    ['the first answer', { isResumable: false }, [unframedHead, events(1), unframedEnd]],
    ['the answer of a lost worker', {}, [framedHead, events(1), reset]],
    ['an answer without events', {}, [unframedHead, unframedEnd]]
  ])('is no complete one at the exit while a worker is checked after %s', (_what, options, first) => {
    const { caller, finishChecks, sends, play, post } = openStreamScene({ ...options, check: undefined })
    play(first)
    post({ kind: ForwardMessageKind.ProcessExits })
    const { end } = caller
    expect([CallerEnd.Broken, CallerEnd.Refused]).toContain(end)
    finishChecks(UpstreamCheck.Up)
    expect([caller.end, sends.length]).toEqual([end, 1])
  })
})

describe('a stream that its caller resumes', () => {
  const RESUMED = { lastEventId: '2' }

  it('is complete and empty after its last event if the worker states the end', () => {
    const scene = openStreamScene(RESUMED)
    expect(scene.playToEnd([framedHead, framedEnd])).toMatchObject({ body: '', headCount: 1, end: CallerEnd.Complete })
    expect(lastEventIds(scene)).toEqual(['2'])
  })

  // Guards against a caller that has all events and never learns so.
  it('is complete and empty after its last event if no worker frames its answer', () => {
    expect(openStreamScene(RESUMED).playToEnd([unframedHead, unframedEnd])).toMatchObject({ body: '', headCount: 1, end: CallerEnd.Complete })
  })

  it.each([UpstreamCheck.Down, UpstreamCheck.Unknown])('is not complete if the workers that send no event and no framing are %s', check => {
    expect(openStreamScene({ ...RESUMED, check }).playToEnd([unframedHead, unframedEnd]).end).toBe(CallerEnd.Refused)
  })

  it('is not complete if the workers cut it off before its first event', () => {
    expect(openStreamScene(RESUMED).playToEnd([unframedHead, pause(STALL_MS), unframedEnd]).end).toBe(CallerEnd.Refused)
  })

  it.each<[string, Step[], (string | undefined)[]]>([
    ['without framing', [unframedHead, events(3, 4), unframedEnd], ['2', '4']],
    ['with a reset', [framedHead, events(3, 4), reset], ['2', '4']],
    ['without framing after an event that the caller has', [unframedHead, events(2, 3, 4), unframedEnd], ['2', '4']]
  ])('is resumed in turn if its worker ends %s', (_what, first, sentIds) => {
    const scene = openStreamScene(RESUMED)
    expect(scene.playToEnd(first, [framedHead, events(5), framedEnd])).toMatchObject({ body: [3, 4, 5].map(event).join(''), headCount: 1, end: CallerEnd.Complete })
    expect(lastEventIds(scene)).toEqual(sentIds)
  })
})

describe('a stream whose worker states the end', () => {
  // Guards against callers of good streams that wait for a check or for another worker.
  it.each<[string, Step[]]>([
    ['after its last event', [framedHead, events(1, 2), framedEnd]],
    ['after a silence', [framedHead, events(1, 2), pause(STALL_MS), framedEnd]]
  ])('ends at once, without a check or a further worker, %s', (_what, answer) => {
    const scene = openStreamScene({ check: undefined, hasPlace: () => false })
    expect(scene.play(answer)).toMatchObject({ body: eventsUpTo(2), end: CallerEnd.Complete })
    expect([scene.sends.length, scene.checkCount]).toEqual([1, 0])
  })

  it('ends at once in a resumption, too', () => {
    const scene = openStreamScene()
    expect(scene.play([framedHead, events(1), reset], [framedHead, events(2), framedEnd])).toMatchObject({ body: eventsUpTo(2), end: CallerEnd.Complete, endedAtMs: 0 })
    expect(scene.sends).toHaveLength(2)
  })
})

describe('a stream whose caller reads slowly', () => {
  // Guards against the pause of a caller that is taken for the silence of a worker, so that a good stream is broken off.
  it.each<[string, Step[]]>([
    ['before further events', [pause(STALL_MS + 100), readingResumed, events(2), unframedEnd]],
    ['before the end', [events(2), pause(STALL_MS + 100), readingResumed, unframedEnd]]
  ])('is complete after an end without framing if its worker is up and the pause was %s', (_what, rest) => {
    expect(openStreamScene({ isResumable: false }).playToEnd([unframedHead, events(1), ...rest])).toMatchObject({ body: eventsUpTo(2), end: CallerEnd.Complete })
  })

  // Guards against the silence of a worker that is hidden by an earlier pause of the caller.
  it('is broken off after a silence of its worker that follows the pause', () => {
    expect(openStreamScene({ isResumable: false }).playToEnd([unframedHead, events(1), pause(100), readingResumed, pause(STALL_MS), unframedEnd]))
      .toMatchObject({ body: eventsUpTo(1), end: CallerEnd.Broken })
  })
})
