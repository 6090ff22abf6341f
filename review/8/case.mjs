import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BROKEN, call, chunkOf, hasTrouble, headOf, HELD, register, limits, runCase, sleep, startStore, startWorker } from '../fleet-2.mjs'

/** The longest answers of the sheet have 60 events; a pause of up to 120 ms is on time. */
const EVENTS = 60
const EVENT_INTERVAL_MS = 110
const STREAMS_PER_S = 5
const PLAY_MS = 20_000
/** The disruption: one request of this route reaches the worker in trouble. */
const TROUBLE_AT_MS = 5_000
const FLOOD_PIECE = chunkOf('x').repeat(10_000)

const route = (name, fields) => ({
  name, host: 'site.example', pathPrefix: `/${name}/`, goalMs: 500, priority: 1, maxAttempts: 2, public: false, ...fields
})
const configuration = {
  version: 7,
  routes: [
    route('ask', { kind: 'streaming', timeoutMs: 8_000, service: 'assistant', streamResume: true, gapTargetMs: 120 }),
    route('look', { kind: 'idempotent', timeoutMs: 1_200, service: 'booking' })
  ],
  services: [{ name: 'assistant', healthPath: '/health', maxConns: 884 }, { name: 'booking', healthPath: '/health', maxConns: 208 }],
  limits,
  tenants: [{ name: 'tenant-a', apiKeys: ['key-a'], priority: 1 }]
}

const eventOf = id => `id: ${id}\ndata: event ${id} of the answer\n\n`

/** A sound worker: 60 events, one in 110 ms, after the one that the request names. */
const serveStream = record => async (socket, { headers }) => {
  const attemptId = headers['attempt-id']
  record(`run ${attemptId} from ${headers['last-event-id'] ?? 0}`)
  socket.write(headOf(attemptId, ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']))
  for (let id = Number(headers['last-event-id'] ?? 0) + 1; id <= EVENTS; id++) {
    await sleep(EVENT_INTERVAL_MS)
    if (socket.destroyed) return
    socket.write(chunkOf(eventOf(id)))
  }
  socket.write('0\r\n\r\n')
}

/** A worker that answers; in trouble its body goes on without end until the caller closes. */
const serveLook = record => (socket, { headers }) => {
  const attemptId = headers['attempt-id']
  if (!hasTrouble) {
    socket.write(headOf(attemptId, ['Content-Length: 2']) + 'ok')
    return
  }
  record(`endless body for ${attemptId} begins`)
  let bytes = 0
  const write = () => {
    while (!socket.destroyed) {
      bytes += FLOOD_PIECE.length
      if (!socket.write(FLOOD_PIECE)) return
    }
  }
  socket.on('drain', write)
  socket.on('close', () => record(`endless body for ${attemptId} ends: its connection was closed after ${bytes} bytes`))
  socket.write(headOf(attemptId, ['Transfer-Encoding: chunked']))
  write()
}

const idsOf = body => [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id))

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ fleet, record }) => {
  const store = await startStore()
  fleet.addCloser(store.close)
  store.put('keyed.op', 'config', configuration)
  for (const workerId of ['assistant-1', 'assistant-2', 'assistant-3']) {
    const worker = await startWorker({ workerId, serve: serveStream(record) })
    fleet.addCloser(worker.close)
    fleet.addCloser(register(store, worker, 'assistant', { slots: 24 }).stop)
  }
  const looker = await startWorker({ workerId: 'booking-1', serve: serveLook(record) })
  fleet.addCloser(looker.close)
  fleet.addCloser(register(store, looker, 'booking').stop)
  const entry = await fleet.startEntry({ storeAddress: store.address })

  const wanted = Array.from({ length: EVENTS }, (_, at) => at + 1).join()
  const broken = []
  const ask = async () => {
    const seen = await call({ port: entry.front, path: '/ask/1' })
    const ids = idsOf(seen.body).join()
    record(`stream ${seen.attemptId} status ${seen.status} complete ${seen.isComplete} ${seen.error ?? ''} after ${seen.tookMs} ms, events ${ids}`)
    if (seen.status === 200 && seen.isComplete && ids !== wanted) broken.push(`${seen.attemptId}: complete with events ${ids}`)
    else if (seen.status === 200 && !wanted.startsWith(ids)) broken.push(`${seen.attemptId}: events ${ids}`)
  }
  const asked = []
  const startedMs = performance.now()
  let isLooked = false
  while (performance.now() - startedMs < PLAY_MS) {
    asked.push(ask())
    if (!isLooked && performance.now() - startedMs >= TROUBLE_AT_MS) {
      isLooked = true
      asked.push(call({ port: entry.front, path: '/look/1', method: 'GET', deadlineMs: 2_500 }).then(seen =>
        record(`look ${seen.attemptId} status ${seen.status} ${seen.error ?? ''} after ${seen.tookMs} ms`)))
    }
    await sleep(1_000 / STREAMS_PER_S)
  }
  await Promise.all(asked)
  for (const text of broken) record(`ORDER broken: ${text}`)
  record(`process ${entry.name} ended: ${entry.end ?? 'no'}`)
  return broken.length > 0 ? BROKEN : HELD
})
