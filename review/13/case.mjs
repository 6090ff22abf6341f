// A worker becomes cold while the platform's store is down, so that only its health answers say so.
// The fields of the platform are in snake case.
/* eslint camelcase: off */
import {
  answerWith, call, configurationWith, hasTrouble, isReady, planEntries, runCase, startEntry, startStore, startWorker, until, wait
} from '../fleet-3.mjs'

const COLD_MS = 3_000
const COLD_PER_S = 26
const COLD_EXCESS = 1.5
const COLD_SLACK = 5
const REQUESTS_PER_S = 170
const WORK_MS = 40
/** A cold worker crashes at this rate, well above what it tolerates. */
const CRASH_PER_S = 2 * COLD_PER_S
const BACK_MS = 3_000
const STORE_DOWN_MS = 4_500

const arrivedWithin = (arrivals, endMs) => arrivals.filter(({ atMs }) => atMs > endMs - 1_000 && atMs <= endMs)

await runCase(import.meta.url, async note => {
  const store = await startStore()
  const lost = []
  const serve = (request, body, response, worker) => {
    const cold = arrivedWithin(worker.arrivals, performance.now()).filter(({ coldLeftMs }) => coldLeftMs > 0)
    if (cold.length > CRASH_PER_S) {
      note(`${worker.id} crashes: ${cold.length} requests in a second while it is cold`)
      return worker.crash(BACK_MS)
    }
    setTimeout(() => { if (!response.destroyed) answerWith(response, 'done') }, WORK_MS)
  }
  const workers = []
  for (const id of ['i-1', 'i-2']) workers.push(await startWorker({ store, id, service: 'gavel-llm', zone: 'lubbock-a', slots: 7, serve }))
  store.put('keyed.op', 'config', configurationWith({
    routes: [{ name: 'bid', kind: 'non_idempotent', timeout_ms: 3_000, max_attempts: 1, service: 'gavel-llm' }],
    services: [{ name: 'gavel-llm', cold_s: COLD_MS / 1_000, cold_per_s: COLD_PER_S }]
  }))
  const bounds = { stable_window_ms: 4_000, cold_excess: COLD_EXCESS, cold_slack: COLD_SLACK }
  const entries = (await planEntries({ store, names: ['front-1', 'front-2'], zone: 'lubbock-a', bounds })).map(startEntry)
  await until('ready entries', async () => (await Promise.all(entries.map(isReady))).every(Boolean))
  await wait(4_000)

  const statuses = new Map()
  let sent = 0
  const traffic = setInterval(async () => {
    const entry = entries[sent++ % entries.length]
    const { attemptId, status } = await call(entry, { method: 'POST', path: '/bid/1', body: 'b', timeoutMs: 3_000 })
    statuses.set(status, (statuses.get(status) ?? 0) + 1)
    const arrivals = workers.flatMap(worker => worker.arrivals.filter(arrival => arrival.attemptId === attemptId))
    if (arrivals.length > 0 && status !== 200) lost.push(attemptId)
  }, 1_000 / REQUESTS_PER_S)
  await wait(4_000)

  const [worker] = workers
  if (hasTrouble) {
    note('the store is down')
    store.goDown()
    setTimeout(() => {
      store.comeBack()
      note('the store is back')
      for (const { register } of workers) register()
    }, STORE_DOWN_MS)
  }
  await wait(700)
  worker.coldUntilMs = performance.now() + COLD_MS
  const isAcknowledged = worker.register()
  note(`${worker.id} is cold for ${COLD_MS} ms; the store ${isAcknowledged ? 'has acknowledged its registration' : 'does not answer'}`)
  await wait(8_000)
  clearInterval(traffic)
  await wait(3_500)

  const cold = worker.arrivals.filter(({ coldLeftMs }) => coldLeftMs > 0)
  const most = Math.max(0, ...cold.map(({ atMs }) => arrivedWithin(cold, atMs).length))
  const bound = COLD_PER_S * COLD_EXCESS + COLD_SLACK
  note(`requests sent: ${sent}; answers by status: ${JSON.stringify([...statuses])}; crashes of workers: ${workers.map(({ crashes }) => crashes)}`)
  note(`health checks that ${worker.id} got: ${worker.healthChecks}`)
  note(`requests that reached a worker and were not answered by it: ${lost.length}`)
  note(`most requests in one second at ${worker.id} while it was cold: ${most}; bound: ${bound}`)
  return most > bound ? [`FAILBACK: a cold worker got ${most} requests in one second, the bound is ${bound}`] : []
})
