import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { KeyedRecord } from '../../configuration/index.js'
import type { Clock, Random } from '../../core/index.js'
import { parseAddress } from '../../membership/index.js'
import { createHttpCaller, type HttpCaller } from '../../upstreams/index.js'
import type { PeerStatePort } from '../knowledge/index.js'

/** A record as sent between peers; the value is base64. */
interface WireRecord { key: string, value: string, offset: number }

const PATH_PREFIX = '/state/'
const OK = 200
const UNAVAILABLE = 503
const CONNECT_TIMEOUT_MS = 200

const encode = (records: readonly KeyedRecord[]): string => JSON.stringify(records.map(({ key, value, offset }): WireRecord =>
  ({ key, value: Buffer.from(value ?? []).toString('base64'), offset })))

const isWireRecord = (value: unknown): value is WireRecord => {
  const { key, value: content, offset } = (value ?? {}) as Partial<WireRecord>
  return typeof key === 'string' && typeof content === 'string' && Number.isInteger(offset)
}

const decode = (body: Buffer): KeyedRecord[] => {
  const records: unknown = JSON.parse(body.toString('utf8'))
  if (!Array.isArray(records) || !records.every(isWireRecord)) throw new TypeError('response with the state of a topic is malformed')
  return records.map(({ key, value, offset }) => ({ key, value: Buffer.from(value, 'base64'), offset }))
}

/**
 * Creates a client that fetches the state of a topic from a live peer, chosen at random for each call.
 *
 * @example
 * const records = await createPeerStateClient({ clock, random, addresses }).fetch('workers', 250)
 */
export const createPeerStateClient = (
  { clock, random, addresses }: { clock: Clock, random: Random, addresses: () => readonly string[] }
): PeerStatePort => {
  const callers = new Map<string, HttpCaller>()
  return {
    fetch: async (topic, timeoutMs) => {
      const [address] = random.shuffle([...addresses()])
      if (address === undefined) return undefined
      const caller = callers.get(address) ?? createHttpCaller({ address, clock, connectTimeoutMs: CONNECT_TIMEOUT_MS })
      callers.set(address, caller)
      const { status, body } = await caller.call({ method: 'GET', path: `${PATH_PREFIX}${topic}`, timeoutMs }).answer
      if (status !== OK) throw new Error(`status ${status} from peer ${address} for the state of topic ${topic}`)
      return decode(body)
    }
  }
}

export interface PeerStateServerOptions {
  /** `ip:port`; peer reports use the same port number over UDP. */
  address: string
  /** Latest record of each key of a topic; undefined if the state is not known. */
  stateOf: (topic: string) => readonly KeyedRecord[] | undefined
  onFault: (reason: string) => void
}

/**
 * Starts the HTTP server from which peers fetch the state of the store's topics as known to this process.
 * Returns a function that closes the server.
 *
 * @throws TypeError if the address is not an IP address with a port
 * @example
 * const close = startPeerStateServer({ address: '10.1.0.40:8229', stateOf: knowledge.stateOf, onFault })
 */
export const startPeerStateServer = ({ address, stateOf, onFault }: PeerStateServerOptions): (() => void) => {
  const ownAddress = parseAddress(address)
  if (ownAddress === undefined) throw new TypeError(`not an IP address and port: ${address}`)
  const serve = ({ url = '/' }: IncomingMessage, response: ServerResponse) => {
    const records = url.startsWith(PATH_PREFIX) ? stateOf(url.slice(PATH_PREFIX.length)) : undefined
    const body = records === undefined ? '' : encode(records)
    response.writeHead(records === undefined ? UNAVAILABLE : OK, {
      'content-length': Buffer.byteLength(body), 'content-type': 'application/json'
    })
    response.end(body)
  }
  const server = createServer(serve)
  server.on('error', error => onFault(error.message))
  server.listen(ownAddress.port, ownAddress.host)
  return () => {
    server.close()
    server.closeAllConnections()
  }
}
