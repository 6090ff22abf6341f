import { describe, expect, it } from 'vitest'
import { createEventSplitter, type EventSplitter } from './createEventSplitter.js'

const push = (splitter: EventSplitter, text: string) => {
  const { bytes, events } = splitter.push(Buffer.from(text))
  return events.map(({ start, end, id }) => [bytes.toString('latin1', start, end), id])
}
const STREAM = 'id: 1\ndata: a\n\n: note\n\nid:2\r\ndata: b\r\n\r\n\n\nid: 3\ndata: c\n\n'
const STREAM_EVENTS = [['id: 1\ndata: a\n\n', '1'], [': note\n\n', undefined], ['id:2\r\ndata: b\r\n\r\n', '2'], ['\n\nid: 3\ndata: c\n\n', '3']]

describe('an event splitter', () => {
  it.each([1, 2, 3, 7, 1_000])('finds the same events in pieces of %i bytes', size => {
    const splitter = createEventSplitter()
    const events = []
    for (let at = 0; at < STREAM.length; at += size) events.push(...push(splitter, STREAM.slice(at, at + size)))
    expect(events).toEqual(STREAM_EVENTS)
    expect([splitter.restBytes, splitter.hasPartialEvent]).toEqual([0, false])
  })

  // Guards against an object for each of the many empty events that one read can hold.
  it('takes blank lines alone for no event, and keeps them until one follows', () => {
    const splitter = createEventSplitter()
    expect(push(splitter, '\n\n'.repeat(1_000))).toEqual([])
    expect([splitter.restBytes, splitter.hasPartialEvent]).toEqual([2_000, false])
    expect(push(splitter, 'data: a\n\nda')).toEqual([['\n\n'.repeat(1_000) + 'data: a\n\n', undefined]])
    expect([splitter.restBytes, splitter.hasPartialEvent]).toEqual([2, true])
  })

  it('gives blank lines at the end of a stream back', () => {
    const splitter = createEventSplitter()
    push(splitter, 'data: a\n\n\n')
    expect(splitter.hasPartialEvent).toBe(false)
    expect(splitter.takeRest().toString()).toBe('\n')
    expect(splitter.restBytes).toBe(0)
  })

  it('hands out bytes that later ones do not change', () => {
    const splitter = createEventSplitter()
    push(splitter, 'data: ')
    const { bytes, events } = splitter.push(Buffer.from('first\n\ndata: '))
    push(splitter, 'second\n\n')
    expect(bytes.toString('latin1', 0, events[0]!.end)).toBe('data: first\n\n')
  })
})
