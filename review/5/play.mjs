// All entries start with stale seeds. A worker in need names how many requests a second it takes from all machines together.
import { setTimeout as wait } from 'node:timers/promises'
import { startStoreStandIn } from '../../target/review/storeStandIn.mjs'
import { startWorkerStandIn } from '../../target/review/workerStandIn.mjs'
import { sendRequest } from '../client.mjs'
import { createConfiguration, createRegistration, OPERATOR_TOPIC, WORKERS_TOPIC } from '../configuration.mjs'
import { createFleet, freeAddress, HAS_TROUBLE } from '../fleet.mjs'
import { runCase, Verdict } from '../runCase.mjs'

const ENTRIES = 4
const SEEDS = 3
const LIMIT_PER_S = 4
const REQUESTS_PER_S_AND_ENTRY = 16
const PLAY_MS = 24_000
/** When the platform writes the addresses of live machines into the settings files, with a SIGHUP. */
const RELOAD_AT_MS = 10_000
const ANSWER_MS = 20
const CLIENT_TIMEOUT_MS = 4_000
/** The rule counts from this time after the worker first named its limit. */
const STABLE_WINDOW_MS = 3_000
const COUNT_WINDOW_MS = 4_000
const ALLOWED_IN_WINDOW = 1.5 * LIMIT_PER_S * COUNT_WINDOW_MS / 1_000 + 5

/** Largest number of arrivals in any window, from a time on. */
const busiestWindow = (arrivals, fromMs) => {
  const counted = arrivals.filter(atMs => atMs >= fromMs)
  return Math.max(0, ...counted.map((startMs, at) => counted.slice(at).filter(atMs => atMs - startMs < COUNT_WINDOW_MS).length))
}

await runCase(import.meta.url, async ({ note, onStop }) => {
  const store = await startStoreStandIn()
  onStop(() => store.close())
  store.put(OPERATOR_TOPIC, 'config', createConfiguration(7))
  const arrivals = { 'w-1': [], 'w-2': [] }
  const startWorker = async (name, limitHeader) => {
    const worker = await startWorkerStandIn(async (socket, { headers }) => {
      const attemptId = headers['attempt-id']
      arrivals[name].push(performance.now())
      note(`${name} runs ${attemptId}`)
      await wait(ANSWER_MS)
      socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\nServer-Seal: seal\r\n${limitHeader}Content-Length: 6\r\n\r\nanswer`)
    })
    onStop(() => worker.close())
    store.put(WORKERS_TOPIC, name, createRegistration(worker.address))
  }
  await startWorker('w-1', `Server-Limit: ${LIMIT_PER_S}\r\n`)
  await startWorker('w-2', '')

  const fleet = createFleet({ note, storeAddress: store.address })
  onStop(fleet.stop)
  const listens = []
  for (let index = 0; index < ENTRIES; index++) listens.push(await fleet.newListen())
  const liveSeeds = listens.slice(0, SEEDS).map(({ control }) => control)
  // Nothing listens at these addresses any more.
  const staleSeeds = [await freeAddress(), await freeAddress(), await freeAddress()]
  const entries = []
  for (const [index, listen] of listens.entries()) {
    entries.push(await fleet.startEntry({ name: `front-a-${index + 1}`, seeds: HAS_TROUBLE ? staleSeeds : liveSeeds, listen }))
  }
  await fleet.waitReady(entries)
  await wait(STABLE_WINDOW_MS)

  const startedMs = performance.now()
  if (HAS_TROUBLE) {
    setTimeout(() => {
      for (const entry of entries) {
        entry.writeSettings(liveSeeds)
        entry.signal('SIGHUP')
      }
      note(`the settings files name live seeds: ${liveSeeds.join(' ')}`)
    }, RELOAD_AT_MS)
  }
  const statuses = {}
  const pending = []
  for (let sent = 0; performance.now() - startedMs < PLAY_MS; sent++) {
    const entry = entries[sent % ENTRIES]
    const attemptId = `attempt-${sent}`
    pending.push(sendRequest({ address: entry.front, path: '/look/1', attemptId, timeoutMs: CLIENT_TIMEOUT_MS }).then(({ status }) => {
      statuses[status] = (statuses[status] ?? 0) + 1
      note(`client got ${attemptId} from ${entry.name}: status ${status}`)
    }))
    await wait(1_000 / (REQUESTS_PER_S_AND_ENTRY * ENTRIES))
  }
  await Promise.all(pending)
  const countedFromMs = arrivals['w-1'][0] + STABLE_WINDOW_MS
  const busiest = busiestWindow(arrivals['w-1'], countedFromMs)
  const busiestReloaded = busiestWindow(arrivals['w-1'], startedMs + RELOAD_AT_MS + STABLE_WINDOW_MS)
  note('statuses', JSON.stringify(statuses))
  note(`w-1 names ${LIMIT_PER_S}/s; allowed in ${COUNT_WINDOW_MS} ms: ${ALLOWED_IN_WINDOW}; seen at most: ${busiest}, and ${busiestReloaded} from ${STABLE_WINDOW_MS} ms after the settings named live seeds`)
  return busiest > ALLOWED_IN_WINDOW ? Verdict.Broken : Verdict.Held
})
