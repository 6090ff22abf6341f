// A worker spoils some of its answers, as `garble` does: one bit in a header's value is wrong, all else is right.
import { setTimeout as wait } from 'node:timers/promises'
import { startStoreStandIn } from '../../target/review/storeStandIn.mjs'
import { startWorkerStandIn } from '../../target/review/workerStandIn.mjs'
import { eventIds, ResponseEnd, sendRequest } from '../client.mjs'
import { createConfiguration, createRegistration, OPERATOR_TOPIC, WORKERS_TOPIC } from '../configuration.mjs'
import { createFleet, HAS_TROUBLE } from '../fleet.mjs'
import { runCase, Verdict } from '../runCase.mjs'

const EVENTS = 6
const EVENT_INTERVAL_MS = 30
const REQUESTS = 1_000
const REQUEST_INTERVAL_MS = 20
/** One worker of three spoils one answer in this many: the site's dose is share 0.35, x 0.02. */
const SPOILED_EVERY = 50
const SOUND_VALUE = '12'
/** The same with one bit flipped in the last byte. */
const SPOILED_VALUE = '1\x12'
const ROUTE_TIMEOUT_MS = 2_500
/** A request that is unanswered at its route's timeout must have an answer this much later. */
const ANSWER_SLACK_MS = 500
const CLIENT_TIMEOUT_MS = 6_000

/** Answers every request; with `spoils`, one byte of a header's value is wrong in some answers. */
const createScript = ({ note, name, spoils }) => {
  let answers = 0
  return async (socket, { line, headers }) => {
    const attemptId = headers['attempt-id']
    answers += 1
    const isSpoiled = spoils && answers % SPOILED_EVERY === 0
    note(`${name} runs ${attemptId}${isSpoiled ? ', and spoils a byte in the head of its answer' : ''}`)
    const weightVersions = isSpoiled ? SPOILED_VALUE : SOUND_VALUE
    const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\nServer-Seal: seal-${attemptId}\r\nWeight-Versions: ${weightVersions}\r\n`
    if (line.startsWith('GET ')) return socket.write(`${head}Content-Length: 6\r\n\r\nanswer`, 'latin1')
    socket.write(`${head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`, 'latin1')
    for (let id = 1; id <= EVENTS && !socket.destroyed; id++) {
      await wait(EVENT_INTERVAL_MS)
      const event = `id: ${id}\ndata: event ${id}\n\n`
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`)
    }
    socket.write('0\r\n\r\n')
  }
}

await runCase(import.meta.url, async ({ note, onStop }) => {
  const store = await startStoreStandIn()
  onStop(() => store.close())
  store.put(OPERATOR_TOPIC, 'config', createConfiguration(7))
  for (const name of ['w-1', 'w-2', 'w-3']) {
    const worker = await startWorkerStandIn(createScript({ note, name, spoils: HAS_TROUBLE && name === 'w-1' }))
    onStop(() => worker.close())
    store.put(WORKERS_TOPIC, name, createRegistration(worker.address))
  }
  const fleet = createFleet({ note, storeAddress: store.address })
  onStop(fleet.stop)
  const entry = await fleet.startEntry({ name: 'front-a-1' })
  await fleet.waitReady([entry])

  const sendStream = async attemptId => {
    const { status, headers, body, end } = await sendRequest({
      address: entry.front, method: 'POST', path: '/ask/1', attemptId, body: 'prompt', deadlineMs: 8_000, timeoutMs: CLIENT_TIMEOUT_MS
    })
    const ids = eventIds(body)
    const isSuccess = status >= 200 && status < 300
    const lacksSeal = isSuccess && headers['server-seal'] !== `seal-${attemptId}`
    const lacksEvents = isSuccess && end === ResponseEnd.Complete && ids.join() !== Array.from({ length: EVENTS }, (_, at) => at + 1).join()
    if (status !== 200 || lacksSeal || lacksEvents) note(`client got ${attemptId} (stream): status ${status}, seal ${headers['server-seal'] ?? 'none'}, events ${ids.join()}, ${end}`)
    return { lacksSeal, lacksEvents }
  }
  const sendPlain = async attemptId => {
    const { status, headers, end, tookMs } = await sendRequest({ address: entry.front, path: '/look/1', attemptId, deadlineMs: ROUTE_TIMEOUT_MS, timeoutMs: CLIENT_TIMEOUT_MS })
    const isUnanswered = tookMs > ROUTE_TIMEOUT_MS + ANSWER_SLACK_MS
    const lacksSeal = status === 200 && headers['server-seal'] !== `seal-${attemptId}`
    if (status !== 200 || isUnanswered || lacksSeal) note(`client got ${attemptId} (look): status ${status}, ${end} after ${Math.round(tookMs)} ms`)
    return { lacksSeal, isUnanswered, wasDue: tookMs > ROUTE_TIMEOUT_MS }
  }

  const results = await Promise.all(Array.from({ length: REQUESTS }, async (_, index) => {
    await wait(index * REQUEST_INTERVAL_MS)
    return index % 2 === 0 ? sendStream(`stream-${index}`) : sendPlain(`look-${index}`)
  }))
  const count = name => results.filter(result => result[name] === true).length
  note(`${REQUESTS} requests; successes without the worker's seal: ${count('lacksSeal')}; streams that end as complete without all events: ${count('lacksEvents')}`)
  note(`requests unanswered at the timeout of their route: ${count('wasDue')}, and ${ANSWER_SLACK_MS} ms later: ${count('isUnanswered')}`)
  return count('lacksSeal') + count('lacksEvents') > 0 || count('isUnanswered') > count('wasDue') / 2 ? Verdict.Broken : Verdict.Held
})
