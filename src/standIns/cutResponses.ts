import type { Socket } from 'node:net'

/** What a stand-in does with the rest of a request once it answers. */
export enum UploadReading {
  /** It reads on while it answers. */
  Continued = 'continued',
  /** It reads no more. */
  Stopped = 'stopped',
  /** It answers when all of it has been read. */
  Finished = 'finished'
}

/** How a stand-in cuts the connection of a response. */
export enum ConnectionCut {
  /** It closes its side, and keeps the connection until the other side closes. */
  End = 'end',
  Reset = 'reset',
  /** It closes its side, and resets the connection some milliseconds later. */
  EndThenReset = 'end-then-reset'
}

/** Time between the end of a connection and its reset. */
const RESET_DELAY_MS = 5

const CUTS: Record<ConnectionCut, (socket: Socket) => void> = {
  [ConnectionCut.End]: socket => { socket.end() },
  [ConnectionCut.Reset]: socket => { socket.resetAndDestroy() },
  [ConnectionCut.EndThenReset]: socket => {
    socket.end()
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS)
  }
}

export interface CutResponse {
  /** What is sent of the response, one character a byte. */
  part: string
  cut: ConnectionCut
  /** Time between the part and the cut; with 0 the cut follows at once. */
  delayMs: number
}

/**
 * Sends a part of a response and cuts its connection.
 *
 * @example
 * sendCutResponse(socket, { part: 'HTTP/1.1 200 OK\r\n\r\nans', cut: ConnectionCut.Reset, delayMs: 0 })
 */
export const sendCutResponse = (socket: Socket, { part, cut, delayMs }: CutResponse): void => {
  socket.write(Buffer.from(part, 'latin1'))
  if (delayMs === 0) CUTS[cut](socket)
  else setTimeout(() => CUTS[cut](socket), delayMs)
}

const READINGS: Record<UploadReading, (socket: Socket, uploadBytes: number, respond: () => void) => void> = {
  [UploadReading.Continued]: (socket, _uploadBytes, respond) => {
    socket.resume()
    respond()
  },
  [UploadReading.Stopped]: (socket, _uploadBytes, respond) => {
    socket.pause()
    respond()
  },
  [UploadReading.Finished]: (socket, uploadBytes, respond) => {
    let missingBytes = uploadBytes
    const onData = (bytes: Buffer) => {
      missingBytes -= bytes.length
      if (missingBytes > 0) return
      socket.off('data', onData)
      respond()
    }
    socket.on('data', onData)
    onData(Buffer.alloc(0))
  }
}

/**
 * Reads the rest of a request in one of three ways, and responds.
 *
 * @example
 * readUpload(socket, UploadReading.Stopped, missingBytes, () => socket.end(response))
 */
export const readUpload = (socket: Socket, reading: UploadReading, uploadBytes: number, respond: () => void): void =>
  READINGS[reading](socket, uploadBytes, respond)
