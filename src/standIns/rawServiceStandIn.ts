import { createServer, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'

/** Answers one request on its socket, of which `received` has come so far; may write any bytes, close or reset the connection. */
export type RawScript = (socket: Socket, requestLine: string, received?: string) => void

/** A plain service that reports its load and answers all requests with the bytes of a script. */
export interface RawServiceStandIn {
  readonly url: string
  script: RawScript
  /** Requests for which the script was run. */
  readonly runCount: number
  /** Whether `/load` gets no answer, as at a process that is stopped, or behind a proxy without it. */
  isLoadSilent: boolean
  /** Closes all connections and accepts no more, as a crashed process does. */
  crash (): void
  /** Closes all connections and goes on in a new run, which counts its loads anew. */
  restart (): void
  close (): Promise<void>
}

const LOAD_PATH = 'GET /load '
/** A plain service has no cache events; its agent asks for them at each poll, and the script is for requests only. */
const CACHE_EVENTS_PATH = 'GET /cache-events'
const NOT_FOUND = 'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'

/**
 * Starts the stand-in on the loopback address.
 *
 * @example
 * const service = await startRawServiceStandIn((socket) => { socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok') })
 */
export const startRawServiceStandIn = async (script: RawScript): Promise<RawServiceStandIn> => {
  const sockets = new Set<Socket>()
  const current = { script, isLoadSilent: false }
  let sequence = 0
  let runCount = 0

  const answerLoad = (socket: Socket) => {
    const load = JSON.stringify({ sequence: ++sequence, madeAtMs: Date.now(), queuedTokens: 0, runningRequests: 0, tokensPerS: 10 })
    socket.write(`HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${load.length}\r\n\r\n${load}`)
  }

  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    socket.on('data', bytes => {
      const received = bytes.toString('latin1')
      const [line = ''] = received.split('\r\n', 1)
      if (line.startsWith(LOAD_PATH)) return current.isLoadSilent ? undefined : answerLoad(socket)
      if (line.startsWith(CACHE_EVENTS_PATH)) return socket.write(NOT_FOUND)
      if (!/^[A-Z]+ \/\S* HTTP\/1\.1$/.test(line)) return
      runCount += 1
      current.script(socket, line, received)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const closeSockets = () => sockets.forEach(socket => socket.destroy())
  const crash = () => {
    server.close()
    closeSockets()
  }
  return {
    url: `http://127.0.0.1:${port}`,
    get script () { return current.script },
    set script (next) { current.script = next },
    get runCount () { return runCount },
    get isLoadSilent () { return current.isLoadSilent },
    set isLoadSilent (next) { current.isLoadSilent = next },
    crash,
    restart: () => {
      sequence = 0
      closeSockets()
    },
    close: async () => {
      crash()
    }
  }
}
