import { beforeEach, describe, expect, it } from 'vitest'
import { type CallerTable, createCallerTable } from './createCallerTable.js'

type Sink = (text: string) => void

describe('callers that wait for a response', () => {
  let received: string[]
  let undelivered: string[]
  let callers: CallerTable<Sink>
  const sink: Sink = text => { received.push(text) }
  const brokenSink: Sink = () => { throw new Error('broken') }

  beforeEach(() => {
    received = []
    undelivered = []
    callers = createCallerTable<Sink>({ fail: failed => failed('failed'), onUndelivered: requestId => { undelivered.push(requestId) } })
  })

  it('get the parts of their response, and nothing after its end', () => {
    callers.add('r', sink)
    callers.deliver('r', to => to('part'))
    callers.finish('r', to => to('end'))
    callers.deliver('r', to => to('late'))
    expect(received).toEqual(['part', 'end'])
  })

  // Guards against a caller without an end, and against parts behind one that could not be written.
  it('get a failure instead of the rest of a response with a part that throws', () => {
    callers.add('r', sink)
    callers.deliver('r', () => { throw new Error('unexpected') })
    callers.finish('r', to => to('end'))
    expect([received, undelivered]).toEqual([['failed'], ['r']])
  })

  it('are removed even if their failure cannot be written', () => {
    callers.add('r', brokenSink)
    callers.finish('r', to => to('end'))
    expect(callers.remove('r')).toBe(false)
    expect(undelivered).toEqual(['r', 'r'])
  })

  it('fail if their request has ended without an end for them, but not while it waits to be handled', () => {
    for (const requestId of ['live', 'ended', 'queued']) callers.add(requestId, text => { received.push(`${requestId} ${text}`) })
    callers.take('live')
    callers.take('ended')
    callers.failOrphans(requestId => requestId === 'live')
    expect(received).toEqual(['ended failed'])
  })
})
