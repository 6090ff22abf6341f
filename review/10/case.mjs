import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { bounds, BROKEN, call, chunkOf, hasTrouble, headOf, HELD, limits, register, runCase, sleep, startStore, startWorker } from '../fleet-2.mjs'

const WORKERS = 8
/** A crashed worker is back after some seconds. */
const DOWN_MS = 3_000
const EVENTS = 12
const EVENT_INTERVAL_MS = 60
/** Time between the first event of an answer and the crash of its worker. */
const CRASH_DELAY_MS = 5
const CRASHES_BEFORE = 5
const LATE_MAX = 3
const PLAY_MS = 40_000
const TROUBLE_AT_MS = 5_000
const BAD_INTERVAL_MS = 1_000
const SOUND_INTERVAL_MS = 250
const SHARED_PART = 'aaaa0001:40'
const BAD_PART = '5c1e07a2:400'

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
    sticky: true,
    streamResume: true,
    gapTargetMs: 120
  }],
  services: [{ name: 'assistant', healthPath: '/health', maxConns: 884 }],
  limits,
  tenants: [{ name: 'tenant-a', apiKeys: ['key-a'], priority: 1 }]
}

/** A worker that crashes as it begins to write an answer on the part, once its first event is written. */
const startOne = async ({ workerId, store, fleet, record, seen }) => {
  let isDown = false

  const crash = async attemptId => {
    if (isDown) return
    isDown = true
    registration.stop()
    seen.crashesMs.push(performance.now())
    record(`${workerId} crashes on ${attemptId}; crash ${seen.crashesMs.length}`)
    await worker.crash(DOWN_MS)
    registration.restart()
    isDown = false
  }

  const serve = async (socket, { headers }) => {
    const attemptId = headers['attempt-id']
    const isBad = headers['prompt-prefix'].includes(BAD_PART)
    const lastId = Number(headers['last-event-id'] ?? 0)
    if (isBad) {
      seen.arrivalsMs.push(performance.now())
      record(`${attemptId} with the part reaches ${workerId} after event ${lastId}`)
    }
    socket.write(headOf(attemptId, ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']))
    for (let id = lastId + 1; id <= EVENTS; id++) {
      await sleep(EVENT_INTERVAL_MS)
      if (socket.destroyed) return
      socket.write(chunkOf(`id: ${id}\ndata: event ${id}\n\n`))
      if (isBad && hasTrouble) {
        await sleep(CRASH_DELAY_MS)
        return crash(attemptId)
      }
    }
    socket.write('0\r\n\r\n')
  }

  const worker = await startWorker({ workerId, serve })
  const registration = register(store, worker, 'assistant', { slots: 12 })
  fleet.addCloser(registration.stop)
  fleet.addCloser(worker.close)
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ fleet, record }) => {
  const store = await startStore()
  fleet.addCloser(store.close)
  store.put('keyed.op', 'config', configuration)
  const seen = { crashesMs: [], arrivalsMs: [] }
  for (let at = 1; at <= WORKERS; at++) await startOne({ workerId: `assistant-${at}`, store, fleet, record, seen })
  const entry = await fleet.startEntry({ storeAddress: store.address })

  const counts = { sound: 0, soundWhole: 0 }
  const ask = async (parts, isBad) => {
    const answer = await call({ port: entry.front, path: '/ask/1', body: `prompt of ${parts}`, headers: { model: 'm', 'token-count': '1460,80', 'prompt-prefix': parts } })
    if (!isBad) counts.sound += 1
    if (!isBad && answer.status === 200 && answer.isComplete) counts.soundWhole += 1
    record(`${isBad ? 'with the part' : 'sound'} ${answer.attemptId}: status ${answer.status}, complete ${answer.isComplete} ${answer.error ?? ''} after ${answer.tookMs} ms`)
  }
  const asked = []
  const startedMs = performance.now()
  let nextBadMs = startedMs + TROUBLE_AT_MS
  // The last part and the body belong to the request itself, so that no two are alike.
  for (let at = 1; performance.now() - startedMs < PLAY_MS; at++) {
    asked.push(ask(`${SHARED_PART},${(0x10000000 + at).toString(16)}:600`, false))
    if (performance.now() >= nextBadMs) {
      nextBadMs += BAD_INTERVAL_MS
      asked.push(ask(`${SHARED_PART},${BAD_PART},${(0x20000000 + at).toString(16)}:600`, true))
    }
    await sleep(SOUND_INTERVAL_MS)
  }
  await Promise.all(asked)
  const boundMs = (seen.crashesMs[CRASHES_BEFORE - 1] ?? Infinity) + bounds.stableWindowMs
  const late = seen.arrivalsMs.filter(ms => ms > boundMs).length
  record(`sound requests ${counts.sound}, of these whole ${counts.soundWhole}`)
  record(`crashes ${seen.crashesMs.length}; requests with the part that reached workers later than ${bounds.stableWindowMs} ms after crash ${CRASHES_BEFORE}: ${late}`)
  return late > LATE_MAX ? BROKEN : HELD
})
