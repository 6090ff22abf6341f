import { connect, type Socket } from 'node:net'

/** What one caller of a crowd does on its connection; it never throws when the connection is closed. */
export type CallerScript = (caller: CrowdCaller) => Promise<void>

export interface CrowdCaller {
  readonly index: number
  readonly isClosed: boolean
  /** Writes bytes and waits until the operating system has taken them, or the connection has closed. */
  write (bytes: Uint8Array | string): Promise<void>
  /** Stops reading what the entry sends. */
  stopReading (): void
}

export interface CallerCrowd {
  /** Resolves when each caller has ended its script; their connections stay open. */
  readonly done: Promise<void>
  close (): void
}

const WRITE_WAIT_MAX_MS = 4_000

const startCaller = (address: string, index: number): { caller: CrowdCaller, socket: Socket } => {
  const [host, port] = address.split(':')
  const socket = connect({ host: host!, port: Number(port), noDelay: true })
  let isClosed = false
  const onClosed = new Set<() => void>()
  socket.on('error', () => {})
  socket.on('close', () => {
    isClosed = true
    onClosed.forEach(resolve => resolve())
  })
  socket.resume()
  return {
    socket,
    caller: {
      index,
      get isClosed () { return isClosed },
      write: bytes => new Promise(resolve => {
        const finish = () => {
          clearTimeout(timer)
          onClosed.delete(finish)
          resolve()
        }
        // An entry may stop reading; its caller then keeps the connection open.
        const timer = setTimeout(finish, WRITE_WAIT_MAX_MS)
        if (isClosed) return finish()
        onClosed.add(finish)
        socket.write(bytes, finish)
      }),
      stopReading: () => { socket.pause() }
    }
  }
}

/**
 * Opens the connections of a crowd and runs the script on each of them at once.
 *
 * @example
 * const crowd = startCallerCrowd(address, 40, sendMostOfBody)
 * await crowd.done
 */
export const startCallerCrowd = (address: string, count: number, script: CallerScript): CallerCrowd => {
  const callers = Array.from({ length: count }, (_, index) => startCaller(address, index))
  return {
    done: Promise.all(callers.map(({ caller }) => script(caller))).then(() => {}),
    close: () => { callers.forEach(({ socket }) => socket.destroy()) }
  }
}

const chunkOf = (bytes: Uint8Array): Buffer =>
  Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from('\r\n')])

/** Sends a chunked body of this size in chunks of 64 KiB without its end. */
export const sendLargeChunks = (head: string, bodyBytes: number): CallerScript => async caller => {
  const chunk = chunkOf(Buffer.alloc(64 * 1024, 'a'))
  await caller.write(`${head}Transfer-Encoding: chunked\r\n\r\n`)
  for (let sent = 0; sent < bodyBytes && !caller.isClosed; sent += 64 * 1024) await caller.write(chunk)
}

/** Sends a body in chunks of one byte without its end, many chunks in each write. */
export const sendTinyChunks = (head: string, chunkCount: number): CallerScript => async caller => {
  const perWrite = 5_000
  const chunks = '1\r\na\r\n'.repeat(perWrite)
  await caller.write(`${head}Transfer-Encoding: chunked\r\n\r\n`)
  for (let sent = 0; sent < chunkCount && !caller.isClosed; sent += perWrite) await caller.write(chunks)
}

/** Sends a body in chunks of one byte without its end, each chunk in a write of its own, so that it is read by itself. */
export const sendTinyChunksApart = (head: string, chunkCount: number): CallerScript => async caller => {
  await caller.write(`${head}Transfer-Encoding: chunked\r\n\r\n`)
  for (let sent = 0; sent < chunkCount && !caller.isClosed; sent++) await caller.write('1\r\na\r\n')
}

/** Announces a body by its length and sends a part of it. */
export const sendAnnounced = (head: string, announcedBytes: number, sentBytes: number): CallerScript => async caller => {
  const part = Buffer.alloc(64 * 1024, 'a')
  await caller.write(`${head}Content-Length: ${announcedBytes}\r\n\r\n`)
  for (let sent = 0; sent < sentBytes && !caller.isClosed; sent += part.length) {
    await caller.write(part.subarray(0, Math.min(part.length, sentBytes - sent)))
  }
}

/** Sends a whole request, or several at once, and never reads a response. */
export const sendWithoutReading = (request: string): CallerScript => async caller => {
  caller.stopReading()
  await caller.write(request)
}

/** Sends most of a head and stays open. */
export const sendPartialHead = (head: string, headBytes: number): CallerScript => async caller => {
  await caller.write(`${head}X-Fill: ${'a'.repeat(headBytes)}`)
}
