import { EventEmitter } from 'node:events'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { beforeEach, describe, expect, it } from 'vitest'
import { PARSED_BYTES_PER_TURN, ReadPause } from './constants.js'
import { createPacedReading, type PacedReading } from './createPacedReading.js'

/** Stand-in for a socket that records whether it is read. */
class ReadableStandIn extends EventEmitter {
  isPaused = false
  unread: Buffer[] = []
  pause () {
    this.isPaused = true
    return this
  }

  resume () {
    this.isPaused = false
    return this
  }

  read () { return this.unread.shift() ?? null }
}

describe('a paced reading', () => {
  let socket: ReadableStandIn
  let parsed: number[]
  let reading: PacedReading

  beforeEach(() => {
    socket = new ReadableStandIn()
    parsed = []
    reading = createPacedReading({ socket: socket as never, parse: bytes => { parsed.push(bytes.length) } })
  })

  const receive = (bytes: number) => { socket.emit('data', Buffer.alloc(bytes)) }

  it('parses what fits into one turn at once', () => {
    receive(PARSED_BYTES_PER_TURN)
    expect([parsed, socket.isPaused, reading.hasUnparsed]).toEqual([[PARSED_BYTES_PER_TURN], false, false])
  })

  // Guards against a response in tiny parts for which all other connections wait.
  it('parses a large read over several turns, and reads no more meanwhile', async () => {
    receive(2 * PARSED_BYTES_PER_TURN + 1)
    expect([parsed.length, socket.isPaused]).toEqual([1, true])
    await nextTurn()
    expect([parsed.length, socket.isPaused]).toEqual([2, true])
    await nextTurn()
    expect([parsed, socket.isPaused]).toEqual([[PARSED_BYTES_PER_TURN, PARSED_BYTES_PER_TURN, 1], false])
  })

  it('goes on only when nobody holds it back any more', async () => {
    receive(2 * PARSED_BYTES_PER_TURN)
    reading.setPaused(ReadPause.Caller, true)
    reading.setPaused(ReadPause.Unhandled, true)
    await nextTurn()
    reading.setPaused(ReadPause.Caller, false)
    await nextTurn()
    expect([parsed.length, socket.isPaused]).toEqual([1, true])
    reading.setPaused(ReadPause.Unhandled, false)
    await nextTurn()
    expect([parsed.length, socket.isPaused]).toEqual([2, false])
  })

  it('parses what was received before the connection was lost', () => {
    receive(2 * PARSED_BYTES_PER_TURN)
    socket.unread.push(Buffer.alloc(5))
    reading.flush()
    expect(parsed).toEqual([PARSED_BYTES_PER_TURN, PARSED_BYTES_PER_TURN, 5])
  })

  it('forgets everything when it is reset', async () => {
    receive(2 * PARSED_BYTES_PER_TURN)
    reading.reset()
    await nextTurn()
    expect([parsed.length, socket.isPaused, reading.hasUnparsed]).toEqual([1, false, false])
  })
})
