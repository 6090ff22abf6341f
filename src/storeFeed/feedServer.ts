import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { type Clock, comparePositions, type LogPosition } from '../core/index.js'
import type { EntryAddress } from '../peers/index.js'
import { Topic } from './constants.js'
import { encodePage, FeedPath } from './feedCodec.js'
import type { TopicTask } from './topicTask.js'

const OK = 200
const NOT_FOUND = 404
const GONE = 410
const UNAVAILABLE = 503
/** Bounds the time that a process may ask this one to hold its call. */
const WAIT_MAX_MS = 30_000

export interface FeedServerOptions {
  /** Listens on the control address; peer reports use the same port number over UDP. */
  server: Server
  clock: Clock
  topics: Record<Topic, Pick<TopicTask, 'follower' | 'records'>>
  /** Ready entries of a zone, this one included. */
  entriesOf: (zone: string) => readonly EntryAddress[]
  onFault: (reason: string) => void
}

/** Server from which other processes get the store's records as this process has read them. */
export interface FeedServer {
  /** Responds to the calls that wait for records of a topic. */
  notify (topic: Topic): void
  close (): void
}

interface WaitingCall { topic: Topic, respond: () => void }

const isTopic = (name: string | null): name is Topic => Object.values<string | null>(Topic).includes(name)

/**
 * Serves the calls that reach a server, and closes it at the end.
 *
 * @example
 * const feed = startFeedServer({ server, clock, topics, entriesOf, onFault })
 */
export const startFeedServer = ({ server, clock, topics, entriesOf, onFault }: FeedServerOptions): FeedServer => {
  const waiting = new Set<WaitingCall>()

  const respond = (response: ServerResponse, status: number, body: string | Buffer = '') => {
    response.writeHead(status, { 'content-length': Buffer.byteLength(body) })
    response.end(body)
  }

  const sinceRecoveryMs = (topic: Topic) => {
    const { recoveredAtMs } = topics[topic].follower
    return recoveredAtMs === undefined ? undefined : Math.round(clock.nowMs() - recoveredAtMs)
  }

  const list = (response: ServerResponse, topic: Topic, end: LogPosition) =>
    respond(response, OK, encodePage({ records: topics[topic].records.state(), end, sinceRecoveryMs: sinceRecoveryMs(topic) }))

  /** A process that has read a later era gets the lower end, so that it asks another source. */
  const respondWithRecords = (response: ServerResponse, topic: Topic, from: LogPosition) => {
    const { records } = topics[topic]
    const end = records.end!
    const found = from.era > end.era ? [] : records.recordsFrom(from)
    if (found === undefined) respond(response, GONE)
    else respond(response, OK, encodePage({ records: found, end, sinceRecoveryMs: sinceRecoveryMs(topic) }))
  }

  const read = (response: ServerResponse, topic: Topic, from: LogPosition, waitMs: number) => {
    const { records } = topics[topic]
    const hasNews = comparePositions(from, records.end!) < 0 || records.recordsFrom(from) === undefined
    if (hasNews || waitMs === 0) return respondWithRecords(response, topic, from)
    const call: WaitingCall = {
      topic,
      respond: () => {
        clearTimeout(timer)
        waiting.delete(call)
        respondWithRecords(response, topic, from)
      }
    }
    const timer = setTimeout(call.respond, Math.min(waitMs, WAIT_MAX_MS))
    waiting.add(call)
    response.on('close', () => {
      clearTimeout(timer)
      waiting.delete(call)
    })
  }

  const handlers: Record<FeedPath, (response: ServerResponse, query: URLSearchParams) => void> = {
    [FeedPath.Records]: (response, query) => {
      const topic = query.get('topic')
      if (!isTopic(topic)) return respond(response, NOT_FOUND)
      const { end } = topics[topic].records
      if (end === undefined) return respond(response, UNAVAILABLE)
      const from = query.get('from')
      if (from === null) list(response, topic, end)
      else read(response, topic, { era: Number(query.get('era')) || 0, offset: Number(from) || 0 }, Number(query.get('wait_ms')) || 0)
    },
    [FeedPath.Entries]: (response, query) => respond(response, OK, JSON.stringify(entriesOf(query.get('zone') ?? '')))
  }

  const serve = ({ url = '/' }: IncomingMessage, response: ServerResponse) => {
    const [path = '/', search = ''] = url.split('?', 2)
    if (Object.hasOwn(handlers, path)) handlers[path as FeedPath](response, new URLSearchParams(search))
    else respond(response, NOT_FOUND)
  }

  server.on('request', serve)
  server.on('error', error => onFault(error.message))

  return {
    notify: topic => {
      for (const call of [...waiting]) if (call.topic === topic) call.respond()
    },
    close: () => {
      for (const call of [...waiting]) call.respond()
      server.close()
      server.closeAllConnections()
    }
  }
}
