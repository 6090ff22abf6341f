import { BaobabdriftError, type Clock, ResultCode } from '../core/index.js'
import type { EntryAddress } from '../peers/index.js'
import { ConnectionUse, createHttpCaller, type HttpCaller, NoResponseError } from '../upstreams/index.js'
import type { Topic } from './constants.js'
import { decodeEntryAddresses, decodePage, FeedPath } from './feedCodec.js'
import type { RecordCall, TopicPort } from './types.js'

const OK = 200
const GONE = 410
const CONNECT_TIMEOUT_MS = 200

/** The entry no longer keeps the records at the requested offset. */
class RecordsDroppedError extends BaobabdriftError {
  constructor () {
    super(ResultCode.LogUnavailable, 'the entry no longer keeps the records at the requested offset')
  }
}

/** Calls to the entries that pass on the store's records. */
export interface FeedClient {
  /** Port to a topic at an entry. */
  portOf (topic: Topic, address: string): TopicPort
  /** Ready entries of a zone, as known to an entry. Rejects if that entry does not respond. */
  fetchEntries (address: string, zone: string, timeoutMs: number): Promise<EntryAddress[]>
}

/**
 * Creates the client of one process.
 *
 * @example
 * createFeedClient({ clock }).portOf(Topic.Workers, '10.1.0.40:8229').list(1_500)
 */
export const createFeedClient = ({ clock }: { clock: Clock }): FeedClient => {
  const callers = new Map<string, HttpCaller>()

  const callerOf = (address: string): HttpCaller => {
    const caller = callers.get(address) ?? createHttpCaller({ address, clock, connectTimeoutMs: CONNECT_TIMEOUT_MS })
    callers.set(address, caller)
    return caller
  }

  const get = (address: string, path: string, timeoutMs: number, use: ConnectionUse = ConnectionUse.Reuse): RecordCall => {
    const { answer, abort } = callerOf(address).call({ method: 'GET', path, timeoutMs, use })
    const result = answer.then(({ status, body }) => {
      if (status === GONE) throw new RecordsDroppedError()
      if (status !== OK) throw new Error(`status ${status} from entry ${address}`)
      return decodePage(body)
    })
    return { result, abort }
  }

  return {
    portOf: (topic, address) => ({
      list: (timeoutMs, use) => get(address, `${FeedPath.Records}?topic=${topic}`, timeoutMs, use),
      read: ({ era, offset }, waitMs, timeoutMs, use) =>
        get(address, `${FeedPath.Records}?topic=${topic}&era=${era}&from=${offset}&wait_ms=${waitMs}`, timeoutMs, use),
      isRecordsExpired: error => error instanceof RecordsDroppedError,
      isSilence: error => error instanceof NoResponseError
    }),
    fetchEntries: async (address, zone, timeoutMs) => {
      const { status, body } = await callerOf(address).call({ method: 'GET', path: `${FeedPath.Entries}?zone=${encodeURIComponent(zone)}`, timeoutMs }).answer
      if (status !== OK) throw new Error(`status ${status} from entry ${address}`)
      return decodeEntryAddresses(body)
    }
  }
}
