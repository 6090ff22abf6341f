/* eslint camelcase: "off" -- the fields have the names of the platform */

// The operator adds a tenant whose name has a letter beyond Latin-1; its callers' requests run for another name.
import { setTimeout as wait } from 'node:timers/promises'
import { startStoreStandIn } from '../../target/review/storeStandIn.mjs'
import { respondWithBody, startWorkerStandIn } from '../../target/review/workerStandIn.mjs'
import { sendRequest } from '../client.mjs'
import { createConfiguration, createRegistration, OPERATOR_TOPIC, WORKERS_TOPIC } from '../configuration.mjs'
import { createFleet, HAS_TROUBLE } from '../fleet.mjs'
import { runCase, Verdict } from '../runCase.mjs'

const APPLY_MS = 2_000
const REQUESTS = 60
const CLIENT_TIMEOUT_MS = 4_000
/** The municipality's name in Northern Sámi; its Norwegian name, without such a letter, is added with TROUBLE=0. */
const ADDED_TENANT = HAS_TROUBLE ? 'Porsáŋgu' : 'Porsanger'
const TENANT_BY_KEY = { 'key-a': 'tenant-a', 'key-c': ADDED_TENANT }

const decodePercent = text => {
  try {
    return decodeURIComponent(text)
  } catch {
    return text
  }
}

/** What a header's bytes may stand for, whichever usual way the name was written. */
const readingsOf = bytes => [bytes.toString('latin1'), bytes.toString('utf8'), decodePercent(bytes.toString('latin1'))]

const configurationWith = (version, keys) => createConfiguration(version, {
  tenants: keys.map(key => ({ name: TENANT_BY_KEY[key], api_keys: [key] }))
})

await runCase(import.meta.url, async ({ note, onStop }) => {
  const store = await startStoreStandIn()
  onStop(() => store.close())
  const tenantByAttempt = new Map()
  const worker = await startWorkerStandIn((socket, received) => {
    const { 'attempt-id': attemptId, tenant = '' } = received.headers
    tenantByAttempt.set(attemptId, Buffer.from(tenant, 'latin1'))
    note(`worker runs ${attemptId} for tenant ${JSON.stringify(tenant)}, bytes ${Buffer.from(tenant, 'latin1').toString('hex')}`)
    respondWithBody('answer')(socket, received)
  })
  onStop(() => worker.close())
  store.put(WORKERS_TOPIC, 'w-1', createRegistration(worker.address))
  store.put(OPERATOR_TOPIC, 'config', configurationWith(7, ['key-a']))
  const fleet = createFleet({ note, storeAddress: store.address })
  onStop(fleet.stop)
  const entry = await fleet.startEntry({ name: 'front-a-1' })
  await fleet.waitReady([entry])

  store.put(OPERATOR_TOPIC, 'config', configurationWith(8, ['key-a', 'key-c']))
  note(`store acknowledges version 8: tenant ${ADDED_TENANT} with key-c`)
  await wait(APPLY_MS)
  let wrong = 0
  let served = 0
  for (let index = 0; index < REQUESTS; index++) {
    const key = index % 2 === 0 ? 'key-a' : 'key-c'
    const attemptId = `attempt-${index}`
    const { status } = await sendRequest({ address: entry.front, method: 'POST', path: '/book/1', attemptId, key, body: 'order', timeoutMs: CLIENT_TIMEOUT_MS })
    const tenant = tenantByAttempt.get(attemptId)
    const isWrong = tenant !== undefined && !readingsOf(tenant).includes(TENANT_BY_KEY[key])
    served += status === 200 ? 1 : 0
    wrong += isWrong ? 1 : 0
    note(`client of ${TENANT_BY_KEY[key]} got ${attemptId}: status ${status}${isWrong ? ', run for another tenant' : ''}`)
  }
  note(`${REQUESTS} bookings, ${served} answered with success; run for a tenant that doesn't hold the key: ${wrong}`)
  if (!HAS_TROUBLE && served < REQUESTS) return Verdict.NotRun
  return wrong > 0 ? Verdict.Broken : Verdict.Held
})
