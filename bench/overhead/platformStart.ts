import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { startStoreStandIn, type StoreStandIn } from '../../platform/standIns/storeStandIn.js'
import { respondWithBody, startWorkerStandIn } from '../../platform/standIns/workerStandIn.js'
import type { Figure } from '../harness/index.js'
import { freeAddress } from './childProcess.js'

const SUITE = 'overhead'
const ROUNDS = 5
const POLL_MS = 2
const START_LIMIT_MS = 10_000
/** Libraries that a process with the product's own interface loads; the baseline imports all of them. */
const LIBRARIES = ['fastify', 'undici', 'zod', 'cbor-x', 'yaml', '@opentelemetry/sdk-trace-base']
const NOTE = 'on an unrestricted core; the targets hold on the users\' machines'

interface StartSample { openMs: number, servedMs: number, residentMb: number }

const runNode = async (args: string[], env: NodeJS.ProcessEnv = process.env) => {
  const child = spawn(process.execPath, args, { stdio: 'ignore', env })
  await once(child, 'exit')
}

const getStatus = (address: string, path: string, headers: Record<string, string> = {}): Promise<number> => new Promise((resolve, reject) => {
  const [host, port] = address.split(':')
  const outgoing = request({ host, port, path, headers, agent: false }, response => {
    response.resume()
    response.on('end', () => resolve(response.statusCode ?? 0))
  })
  outgoing.on('error', reject)
  outgoing.end()
})

const measureTimeUntil = async (isReached: () => Promise<boolean>, startedMs: number): Promise<number> => {
  while (performance.now() - startedMs < START_LIMIT_MS) {
    if (await isReached().catch(() => false)) return performance.now() - startedMs
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
  throw new Error(`entry did not start within ${START_LIMIT_MS} ms`)
}

const writeSettings = async (folder: string, store: StoreStandIn) => {
  const listen = { front: await freeAddress(), ready: await freeAddress(), directory: await freeAddress(), control: await freeAddress() }
  const path = join(folder, 'node.json')
  writeFileSync(path, JSON.stringify({
    node_name: 'entry', ip: '127.0.0.1', zone: 'a', listen, seeds: [], platform: { address: store.address }, bounds: { grace_s: 8, budget_ratio: 0.2, budget_window_s: 10, retry_slack: 200 }
  }))
  return { path, listen }
}

const measureStart = async (folder: string, store: StoreStandIn): Promise<StartSample> => {
  const { path, listen } = await writeSettings(folder, store)
  const startedMs = performance.now()
  const child = spawn(process.execPath, ['target/entry.mjs'], { stdio: 'ignore', env: { ...process.env, BAOBABDRIFT_NODE_FILE: path } })
  try {
    const openMs = await measureTimeUntil(async () => await getStatus(listen.ready, '/v1/ready') > 0, startedMs)
    const headers = { host: 'h', 'attempt-id': 'a', 'deadline-remaining': '3000' }
    const servedMs = await measureTimeUntil(async () => await getStatus(listen.front, '/r/x', headers) === 200, startedMs)
    const [, kilobytes] = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8')) ?? []
    return { openMs, servedMs, residentMb: Number(kilobytes) / 1_000 }
  } finally {
    child.kill('SIGKILL')
    await once(child, 'exit')
  }
}

const median = (values: readonly number[]) => [...values].sort((a, b) => a - b)[values.length >> 1]!

/**
 * Measures how fast the entry bundle for the users' platform starts, against a process that imports every
 * library.
 */
export const measurePlatformStart = async (seed: number): Promise<Figure[]> => {
  await runNode(['scripts/buildPlatform.mjs'])
  const folder = mkdtempSync(join(tmpdir(), 'baobabdrift-start-'))
  const store = await startStoreStandIn()
  const worker = await startWorkerStandIn(respondWithBody('ok'))
  store.put('keyed.op', 'config', {
    version: 1,
    routes: [{ name: 'r', host: 'h', path_prefix: '/r/', kind: 'idempotent', timeout_ms: 3_000, service: 's', public: true }],
    services: [{ name: 's' }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 1_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
  })
  store.put('keyed.servers', 'w', { service: 's', address: worker.address, zone: 'a', slots: 4, state: 'ready', sequence: 1 })
  try {
    const starts: StartSample[] = []
    const naive: number[] = []
    for (let round = 0; round < ROUNDS; round++) {
      starts.push(await measureStart(folder, store))
      const startedMs = performance.now()
      await runNode(['--input-type=module', '-e', LIBRARIES.map(name => `import '${name}'`).join(';')])
      naive.push(performance.now() - startedMs)
    }
    const figure = (name: string, unit: string, value: number, baseline: number | null, max: number): Figure =>
      ({ suite: SUITE, figure: name, unit, baseline, value, seed, target: { max }, note: NOTE })
    return [
      figure('platform_ports_open_ms', 'ms', median(starts.map(({ openMs }) => openMs)), median(naive), 250),
      figure('platform_first_served_ms', 'ms', median(starts.map(({ servedMs }) => servedMs)), null, 600),
      figure('platform_resident_mb', 'MB', median(starts.map(({ residentMb }) => residentMb)), null, 60)
    ]
  } finally {
    rmSync(folder, { recursive: true })
    await worker.close()
    await store.close()
  }
}
