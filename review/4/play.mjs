// A worker fails part of the bookings that it runs, with a 503 that doesn't say that the request has not run.
import { setTimeout as wait } from 'node:timers/promises'
import { startStoreStandIn } from '../../target/review/storeStandIn.mjs'
import { startWorkerStandIn } from '../../target/review/workerStandIn.mjs'
import { sendRequest } from '../client.mjs'
import { createConfiguration, createRegistration, OPERATOR_TOPIC, WORKERS_TOPIC } from '../configuration.mjs'
import { createFleet, HAS_TROUBLE } from '../fleet.mjs'
import { runCase, Verdict } from '../runCase.mjs'

/** One worker of eight fails 45 in 100 of its requests: the site's dose of `srv_grey` is share 0.14, x 0.45. */
const WORKERS = 8
const FAILED_SHARE = 0.45
const REQUESTS = 280
const REQUEST_INTERVAL_MS = 30
const WORK_MS = 20
const CLIENT_TIMEOUT_MS = 4_000
/** Statuses that promise that the request has not run and never will. */
const PROMISES = [408, 421, 429, 503]

await runCase(import.meta.url, async ({ note, onStop }) => {
  const store = await startStoreStandIn()
  onStop(() => store.close())
  store.put(OPERATOR_TOPIC, 'config', createConfiguration(7))
  const runs = new Map()
  const startWorker = async (name, isGrey) => {
    let requests = 0
    const worker = await startWorkerStandIn(async (socket, { headers }) => {
      const attemptId = headers['attempt-id']
      requests += 1
      const fails = isGrey && Math.floor(requests * FAILED_SHARE) > Math.floor((requests - 1) * FAILED_SHARE)
      runs.set(attemptId, [...runs.get(attemptId) ?? [], name])
      note(`${name} runs ${attemptId}${fails ? ' and fails' : ''}`)
      await wait(WORK_MS)
      const [status, body] = fails ? ['503 Service Unavailable', 'failed'] : ['200 OK', 'booked']
      socket.write(`HTTP/1.1 ${status}\r\nAttempt-Id: ${attemptId}\r\nServer-Seal: seal\r\nContent-Length: 6\r\n\r\n${body}`)
    })
    onStop(() => worker.close())
    store.put(WORKERS_TOPIC, name, createRegistration(worker.address))
  }
  for (let index = 1; index <= WORKERS; index++) await startWorker(`w-${index}`, HAS_TROUBLE && index === 1)

  const fleet = createFleet({ note, storeAddress: store.address })
  onStop(fleet.stop)
  const entry = await fleet.startEntry({ name: 'front-a-1' })
  await fleet.waitReady([entry])

  const results = await Promise.all(Array.from({ length: REQUESTS }, async (_, index) => {
    await wait(index * REQUEST_INTERVAL_MS)
    const attemptId = `attempt-${index}`
    const { status, headers, body } = await sendRequest({ address: entry.front, method: 'POST', path: '/book/1', attemptId, body: 'order', timeoutMs: CLIENT_TIMEOUT_MS })
    const ran = runs.get(attemptId) ?? []
    const isFalse = PROMISES.includes(status) && ran.length > 0
    if (status !== 200) note(`client got ${attemptId}: status ${status}, seal ${headers['server-seal'] ?? 'none'}, body ${body}, ran at ${ran.join(' ') || 'no worker'}`)
    return isFalse
  }))
  const falsePromises = results.filter(isFalse => isFalse).length
  note(`${REQUESTS} bookings; answered as not run although they had run: ${falsePromises}`)
  return falsePromises > 0 ? Verdict.Broken : Verdict.Held
})
