import type { Socket } from 'node:net'
import { PARSED_BYTES_PER_TURN, ReadPause } from './constants.js'

/** Reading of one socket, in parts that are small enough for the other connections to get their turn. */
export interface PacedReading {
  /** Stops reading, or continues once nobody holds it back any more. */
  setPaused (pause: ReadPause, isPaused: boolean): void
  /** Whether a part of the last read has not been parsed yet. */
  readonly hasUnparsed: boolean
  readonly unparsed: Buffer | undefined
  /** Parses at once what was received before the connection was lost. */
  flush (): void
  /** Forgets what was read, and who holds the reading back. */
  reset (): void
}

export interface PacedReadingOptions {
  socket: Pick<Socket, 'on' | 'off' | 'pause' | 'resume' | 'read'>
  parse: (bytes: Buffer) => void
}

/**
 * Starts to read a socket. What one read has brought is parsed over several turns of the event loop, and no more is read
 * meanwhile.
 *
 * @example
 * const reading = createPacedReading({ socket, parse: bytes => reader.read(bytes) })
 * reading.setPaused(ReadPause.Caller, true)
 */
export const createPacedReading = ({ socket, parse }: PacedReadingOptions): PacedReading => {
  const pauses = new Set<ReadPause>()
  let unparsed: Buffer | undefined
  let isScheduled = false

  const isHeldBack = () => pauses.has(ReadPause.Caller) || pauses.has(ReadPause.Unhandled)

  const scheduleNext = () => {
    if (isScheduled) return
    isScheduled = true
    setImmediate(() => {
      isScheduled = false
      if (!isHeldBack()) parseNext()
    })
  }

  const pause = (reason: ReadPause) => {
    pauses.add(reason)
    socket.pause()
  }

  const unpause = (reason: ReadPause) => {
    if (!pauses.delete(reason)) return
    if (isHeldBack()) return
    if (unparsed !== undefined) scheduleNext()
    else if (pauses.size === 0) socket.resume()
  }

  const parseNext = () => {
    if (unparsed === undefined) return
    const bytes = unparsed
    unparsed = bytes.length > PARSED_BYTES_PER_TURN ? bytes.subarray(PARSED_BYTES_PER_TURN) : undefined
    parse(bytes.subarray(0, PARSED_BYTES_PER_TURN))
    if (unparsed === undefined) return unpause(ReadPause.Unparsed)
    pause(ReadPause.Unparsed)
    if (!isHeldBack()) scheduleNext()
  }

  const onData = (bytes: Buffer) => {
    unparsed = bytes
    parseNext()
  }
  socket.on('data', onData)

  return {
    setPaused: (reason, isPaused) => isPaused ? pause(reason) : unpause(reason),
    get hasUnparsed () { return unparsed !== undefined },
    get unparsed () { return unparsed },
    flush: () => {
      // Otherwise a read would pass the bytes on, too.
      socket.off('data', onData)
      for (let bytes: Buffer | null = unparsed ?? socket.read(); bytes !== null; bytes = socket.read()) {
        unparsed = undefined
        parse(bytes)
      }
    },
    reset: () => {
      unparsed = undefined
      if (pauses.size === 0) return
      pauses.clear()
      socket.resume()
    }
  }
}
