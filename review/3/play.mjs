// A worker answers a stream with neither a length nor chunks; the entry that passes it on is killed in the middle of it.
import { setTimeout as wait } from 'node:timers/promises'
import { startStoreStandIn } from '../../target/review/storeStandIn.mjs'
import { startWorkerStandIn } from '../../target/review/workerStandIn.mjs'
import { eventIds, ResponseEnd, sendRequest } from '../client.mjs'
import { createConfiguration, createRegistration, OPERATOR_TOPIC, WORKERS_TOPIC } from '../configuration.mjs'
import { createFleet, HAS_TROUBLE } from '../fleet.mjs'
import { runCase, Verdict } from '../runCase.mjs'

const EVENTS = 24
/** One entry of seven is killed: the site's dose of `node_kill` is share 0.16. */
const ENTRIES = 7
const STREAMS_BY_ENTRY = 3
const STREAM_INTERVAL_MS = 50
/** The case is a kill; with SIGNAL=SIGTERM, the entry is stopped as planned and the streams outlast its grace period. */
const PLAYS = {
  SIGKILL: { eventIntervalMs: 60, signalAtMs: 1_200 },
  SIGTERM: { eventIntervalMs: 400, signalAtMs: 200 }
}
const SIGNAL = process.env.SIGNAL === 'SIGTERM' ? 'SIGTERM' : 'SIGKILL'
const { eventIntervalMs, signalAtMs } = PLAYS[SIGNAL]
const DEADLINE_MS = 8_000
const CLIENT_TIMEOUT_MS = 12_000

/** Writes a whole stream, event by event; its end is that of its connection. */
const respondWithUnframedStream = note => async (socket, { headers }) => {
  const attemptId = headers['attempt-id']
  note(`worker runs ${attemptId}`)
  socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\nServer-Seal: seal-${attemptId}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n`)
  for (let id = 1; id <= EVENTS && !socket.destroyed; id++) {
    await wait(eventIntervalMs)
    socket.write(`id: ${id}\ndata: event ${id}\n\n`)
  }
  socket.end()
}

await runCase(import.meta.url, async ({ note, onStop }) => {
  const store = await startStoreStandIn()
  onStop(() => store.close())
  const worker = await startWorkerStandIn(respondWithUnframedStream(note))
  onStop(() => worker.close())
  store.put(OPERATOR_TOPIC, 'config', createConfiguration(7))
  store.put(WORKERS_TOPIC, 'w-1', createRegistration(worker.address, { slots: 64 }))
  const fleet = createFleet({ note, storeAddress: store.address })
  onStop(fleet.stop)
  const listens = []
  for (let index = 0; index < ENTRIES; index++) listens.push(await fleet.newListen())
  const seeds = listens.slice(0, 3).map(({ control }) => control)
  const entries = []
  for (const [index, listen] of listens.entries()) entries.push(await fleet.startEntry({ name: `front-a-${index + 1}`, seeds, listen }))
  await fleet.waitReady(entries)

  if (HAS_TROUBLE) setTimeout(() => entries[0].signal(SIGNAL), signalAtMs)
  const send = async index => {
    await wait(index * STREAM_INTERVAL_MS)
    const entry = entries[index % ENTRIES]
    const attemptId = `attempt-${index}`
    note(`client sends ${attemptId} to ${entry.name}`)
    const { status, headers, body, end, isReset } = await sendRequest({
      address: entry.front, method: 'POST', path: '/ask/1', attemptId, body: 'prompt', deadlineMs: DEADLINE_MS, timeoutMs: CLIENT_TIMEOUT_MS
    })
    const ids = eventIds(body)
    const endsBetweenEvents = body.length > 0 && body.subarray(-2).toString() === '\n\n'
    const looksComplete = status === 200 && (end === ResponseEnd.Complete || (end === ResponseEnd.Closed && endsBetweenEvents))
    note(`client got ${attemptId}: status ${status}, seal ${headers['server-seal']}, ${ids.length} of ${EVENTS} events, ${end}${isReset ? ' by a reset' : ''}`)
    return { status, looksComplete, isWhole: ids.length === EVENTS }
  }
  const results = await Promise.all(Array.from({ length: ENTRIES * STREAMS_BY_ENTRY }, (_, index) => send(index)))
  const cutShort = results.filter(({ looksComplete, isWhole }) => looksComplete && !isWhole).length
  const whole = results.filter(({ looksComplete, isWhole }) => looksComplete && isWhole).length
  note(`${whole} streams whole; ${cutShort} ended early and look complete`)
  if (!HAS_TROUBLE && SIGNAL === 'SIGKILL' && whole < ENTRIES * STREAMS_BY_ENTRY) return Verdict.NotRun
  return cutShort > 0 ? Verdict.Broken : Verdict.Held
})
