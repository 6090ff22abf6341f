/* eslint camelcase: "off" -- the fields have the names of the platform */

// The open connections to the store go silent for good, while new ones work; then the operator moves a route to another service.
import { setTimeout as wait } from 'node:timers/promises'
import { startStoreStandIn } from '../../target/review/storeStandIn.mjs'
import { respondWithBody, startWorkerStandIn } from '../../target/review/workerStandIn.mjs'
import { sendRequest } from '../client.mjs'
import { createConfiguration, createRegistration, createRoute, OPERATOR_TOPIC, WORKERS_TOPIC } from '../configuration.mjs'
import { createFleet, HAS_TROUBLE } from '../fleet.mjs'
import { startProxy } from '../proxy.mjs'
import { runCase, Verdict } from '../runCase.mjs'

const ZONES = ['zone-a', 'zone-b', 'zone-c']
const HEARTBEAT_MS = 1_200
const SETTLE_MS = 6_000
/** From the first change of the configuration to the silence, and from there to the second change. */
const SILENCE_AFTER_MS = 200
const SECOND_CHANGE_AFTER_MS = 1_000
const STABLE_WINDOW_MS = 3_000
const APPLY_MS = 2_000
const PROBE_INTERVAL_MS = 50
const PROBE_MS = 12_000
/** Covers the time from a timer to the first byte of a request. */
const MARGIN_MS = 100
const CLIENT_TIMEOUT_MS = 3_000

const SERVICES = { old: 'orders-1', next: 'orders-2' }

const createVersion = (version, service, moreRoutes = []) => createConfiguration(version, {
  routes: [createRoute('book', { kind: 'non_idempotent', max_attempts: 1, service }), ...moreRoutes],
  services: Object.values(SERVICES).map(name => ({ name, health_path: '/health', max_conns: 200 }))
})

await runCase(import.meta.url, async ({ note, onStop }) => {
  const store = await startStoreStandIn()
  onStop(() => store.close())
  const proxy = await startProxy(store.address)
  onStop(() => proxy.close())
  const startWorker = async (name, service) => {
    const worker = await startWorkerStandIn((socket, received) => {
      note(`worker of ${service} runs ${received.headers['attempt-id']}`)
      respondWithBody(service)(socket, received)
    })
    onStop(() => worker.close())
    let sequence = 1
    const register = () => store.put(WORKERS_TOPIC, name, createRegistration(worker.address, { service, sequence: sequence++ }))
    register()
    const heartbeat = setInterval(register, HEARTBEAT_MS)
    onStop(() => clearInterval(heartbeat))
  }
  await startWorker('w-1', SERVICES.old)
  await startWorker('w-2', SERVICES.next)
  store.put(OPERATOR_TOPIC, 'config', createVersion(7, SERVICES.old))

  const fleet = createFleet({ note, storeAddress: proxy.address })
  onStop(fleet.stop)
  const listens = []
  for (const zone of ZONES) listens.push({ zone, listen: await fleet.newListen() })
  const seeds = listens.map(({ listen }) => listen.control)
  const entries = []
  for (const { zone, listen } of listens) entries.push(await fleet.startEntry({ name: `front-${zone}`, zone, zones: ZONES, seeds, listen }))
  await fleet.waitReady(entries)
  await wait(SETTLE_MS)

  const change = (text, configuration) => {
    store.put(OPERATOR_TOPIC, 'config', configuration)
    note(`store acknowledges version ${configuration.version}: ${text}`)
    return performance.now()
  }
  change('one more route', createVersion(8, SERVICES.old, [createRoute('more')]))
  await wait(SILENCE_AFTER_MS)
  const silentAtMs = performance.now()
  if (HAS_TROUBLE) note(`${proxy.silence()} open connections to the store go silent; new ones work`)
  await wait(SECOND_CHANGE_AFTER_MS)
  const changedAtMs = change(`book moves from ${SERVICES.old} to ${SERVICES.next}`, createVersion(9, SERVICES.next, [createRoute('more')]))
  const boundMs = Math.max(silentAtMs + STABLE_WINDOW_MS, changedAtMs + APPLY_MS) + MARGIN_MS

  const late = []
  const pending = []
  for (let sent = 0; performance.now() - changedAtMs < PROBE_MS; sent++) {
    for (const entry of entries) {
      const attemptId = `${entry.name}-${sent}`
      const sentAtMs = performance.now()
      pending.push(sendRequest({ address: entry.front, method: 'POST', path: '/book/1', attemptId, body: 'order', timeoutMs: CLIENT_TIMEOUT_MS }).then(({ status, body }) => {
        const isLate = sentAtMs > boundMs && status === 200 && body.toString() === SERVICES.old
        if (isLate) late.push(entry.name)
        note(`client got ${attemptId}, sent ${Math.round(sentAtMs - changedAtMs)} ms after the acknowledgement: status ${status} ${body}${isLate ? ', too late' : ''}`)
      }))
    }
    await wait(PROBE_INTERVAL_MS)
  }
  await Promise.all(pending)
  note(`run by the old service, though sent later than ${APPLY_MS} ms after the acknowledgement and ${STABLE_WINDOW_MS} ms after the silence began: ${late.length}`)
  return late.length > 0 ? Verdict.Broken : Verdict.Held
})
