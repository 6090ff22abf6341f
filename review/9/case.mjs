import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BROKEN, call, chunkOf, hasTrouble, headOf, HELD, limits, register, runCase, sleep, startStore, startWorker, statusOf } from '../fleet-2.mjs'

/** The longest answers of the sheet have 60 events; a pause of up to 120 ms is on time. */
const EVENTS = 60
const EVENT_INTERVAL_MS = 110
const TERM_AT_MS = 3_000
const GRACE_MS = 8_000
const ASK_INTERVAL_MS = 200
/** A request that is sent later than this after the SIGTERM is owed its answer, whatever its worker does. */
const EXCUSED_UNTIL_MS = 3_000
/** Later than the time in which a process reads a request from a loopback connection. */
const MARGIN_MS = 50

const configuration = {
  version: 7,
  routes: [{
    name: 'ask',
    host: 'site.example',
    pathPrefix: '/ask/',
    kind: 'streaming',
    timeoutMs: 8_000,
    goalMs: 500,
    priority: 1,
    maxAttempts: 2,
    service: 'assistant',
    public: false,
    streamResume: true,
    gapTargetMs: 120
  }],
  services: [{ name: 'assistant', healthPath: '/health', maxConns: 884 }],
  limits,
  tenants: [{ name: 'tenant-a', apiKeys: ['key-a'], priority: 1 }]
}

/** A sound worker, which notes when a request reaches it. */
const serveStream = (arrivals, record) => async (socket, { headers }) => {
  const attemptId = headers['attempt-id']
  arrivals.add(attemptId)
  record(`worker runs ${attemptId} from event ${headers['last-event-id'] ?? 0}, deadline ${headers['deadline-remaining']} ms`)
  socket.write(headOf(attemptId, ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']))
  for (let id = Number(headers['last-event-id'] ?? 0) + 1; id <= EVENTS; id++) {
    await sleep(EVENT_INTERVAL_MS)
    if (socket.destroyed) return record(`worker's connection of ${attemptId} was closed after event ${id - 1}`)
    socket.write(chunkOf(`id: ${id}\ndata: event ${id}\n\n`))
  }
  socket.write('0\r\n\r\n')
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ fleet, record }) => {
  const store = await startStore()
  fleet.addCloser(store.close)
  store.put('keyed.op', 'config', configuration)
  const arrivals = new Set()
  for (const workerId of ['assistant-1', 'assistant-2', 'assistant-3']) {
    const worker = await startWorker({ workerId, serve: serveStream(arrivals, record) })
    fleet.addCloser(worker.close)
    fleet.addCloser(register(store, worker, 'assistant', { slots: 24 }).stop)
  }
  const entry = await fleet.startEntry({ storeAddress: store.address })

  const startedMs = performance.now()
  let termMs = startedMs + TERM_AT_MS
  const sinceTermMs = () => performance.now() - termMs
  const broken = []
  const ask = async () => {
    const sentMs = sinceTermMs()
    const seen = await call({ port: entry.front, path: '/ask/1' })
    const events = seen.body.split('\n\n').length - 1
    const isCut = seen.status === 200 && !(seen.isComplete && events === EVENTS)
    record(`${seen.attemptId} sent ${Math.round(sentMs)} ms after SIGTERM: status ${seen.status} ${seen.error ?? ''} after ${seen.tookMs} ms, ${events} events, ${isCut ? 'cut' : 'whole'}`)
    const isOwed = sentMs > EXCUSED_UNTIL_MS + MARGIN_MS && sentMs < GRACE_MS
    if (hasTrouble ? isOwed && arrivals.has(seen.attemptId) && (isCut || seen.status === 0) : isCut) broken.push(seen.attemptId)
  }
  const asked = []
  let isTermSent = false
  while (sinceTermMs() < GRACE_MS) {
    if (!isTermSent && sinceTermMs() >= 0) {
      isTermSent = true
      termMs = performance.now()
      if (hasTrouble) entry.child.kill('SIGTERM')
      record(hasTrouble ? 'SIGTERM' : 'no SIGTERM')
    }
    asked.push(ask())
    const [ready, resolved] = await Promise.all([statusOf(entry.ready, '/v1/ready'), statusOf(entry.directory, '/v1/resolve?name=site.example&region=region-a&zone=zone-a')])
    record(`ready ${ready}, directory ${resolved}`)
    await sleep(ASK_INTERVAL_MS)
  }
  await Promise.all(asked)
  for (const attemptId of broken) record(`LOST broken: ${attemptId}`)
  record(`process ended: ${entry.end ?? 'no'}`)
  return broken.length > 0 ? BROKEN : HELD
})
