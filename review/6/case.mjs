import { readFileSync } from 'node:fs'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BROKEN, call, chunkOf, hasTrouble, headOf, HELD, limits, register, runCase, sleep, startStore, startWorker } from '../fleet-2.mjs'

const EVENTS = 24
const EVENT_INTERVAL_MS = 60
const STREAM_INTERVAL_MS = 150
const PLAY_MS = 35_000
const TROUBLE_AT_MS = 5_000
/** The platform restarts a process that has ended after a short delay. */
const RESTART_DELAY_MS = 500
const MACHINES_MIN = 2
const ENDS_MIN = 3
const KB_PER_MB = 1_024
/** A part of the endless body. */
const ENDLESS_PIECE = chunkOf('\n\n'.repeat(16_000))

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
    public: false,
    service: 'assistant',
    streamResume: true,
    gapTargetMs: 120
  }],
  services: [{ name: 'assistant', healthPath: '/health', maxConns: 884 }],
  limits,
  tenants: [{ name: 'tenant-a', apiKeys: ['key-a'], priority: 1 }]
}

const streamHead = attemptId => headOf(attemptId, ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'])

/** A sound worker: 24 events, one in 60 ms, after the one that the request names. */
const serveStream = async (socket, { headers }) => {
  socket.write(streamHead(headers['attempt-id']))
  for (let id = Number(headers['last-event-id'] ?? 0) + 1; id <= EVENTS; id++) {
    await sleep(EVENT_INTERVAL_MS)
    if (socket.destroyed) return
    socket.write(chunkOf(`id: ${id}\ndata: event ${id} of the answer\n\n`))
  }
  socket.write('0\r\n\r\n')
}

/** A worker in trouble: its body goes on without end until the caller closes. */
const serveEndlessly = record => (socket, { headers }) => {
  const attemptId = headers['attempt-id']
  record(`endless body for ${attemptId} begins`)
  const write = () => {
    while (!socket.destroyed) if (!socket.write(ENDLESS_PIECE)) return
  }
  socket.on('drain', write)
  socket.on('close', () => record(`endless body for ${attemptId} ends after ${socket.bytesWritten} bytes: its connection was closed`))
  socket.write(streamHead(attemptId))
  write()
}

/** Peak of the resident memory of a process, in MB; 0 if it has ended. */
const peakOf = ({ child }) => {
  try {
    return Math.round(Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))[1]) / KB_PER_MB)
  } catch {
    return 0
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ fleet, record }) => {
  const store = await startStore()
  fleet.addCloser(store.close)
  store.put('keyed.op', 'config', configuration)
  let isInTrouble = false
  const startOne = async (workerId, serve) => {
    const worker = await startWorker({ workerId, serve })
    fleet.addCloser(worker.close)
    fleet.addCloser(register(store, worker, 'assistant').stop)
  }
  for (const workerId of ['assistant-1', 'assistant-2', 'assistant-3']) await startOne(workerId, serveStream)
  const endless = serveEndlessly(record)
  await startOne('assistant-4', (socket, request) => isInTrouble ? endless(socket, request) : serveStream(socket, request))

  const startedMs = performance.now()
  const isOver = () => performance.now() - startedMs > PLAY_MS
  const ends = new Map()
  let peakMb = 0

  /** Keeps one entry running, as the platform does. */
  const keepEntry = async (name, firstEntry) => {
    let entry = firstEntry
    ends.set(name, 0)
    while (!isOver()) {
      await sleep(50)
      peakMb = Math.max(peakMb, peakOf(entry))
      if (entry.end === undefined) continue
      ends.set(name, ends.get(name) + 1)
      record(`${name} ended by itself: ${entry.end}; ${/FATAL ERROR: [^\n]*/.exec(entry.errors)?.[0] ?? entry.errors.slice(0, 200)}`)
      await sleep(RESTART_DELAY_MS)
      entry = await fleet.startEntry({ name, storeAddress: store.address, portsOf: entry })
      record(`${name} was started again`)
    }
  }

  const counts = { asked: 0, whole: 0 }
  const ask = async port => {
    counts.asked += 1
    const seen = await call({ port, path: '/ask/1' })
    if (seen.isComplete && seen.status === 200) counts.whole += 1
    record(`stream ${seen.attemptId}: status ${seen.status}, complete ${seen.isComplete} ${seen.error ?? ''} after ${seen.tookMs} ms, ${seen.body.length} bytes`)
  }
  const askOften = async ({ front }) => {
    const asked = []
    while (!isOver()) {
      asked.push(ask(front))
      await sleep(STREAM_INTERVAL_MS)
    }
    await Promise.all(asked)
  }

  const first = await fleet.startEntry({ name: 'front-1', storeAddress: store.address })
  const second = await fleet.startEntry({ name: 'front-2', storeAddress: store.address, seeds: [first.controlAddress] })
  setTimeout(() => { isInTrouble = hasTrouble }, TROUBLE_AT_MS)
  await Promise.all([keepEntry('front-1', first), keepEntry('front-2', second), askOften(first), askOften(second)])
  for (const [name, count] of ends) record(`${name} ended by itself ${count} times`)
  record(`peak memory ${peakMb} MB; ${counts.whole} of ${counts.asked} streams whole`)
  return [...ends.values()].filter(count => count >= ENDS_MIN).length >= MACHINES_MIN ? BROKEN : HELD
})
